package store

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"puffinsaddle/internal/admit"
	"puffinsaddle/internal/frame"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store/disk"
)

const (
	reportEvery = 250.0           // ms between two claims to each of the others, and between two looks of the leader
	wordFor     = 3 * time.Second // the answer to a claim may take so long: a leader proves its office first
	claimIdle   = 5 * time.Second // a connection of claims that says nothing is ended
	mostClaim   = 4 << 10         // bytes
	mostClaims  = 64              // connections of claims served at once
	mostStatus  = 64 << 10
	changeFor   = 2 * time.Second // a change of the set has so long to be written
	hearFor     = 500.0           // ms in which all who are there are heard, before fewer do
	compareEach = 1000.0          // ms between two parts of the state that copies compare, at least,
	compareWait = 2000.0          // and so many more for a copy that does not say what it made of one
)

// Phases of a node.
const (
	PhaseSeeks   = "seeks"   // asks the others whether it may take part with its folder
	PhaseAsks    = "asks"    // asks to be joined anew
	PhaseRuns    = "runs"    // takes part
	PhaseStopped = "stopped" // does not, and will not before the process is started again
)

// tell notes a phase and why; the lock is held.
func (s *Store) tell(phase, why string) {
	if s.phase != phase || s.why != why {
		e := s.o.Events.Info()
		if phase == PhaseAsks || phase == PhaseStopped {
			e = s.o.Events.Error()
		}
		e.Str("copy", s.o.ID).Str("phase", phase).Str("why", why).Msg("copy of the store")
	}
	if s.o.Told != nil && s.phase != phase {
		s.o.Told(phase, why)
	}
	s.phase, s.why = phase, why
	close(s.news)
	s.news = make(chan struct{})
}

// seek begins to make claims and to decide by the answers.
func (s *Store) seek() {
	for id, at := range s.o.Peers {
		if id != s.o.ID {
			go s.report(id, at)
		}
	}
	go s.decide()
}

// pause waits for a while of the steady clock, or for what comes first: news, or the node's end.
func (s *Store) pause(ms float64, news <-chan struct{}) {
	late := make(chan struct{})
	t := s.o.Steady.After(ms, func() { close(late) })
	defer t.Stop()
	select {
	case <-late:
	case <-news:
	case <-s.ctx.Done():
	}
}

// report makes claims to one of the others for as long as the node lives.
func (s *Store) report(id, at string) {
	for s.ctx.Err() == nil {
		if conn, err := s.layer.dial(at, forClaims, writeFor); err == nil {
			stop := context.AfterFunc(s.ctx, func() { conn.Close() })
			s.tellOf(conn, id)
			stop()
			conn.Close()
		}
		s.pause(reportEvery, nil)
	}
}

func (s *Store) tellOf(conn net.Conn, id string) {
	r := frame.NewReader(conn, wordFor, mostClaim)
	for s.ctx.Err() == nil {
		s.mu.Lock()
		news := s.news
		c := s.claim()
		s.mu.Unlock()
		if frame.Send(conn, c, mostClaim) != nil {
			return
		}
		var w admit.Response
		if r.Next(&w) != nil || w.From != id {
			return
		}
		s.mu.Lock()
		if s.seeker.Claim.DirectoryID == c.DirectoryID && s.seeker.RejoinReason == c.RejoinReason { // else it is a word on another claim
			s.seeker.AddResponse(w)
		}
		s.mu.Unlock()
		s.wake()
		s.pause(reportEvery, news)
	}
}

func (s *Store) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// claim is what the node says of itself now; the lock is held.
func (s *Store) claim() admit.Claim {
	if r := s.now.Load(); r != nil {
		// The term first: a position that is told with an earlier term was there in it.
		s.seeker.Term, s.seeker.LastIndex = r.raft.CurrentTerm(), r.raft.LastIndex()
		s.seeker.Digest = s.machine.looked()
	}
	return s.seeker.Claim
}

// decide takes the node's part up, or ends it, by what the others say; and as the leader it looks after the others.
func (s *Store) decide() {
	for s.ctx.Err() == nil {
		s.turn()
		s.keep()
		if r := s.now.Load(); r != nil {
			s.given(r)
			if _, leads := s.Office(); leads {
				s.lead(r)
				s.compare(r)
			}
		}
		s.pause(reportEvery, s.kick)
	}
}

func (s *Store) turn() {
	s.mu.Lock()
	phase := s.phase
	s.seeker.WaitElapsed = s.o.Steady.Now() > s.began+hearFor
	d, why := s.seeker.Decide()
	joined := s.seeker.JoinedState()
	if phase == PhaseSeeks && d == admit.DecisionWait && s.why != why {
		s.tell(PhaseSeeks, why)
	}
	s.mu.Unlock()
	if phase == PhaseStopped {
		return
	}
	runs := phase == PhaseRuns
	var err error
	switch {
	case d == admit.DecisionStop:
		err = errors.Join(errors.New(why), s.stop(false))
	case d == admit.DecisionRequestRejoin:
		if err = s.stop(false); err == nil {
			s.ask(why)
		}
	case d == admit.DecisionResetDirectory:
		err = s.renew(joined)
	case d == admit.DecisionStart && !runs:
		err = s.start(nil)
	case d == admit.DecisionBootstrap && !runs:
		s.mu.Lock()
		s.witness.RememberDirectories(s.seeker.PeerDirectories())
		f, name := s.folder, s.seeker.NewClusterName()
		s.seeker.ClusterName = name
		s.mu.Unlock()
		if err = s.remember(); err == nil {
			err = f.Named(name)
		}
		if err == nil {
			err = s.start(s.o.Peers)
		}
	}
	if err != nil {
		s.mu.Lock()
		s.tell(PhaseStopped, err.Error())
		s.mu.Unlock()
	}
}

// ask notes that the node asks to be joined anew.
func (s *Store) ask(why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeker.RejoinReason, s.seeker.Running = why, false
	s.seeker.ClearResponses()
	s.tell(PhaseAsks, why)
}

// renew sets the folder aside and begins with an empty one, without a vote.
func (s *Store) renew(joined admit.DirectoryState) error {
	s.mu.Lock()
	f := s.folder
	s.mu.Unlock()
	if f != nil {
		if err := f.Close(); err != nil {
			return err
		}
	}
	to, err := disk.SetAside(s.o.Dir)
	if err != nil {
		return err
	}
	s.machine.clear()
	damage, err := s.open(joined)
	if err = errors.Join(damage, err); err != nil {
		return err
	}
	s.o.Events.Warn().Str("copy", s.o.ID).Str("aside", to).Uint64("joined", joined.JoinIndex).Msg("joins anew with an empty folder")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(PhaseSeeks, "joined anew, without a vote")
	return nil
}

// failed is told by the disk when it stops.
func (s *Store) failed(why error) {
	err := s.stop(false)
	if s.ctx.Err() != nil {
		return
	}
	if bad := (*disk.Damage)(nil); errors.As(why, &bad) && err == nil && len(s.o.Peers) > 1 {
		s.ask(bad.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(PhaseStopped, errors.Join(why, err).Error())
}

// given notes that the node was given its vote: it has carried out all up to where it joined without one, and still its
// latest configuration has it as a voter, so that came later.
func (s *Store) given(r *running) {
	joined := r.folder.Mark().JoinIndex
	if r.votes.Load() || r.raft.AppliedIndex() <= joined {
		return
	}
	for _, m := range r.raft.GetConfiguration().Configuration().Servers {
		if string(m.ID) == s.o.ID && m.Suffrage == raft.Voter && r.folder.Voter() == nil {
			r.votes.Store(true)
			s.o.Events.Info().Str("copy", s.o.ID).Uint64("joined", joined).Msg("has caught up, and its vote")
		}
	}
}

// compare has all copies look at a part of their state now and then, and compares what they made of the one before.
func (s *Store) compare(r *running) {
	now := s.o.Steady.Now()
	s.mu.Lock()
	mine, voters := s.machine.looked(), 0
	of, late := map[string]admit.Digest{s.o.ID: mine}, false
	for _, m := range r.raft.GetConfiguration().Configuration().Servers {
		if m.Suffrage != raft.Voter {
			continue
		}
		voters++
		if string(m.ID) == s.o.ID {
			continue
		}
		if c, live := s.witness.LatestClaim(string(m.ID), now); live && c.Running {
			of[string(m.ID)] = c.Digest
			late = late || c.Digest.Index != mine.Index
		}
	}
	odd, split := admit.FindDivergent(mine.Index, of, voters)
	for _, id := range odd {
		s.witness.MarkDivergent(id)
	}
	due := now >= s.compareAt && !late || now >= s.compareAt+compareWait
	if due {
		s.compareAt, s.part = now+s.o.CompareMs, s.part+1
	}
	part := s.part
	s.mu.Unlock()
	if split && !s.halted.Swap(true) {
		s.o.Events.Error().Uint64("at", mine.Index).Uint64("part", mine.Partition).Msg("copies differ and no majority has one state: no effect is begun any more")
	}
	for _, id := range odd {
		s.o.Events.Error().Str("copy", id).Uint64("at", mine.Index).Uint64("part", mine.Partition).Msg("differs from a majority")
		if id == s.o.ID {
			if err := s.stop(true); err == nil {
				s.ask("the state of this copy differs from that of a majority")
			} else {
				s.failed(err)
			}
			return
		}
	}
	if due {
		s.Propose(state.Command{Op: state.OpCompareDigests, Seq: part}) // nobody waits for it: the claims tell what came of it
	}
}

// lead takes the vote from who asks to be joined anew, and gives it to who has caught up.
func (s *Store) lead(r *running) {
	s.mu.Lock()
	asks := s.witness.RejoinRequests(s.o.Steady.Now())
	s.mu.Unlock()
	for _, m := range r.raft.GetConfiguration().Configuration().Servers {
		id := string(m.ID)
		switch {
		case id == s.o.ID:
		case m.Suffrage == raft.Voter && slices.Contains(asks, id):
			err := r.raft.DemoteVoter(m.ID, 0, changeFor).Error()
			s.o.Events.Warn().Str("copy", id).Err(err).Msg("loses its vote until it has caught up")
		case m.Suffrage != raft.Voter:
			s.mu.Lock()
			ready := s.promote[id]
			delete(s.promote, id)
			s.mu.Unlock()
			if ready && r.folder.Shared() == nil {
				err := r.raft.AddVoter(m.ID, m.Address, 0, changeFor).Error()
				s.o.Events.Info().Str("copy", id).Err(err).Msg("has caught up and gets its vote")
			}
		}
	}
}

// serveClaims hears one of the others.
func (s *Store) serveClaims(conn net.Conn) {
	defer conn.Close()
	defer s.claims.Add(-1)
	if s.claims.Add(1) > mostClaims {
		return
	}
	no, id := s.conns.Add(1), ""
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.witness.ConnectionClosed(id, no)
	}()
	r := frame.NewReader(conn, claimIdle, mostClaim)
	for s.ctx.Err() == nil {
		var c admit.Claim
		if err := r.Next(&c); err != nil {
			return
		}
		if id == "" {
			id = c.ID
		}
		if c.ID != id || s.o.Peers[c.ID] == "" || c.ID == s.o.ID || len(c.DirectoryID)+len(c.ProcessID)+len(c.ClusterName) > 96 {
			return // no copy that we know
		}
		w, err := s.hear(no, c)
		if err != nil || frame.Send(conn, w, mostClaim) != nil {
			return
		}
	}
}

func (s *Store) hear(conn uint64, c admit.Claim) (admit.Response, error) {
	v, m, r := s.view(c.ID)
	_, leads := s.Office()
	s.mu.Lock()
	w, keep := s.witness.HandleClaim(s.o.Steady.Now(), conn, c, v)
	s.dirty = s.dirty || !keep
	learns := leads && v.Members[c.ID] != (admit.Member{}) && !m.Voter && w.Verdict != admit.VerdictOtherAddress && w.Verdict != admit.VerdictOtherCluster
	if learns && w.Verdict == admit.VerdictAccepted && c.RejoinReason == "" {
		l := s.learners[c.ID]
		if l == nil {
			l = &admit.Learner{}
			s.learners[c.ID] = l
		}
		if l.Report(c, v.LastIndex) {
			s.promote[c.ID] = true
		}
	} else {
		delete(s.learners, c.ID)
		delete(s.promote, c.ID)
	}
	s.mu.Unlock()
	if keep {
		if err := s.remember(); err != nil {
			return w, err
		}
	}
	s.wake()
	if learns && c.RejoinReason != "" {
		// Only what is agreed on counts: an entry that comes after proves that the loss of its vote was.
		if err := r.raft.Barrier(writeFor).Error(); err == nil {
			w.JoinIndex = v.LastIndex
		}
	}
	return w, nil
}

// view is what this node knows of the set, and of one id in it.
func (s *Store) view(id string) (v admit.View, m admit.Member, r *running) {
	r = s.now.Load()
	if r == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return admit.View{Bootstrapped: s.folder == nil || !s.seeker.Fresh || s.seeker.JoinIndex > 0, LastIndex: s.seeker.LastIndex, DirectoryID: s.seeker.DirectoryID, ClusterGeneration: s.seeker.ClusterGeneration, ClusterName: s.seeker.ClusterName}, m, nil
	}
	own := r.folder.Mark()
	v.DirectoryID, v.ClusterGeneration, v.ClusterName = own.DirectoryID, own.ClusterGeneration, own.ClusterName
	v.LastIndex = r.raft.LastIndex() // before the configuration: a vote that is given after this look has a later position
	v.Bootstrapped, v.Members = v.LastIndex > 0, map[string]admit.Member{}
	for _, c := range r.raft.GetConfiguration().Configuration().Servers {
		v.Members[string(c.ID)] = admit.Member{Addr: string(c.Address), Voter: c.Suffrage == raft.Voter}
	}
	return v, v.Members[id], r
}

// keep writes what is remembered of others, where it has grown.
func (s *Store) keep() {
	s.mu.Lock()
	dirty := s.dirty
	s.mu.Unlock()
	if dirty {
		s.remember()
	}
}

func (s *Store) remember() error {
	s.keeping.Lock()
	defer s.keeping.Unlock()
	s.mu.Lock()
	f, marks := s.folder, maps.Clone(s.witness.Directories)
	s.dirty = false
	s.mu.Unlock()
	if f == nil {
		return nil // it has no vote, and nothing that it says counts without a folder that remembers
	}
	return f.Remember(marks)
}

// Status tells how a copy is.
type Status struct {
	ID      string               `json:"id"`
	Addr    string               `json:"addr"`
	Phase   string               `json:"phase"`
	Why     string               `json:"why,omitempty"`
	Leader  string               `json:"leader,omitempty"` // as far as this copy knows
	Leads   bool                 `json:"leads"`
	Votes   bool                 `json:"votes"`
	Applied uint64               `json:"applied"`
	Halted  bool                 `json:"halted,omitempty"` // copies differ without a majority: no effect is begun
	Mark    admit.DirectoryState `json:"mark"`
	Members []Member             `json:"members,omitempty"`
}

// Member is what a copy knows of one of its set.
type Member struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"`
	Votes  bool   `json:"votes"`
	Alive  bool   `json:"alive"`            // it made a claim of late
	Last   uint64 `json:"last"`             // its last entry, as it said
	Behind uint64 `json:"behind,omitempty"` // entries that it lacks of this copy's
}

// Status looks at the node.
func (s *Store) Status() Status {
	v, _, r := s.view(s.o.ID)
	term, leads := s.Office()
	st := Status{ID: s.o.ID, Addr: s.Addr(), Leader: s.Leader(), Leads: leads}
	if r != nil {
		st.Votes, st.Applied = r.votes.Load(), r.raft.AppliedIndex()
	}
	now := s.o.Steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Phase, st.Why, st.Mark, st.Halted = s.phase, s.why, s.claim().DirectoryState, s.halted.Load()
	st.Mark.Term = max(st.Mark.Term, term)
	for _, id := range slices.Sorted(maps.Keys(v.Members)) {
		m := Member{ID: id, Addr: v.Members[id].Addr, Votes: v.Members[id].Voter, Alive: id == s.o.ID, Last: v.LastIndex}
		if id != s.o.ID {
			var c admit.Claim
			c, m.Alive = s.witness.LatestClaim(id, now)
			m.Last = c.LastIndex
			m.Behind = max(v.LastIndex, c.LastIndex) - c.LastIndex
		}
		st.Members = append(st.Members, m)
	}
	return st
}

func (s *Store) serveStatus(conn net.Conn) {
	defer conn.Close()
	frame.Send(conn, s.Status(), mostStatus)
}

// Ask asks the copy at an address how it is.
func Ask(ctx context.Context, at string) (st Status, err error) {
	d := net.Dialer{Timeout: writeFor}
	conn, err := d.DialContext(ctx, "tcp", at)
	if err != nil {
		return st, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err = conn.Write([]byte{forStatus}); err == nil {
		err = frame.NewReader(conn, wordFor, mostStatus).Next(&st)
	}
	if err != nil {
		return st, fmt.Errorf("store: %s does not tell how it is: %w", at, err)
	}
	return st, nil
}

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
	reportEvery = 250.0           // ms between two claims to each peer, and between two passes of the decision loop
	wordFor     = 3 * time.Second // for the response to a claim; a leader first confirms its leadership
	claimIdle   = 5 * time.Second // an idle claim connection is closed after this
	mostClaim   = 4 << 10         // bytes
	mostClaims  = 64              // claim connections served at once
	mostStatus  = 64 << 10        // bytes
	changeFor   = 2 * time.Second // for a membership change to be written
	hearFor     = 500.0           // ms to wait for responses of all peers before fewer suffice
	compareEach = 1000.0          // ms, default of Options.CompareIntervalMS
	compareWait = 2000.0          // ms more to wait for a replica that has not reported its digest
)

// Phases of a node, as they appear in Status.
const (
	PhaseVerifying = "seeks"   // waits for its peers to accept its data directory
	PhaseRejoining = "asks"    // requests to rejoin
	PhaseRunning   = "runs"    // participates in raft
	PhaseStopped   = "stopped" // does not participate until the process is restarted
)

// tell sets the phase and its reason. The caller holds s.mu.
func (s *Store) tell(phase, why string) {
	if s.phase != phase || s.why != why {
		e := s.o.Events.Info()
		if phase == PhaseRejoining || phase == PhaseStopped {
			e = s.o.Events.Error()
		}
		e.Str("copy", s.o.ID).Str("phase", phase).Str("why", why).Msg("store replica changed phase")
	}
	if s.o.OnPhaseChange != nil && s.phase != phase {
		s.o.OnPhaseChange(phase, why)
	}
	s.phase, s.why = phase, why
	close(s.news)
	s.news = make(chan struct{})
}

// seek starts sending claims to all peers, and the loop that decides on their responses.
func (s *Store) seek() {
	for id, at := range s.o.Peers {
		if id != s.o.ID {
			go s.report(id, at)
		}
	}
	go s.decide()
}

// pause waits for ms on the steady clock, until news is closed or receives, or until the node is closed.
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

// report sends claims to one peer until the node is closed.
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

// tellOf sends claims over one connection and passes the responses to the joiner.
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
		var w admit.Word
		if r.Next(&w) != nil || w.From != id {
			return
		}
		s.mu.Lock()
		if s.seeker.Claim.Folder == c.Folder && s.seeker.Rejoin == c.Rejoin { // otherwise the response belongs to an earlier claim
			s.seeker.Take(w)
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

// claim returns the node's current claim. The caller holds s.mu.
func (s *Store) claim() admit.Claim {
	if r := s.now.Load(); r != nil {
		// The term is read first: an index reported with an earlier term already existed in that term.
		s.seeker.Term, s.seeker.Last = r.raft.CurrentTerm(), r.raft.LastIndex()
		s.seeker.Digest = s.machine.looked()
	}
	return s.seeker.Claim
}

// decide starts or stops the node's participation according to its peers' responses. On the leader it also manages which
// replicas are voters, and compares their state.
func (s *Store) decide() {
	for s.ctx.Err() == nil {
		s.turn()
		s.keep()
		if r := s.now.Load(); r != nil {
			s.given(r)
			if _, leads := s.Leadership(); leads {
				s.lead(r)
				s.compare(r)
			}
		}
		s.pause(reportEvery, s.kick)
	}
}

// turn makes one decision on the peers' responses and carries it out.
func (s *Store) turn() {
	s.mu.Lock()
	phase := s.phase
	s.seeker.Waited = s.o.Steady.Now() > s.began+hearFor
	d, why := s.seeker.Decide()
	joined := s.seeker.JoinedAt()
	if phase == PhaseVerifying && d == admit.Wait && s.why != why {
		s.tell(PhaseVerifying, why)
	}
	s.mu.Unlock()
	if phase == PhaseStopped {
		return
	}
	runs := phase == PhaseRunning
	var err error
	switch {
	case d == admit.Leave:
		err = errors.Join(errors.New(why), s.stop(false))
	case d == admit.Rejoin:
		if err = s.stop(false); err == nil {
			s.ask(why)
		}
	case d == admit.Renew:
		err = s.renew(joined)
	case d == admit.Start && !runs:
		err = s.start(nil)
	case d == admit.Begin && !runs:
		s.mu.Lock()
		s.witness.Know(s.seeker.Folders())
		f, name := s.folder, s.seeker.NewName()
		s.seeker.Name = name
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

// ask makes the node request to rejoin.
func (s *Store) ask(why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeker.Rejoin, s.seeker.Runs = why, false
	s.seeker.Forget()
	s.tell(PhaseRejoining, why)
}

// renew quarantines the data directory and continues with an empty one, as a non-voter.
func (s *Store) renew(joined admit.Mark) error {
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
	s.o.Events.Warn().Str("copy", s.o.ID).Str("aside", to).Uint64("joined", joined.Joined).Msg("rejoins with an empty data directory")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(PhaseVerifying, "rejoined as a non-voter")
	return nil
}

// failed is called when the disk log stops after an error. After corruption a node with peers
// requests to rejoin; after any other error it stops.
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

// given records that the node has become a voter again: it has applied all entries up to its join index, and its latest
// configuration lists it as a voter, so that configuration was written after it joined.
func (s *Store) given(r *running) {
	joined := r.folder.Mark().Joined
	if r.votes.Load() || r.raft.AppliedIndex() <= joined {
		return
	}
	for _, m := range r.raft.GetConfiguration().Configuration().Servers {
		if string(m.ID) == s.o.ID && m.Suffrage == raft.Voter && r.folder.Voter() == nil {
			r.votes.Store(true)
			s.o.Events.Info().Str("copy", s.o.ID).Uint64("joined", joined).Msg("caught up and is a voter again")
		}
	}
}

// compare makes all replicas compute a digest of one partition of their state at intervals, and compares the digests of the
// previous partition.
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
		if c, live := s.witness.Latest(string(m.ID), now); live && c.Runs {
			of[string(m.ID)] = c.Digest
			late = late || c.Digest.At != mine.At
		}
	}
	odd, split := admit.Differ(mine.At, of, voters)
	for _, id := range odd {
		s.witness.Suspect(id)
	}
	due := now >= s.compareAt && !late || now >= s.compareAt+compareWait
	if due {
		s.compareAt, s.part = now+s.o.CompareIntervalMS, s.part+1
	}
	part := s.part
	s.mu.Unlock()
	if split && !s.halted.Swap(true) {
		s.o.Events.Error().Uint64("at", mine.At).Uint64("part", mine.Part).Msg("replicas differ and no state has a majority: no further effects are begun")
	}
	for _, id := range odd {
		s.o.Events.Error().Str("copy", id).Uint64("at", mine.At).Uint64("part", mine.Part).Msg("replica state differs from the majority")
		if id == s.o.ID {
			if err := s.stop(true); err == nil {
				s.ask("the state of this replica differs from that of a majority")
			} else {
				s.failed(err)
			}
			return
		}
	}
	if due {
		s.Propose(state.Command{Op: state.Compare, Seq: part}) // the result is not awaited: claims carry the digests
	}
}

// lead demotes voters that request to rejoin, and promotes non-voters that have caught up.
func (s *Store) lead(r *running) {
	s.mu.Lock()
	asks := s.witness.Asks(s.o.Steady.Now())
	s.mu.Unlock()
	for _, m := range r.raft.GetConfiguration().Configuration().Servers {
		id := string(m.ID)
		switch {
		case id == s.o.ID:
		case m.Suffrage == raft.Voter && slices.Contains(asks, id):
			err := r.raft.DemoteVoter(m.ID, 0, changeFor).Error()
			s.o.Events.Warn().Str("copy", id).Err(err).Msg("demoted to non-voter until it has caught up")
		case m.Suffrage != raft.Voter:
			s.mu.Lock()
			ready := s.promote[id]
			delete(s.promote, id)
			s.mu.Unlock()
			if ready && r.folder.Shared() == nil {
				err := r.raft.AddVoter(m.ID, m.Address, 0, changeFor).Error()
				s.o.Events.Info().Str("copy", id).Err(err).Msg("caught up and promoted to voter")
			}
		}
	}
}

// serveClaims answers the claims of one peer.
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
		s.witness.Gone(id, no)
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
		if c.ID != id || s.o.Peers[c.ID] == "" || c.ID == s.o.ID || len(c.Folder)+len(c.Proc)+len(c.Name) > 96 {
			return // not one of this node's peers
		}
		w, err := s.hear(no, c)
		if err != nil || frame.Send(conn, w, mostClaim) != nil {
			return
		}
	}
}

// hear verifies a claim and, on the leader, tracks how far a non-voter has caught up.
func (s *Store) hear(conn uint64, c admit.Claim) (admit.Word, error) {
	v, m, r := s.view(c.ID)
	_, leads := s.Leadership()
	s.mu.Lock()
	w, keep := s.witness.Hear(s.o.Steady.Now(), conn, c, v)
	s.dirty = s.dirty || !keep
	learns := leads && v.Of[c.ID] != (admit.Member{}) && !m.Votes && w.Verdict != admit.Elsewhere && w.Verdict != admit.Stranger
	if learns && w.Verdict == admit.Good && c.Rejoin == "" {
		l := s.learners[c.ID]
		if l == nil {
			l = &admit.Learner{}
			s.learners[c.ID] = l
		}
		if l.Report(c, v.Last) {
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
	if learns && c.Rejoin != "" {
		// Only committed changes count: a later committed entry proves that the demotion is committed.
		if err := r.raft.Barrier(writeFor).Error(); err == nil {
			w.Joined = v.Last
		}
	}
	return w, nil
}

// view returns what this node knows of the cluster, and of the member with the given id.
func (s *Store) view(id string) (v admit.View, m admit.Member, r *running) {
	r = s.now.Load()
	if r == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return admit.View{Begun: s.folder == nil || !s.seeker.Fresh || s.seeker.Joined > 0, Last: s.seeker.Last, Folder: s.seeker.Folder, Set: s.seeker.Set, Name: s.seeker.Name}, m, nil
	}
	own := r.folder.Mark()
	v.Folder, v.Set, v.Name = own.Folder, own.Set, own.Name
	v.Last = r.raft.LastIndex() // read before the configuration: any later promotion to voter has a higher index
	v.Begun, v.Of = v.Last > 0, map[string]admit.Member{}
	for _, c := range r.raft.GetConfiguration().Configuration().Servers {
		v.Of[string(c.ID)] = admit.Member{Addr: string(c.Address), Votes: c.Suffrage == raft.Voter}
	}
	return v, v.Of[id], r
}

// keep saves the known peers if they have changed.
func (s *Store) keep() {
	s.mu.Lock()
	dirty := s.dirty
	s.mu.Unlock()
	if dirty {
		s.remember()
	}
}

// remember writes the known peers to the data directory.
func (s *Store) remember() error {
	s.keeping.Lock()
	defer s.keeping.Unlock()
	s.mu.Lock()
	f, marks := s.folder, maps.Clone(s.witness.Marks)
	s.dirty = false
	s.mu.Unlock()
	if f == nil {
		return nil // not a voter, and its responses do not count without a directory that records them
	}
	return f.Remember(marks)
}

// Status describes a replica.
type Status struct {
	ID        string     `json:"id"`
	Addr      string     `json:"addr"`
	Phase     string     `json:"phase"`
	Reason    string     `json:"why,omitempty"`
	Leader    string     `json:"leader,omitempty"` // as this replica knows it
	IsLeader  bool       `json:"leads"`
	Voter     bool       `json:"votes"`
	Applied   uint64     `json:"applied"`
	Halted    bool       `json:"halted,omitempty"` // replicas differ and no state has a majority: no effect is begun
	Directory admit.Mark `json:"mark"`
	Members   []Member   `json:"members,omitempty"`
}

// Member is what a replica knows of one member of its cluster.
type Member struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Votes bool   `json:"votes"`
	Alive bool   `json:"alive"`            // it sent a claim recently
	Last  uint64 `json:"last"`             // index of its last entry, as it reported
	Lag   uint64 `json:"behind,omitempty"` // entries of this replica that it lacks
}

// Status returns the node's current status.
func (s *Store) Status() Status {
	v, _, r := s.view(s.o.ID)
	term, leads := s.Leadership()
	st := Status{ID: s.o.ID, Addr: s.Addr(), Leader: s.Leader(), IsLeader: leads}
	if r != nil {
		st.Voter, st.Applied = r.votes.Load(), r.raft.AppliedIndex()
	}
	now := s.o.Steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Phase, st.Reason, st.Directory, st.Halted = s.phase, s.why, s.claim().Mark, s.halted.Load()
	st.Directory.Term = max(st.Directory.Term, term)
	for _, id := range slices.Sorted(maps.Keys(v.Of)) {
		m := Member{ID: id, Addr: v.Of[id].Addr, Votes: v.Of[id].Votes, Alive: id == s.o.ID, Last: v.Last}
		if id != s.o.ID {
			var c admit.Claim
			c, m.Alive = s.witness.Latest(id, now)
			m.Last = c.Last
			m.Lag = max(v.Last, c.Last) - c.Last
		}
		st.Members = append(st.Members, m)
	}
	return st
}

func (s *Store) serveStatus(conn net.Conn) {
	defer conn.Close()
	frame.Send(conn, s.Status(), mostStatus)
}

// QueryStatus requests the status of the replica at an address.
func QueryStatus(ctx context.Context, at string) (st Status, err error) {
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
		return st, fmt.Errorf("store: status of %s: %w", at, err)
	}
	return st, nil
}

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
	claimIntervalMS          = 250.0           // ms between two claims to each of the others, and between two looks of the leader
	responseTimeout          = 3 * time.Second // the answer to a claim may take so long: a leader proves its office first
	claimIdleTimeout         = 5 * time.Second // a connection of claims that says nothing is ended
	maxClaimBytes            = 4 << 10         // bytes
	maxClaimConnections      = 64              // connections of claims served at once
	maxStatusBytes           = 64 << 10
	membershipChangeTimeout  = 2 * time.Second // a change of the set has so long to be written
	allPeersWaitMS           = 500.0           // ms in which all who are there are heard, before fewer do
	defaultCompareIntervalMS = 1000.0          // ms between two parts of the state that copies compare, at least,
	compareGraceMS           = 2000.0          // and so many more for a copy that does not say what it made of one
)

// Phases of a node.
const (
	PhaseVerifying = "seeks"   // asks the others whether it may take part with its folder
	PhaseRejoining = "asks"    // asks to be joined anew
	PhaseRunning   = "runs"    // takes part
	PhaseStopped   = "stopped" // does not, and will not before the process is started again
)

// setPhase notes a phase and why; the lock is held.
func (s *Store) setPhase(phase, reason string) {
	if s.phase != phase || s.phaseReason != reason {
		e := s.o.Events.Info()
		if phase == PhaseRejoining || phase == PhaseStopped {
			e = s.o.Events.Error()
		}
		e.Str("copy", s.o.ID).Str("phase", phase).Str("why", reason).Msg("copy of the store")
	}
	if s.o.OnPhaseChange != nil && s.phase != phase {
		s.o.OnPhaseChange(phase, reason)
	}
	s.phase, s.phaseReason = phase, reason
	close(s.phaseChanged)
	s.phaseChanged = make(chan struct{})
}

// startVerification begins to make claims and to decide by the answers.
func (s *Store) startVerification() {
	for id, address := range s.o.Peers {
		if id != s.o.ID {
			go s.sendClaims(id, address)
		}
	}
	go s.runDecisionLoop()
}

// waitMS waits for a while of the steady clock, or for what comes first: news, or the node's end.
func (s *Store) waitMS(ms float64, changed <-chan struct{}) {
	elapsed := make(chan struct{})
	t := s.o.Steady.After(ms, func() { close(elapsed) })
	defer t.Stop()
	select {
	case <-elapsed:
	case <-changed:
	case <-s.ctx.Done():
	}
}

// sendClaims makes claims to one of the others for as long as the node lives.
func (s *Store) sendClaims(id, address string) {
	for s.ctx.Err() == nil {
		if conn, err := s.mux.dial(address, purposeClaims, writeTimeout); err == nil {
			stop := context.AfterFunc(s.ctx, func() { conn.Close() })
			s.exchangeClaims(conn, id)
			stop()
			conn.Close()
		}
		s.waitMS(claimIntervalMS, nil)
	}
}

func (s *Store) exchangeClaims(conn net.Conn, id string) {
	r := frame.NewReader(conn, responseTimeout, maxClaimBytes)
	for s.ctx.Err() == nil {
		s.mu.Lock()
		changed := s.phaseChanged
		c := s.currentClaim()
		s.mu.Unlock()
		if frame.Send(conn, c, maxClaimBytes) != nil {
			return
		}
		var response admit.Response
		if r.Next(&response) != nil || response.From != id {
			return
		}
		s.mu.Lock()
		if s.joiner.Claim.DirectoryID == c.DirectoryID && s.joiner.RejoinReason == c.RejoinReason { // else it is a word on another claim
			s.joiner.AddResponse(response)
		}
		s.mu.Unlock()
		s.wakeDecisionLoop()
		s.waitMS(claimIntervalMS, changed)
	}
}

func (s *Store) wakeDecisionLoop() {
	select {
	case s.decisionDue <- struct{}{}:
	default:
	}
}

// currentClaim is what the node says of itself now; the lock is held.
func (s *Store) currentClaim() admit.Claim {
	if r := s.active.Load(); r != nil {
		// The term first: a position that is told with an earlier term was there in it.
		s.joiner.Term, s.joiner.LastIndex = r.raft.CurrentTerm(), r.raft.LastIndex()
		s.joiner.Digest = s.fsm.latestDigest()
	}
	return s.joiner.Claim
}

// runDecisionLoop takes the node's part up, or ends it, by what the others say; and as the leader it looks after the others.
func (s *Store) runDecisionLoop() {
	for s.ctx.Err() == nil {
		s.decide()
		s.savePeersIfChanged()
		if r := s.active.Load(); r != nil {
			s.recordRegainedVote(r)
			if _, leads := s.Leadership(); leads {
				s.updateVoters(r)
				s.compareDigests(r)
			}
		}
		s.waitMS(claimIntervalMS, s.decisionDue)
	}
}

func (s *Store) decide() {
	s.mu.Lock()
	phase := s.phase
	s.joiner.WaitElapsed = s.o.Steady.Now() > s.verificationStartMS+allPeersWaitMS
	d, reason := s.joiner.Decide()
	joinState := s.joiner.JoinedState()
	if phase == PhaseVerifying && d == admit.DecisionWait && s.phaseReason != reason {
		s.setPhase(PhaseVerifying, reason)
	}
	s.mu.Unlock()
	if phase == PhaseStopped {
		return
	}
	running := phase == PhaseRunning
	var err error
	switch {
	case d == admit.DecisionStop:
		err = errors.Join(errors.New(reason), s.stopParticipating(false))
	case d == admit.DecisionRequestRejoin:
		if err = s.stopParticipating(false); err == nil {
			s.requestRejoin(reason)
		}
	case d == admit.DecisionResetDirectory:
		err = s.replaceDirectory(joinState)
	case d == admit.DecisionStart && !running:
		err = s.participate(nil)
	case d == admit.DecisionBootstrap && !running:
		s.mu.Lock()
		s.verifier.RememberDirectories(s.joiner.PeerDirectories())
		f, name := s.directory, s.joiner.NewClusterName()
		s.joiner.ClusterName = name
		s.mu.Unlock()
		if err = s.savePeers(); err == nil {
			err = f.RecordClusterName(name)
		}
		if err == nil {
			err = s.participate(s.o.Peers)
		}
	}
	if err != nil {
		s.mu.Lock()
		s.setPhase(PhaseStopped, err.Error())
		s.mu.Unlock()
	}
}

// requestRejoin notes that the node asks to be joined anew.
func (s *Store) requestRejoin(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joiner.RejoinReason, s.joiner.Running = reason, false
	s.joiner.ClearResponses()
	s.setPhase(PhaseRejoining, reason)
}

// replaceDirectory sets the folder aside and begins with an empty one, without a vote.
func (s *Store) replaceDirectory(joinState admit.DirectoryState) error {
	s.mu.Lock()
	f := s.directory
	s.mu.Unlock()
	if f != nil {
		if err := f.Close(); err != nil {
			return err
		}
	}
	quarantined, err := disk.Quarantine(s.o.Dir)
	if err != nil {
		return err
	}
	s.fsm.reset()
	corruption, err := s.openDirectory(joinState)
	if err = errors.Join(corruption, err); err != nil {
		return err
	}
	s.o.Events.Warn().Str("copy", s.o.ID).Str("aside", quarantined).Uint64("joined", joinState.JoinIndex).Msg("joins anew with an empty folder")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setPhase(PhaseVerifying, "joined anew, without a vote")
	return nil
}

// diskFailed is told by the disk when it stops.
func (s *Store) diskFailed(cause error) {
	err := s.stopParticipating(false)
	if s.ctx.Err() != nil {
		return
	}
	if corruption := (*disk.CorruptionError)(nil); errors.As(cause, &corruption) && err == nil && len(s.o.Peers) > 1 {
		s.requestRejoin(corruption.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setPhase(PhaseStopped, errors.Join(cause, err).Error())
}

// recordRegainedVote notes that the node was given its vote: it has carried out all up to where it joined without one, and still its
// latest configuration has it as a voter, so that came later.
func (s *Store) recordRegainedVote(r *participation) {
	joinIndex := r.directory.State().JoinIndex
	if r.voter.Load() || r.raft.AppliedIndex() <= joinIndex {
		return
	}
	for _, m := range r.raft.GetConfiguration().Configuration().Servers {
		if string(m.ID) == s.o.ID && m.Suffrage == raft.Voter && r.directory.RecordVoter() == nil {
			r.voter.Store(true)
			s.o.Events.Info().Str("copy", s.o.ID).Uint64("joined", joinIndex).Msg("has caught up, and its vote")
		}
	}
}

// compareDigests has all copies look at a part of their state now and then, and compares what they made of the one before.
func (s *Store) compareDigests(r *participation) {
	nowMS := s.o.Steady.Now()
	s.mu.Lock()
	ownDigest, voters := s.fsm.latestDigest(), 0
	digests, lagging := map[string]admit.Digest{s.o.ID: ownDigest}, false
	for _, m := range r.raft.GetConfiguration().Configuration().Servers {
		if m.Suffrage != raft.Voter {
			continue
		}
		voters++
		if string(m.ID) == s.o.ID {
			continue
		}
		if c, live := s.verifier.LatestClaim(string(m.ID), nowMS); live && c.Running {
			digests[string(m.ID)] = c.Digest
			lagging = lagging || c.Digest.Index != ownDigest.Index
		}
	}
	divergent, split := admit.FindDivergent(ownDigest.Index, digests, voters)
	for _, id := range divergent {
		s.verifier.MarkDivergent(id)
	}
	due := nowMS >= s.nextCompareMS && !lagging || nowMS >= s.nextCompareMS+compareGraceMS
	if due {
		s.nextCompareMS, s.partition = nowMS+s.o.CompareIntervalMS, s.partition+1
	}
	partition := s.partition
	s.mu.Unlock()
	if split && !s.effectsHalted.Swap(true) {
		s.o.Events.Error().Uint64("at", ownDigest.Index).Uint64("part", ownDigest.Partition).Msg("copies differ and no majority has one state: no effect is begun any more")
	}
	for _, id := range divergent {
		s.o.Events.Error().Str("copy", id).Uint64("at", ownDigest.Index).Uint64("part", ownDigest.Partition).Msg("differs from a majority")
		if id == s.o.ID {
			if err := s.stopParticipating(true); err == nil {
				s.requestRejoin("the state of this copy differs from that of a majority")
			} else {
				s.diskFailed(err)
			}
			return
		}
	}
	if due {
		s.Propose(state.Command{Op: state.OpCompareDigests, Seq: partition}) // nobody waits for it: the claims tell what came of it
	}
}

// updateVoters takes the vote from who asks to be joined anew, and gives it to who has caught up.
func (s *Store) updateVoters(r *participation) {
	s.mu.Lock()
	rejoining := s.verifier.RejoinRequests(s.o.Steady.Now())
	s.mu.Unlock()
	for _, m := range r.raft.GetConfiguration().Configuration().Servers {
		id := string(m.ID)
		switch {
		case id == s.o.ID:
		case m.Suffrage == raft.Voter && slices.Contains(rejoining, id):
			err := r.raft.DemoteVoter(m.ID, 0, membershipChangeTimeout).Error()
			s.o.Events.Warn().Str("copy", id).Err(err).Msg("loses its vote until it has caught up")
		case m.Suffrage != raft.Voter:
			s.mu.Lock()
			ready := s.caughtUp[id]
			delete(s.caughtUp, id)
			s.mu.Unlock()
			if ready && r.directory.RecordSecondVoter() == nil {
				err := r.raft.AddVoter(m.ID, m.Address, 0, membershipChangeTimeout).Error()
				s.o.Events.Info().Str("copy", id).Err(err).Msg("has caught up and gets its vote")
			}
		}
	}
}

// serveClaims hears one of the others.
func (s *Store) serveClaims(conn net.Conn) {
	defer conn.Close()
	defer s.claimConnections.Add(-1)
	if s.claimConnections.Add(1) > maxClaimConnections {
		return
	}
	connID, id := s.claimConnIDs.Add(1), ""
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.verifier.ConnectionClosed(id, connID)
	}()
	r := frame.NewReader(conn, claimIdleTimeout, maxClaimBytes)
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
		response, err := s.handleClaim(connID, c)
		if err != nil || frame.Send(conn, response, maxClaimBytes) != nil {
			return
		}
	}
}

func (s *Store) handleClaim(connID uint64, c admit.Claim) (admit.Response, error) {
	v, m, r := s.clusterView(c.ID)
	_, leads := s.Leadership()
	s.mu.Lock()
	w, persist := s.verifier.HandleClaim(s.o.Steady.Now(), connID, c, v)
	s.peersChanged = s.peersChanged || !persist
	isLearner := leads && v.Members[c.ID] != (admit.Member{}) && !m.Voter && w.Verdict != admit.VerdictOtherAddress && w.Verdict != admit.VerdictOtherCluster
	if isLearner && w.Verdict == admit.VerdictAccepted && c.RejoinReason == "" {
		l := s.learners[c.ID]
		if l == nil {
			l = &admit.Learner{}
			s.learners[c.ID] = l
		}
		if l.Report(c, v.LastIndex) {
			s.caughtUp[c.ID] = true
		}
	} else {
		delete(s.learners, c.ID)
		delete(s.caughtUp, c.ID)
	}
	s.mu.Unlock()
	if persist {
		if err := s.savePeers(); err != nil {
			return w, err
		}
	}
	s.wakeDecisionLoop()
	if isLearner && c.RejoinReason != "" {
		// Only what is agreed on counts: an entry that comes after proves that the loss of its vote was.
		if err := r.raft.Barrier(writeTimeout).Error(); err == nil {
			w.JoinIndex = v.LastIndex
		}
	}
	return w, nil
}

// clusterView is what this node knows of the set, and of one id in it.
func (s *Store) clusterView(id string) (v admit.View, m admit.Member, r *participation) {
	r = s.active.Load()
	if r == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return admit.View{Bootstrapped: s.directory == nil || !s.joiner.Fresh || s.joiner.JoinIndex > 0, LastIndex: s.joiner.LastIndex, DirectoryID: s.joiner.DirectoryID, ClusterGeneration: s.joiner.ClusterGeneration, ClusterName: s.joiner.ClusterName}, m, nil
	}
	directory := r.directory.State()
	v.DirectoryID, v.ClusterGeneration, v.ClusterName = directory.DirectoryID, directory.ClusterGeneration, directory.ClusterName
	v.LastIndex = r.raft.LastIndex() // before the configuration: a vote that is given after this look has a later position
	v.Bootstrapped, v.Members = v.LastIndex > 0, map[string]admit.Member{}
	for _, c := range r.raft.GetConfiguration().Configuration().Servers {
		v.Members[string(c.ID)] = admit.Member{Addr: string(c.Address), Voter: c.Suffrage == raft.Voter}
	}
	return v, v.Members[id], r
}

// savePeersIfChanged writes what is remembered of others, where it has grown.
func (s *Store) savePeersIfChanged() {
	s.mu.Lock()
	dirty := s.peersChanged
	s.mu.Unlock()
	if dirty {
		s.savePeers()
	}
}

func (s *Store) savePeers() error {
	s.savePeersMu.Lock()
	defer s.savePeersMu.Unlock()
	s.mu.Lock()
	f, peers := s.directory, maps.Clone(s.verifier.Directories)
	s.peersChanged = false
	s.mu.Unlock()
	if f == nil {
		return nil // it has no vote, and nothing that it says counts without a folder that remembers
	}
	return f.RecordPeerDirectories(peers)
}

// Status tells how a copy is.
type Status struct {
	ID        string               `json:"id"`
	Addr      string               `json:"addr"`
	Phase     string               `json:"phase"`
	Reason    string               `json:"why,omitempty"`
	Leader    string               `json:"leader,omitempty"` // as far as this copy knows
	IsLeader  bool                 `json:"leads"`
	Voter     bool                 `json:"votes"`
	Applied   uint64               `json:"applied"`
	Halted    bool                 `json:"halted,omitempty"` // copies differ without a majority: no effect is begun
	Directory admit.DirectoryState `json:"mark"`
	Members   []Member             `json:"members,omitempty"`
}

// Member is what a copy knows of one of its set.
type Member struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Votes bool   `json:"votes"`
	Alive bool   `json:"alive"`            // it made a claim of late
	Last  uint64 `json:"last"`             // its last entry, as it said
	Lag   uint64 `json:"behind,omitempty"` // entries that it lacks of this copy's
}

// Status looks at the node.
func (s *Store) Status() Status {
	v, _, r := s.clusterView(s.o.ID)
	term, isLeader := s.Leadership()
	st := Status{ID: s.o.ID, Addr: s.Addr(), Leader: s.Leader(), IsLeader: isLeader}
	if r != nil {
		st.Voter, st.Applied = r.voter.Load(), r.raft.AppliedIndex()
	}
	nowMS := s.o.Steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Phase, st.Reason, st.Directory, st.Halted = s.phase, s.phaseReason, s.currentClaim().DirectoryState, s.effectsHalted.Load()
	st.Directory.Term = max(st.Directory.Term, term)
	for _, id := range slices.Sorted(maps.Keys(v.Members)) {
		m := Member{ID: id, Addr: v.Members[id].Addr, Votes: v.Members[id].Voter, Alive: id == s.o.ID, Last: v.LastIndex}
		if id != s.o.ID {
			var c admit.Claim
			c, m.Alive = s.verifier.LatestClaim(id, nowMS)
			m.Last = c.LastIndex
			m.Lag = max(v.LastIndex, c.LastIndex) - c.LastIndex
		}
		st.Members = append(st.Members, m)
	}
	return st
}

func (s *Store) serveStatus(conn net.Conn) {
	defer conn.Close()
	frame.Send(conn, s.Status(), maxStatusBytes)
}

// QueryStatus asks the copy at an address how it is.
func QueryStatus(ctx context.Context, address string) (st Status, err error) {
	d := net.Dialer{Timeout: writeTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return st, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err = conn.Write([]byte{purposeStatus}); err == nil {
		err = frame.NewReader(conn, responseTimeout, maxStatusBytes).Next(&st)
	}
	if err != nil {
		return st, fmt.Errorf("store: %s does not tell how it is: %w", address, err)
	}
	return st, nil
}

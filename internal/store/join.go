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

	"puffinsaddle/internal/frame"
	"puffinsaddle/internal/rejoin"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store/disk"
)

const (
	claimIntervalMS          = 250.0           // ms between two claims to each peer, and between two passes of the decision loop
	responseTimeout          = 3 * time.Second // timeout for the response to a claim; a leader first confirms its leadership
	claimIdleTimeout         = 5 * time.Second // an idle claim connection is closed after this
	maxClaimBytes            = 4 << 10
	maxClaimConnections      = 64 // claim connections served at once
	maxStatusBytes           = 64 << 10
	membershipChangeTimeout  = 2 * time.Second // timeout for writing a membership change
	allPeersWaitMS           = 500.0           // ms to wait for responses of all peers before fewer suffice
	defaultCompareIntervalMS = 1000.0          // ms; default of Options.CompareIntervalMS
	compareGraceMS           = 2000.0          // additional ms to wait for a replica that has not reported its digest
)

// Phases of a replica, as they appear in Status.
const (
	PhaseVerifying = "seeks"   // waits for its peers to accept its data directory
	PhaseRejoining = "asks"    // requests to rejoin
	PhaseRunning   = "runs"    // participates in raft
	PhaseStopped   = "stopped" // does not participate until the process is restarted
)

// setPhase sets the phase and its reason. The caller holds s.mu.
func (s *Store) setPhase(phase, reason string) {
	if s.phase != phase || s.phaseReason != reason {
		e := s.o.Events.Info()
		if phase == PhaseRejoining || phase == PhaseStopped {
			e = s.o.Events.Error()
		}
		e.Str("copy", s.o.ID).Str("phase", phase).Str("why", reason).Msg("store replica changed phase")
	}
	if s.o.OnPhaseChange != nil && s.phase != phase {
		s.o.OnPhaseChange(phase, reason)
	}
	s.phase, s.phaseReason = phase, reason
	close(s.phaseChanged)
	s.phaseChanged = make(chan struct{})
}

// startVerification starts sending claims to all peers, and the loop that decides on their responses.
func (s *Store) startVerification() {
	for id, address := range s.o.Peers {
		if id != s.o.ID {
			go s.sendClaims(id, address)
		}
	}
	go s.runDecisionLoop()
}

// waitMS waits for ms milliseconds on the steady clock, until changed is closed or receives, or until the replica is closed.
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

// sendClaims sends claims to one peer until the replica is closed.
func (s *Store) sendClaims(id, address string) {
	for s.ctx.Err() == nil {
		if conn, err := s.mux.dial(s.ctx, address, purposeClaims, writeTimeout); err == nil {
			stop := context.AfterFunc(s.ctx, func() { conn.Close() })
			s.exchangeClaims(conn, id)
			stop()
			conn.Close()
		}
		s.waitMS(claimIntervalMS, nil)
	}
}

// exchangeClaims sends claims over one connection and passes the responses to the joiner.
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
		var response rejoin.Response
		if r.Next(&response) != nil || response.From != id {
			return
		}
		s.mu.Lock()
		if s.joiner.Claim.DirectoryID == c.DirectoryID && s.joiner.RejoinReason == c.RejoinReason { // otherwise the response belongs to an earlier claim
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

// currentClaim returns the replica's current claim. The caller holds s.mu.
func (s *Store) currentClaim() rejoin.Claim {
	if r := s.active.Load(); r != nil {
		// The term is read first: an index reported with an earlier term already existed in that term.
		s.joiner.Term, s.joiner.LastIndex = r.raft.CurrentTerm(), r.raft.LastIndex()
		s.joiner.Digest = s.fsm.latestDigest()
	}
	return s.joiner.Claim
}

// runDecisionLoop starts or stops the replica's participation according to its peers' responses. On the leader it also manages
// which replicas are voters, and compares their state.
func (s *Store) runDecisionLoop() {
	for s.ctx.Err() == nil {
		s.decide()
		s.savePeersIfChanged()
		if r := s.active.Load(); r != nil {
			s.recordRegainedVote(r)
			if _, isLeader := s.Leadership(); isLeader {
				s.updateVoters(r)
				s.compareDigests(r)
			}
		}
		s.waitMS(claimIntervalMS, s.decisionDue)
	}
}

// decide makes one decision on the peers' responses and carries it out.
func (s *Store) decide() {
	s.mu.Lock()
	phase := s.phase
	s.joiner.WaitElapsed = s.o.Steady.Now() > s.verificationStartMS+allPeersWaitMS
	d, reason := s.joiner.Decide()
	joinState := s.joiner.JoinedState()
	if phase == PhaseVerifying && d == rejoin.DecisionWait && s.phaseReason != reason {
		s.setPhase(PhaseVerifying, reason)
	}
	s.mu.Unlock()
	if phase == PhaseStopped {
		return
	}
	running := phase == PhaseRunning
	var err error
	switch {
	case d == rejoin.DecisionStop:
		err = errors.Join(errors.New(reason), s.stopParticipating(false))
	case d == rejoin.DecisionRequestRejoin:
		if err = s.stopParticipating(false); err == nil {
			s.requestRejoin(reason)
		}
	case d == rejoin.DecisionResetDirectory:
		err = s.replaceDirectory(joinState)
	case d == rejoin.DecisionStart && !running:
		err = s.participate(nil)
	case d == rejoin.DecisionBootstrap && !running:
		s.mu.Lock()
		s.verifier.RememberDirectories(s.joiner.PeerDirectories())
		directory, name := s.directory, s.joiner.NewClusterName()
		s.joiner.ClusterName = name
		s.mu.Unlock()
		if err = s.savePeers(); err == nil {
			err = directory.RecordClusterName(name)
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

// requestRejoin makes the replica request to rejoin.
func (s *Store) requestRejoin(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joiner.RejoinReason, s.joiner.Running = reason, false
	s.joiner.ClearResponses()
	s.setPhase(PhaseRejoining, reason)
}

// replaceDirectory quarantines the data directory and continues with an empty one, as a non-voter.
func (s *Store) replaceDirectory(joinState rejoin.DirectoryState) error {
	s.mu.Lock()
	directory := s.directory
	s.mu.Unlock()
	if directory != nil {
		if err := directory.Close(); err != nil {
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
	s.o.Events.Warn().Str("copy", s.o.ID).Str("aside", quarantined).Uint64("joined", joinState.JoinIndex).Msg("rejoins with an empty data directory")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setPhase(PhaseVerifying, "rejoined as a non-voter")
	return nil
}

// diskFailed is called when the disk log stops after an error. After corruption a replica with peers requests to rejoin; after any
// other error it stops.
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

// recordRegainedVote records that the replica has become a voter again: it has applied all entries up to its join index, and its
// latest configuration lists it as a voter, so that configuration was written after it joined.
func (s *Store) recordRegainedVote(r *participation) {
	joinIndex := r.directory.State().JoinIndex
	if r.voter.Load() || r.raft.AppliedIndex() <= joinIndex {
		return
	}
	for _, m := range r.raft.GetConfiguration().Configuration().Servers {
		if string(m.ID) == s.o.ID && m.Suffrage == raft.Voter && r.directory.RecordVoter() == nil {
			r.voter.Store(true)
			s.o.Events.Info().Str("copy", s.o.ID).Uint64("joined", joinIndex).Msg("caught up and is a voter again")
		}
	}
}

// compareDigests makes all replicas compute a digest of one partition of their state at intervals, and compares the digests of
// the previous partition.
func (s *Store) compareDigests(r *participation) {
	nowMS := s.o.Steady.Now()
	s.mu.Lock()
	ownDigest, voters := s.fsm.latestDigest(), 0
	digests, lagging := map[string]rejoin.Digest{s.o.ID: ownDigest}, false
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
	divergent, split := rejoin.FindDivergent(ownDigest.Index, digests, voters)
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
		s.o.Events.Error().Uint64("at", ownDigest.Index).Uint64("part", ownDigest.Partition).Msg("replicas differ and no state has a majority: no further effects are begun")
	}
	for _, id := range divergent {
		s.o.Events.Error().Str("copy", id).Uint64("at", ownDigest.Index).Uint64("part", ownDigest.Partition).Msg("replica state differs from the majority")
		if id == s.o.ID {
			if err := s.stopParticipating(true); err == nil {
				s.requestRejoin("the state of this replica differs from that of a majority")
			} else {
				s.diskFailed(err)
			}
			return
		}
	}
	if due {
		s.Propose(state.Command{Op: state.OpCompareDigests, Seq: partition}) // the result is not awaited: claims carry the digests
	}
}

// updateVoters demotes voters that request to rejoin, and promotes non-voters that have caught up.
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
			s.o.Events.Warn().Str("copy", id).Err(err).Msg("demoted to non-voter until it has caught up")
		case m.Suffrage != raft.Voter:
			s.mu.Lock()
			ready := s.caughtUp[id]
			delete(s.caughtUp, id)
			s.mu.Unlock()
			if ready && r.directory.RecordSecondVoter() == nil {
				err := r.raft.AddVoter(m.ID, m.Address, 0, membershipChangeTimeout).Error()
				s.o.Events.Info().Str("copy", id).Err(err).Msg("caught up and promoted to voter")
			}
		}
	}
}

// serveClaims answers the claims of one peer.
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
		var c rejoin.Claim
		if err := r.Next(&c); err != nil {
			return
		}
		if id == "" {
			id = c.ID
		}
		if c.ID != id || s.o.Peers[c.ID] == "" || c.ID == s.o.ID || len(c.DirectoryID)+len(c.ProcessID)+len(c.ClusterName) > 96 {
			return // not one of this replica's peers
		}
		response, err := s.handleClaim(connID, c)
		if err != nil || frame.Send(conn, response, maxClaimBytes) != nil {
			return
		}
	}
}

// handleClaim verifies a claim and, on the leader, tracks how far a non-voter has caught up.
func (s *Store) handleClaim(connID uint64, c rejoin.Claim) (rejoin.Response, error) {
	v, m, r := s.clusterView(c.ID)
	_, isLeader := s.Leadership()
	s.mu.Lock()
	response, persist := s.verifier.HandleClaim(s.o.Steady.Now(), connID, c, v)
	s.peersChanged = s.peersChanged || !persist
	isLearner := isLeader && v.Members[c.ID] != (rejoin.Member{}) && !m.Voter && response.Verdict != rejoin.VerdictOtherAddress && response.Verdict != rejoin.VerdictOtherCluster
	if isLearner && response.Verdict == rejoin.VerdictAccepted && c.RejoinReason == "" {
		l := s.learners[c.ID]
		if l == nil {
			l = &rejoin.Learner{}
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
			return response, err
		}
	}
	s.wakeDecisionLoop()
	if isLearner && c.RejoinReason != "" {
		// Only committed changes count: a later committed entry proves that the demotion is committed.
		if err := r.raft.Barrier(writeTimeout).Error(); err == nil {
			response.JoinIndex = v.LastIndex
		}
	}
	return response, nil
}

// clusterView returns what this replica knows of the cluster, and of the member with the given id.
func (s *Store) clusterView(id string) (v rejoin.View, m rejoin.Member, r *participation) {
	r = s.active.Load()
	if r == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return rejoin.View{Bootstrapped: s.directory == nil || !s.joiner.Fresh || s.joiner.JoinIndex > 0, LastIndex: s.joiner.LastIndex, DirectoryID: s.joiner.DirectoryID, ClusterGeneration: s.joiner.ClusterGeneration, ClusterName: s.joiner.ClusterName}, m, nil
	}
	directory := r.directory.State()
	v.DirectoryID, v.ClusterGeneration, v.ClusterName = directory.DirectoryID, directory.ClusterGeneration, directory.ClusterName
	v.LastIndex = r.raft.LastIndex() // read before the configuration: any later promotion to voter has a higher index
	v.Bootstrapped, v.Members = v.LastIndex > 0, map[string]rejoin.Member{}
	for _, c := range r.raft.GetConfiguration().Configuration().Servers {
		v.Members[string(c.ID)] = rejoin.Member{Addr: string(c.Address), Voter: c.Suffrage == raft.Voter}
	}
	return v, v.Members[id], r
}

// savePeersIfChanged saves the known peers if they have changed.
func (s *Store) savePeersIfChanged() {
	s.mu.Lock()
	dirty := s.peersChanged
	s.mu.Unlock()
	if dirty {
		s.savePeers()
	}
}

// savePeers writes the known peers to the data directory.
func (s *Store) savePeers() error {
	s.savePeersMu.Lock()
	defer s.savePeersMu.Unlock()
	s.mu.Lock()
	directory, peers := s.directory, maps.Clone(s.verifier.Directories)
	s.peersChanged = false
	s.mu.Unlock()
	if directory == nil {
		return nil // this replica is not a voter, and without a directory that records the peers its responses do not count
	}
	return directory.RecordPeerDirectories(peers)
}

// Status describes a replica.
type Status struct {
	ID        string                `json:"id"`
	Addr      string                `json:"addr"`
	Phase     string                `json:"phase"`
	Reason    string                `json:"why,omitempty"`
	Leader    string                `json:"leader,omitempty"` // as this replica knows it
	IsLeader  bool                  `json:"leads"`
	Voter     bool                  `json:"votes"`
	Applied   uint64                `json:"applied"`
	Halted    bool                  `json:"halted,omitempty"` // replicas differ and no state has a majority, so no effect is begun
	Directory rejoin.DirectoryState `json:"mark"`
	Members   []Member              `json:"members,omitempty"`
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

// Status returns the replica's current status.
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
			var c rejoin.Claim
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

// QueryStatus requests the status of the replica at an address.
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
		return st, fmt.Errorf("store: status of %s: %w", address, err)
	}
	return st, nil
}

// Package rejoin decides whether a store replica may take part in its cluster with the data directory that it has. It does no I/O.
//
// A replica that votes after it has lost log entries can undo committed ones. Each replica therefore sends a Claim to its peers
// before it takes part, and repeatedly while it runs; each peer, as a verifier, remembers the latest claim. With that memory a
// plain restart is distinguished from a data directory that is older than the remembered one, an empty directory under a known id
// and a second process under the same id. A replica whose claim is contradicted has to rejoin as a non-voter, which
// replicates from the others until it has caught up.
package rejoin

import (
	"fmt"
	"maps"
	"slices"
)

// DirectoryState describes the data directory of a replica.
type DirectoryState struct {
	DirectoryID       string `json:"folder"` // random id, drawn when the directory was created
	OpenCount         uint64 `json:"life"`   // how often the directory was opened, including this time
	ProcessID         string `json:"proc"`   // random id of the process that has the directory open, drawn at its start
	Term              uint64 `json:"term"`   // the latest raft term known to the replica
	LastIndex         uint64 `json:"last"`   // log index of the last entry
	JoinIndex         uint64 `json:"joined"` // log index as of which it joined as a non-voter; 0: in use since bootstrap
	ClusterGeneration uint64 `json:"set"`    // how often operators have recovered the cluster
	ClusterName       string `json:"name"`   // the cluster's name; "": not known to this directory yet
}

// behind reports whether the directory lacks entries or terms that a later state of the same directory had.
func (s DirectoryState) behind(later DirectoryState) bool {
	return s.Term < later.Term || s.Term == later.Term && s.LastIndex < later.LastIndex
}

// Claim is what a replica reports about itself.
type Claim struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	DirectoryState
	Fresh        bool   `json:"fresh,omitempty"`  // nothing has ever been written to the directory
	RejoinReason string `json:"rejoin,omitempty"` // why the replica asks to rejoin; "": it does not
	Running      bool   `json:"runs,omitempty"`   // the replica takes part in the cluster
	Digest       Digest `json:"digest"`
}

// Digest is the digest of one partition of a replica's state as of a log index. All replicas digest the same partition at that
// index.
type Digest struct {
	Index     uint64 `json:"at"` // log index; 0: none yet
	Partition uint64 `json:"part"`
	Sum       uint64 `json:"sum"`
}

// FindDivergent returns the replicas whose state differs from that of a majority of the voters, by their digests as of the given
// log index, the latest one that the calling replica has digested. split reports that all voters have sent a digest, that these
// differ and that no majority agrees.
func FindDivergent(index uint64, digests map[string]Digest, voters int) (divergent []string, split bool) {
	sums := map[uint64]int{}
	received := 0
	for _, d := range digests {
		if d.Index == index && index > 0 {
			sums[d.Sum]++
			received++
		}
	}
	for sum, n := range sums {
		if 2*n <= voters {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(digests)) {
			if d := digests[id]; d.Index == index && d.Sum != sum {
				divergent = append(divergent, id)
			}
		}
		return divergent, false
	}
	return nil, len(sums) > 1 && received == voters
}

// Verdict is a verifier's judgement of a claim.
type Verdict string

// Verdicts.
const (
	VerdictAccepted         Verdict = "good"      // nothing that the verifier remembers contradicts the claim
	VerdictOutdated         Verdict = "older"     // the directory had a later state
	VerdictOtherDirectory   Verdict = "foreign"   // the vote belongs to another directory
	VerdictDuplicateProcess Verdict = "twin"      // another process with this id is alive
	VerdictProcessReplaced  Verdict = "replaced"  // another process has replaced this one
	VerdictOtherAddress     Verdict = "elsewhere" // the id is configured with another address
	VerdictOtherCluster     Verdict = "stranger"  // the directory belongs to another cluster
	VerdictNotMember        Verdict = "removed"   // the id is not a member of the cluster
	VerdictStateDiverged    Verdict = "differs"   // the replica's state differs from that of a majority
)

// Response is the response to a claim.
type Response struct {
	From              string  `json:"from"`
	Verdict           Verdict `json:"verdict"`
	Reason            string  `json:"why,omitempty"`
	Bootstrapped      bool    `json:"begun,omitempty"`  // the verifier belongs to a bootstrapped cluster
	JoinIndex         uint64  `json:"joined,omitempty"` // stated by a leader: the claimant is a non-voter as of this log index
	LastIndex         uint64  `json:"last,omitempty"`   // log index of the verifier's own last entry
	DirectoryID       string  `json:"folder,omitempty"` // id of the verifier's own directory
	KnowsDirectory    bool    `json:"knows,omitempty"`  // the verifier remembers this directory of the claimant
	ClusterGeneration uint64  `json:"set,omitempty"`    // as in DirectoryState, of the verifier's cluster
	ClusterName       string  `json:"name,omitempty"`   // name of the verifier's cluster
}

// Member is one replica in the configuration of a cluster.
type Member struct {
	Addr  string
	Voter bool
}

// View is what the verifier's own replica knows when a claim arrives.
type View struct {
	Bootstrapped      bool              // the replica belongs to a bootstrapped cluster
	Members           map[string]Member // the latest configuration of the cluster, by id; nil: not known
	LastIndex         uint64            // log index of the replica's last entry
	DirectoryID       string            // id of its directory
	ClusterGeneration uint64            // how often operators have recovered the cluster
	ClusterName       string            // name of its cluster
}

// AliveTimeoutMS is how long, in ms of the verifier's monotonic clock, a process is considered alive after its last claim while
// its connection is open.
const AliveTimeoutMS = 3000.0

// liveProcess is the process that currently holds the id of a replica, as far as the verifier knows.
type liveProcess struct {
	processID   string
	claim       Claim
	predecessor string  // the process that it replaced
	claimedMS   float64 // time of the latest claim
	conn        uint64  // connection of the latest claim
}

// Verifier is a replica's memory of its peers' claims. It is not safe for concurrent use.
type Verifier struct {
	ID          string
	Directories map[string]DirectoryState // by id; persisted by the caller

	live           map[string]liveProcess
	rejoinRequests map[string]rejoinRequest
	divergent      map[string]string // by id: directory of a replica whose state differs from that of a majority
}

// rejoinRequest is a claim with a RejoinReason and the time of its arrival.
type rejoinRequest struct {
	claim      Claim
	receivedMS float64
}

// NewVerifier returns a verifier with the memory that was persisted.
func NewVerifier(id string, directories map[string]DirectoryState) *Verifier {
	if directories == nil {
		directories = map[string]DirectoryState{}
	}
	return &Verifier{ID: id, Directories: directories, live: map[string]liveProcess{},
		rejoinRequests: map[string]rejoinRequest{}, divergent: map[string]string{}}
}

// HandleClaim judges a claim that arrived on a connection. persist reports that the claim is from another directory, process or
// opening than the remembered one: it must be on disk before the response is sent. Later terms and indexes may be persisted
// afterwards.
func (v *Verifier) HandleClaim(nowMS float64, conn uint64, c Claim, view View) (response Response, persist bool) {
	response = Response{From: v.ID, Verdict: VerdictAccepted, Bootstrapped: view.Bootstrapped, LastIndex: view.LastIndex,
		DirectoryID: view.DirectoryID, ClusterGeneration: view.ClusterGeneration, ClusterName: view.ClusterName}
	reject := func(verdict Verdict, format string, a ...any) (Response, bool) {
		response.Verdict, response.Reason = verdict, fmt.Sprintf(format, a...)
		return response, false
	}
	current := v.live[c.ID]
	switch {
	case current.processID == "" || current.processID == c.ProcessID:
	case current.predecessor == c.ProcessID:
		return reject(VerdictProcessReplaced, "process %s has replaced process %s", current.processID, c.ProcessID)
	case nowMS < current.claimedMS+AliveTimeoutMS:
		return reject(VerdictDuplicateProcess, "process %s of replica %s is alive", current.processID, c.ID)
	}
	m, listed := view.Members[c.ID]
	switch {
	case c.ClusterName != "" && view.ClusterName != "" && c.ClusterName != view.ClusterName:
		return reject(VerdictOtherCluster, "the data directory of %s belongs to cluster %s, not to %s", c.ID, c.ClusterName, view.ClusterName)
	case len(view.Members) > 0 && !listed:
		return reject(VerdictNotMember, "the cluster has no replica %s", c.ID)
	case listed && m.Addr != c.Addr:
		return reject(VerdictOtherAddress, "the address of %s is %s, not %s", c.ID, m.Addr, c.Addr)
	}
	next := liveProcess{processID: c.ProcessID, claim: c, predecessor: current.predecessor, claimedMS: nowMS, conn: conn}
	if current.processID != "" && current.processID != c.ProcessID {
		next.predecessor = current.processID
	}
	v.live[c.ID] = next
	delete(v.rejoinRequests, c.ID)
	previous, remembered := v.Directories[c.ID]
	response.KnowsDirectory = remembered && previous.DirectoryID == c.DirectoryID
	if c.RejoinReason != "" {
		v.rejoinRequests[c.ID] = rejoinRequest{c, nowMS}
	}
	voter := m.Voter || !listed
	switch {
	case c.ClusterGeneration < view.ClusterGeneration:
		return reject(VerdictOtherDirectory, "operators recovered the cluster (generation %d); this data directory is older",
			view.ClusterGeneration)
	case c.ClusterGeneration > view.ClusterGeneration:
		// This verifier does not know of the recovered cluster yet, so it cannot contradict the claim.
	case remembered && previous.DirectoryID != c.DirectoryID && c.JoinIndex <= previous.JoinIndex &&
		c.ClusterGeneration == previous.ClusterGeneration,
		!remembered && c.Fresh && c.JoinIndex == 0 && view.Bootstrapped && voter:
		return reject(VerdictOtherDirectory, "%s took part with another data directory", c.ID)
	case remembered && previous.DirectoryID == c.DirectoryID && previous.ProcessID != c.ProcessID &&
		c.OpenCount <= previous.OpenCount:
		return reject(VerdictOutdated, "the data directory of %s was opened %d times before, and this claim is of opening %d",
			c.ID, previous.OpenCount, c.OpenCount)
	case remembered && previous.DirectoryID == c.DirectoryID && previous.ProcessID != c.ProcessID && c.behind(previous):
		return reject(VerdictOutdated, "the data directory of %s had entry %d in term %d, and now ends at entry %d in term %d",
			c.ID, previous.LastIndex, previous.Term, c.LastIndex, c.Term)
	case v.divergent[c.ID] == c.DirectoryID && c.DirectoryID != "":
		return reject(VerdictStateDiverged, "the state of %s differs from that of a majority", c.ID)
	case c.RejoinReason != "":
		return response, false
	}
	v.Directories[c.ID] = c.DirectoryState
	return response, !remembered || previous.DirectoryID != c.DirectoryID || previous.OpenCount != c.OpenCount ||
		previous.ProcessID != c.ProcessID
}

// RememberDirectories records the directories with which a cluster is about to be bootstrapped, so that none of them is later
// mistaken for one that was emptied.
func (v *Verifier) RememberDirectories(directories map[string]string) {
	for id, directory := range directories {
		if _, remembered := v.Directories[id]; !remembered {
			v.Directories[id] = DirectoryState{DirectoryID: directory}
		}
	}
}

// ConnectionClosed records that a connection has ended. The kernel closes the connections of a process that ends, so the process
// counts as ended too.
func (v *Verifier) ConnectionClosed(id string, conn uint64) {
	if process := v.live[id]; process.conn == conn {
		delete(v.live, id)
		delete(v.rejoinRequests, id)
	}
}

// MarkDivergent records that a replica's state differs from that of a majority. Its claims are rejected until it has rejoined with
// another directory.
func (v *Verifier) MarkDivergent(id string) {
	if m, remembered := v.Directories[id]; remembered {
		v.divergent[id] = m.DirectoryID
	}
}

// RejoinRequests returns the ids of live replicas that have asked to rejoin. They may still be voters, but must not vote.
func (v *Verifier) RejoinRequests(nowMS float64) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(v.rejoinRequests)) {
		if nowMS < v.rejoinRequests[id].receivedMS+AliveTimeoutMS {
			ids = append(ids, id)
		}
	}
	return ids
}

// Decision is the next step of a replica that asks to take part.
type Decision int

// Decisions.
const (
	DecisionWait           Decision = iota
	DecisionStart                   // take part with the present directory
	DecisionBootstrap               // bootstrap a new cluster
	DecisionRequestRejoin           // ask to rejoin; the present directory is not used any more
	DecisionResetDirectory          // rejoined as a non-voter: quarantine the directory and continue with an empty one
	DecisionStop                    // stop: another process has replaced this one
)

func (d Decision) String() string {
	return [...]string{"wait", "start", "begin", "rejoin", "renew", "leave"}[d]
}

// Joiner decides whether a replica takes part, by the responses to its claim. It is not safe for concurrent use.
type Joiner struct {
	Claim
	Peers       []string // ids of the other replicas
	WaitElapsed bool     // every reachable peer has had time to respond
	SoleVoter   bool     // operators recovered the cluster from this directory, and no other replica has become a voter since
	Strict      bool     // require more responses, as described at RequiredResponses
	InjectedBug string   // an injected bug; "": none

	responses map[string]Response
}

// BugAnyDirectory is the injected bug of a replica that takes part with any directory.
const BugAnyDirectory = "any-folder"

// InjectedBugs lists the injected bugs of this package.
var InjectedBugs = []string{BugAnyDirectory}

// AddResponse records a response. Responses of replicas that are not peers are ignored.
func (j *Joiner) AddResponse(response Response) {
	if !slices.Contains(j.Peers, response.From) {
		return
	}
	if j.responses == nil {
		j.responses = map[string]Response{}
	}
	j.responses[response.From] = response
}

// ClearResponses discards all responses. It is called when the claim changes, since they apply to the previous one.
func (j *Joiner) ClearResponses() { j.responses = nil }

// RequiredResponses returns how many peers have to accept the claim. Together with the replica itself they are a majority, so one
// of them remembers this replica's latest claim that a majority knew of. Strict requires enough of them that one holds every entry
// that was committed with this replica's vote. That reduces availability: a second replica that is down keeps this one out.
func (j *Joiner) RequiredResponses() int {
	n := len(j.Peers)
	if j.SoleVoter {
		return 0
	}
	if j.Strict && n > 0 {
		return (n + 2) / 2
	}
	return (n + 1) / 2
}

// Decide returns the next step and the reason for it.
func (j *Joiner) Decide() (Decision, string) {
	if j.InjectedBug == BugAnyDirectory {
		if j.Fresh && j.LastIndex == 0 {
			return DecisionBootstrap, "planted"
		}
		return DecisionStart, "planted"
	}
	accepted, contradiction, bootstrapped, otherCluster, obstacle := 0, "", "", "", ""
	joinIndex, fresh := uint64(0), j.Fresh && j.JoinIndex == 0
	for _, id := range slices.Sorted(maps.Keys(j.responses)) {
		response := j.responses[id]
		if response.Bootstrapped && !response.KnowsDirectory && bootstrapped == "" {
			bootstrapped = id
		}
		joinIndex = max(joinIndex, response.JoinIndex)
		switch response.Verdict {
		case VerdictAccepted:
			if j.ClusterName == "" || response.ClusterName == j.ClusterName { // a verifier that belongs to no cluster yet remembers nothing
				accepted++
			}
		case VerdictOutdated, VerdictOtherDirectory, VerdictStateDiverged:
			// A verifier whose log ends before JoinIndex does not know yet that this replica rejoined with another directory.
			if contradiction == "" && (response.Verdict != VerdictOtherDirectory || response.LastIndex >= j.JoinIndex) {
				contradiction = id + ": " + response.Reason
			}
		case VerdictOtherCluster: // counts neither for nor against the claim
			otherCluster = id + ": " + response.Reason
		case VerdictProcessReplaced:
			return DecisionStop, id + ": " + response.Reason
		default:
			obstacle = id + ": " + response.Reason
		}
	}
	switch {
	case j.RejoinReason != "" && joinIndex > 0: // the leader's response decides, whatever the other peers respond
		return DecisionResetDirectory, j.RejoinReason
	case obstacle != "":
		return DecisionWait, obstacle
	case j.RejoinReason != "":
		return DecisionWait, "requests to rejoin: " + j.RejoinReason
	case contradiction != "":
		return DecisionRequestRejoin, contradiction
	case fresh && bootstrapped != "":
		return DecisionRequestRejoin, "the data directory is empty, and " + bootstrapped + " belongs to a bootstrapped cluster"
	case fresh && accepted == len(j.Peers):
		return DecisionBootstrap, "all replicas have responded, and none belongs to a cluster"
	case fresh:
		return DecisionWait, fmt.Sprintf("waits to bootstrap a new cluster until all other replicas accept the claim; %d of %d do", accepted, len(j.Peers))
	case otherCluster != "" && accepted < j.RequiredResponses():
		return DecisionWait, otherCluster
	case accepted >= j.RequiredResponses() && (accepted == len(j.Peers) || j.WaitElapsed):
		return DecisionStart, fmt.Sprintf("%d of %d other replicas accept the claim", accepted, len(j.Peers))
	}
	return DecisionWait, fmt.Sprintf("%d other replicas accept the claim; %d are required, and all of them during the initial wait",
		accepted, j.RequiredResponses())
}

// caughtUpReports is the number of consecutive reports at which a non-voter must have all entries that the leader had at the
// previous report.
const caughtUpReports = 2

// Learner is the leader's view of one non-voter.
type Learner struct {
	processID       string
	leaderLastIndex uint64 // log index of the leader's last entry at the previous report
	consecutive     int    // consecutive reports at which it had caught up
	LastIndex       uint64 // log index of the learner's last entry
	Lag             uint64 // number of entries that it lacks
}

// Report records a learner's latest claim and returns whether it has caught up: at two consecutive reports it had all entries
// that the leader had at the previous report. A learner that replicates slightly too slowly never catches up.
func (l *Learner) Report(c Claim, leaderLastIndex uint64) bool {
	if c.ProcessID != l.processID {
		*l = Learner{processID: c.ProcessID}
	}
	l.LastIndex, l.Lag = c.LastIndex, max(leaderLastIndex, c.LastIndex)-c.LastIndex
	switch {
	case !c.Running || c.RejoinReason != "" || l.leaderLastIndex == 0 || c.LastIndex < l.leaderLastIndex:
		l.consecutive = 0
	default:
		l.consecutive++
	}
	l.leaderLastIndex = leaderLastIndex
	return l.consecutive >= caughtUpReports
}

// LatestClaim returns the latest claim of the live process with the given id, if there is one.
func (v *Verifier) LatestClaim(id string, nowMS float64) (Claim, bool) {
	process := v.live[id]
	return process.claim, process.processID != "" && nowMS < process.claimedMS+AliveTimeoutMS
}

// PeerDirectories returns the directory ids that the peers sent, by peer.
func (j *Joiner) PeerDirectories() map[string]string {
	directories := map[string]string{}
	for id, response := range j.responses {
		directories[id] = response.DirectoryID
	}
	return directories
}

// JoinedState returns what the new directory of a rejoining replica has to record: the log index as of which a leader states that
// the replica is a non-voter, and the leader's cluster.
func (j *Joiner) JoinedState() (joined DirectoryState) {
	for _, response := range j.responses {
		if response.JoinIndex > joined.JoinIndex {
			joined = DirectoryState{JoinIndex: response.JoinIndex, ClusterGeneration: response.ClusterGeneration, ClusterName: response.ClusterName}
		}
	}
	return joined
}

// NewClusterName returns the name of the cluster that is about to be bootstrapped: the lowest directory id, so that all replicas
// derive the same name.
func (j *Joiner) NewClusterName() string {
	name := j.DirectoryID
	for _, response := range j.responses {
		name = min(name, response.DirectoryID)
	}
	return name
}

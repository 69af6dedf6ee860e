// Package admit decides whether a store replica may take part in its cluster with the data directory that it has. It does no I/O.
//
// A replica that votes after it has lost log entries can undo committed ones. Each replica therefore sends a Claim to its peers
// before it takes part, and repeatedly while it runs; each peer, as a verifier, remembers the latest claim. With that memory a
// plain restart is distinguished from a data directory that is older than the remembered one, an empty directory under a known id
// and a second process under the same id. A replica that is contradicted has to rejoin: as a non-voter that replicates from the
// others until it has caught up.
package admit

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
	JoinIndex         uint64 `json:"joined"` // log index as of which the directory joined as a non-voter; 0: it has been in use since bootstrap
	ClusterGeneration uint64 `json:"set"`    // how often operators have re-created the cluster
	ClusterName       string `json:"name"`   // the cluster's name; "": not known to this directory yet
}

// behind reports whether the directory lacks entries or terms that a later state of the same directory had.
func (m DirectoryState) behind(later DirectoryState) bool {
	return m.Term < later.Term || m.Term == later.Term && m.LastIndex < later.LastIndex
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

// FindDivergent returns the replicas whose state differs from that of a majority of the voters, by their digests as of the log index at,
// the latest one that the calling replica has digested. split reports that all voters have sent a digest, that these differ and
// that no majority agrees.
func FindDivergent(at uint64, of map[string]Digest, voters int) (odd []string, split bool) {
	sums := map[uint64]int{}
	heard := 0
	for _, d := range of {
		if d.Index == at && at > 0 {
			sums[d.Sum]++
			heard++
		}
	}
	for sum, n := range sums {
		if 2*n <= voters {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(of)) {
			if d := of[id]; d.Index == at && d.Sum != sum {
				odd = append(odd, id)
			}
		}
		return odd, false
	}
	return nil, len(sums) > 1 && heard == voters
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
	JoinIndex         uint64  `json:"joined,omitempty"` // a leader states: the claimant is a non-voter as of this log index; 0: not stated
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
	ClusterGeneration uint64            // how often operators have re-created the cluster
	ClusterName       string            // of its cluster
}

// AliveFor is how long, in ms of the verifier's monotonic clock, a process is considered alive after its last claim while its
// connection is open.
const AliveFor = 3000.0

type alive struct {
	proc   string
	claim  Claim
	before string  // the process that it replaced
	at     float64 // time of the latest claim
	conn   uint64
}

// Verifier is a replica's memory of its peers' claims. It is not safe for concurrent use.
type Verifier struct {
	Me          string
	Directories map[string]DirectoryState // by id; persisted by the caller

	alive map[string]alive
	asks  map[string]ask
	odd   map[string]string // by id: directory of a replica whose state differs from that of a majority
}

type ask struct {
	claim Claim
	at    float64
}

// NewVerifier returns a verifier with the memory that was persisted.
func NewVerifier(me string, marks map[string]DirectoryState) *Verifier {
	if marks == nil {
		marks = map[string]DirectoryState{}
	}
	return &Verifier{Me: me, Directories: marks, alive: map[string]alive{}, asks: map[string]ask{}, odd: map[string]string{}}
}

// HandleClaim judges a claim that arrived on a connection. keep reports that the claim is from another directory, process or opening
// than the remembered one: it must be on disk before the response is sent. Later terms and indexes may be persisted afterwards.
func (w *Verifier) HandleClaim(now float64, conn uint64, c Claim, v View) (word Response, keep bool) {
	word = Response{From: w.Me, Verdict: VerdictAccepted, Bootstrapped: v.Bootstrapped, LastIndex: v.LastIndex, DirectoryID: v.DirectoryID, ClusterGeneration: v.ClusterGeneration, ClusterName: v.ClusterName}
	say := func(verdict Verdict, format string, a ...any) (Response, bool) {
		word.Verdict, word.Reason = verdict, fmt.Sprintf(format, a...)
		return word, false
	}
	here := w.alive[c.ID]
	switch {
	case here.proc == "" || here.proc == c.ProcessID:
	case here.before == c.ProcessID:
		return say(VerdictProcessReplaced, "process %s has replaced process %s", here.proc, c.ProcessID)
	case now < here.at+AliveFor:
		return say(VerdictDuplicateProcess, "process %s of %s is alive", here.proc, c.ID)
	}
	m, known := v.Members[c.ID]
	switch {
	case c.ClusterName != "" && v.ClusterName != "" && c.ClusterName != v.ClusterName:
		return say(VerdictOtherCluster, "the folder of %s belongs to set %s, and this is %s", c.ID, c.ClusterName, v.ClusterName)
	case len(v.Members) > 0 && !known:
		return say(VerdictNotMember, "the cluster has no replica %s", c.ID)
	case known && m.Addr != c.Addr:
		return say(VerdictOtherAddress, "%s is at %s, not at %s", c.ID, m.Addr, c.Addr)
	}
	next := alive{proc: c.ProcessID, claim: c, before: here.before, at: now, conn: conn}
	if here.proc != "" && here.proc != c.ProcessID {
		next.before = here.proc
	}
	w.alive[c.ID] = next
	delete(w.asks, c.ID)
	mark, had := w.Directories[c.ID]
	word.KnowsDirectory = had && mark.DirectoryID == c.DirectoryID
	if c.RejoinReason != "" {
		w.asks[c.ID] = ask{c, now}
	}
	votes := m.Voter || !known
	switch {
	case c.ClusterGeneration < v.ClusterGeneration:
		return say(VerdictOtherDirectory, "operators re-created the cluster (generation %d); this data directory is older", v.ClusterGeneration)
	case c.ClusterGeneration > v.ClusterGeneration: // this verifier does not know of the re-created cluster yet, so it cannot contradict the claim
	case had && mark.DirectoryID != c.DirectoryID && c.JoinIndex <= mark.JoinIndex && c.ClusterGeneration == mark.ClusterGeneration, !had && c.Fresh && c.JoinIndex == 0 && v.Bootstrapped && votes:
		return say(VerdictOtherDirectory, "%s took part with another data directory", c.ID)
	case had && mark.DirectoryID == c.DirectoryID && mark.ProcessID != c.ProcessID && c.OpenCount <= mark.OpenCount:
		return say(VerdictOutdated, "the folder of %s was opened %d times, and this is the %d. of it", c.ID, mark.OpenCount, c.OpenCount)
	case had && mark.DirectoryID == c.DirectoryID && mark.ProcessID != c.ProcessID && c.behind(mark):
		return say(VerdictOutdated, "the folder of %s had entry %d in term %d, and this one has %d in %d", c.ID, mark.LastIndex, mark.Term, c.LastIndex, c.Term)
	case w.odd[c.ID] == c.DirectoryID && c.DirectoryID != "":
		return say(VerdictStateDiverged, "the state of %s differs from that of a majority", c.ID)
	case c.RejoinReason != "":
		return word, false
	}
	w.Directories[c.ID] = c.DirectoryState
	return word, !had || mark.DirectoryID != c.DirectoryID || mark.OpenCount != c.OpenCount || mark.ProcessID != c.ProcessID
}

// RememberDirectories remembers the directories with which a cluster is about to be bootstrapped, so that none of them is later mistaken for one
// that was emptied.
func (w *Verifier) RememberDirectories(folders map[string]string) {
	for id, folder := range folders {
		if _, had := w.Directories[id]; !had {
			w.Directories[id] = DirectoryState{DirectoryID: folder}
		}
	}
}

// ConnectionClosed records that a connection has ended. The kernel closes the connections of a process that ends, so the process counts as
// ended too.
func (w *Verifier) ConnectionClosed(id string, conn uint64) {
	if a := w.alive[id]; a.conn == conn {
		delete(w.alive, id)
		delete(w.asks, id)
	}
}

// MarkDivergent records that a replica's state differs from that of a majority. Its claims are rejected until it has rejoined with
// another directory.
func (w *Verifier) MarkDivergent(id string) {
	if m, had := w.Directories[id]; had {
		w.odd[id] = m.DirectoryID
	}
}

// RejoinRequests returns the ids of live replicas that have asked to rejoin. They may still be voters, but must not vote.
func (w *Verifier) RejoinRequests(now float64) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(w.asks)) {
		if now < w.asks[id].at+AliveFor {
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
	SoleVoter   bool     // operators re-created the cluster from this directory, and no other replica has become a voter since
	Strict      bool     // require more responses, as described at RequiredResponses
	InjectedBug string   // an injected bug; "": none

	words map[string]Response
}

// PlantAnyFolder is the injected bug of a replica that takes part with any directory.
const PlantAnyFolder = "any-folder"

// InjectedBugs lists the injected bugs of this package.
var InjectedBugs = []string{PlantAnyFolder}

// AddResponse records a response. Responses of replicas that are not peers are ignored.
func (s *Joiner) AddResponse(w Response) {
	if !slices.Contains(s.Peers, w.From) {
		return
	}
	if s.words == nil {
		s.words = map[string]Response{}
	}
	s.words[w.From] = w
}

// ClearResponses discards all responses. It is called when the claim changes, since they apply to the previous one.
func (s *Joiner) ClearResponses() { s.words = nil }

// Need returns how many peers have to accept the claim. Together with the replica itself they are a majority, so one of them
// remembers this replica's latest claim that a majority knew of. Strict requires enough of them that one holds every entry that
// was committed with this replica's vote. That reduces availability: a second replica that is down keeps this one out.
func (s *Joiner) Need() int {
	n := len(s.Peers)
	if s.SoleVoter {
		return 0
	}
	if s.Strict && n > 0 {
		return (n + 2) / 2
	}
	return (n + 1) / 2
}

// Decide returns the next step and the reason for it.
func (s *Joiner) Decide() (Decision, string) {
	if s.InjectedBug == PlantAnyFolder {
		if s.Fresh && s.LastIndex == 0 {
			return DecisionBootstrap, "planted"
		}
		return DecisionStart, "planted"
	}
	agree, against, begun, stranger, kept := 0, "", "", "", ""
	joined, fresh := uint64(0), s.Fresh && s.JoinIndex == 0
	for _, id := range slices.Sorted(maps.Keys(s.words)) {
		w := s.words[id]
		if w.Bootstrapped && !w.KnowsDirectory && begun == "" {
			begun = id
		}
		joined = max(joined, w.JoinIndex)
		switch w.Verdict {
		case VerdictAccepted:
			if s.ClusterName == "" || w.ClusterName == s.ClusterName { // a verifier that belongs to no cluster yet remembers nothing
				agree++
			}
		case VerdictOutdated, VerdictOtherDirectory, VerdictStateDiverged:
			if against == "" && (w.Verdict != VerdictOtherDirectory || w.LastIndex >= s.JoinIndex) { // else it does not know yet that this one rejoined
				against = id + ": " + w.Reason
			}
		case VerdictOtherCluster: // counts neither for nor against the claim
			stranger = id + ": " + w.Reason
		case VerdictProcessReplaced:
			return DecisionStop, id + ": " + w.Reason
		default:
			kept = id + ": " + w.Reason
		}
	}
	switch {
	case s.RejoinReason != "" && joined > 0: // the leader's response decides, whatever the other peers respond
		return DecisionResetDirectory, s.RejoinReason
	case kept != "":
		return DecisionWait, kept
	case s.RejoinReason != "":
		return DecisionWait, "requests to rejoin: " + s.RejoinReason
	case against != "":
		return DecisionRequestRejoin, against
	case fresh && begun != "":
		return DecisionRequestRejoin, "the data directory is empty, and " + begun + " belongs to a bootstrapped cluster"
	case fresh && agree == len(s.Peers):
		return DecisionBootstrap, "all replicas have responded, and none belongs to a cluster"
	case fresh:
		return DecisionWait, fmt.Sprintf("a new set begins once all other copies are heard; %d of %d are", agree, len(s.Peers))
	case stranger != "" && agree < s.Need():
		return DecisionWait, stranger
	case agree >= s.Need() && (agree == len(s.Peers) || s.WaitElapsed):
		return DecisionStart, fmt.Sprintf("%d of %d other replicas accept the claim", agree, len(s.Peers))
	}
	return DecisionWait, fmt.Sprintf("%d other replicas accept the claim; %d are required, and all of them during the initial wait", agree, s.Need())
}

// caughtUpFor is the number of consecutive reports at which a non-voter must have all entries that the leader had at the
// previous report.
const caughtUpFor = 2

// Learner is the leader's view of one non-voter.
type Learner struct {
	proc      string
	mine      uint64 // log index of the leader's last entry at the previous report
	good      int    // consecutive reports at which it had caught up
	LastIndex uint64 // log index of the learner's last entry
	Lag       uint64 // number of entries that it lacks
}

// Report records a learner's latest claim and returns whether it has caught up: at two consecutive reports it had all entries
// that the leader had at the previous report. A learner that replicates slightly too slowly never catches up.
func (l *Learner) Report(c Claim, mine uint64) bool {
	if c.ProcessID != l.proc {
		*l = Learner{proc: c.ProcessID}
	}
	l.LastIndex, l.Lag = c.LastIndex, max(mine, c.LastIndex)-c.LastIndex
	switch {
	case !c.Running || c.RejoinReason != "" || l.mine == 0 || c.LastIndex < l.mine:
		l.good = 0
	default:
		l.good++
	}
	l.mine = mine
	return l.good >= caughtUpFor
}

// LatestClaim returns the latest claim of the live process with the given id, if there is one.
func (w *Verifier) LatestClaim(id string, now float64) (Claim, bool) {
	a := w.alive[id]
	return a.claim, a.proc != "" && now < a.at+AliveFor
}

// PeerDirectories returns the directory ids that the peers sent, by peer.
func (s *Joiner) PeerDirectories() map[string]string {
	of := map[string]string{}
	for id, w := range s.words {
		of[id] = w.DirectoryID
	}
	return of
}

// JoinedState returns what the new directory of a rejoining replica has to record: the log index as of which a leader states that
// the replica is a non-voter, and the leader's cluster.
func (s *Joiner) JoinedState() (m DirectoryState) {
	for _, w := range s.words {
		if w.JoinIndex > m.JoinIndex {
			m = DirectoryState{JoinIndex: w.JoinIndex, ClusterGeneration: w.ClusterGeneration, ClusterName: w.ClusterName}
		}
	}
	return m
}

// NewClusterName returns the name of the cluster that is about to be bootstrapped: the lowest directory id, so that all replicas
// derive the same name.
func (s *Joiner) NewClusterName() string {
	name := s.DirectoryID
	for _, w := range s.words {
		name = min(name, w.DirectoryID)
	}
	return name
}

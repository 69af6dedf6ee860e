// Package admit decides whether a copy of the store may take part with the folder that it has. It is free of I/O.
//
// A copy that votes on what it has forgotten can undo what was agreed on. So before it takes part each copy makes a Claim to
// the others, again and again while it runs, and each of them remembers the latest: a Witness. A folder that is older than what
// a witness remembers, an empty one under a known id and a second process under one id are told from a plain restart by that
// memory. Who is contradicted has to join anew: without a vote, from the others, until it has what they have.
package admit

import (
	"fmt"
	"maps"
	"slices"
)

// DirectoryState is what a copy has on its disk.
type DirectoryState struct {
	DirectoryID       string `json:"folder"` // drawn when the folder was made
	OpenCount         uint64 `json:"life"`   // how often the folder was opened, this time included
	ProcessID         string `json:"proc"`   // drawn at the start of the process that has it open
	Term              uint64 `json:"term"`   // the latest term that it knows of
	LastIndex         uint64 `json:"last"`   // the position of its last entry
	JoinIndex         uint64 `json:"joined"` // the position as of which the folder was joined without a vote; 0: it began with the set
	ClusterGeneration uint64 `json:"set"`    // how often operators began the set anew
	ClusterName       string `json:"name"`   // of the set; "": the folder has never been told
}

// behind tells whether a folder lacks something that a later state of the same one had.
func (m DirectoryState) behind(later DirectoryState) bool {
	return m.Term < later.Term || m.Term == later.Term && m.LastIndex < later.LastIndex
}

// Claim is what a copy says of itself.
type Claim struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	DirectoryState
	Fresh        bool   `json:"fresh,omitempty"`  // nothing was ever written to the folder
	RejoinReason string `json:"rejoin,omitempty"` // it asks to be joined anew, and why; "": it does not
	Running      bool   `json:"runs,omitempty"`   // it takes part
	Digest       Digest `json:"digest"`
}

// Digest is what a copy made of a part of its state at a position of the log, at which all copies look at the same part.
type Digest struct {
	Index     uint64 `json:"at"` // 0: none yet
	Partition uint64 `json:"part"`
	Sum       uint64 `json:"sum"`
}

// FindDivergent tells which copies' state differs from that of a majority of the voters, by their digests at the latest position that
// the asking copy has looked at. split: they differ, and no majority has one state.
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

// Verdict is what a witness makes of a claim.
type Verdict string

// Verdicts.
const (
	VerdictAccepted         Verdict = "good"      // nothing that the witness remembers speaks against it
	VerdictOutdated         Verdict = "older"     // the folder had more
	VerdictOtherDirectory   Verdict = "foreign"   // another folder had the vote
	VerdictDuplicateProcess Verdict = "twin"      // another process of this id is alive
	VerdictProcessReplaced  Verdict = "replaced"  // another process has taken this one's place
	VerdictOtherAddress     Verdict = "elsewhere" // the id belongs to another address
	VerdictOtherCluster     Verdict = "stranger"  // the folder belongs to another set
	VerdictNotMember        Verdict = "removed"   // the set has no such id any more
	VerdictStateDiverged    Verdict = "differs"   // the copy's state differs from that of a majority
)

// Response is the answer to a claim.
type Response struct {
	From              string  `json:"from"`
	Verdict           Verdict `json:"verdict"`
	Reason            string  `json:"why,omitempty"`
	Bootstrapped      bool    `json:"begun,omitempty"`  // the witness belongs to a set that has begun
	JoinIndex         uint64  `json:"joined,omitempty"` // the witness leads, and the claimant has no vote as of this position; 0: it does not say so
	LastIndex         uint64  `json:"last,omitempty"`   // the witness's own last entry
	DirectoryID       string  `json:"folder,omitempty"` // the witness's own
	KnowsDirectory    bool    `json:"knows,omitempty"`  // it remembers this very folder of the claimant
	ClusterGeneration uint64  `json:"set,omitempty"`    // how often operators began the witness's set anew
	ClusterName       string  `json:"name,omitempty"`   // the name of its set
}

// Member is one copy of a set as a configuration has it.
type Member struct {
	Addr  string
	Voter bool
}

// View is what a witness's own copy knows when it hears a claim.
type View struct {
	Bootstrapped      bool              // it belongs to a set that has begun
	Members           map[string]Member // the set's latest configuration; nil: it knows none
	LastIndex         uint64
	DirectoryID       string // its own
	ClusterGeneration uint64 // how often operators began the set anew
	ClusterName       string // of its set
}

// AliveTimeoutMS is how long, in ms of the witness's steady clock, a process that says nothing more is taken for alive while its
// connection stands.
const AliveTimeoutMS = 3000.0

type liveProcess struct {
	processID   string
	claim       Claim
	predecessor string // the process whose place it took
	claimedMS   float64
	conn        uint64
}

// Verifier is a copy's memory of the others. It is not safe for concurrent use.
type Verifier struct {
	ID          string
	Directories map[string]DirectoryState // by id; kept on disk

	live           map[string]liveProcess
	rejoinRequests map[string]rejoinRequest
	divergent      map[string]string // by id: folders whose copies differ from a majority
}

type rejoinRequest struct {
	claim      Claim
	receivedMS float64
}

// NewVerifier remembers what its folder kept.
func NewVerifier(id string, directories map[string]DirectoryState) *Verifier {
	if directories == nil {
		directories = map[string]DirectoryState{}
	}
	return &Verifier{ID: id, Directories: directories, live: map[string]liveProcess{}, rejoinRequests: map[string]rejoinRequest{}, divergent: map[string]string{}}
}

// HandleClaim takes a claim that came on a connection. keep: another folder, life or process is remembered now, and has to be on the
// witness's disk before the answer goes out; what only grew may follow later.
func (w *Verifier) HandleClaim(nowMS float64, conn uint64, c Claim, v View) (response Response, persist bool) {
	response = Response{From: w.ID, Verdict: VerdictAccepted, Bootstrapped: v.Bootstrapped, LastIndex: v.LastIndex, DirectoryID: v.DirectoryID, ClusterGeneration: v.ClusterGeneration, ClusterName: v.ClusterName}
	reject := func(verdict Verdict, format string, a ...any) (Response, bool) {
		response.Verdict, response.Reason = verdict, fmt.Sprintf(format, a...)
		return response, false
	}
	current := w.live[c.ID]
	switch {
	case current.processID == "" || current.processID == c.ProcessID:
	case current.predecessor == c.ProcessID:
		return reject(VerdictProcessReplaced, "process %s has taken the place of %s", current.processID, c.ProcessID)
	case nowMS < current.claimedMS+AliveTimeoutMS:
		return reject(VerdictDuplicateProcess, "process %s of %s is alive", current.processID, c.ID)
	}
	m, listed := v.Members[c.ID]
	switch {
	case c.ClusterName != "" && v.ClusterName != "" && c.ClusterName != v.ClusterName:
		return reject(VerdictOtherCluster, "the folder of %s belongs to set %s, and this is %s", c.ID, c.ClusterName, v.ClusterName)
	case len(v.Members) > 0 && !listed:
		return reject(VerdictNotMember, "the set has no copy %s", c.ID)
	case listed && m.Addr != c.Addr:
		return reject(VerdictOtherAddress, "%s is at %s, not at %s", c.ID, m.Addr, c.Addr)
	}
	next := liveProcess{processID: c.ProcessID, claim: c, predecessor: current.predecessor, claimedMS: nowMS, conn: conn}
	if current.processID != "" && current.processID != c.ProcessID {
		next.predecessor = current.processID
	}
	w.live[c.ID] = next
	delete(w.rejoinRequests, c.ID)
	previous, remembered := w.Directories[c.ID]
	response.KnowsDirectory = remembered && previous.DirectoryID == c.DirectoryID
	if c.RejoinReason != "" {
		w.rejoinRequests[c.ID] = rejoinRequest{c, nowMS}
	}
	voter := m.Voter || !listed
	switch {
	case c.ClusterGeneration < v.ClusterGeneration:
		return reject(VerdictOtherDirectory, "operators began the set anew, for the %d. time, and this folder is from before", v.ClusterGeneration)
	case c.ClusterGeneration > v.ClusterGeneration: // this witness has not heard of that yet, and has nothing to say against it
	case remembered && previous.DirectoryID != c.DirectoryID && c.JoinIndex <= previous.JoinIndex && c.ClusterGeneration == previous.ClusterGeneration, !remembered && c.Fresh && c.JoinIndex == 0 && v.Bootstrapped && voter:
		return reject(VerdictOtherDirectory, "%s had its place with another folder", c.ID)
	case remembered && previous.DirectoryID == c.DirectoryID && previous.ProcessID != c.ProcessID && c.OpenCount <= previous.OpenCount:
		return reject(VerdictOutdated, "the folder of %s was opened %d times, and this is the %d. of it", c.ID, previous.OpenCount, c.OpenCount)
	case remembered && previous.DirectoryID == c.DirectoryID && previous.ProcessID != c.ProcessID && c.behind(previous):
		return reject(VerdictOutdated, "the folder of %s had entry %d in term %d, and this one has %d in %d", c.ID, previous.LastIndex, previous.Term, c.LastIndex, c.Term)
	case w.divergent[c.ID] == c.DirectoryID && c.DirectoryID != "":
		return reject(VerdictStateDiverged, "the state of %s differs from that of a majority", c.ID)
	case c.RejoinReason != "":
		return response, false
	}
	w.Directories[c.ID] = c.DirectoryState
	return response, !remembered || previous.DirectoryID != c.DirectoryID || previous.OpenCount != c.OpenCount || previous.ProcessID != c.ProcessID
}

// RememberDirectories remembers the folders with which a new set is about to begin, so that none of them is taken for one that was emptied.
func (w *Verifier) RememberDirectories(directories map[string]string) {
	for id, directory := range directories {
		if _, remembered := w.Directories[id]; !remembered {
			w.Directories[id] = DirectoryState{DirectoryID: directory}
		}
	}
}

// ConnectionClosed tells that a connection of claims has ended: the kernel ends those of a process that is gone.
func (w *Verifier) ConnectionClosed(id string, conn uint64) {
	if a := w.live[id]; a.conn == conn {
		delete(w.live, id)
		delete(w.rejoinRequests, id)
	}
}

// MarkDivergent notes that a copy differs from a majority: it is told so until it has joined anew.
func (w *Verifier) MarkDivergent(id string) {
	if m, remembered := w.Directories[id]; remembered {
		w.divergent[id] = m.DirectoryID
	}
}

// RejoinRequests lists the ids that asked of late to be joined anew, and still have a vote that they may not use.
func (w *Verifier) RejoinRequests(nowMS float64) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(w.rejoinRequests)) {
		if nowMS < w.rejoinRequests[id].receivedMS+AliveTimeoutMS {
			ids = append(ids, id)
		}
	}
	return ids
}

// Decision is what a copy that seeks to take part does next.
type Decision int

// Decisions.
const (
	DecisionWait           Decision = iota
	DecisionStart                   // with the folder that it has
	DecisionBootstrap               // a new set
	DecisionRequestRejoin           // ask to be joined anew; the folder is not used any more
	DecisionResetDirectory          // joined, without a vote: the folder is set aside, and an empty one takes its place
	DecisionStop                    // another process has taken its place
)

func (d Decision) String() string {
	return [...]string{"wait", "start", "begin", "rejoin", "renew", "leave"}[d]
}

// Joiner decides for a copy that is about to take part. It is not safe for concurrent use.
type Joiner struct {
	Claim
	Peers       []string // the ids of the other copies
	WaitElapsed bool     // long enough for all that are there to be heard
	SoleVoter   bool     // operators began the set anew with this folder, and nobody else has got a vote since
	Strict      bool     // more of them have to be heard: enough that one has what was agreed on with this copy's word
	InjectedBug string   // a planted bug; "": none

	responses map[string]Response
}

// BugAnyDirectory is the planted bug of a copy that starts with whatever folder it has.
const BugAnyDirectory = "any-folder"

// InjectedBugs are all of this package.
var InjectedBugs = []string{BugAnyDirectory}

// AddResponse takes a word in.
func (s *Joiner) AddResponse(w Response) {
	if !slices.Contains(s.Peers, w.From) {
		return
	}
	if s.responses == nil {
		s.responses = map[string]Response{}
	}
	s.responses[w.From] = w
}

// ClearResponses forgets the words: the claim is another now, and what was said of the one before says nothing of it.
func (s *Joiner) ClearResponses() { s.responses = nil }

// RequiredResponses is how many of the others have to be heard. With the copy itself that is a majority, so where the others run, one of
// them remembers this copy's latest claim that a majority knew of. Strict asks for so many that one of them holds whatever was
// agreed on with this copy's word, which costs service: a second copy that is down keeps this one out.
func (s *Joiner) RequiredResponses() int {
	n := len(s.Peers)
	if s.SoleVoter {
		return 0
	}
	if s.Strict && n > 0 {
		return (n + 2) / 2
	}
	return (n + 1) / 2
}

// Decide tells what to do, and why.
func (s *Joiner) Decide() (Decision, string) {
	if s.InjectedBug == BugAnyDirectory {
		if s.Fresh && s.LastIndex == 0 {
			return DecisionBootstrap, "planted"
		}
		return DecisionStart, "planted"
	}
	accepted, contradiction, bootstrapped, otherCluster, obstacle := 0, "", "", "", ""
	joinIndex, fresh := uint64(0), s.Fresh && s.JoinIndex == 0
	for _, id := range slices.Sorted(maps.Keys(s.responses)) {
		w := s.responses[id]
		if w.Bootstrapped && !w.KnowsDirectory && bootstrapped == "" {
			bootstrapped = id
		}
		joinIndex = max(joinIndex, w.JoinIndex)
		switch w.Verdict {
		case VerdictAccepted:
			if s.ClusterName == "" || w.ClusterName == s.ClusterName { // one that belongs to no set yet has nothing to remember
				accepted++
			}
		case VerdictOutdated, VerdictOtherDirectory, VerdictStateDiverged:
			if contradiction == "" && (w.Verdict != VerdictOtherDirectory || w.LastIndex >= s.JoinIndex) { // else it has not heard yet that this one joined anew
				contradiction = id + ": " + w.Reason
			}
		case VerdictOtherCluster: // of no weight, one way or the other
			otherCluster = id + ": " + w.Reason
		case VerdictProcessReplaced:
			return DecisionStop, id + ": " + w.Reason
		default:
			obstacle = id + ": " + w.Reason
		}
	}
	switch {
	case s.RejoinReason != "" && joinIndex > 0: // a leader's word, whatever the others say
		return DecisionResetDirectory, s.RejoinReason
	case obstacle != "":
		return DecisionWait, obstacle
	case s.RejoinReason != "":
		return DecisionWait, "asks to be joined anew: " + s.RejoinReason
	case contradiction != "":
		return DecisionRequestRejoin, contradiction
	case fresh && bootstrapped != "":
		return DecisionRequestRejoin, "the folder is empty, and " + bootstrapped + " belongs to a set that has begun"
	case fresh && accepted == len(s.Peers):
		return DecisionBootstrap, "all copies are there, and none belongs to a set"
	case fresh:
		return DecisionWait, fmt.Sprintf("a new set begins once all other copies are heard; %d of %d are", accepted, len(s.Peers))
	case otherCluster != "" && accepted < s.RequiredResponses():
		return DecisionWait, otherCluster
	case accepted >= s.RequiredResponses() && (accepted == len(s.Peers) || s.WaitElapsed):
		return DecisionStart, fmt.Sprintf("%d of %d others say nothing against it", accepted, len(s.Peers))
	}
	return DecisionWait, fmt.Sprintf("%d others are heard; %d have to be, or all who are there", accepted, s.RequiredResponses())
}

// caughtUpReports is in how many reports running a copy without a vote has to have what the leader had at the report before.
const caughtUpReports = 2

// Learner is the leader's view of one copy without a vote.
type Learner struct {
	processID       string
	leaderLastIndex uint64 // the leader's last entry at the report before
	consecutive     int
	LastIndex       uint64 // what the learner has
	Lag             uint64 // entries that it lacks
}

// Report takes a learner's latest claim and tells whether it has caught up: it has all that the leader had a report ago, two
// times running. One that is always just too slow never has.
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

// LatestClaim is the claim that a live process of an id made last.
func (w *Verifier) LatestClaim(id string, nowMS float64) (Claim, bool) {
	a := w.live[id]
	return a.claim, a.processID != "" && nowMS < a.claimedMS+AliveTimeoutMS
}

// PeerDirectories are those of the others, as they said.
func (s *Joiner) PeerDirectories() map[string]string {
	directories := map[string]string{}
	for id, w := range s.responses {
		directories[id] = w.DirectoryID
	}
	return directories
}

// JoinedState is what the new folder of a copy that joined anew has to know: the position as of which a leader says that it joined
// without a vote, and of which set.
func (s *Joiner) JoinedState() (m DirectoryState) {
	for _, w := range s.responses {
		if w.JoinIndex > m.JoinIndex {
			m = DirectoryState{JoinIndex: w.JoinIndex, ClusterGeneration: w.ClusterGeneration, ClusterName: w.ClusterName}
		}
	}
	return m
}

// NewClusterName is the name of the set that is about to begin: all of its copies come to the same.
func (s *Joiner) NewClusterName() string {
	name := s.DirectoryID
	for _, w := range s.responses {
		name = min(name, w.DirectoryID)
	}
	return name
}

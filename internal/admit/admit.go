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

// Mark describes the data directory of a replica.
type Mark struct {
	Folder string `json:"folder"` // random id, drawn when the directory was created
	Life   uint64 `json:"life"`   // how often the directory was opened, including this time
	Proc   string `json:"proc"`   // random id of the process that has the directory open, drawn at its start
	Term   uint64 `json:"term"`   // the latest raft term known to the replica
	Last   uint64 `json:"last"`   // log index of the last entry
	Joined uint64 `json:"joined"` // log index as of which the directory joined as a non-voter; 0: it has been in use since bootstrap
	Set    uint64 `json:"set"`    // how often operators have re-created the cluster
	Name   string `json:"name"`   // the cluster's name; "": not known to this directory yet
}

// behind reports whether the directory lacks entries or terms that a later state of the same directory had.
func (m Mark) behind(later Mark) bool {
	return m.Term < later.Term || m.Term == later.Term && m.Last < later.Last
}

// Claim is what a replica reports about itself.
type Claim struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Mark
	Fresh  bool   `json:"fresh,omitempty"`  // nothing has ever been written to the directory
	Rejoin string `json:"rejoin,omitempty"` // why the replica asks to rejoin; "": it does not
	Runs   bool   `json:"runs,omitempty"`   // the replica takes part in the cluster
	Digest Digest `json:"digest"`
}

// Digest is the digest of one partition of a replica's state as of a log index. All replicas digest the same partition at that
// index.
type Digest struct {
	At   uint64 `json:"at"` // log index; 0: none yet
	Part uint64 `json:"part"`
	Sum  uint64 `json:"sum"`
}

// Differ returns the replicas whose state differs from that of a majority of the voters, by their digests as of the log index at,
// the latest one that the calling replica has digested. split reports that all voters have sent a digest, that these differ and
// that no majority agrees.
func Differ(at uint64, of map[string]Digest, voters int) (odd []string, split bool) {
	sums := map[uint64]int{}
	heard := 0
	for _, d := range of {
		if d.At == at && at > 0 {
			sums[d.Sum]++
			heard++
		}
	}
	for sum, n := range sums {
		if 2*n <= voters {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(of)) {
			if d := of[id]; d.At == at && d.Sum != sum {
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
	Good      Verdict = "good"      // nothing that the verifier remembers contradicts the claim
	Older     Verdict = "older"     // the directory had a later state
	Foreign   Verdict = "foreign"   // the vote belongs to another directory
	Twin      Verdict = "twin"      // another process with this id is alive
	Replaced  Verdict = "replaced"  // another process has replaced this one
	Elsewhere Verdict = "elsewhere" // the id is configured with another address
	Stranger  Verdict = "stranger"  // the directory belongs to another cluster
	Removed   Verdict = "removed"   // the id is not a member of the cluster
	Differs   Verdict = "differs"   // the replica's state differs from that of a majority
)

// Word is the response to a claim.
type Word struct {
	From    string  `json:"from"`
	Verdict Verdict `json:"verdict"`
	Why     string  `json:"why,omitempty"`
	Begun   bool    `json:"begun,omitempty"`  // the verifier belongs to a bootstrapped cluster
	Joined  uint64  `json:"joined,omitempty"` // a leader states: the claimant is a non-voter as of this log index; 0: not stated
	Last    uint64  `json:"last,omitempty"`   // log index of the verifier's own last entry
	Folder  string  `json:"folder,omitempty"` // id of the verifier's own directory
	Knows   bool    `json:"knows,omitempty"`  // the verifier remembers this directory of the claimant
	Set     uint64  `json:"set,omitempty"`    // as in DirectoryState, of the verifier's cluster
	Name    string  `json:"name,omitempty"`   // name of the verifier's cluster
}

// Member is one replica in the configuration of a cluster.
type Member struct {
	Addr  string
	Votes bool
}

// View is what the verifier's own replica knows when a claim arrives.
type View struct {
	Begun  bool              // the replica belongs to a bootstrapped cluster
	Of     map[string]Member // the latest configuration of the cluster, by id; nil: not known
	Last   uint64            // log index of the replica's last entry
	Folder string            // id of its directory
	Set    uint64            // how often operators have re-created the cluster
	Name   string            // of its cluster
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

// Witness is a replica's memory of its peers' claims. It is not safe for concurrent use.
type Witness struct {
	Me    string
	Marks map[string]Mark // by id; persisted by the caller

	alive map[string]alive
	asks  map[string]ask
	odd   map[string]string // by id: directory of a replica whose state differs from that of a majority
}

type ask struct {
	claim Claim
	at    float64
}

// NewWitness returns a verifier with the memory that was persisted.
func NewWitness(me string, marks map[string]Mark) *Witness {
	if marks == nil {
		marks = map[string]Mark{}
	}
	return &Witness{Me: me, Marks: marks, alive: map[string]alive{}, asks: map[string]ask{}, odd: map[string]string{}}
}

// Hear judges a claim that arrived on a connection. keep reports that the claim is from another directory, process or opening
// than the remembered one: it must be on disk before the response is sent. Later terms and indexes may be persisted afterwards.
func (w *Witness) Hear(now float64, conn uint64, c Claim, v View) (word Word, keep bool) {
	word = Word{From: w.Me, Verdict: Good, Begun: v.Begun, Last: v.Last, Folder: v.Folder, Set: v.Set, Name: v.Name}
	say := func(verdict Verdict, format string, a ...any) (Word, bool) {
		word.Verdict, word.Why = verdict, fmt.Sprintf(format, a...)
		return word, false
	}
	here := w.alive[c.ID]
	switch {
	case here.proc == "" || here.proc == c.Proc:
	case here.before == c.Proc:
		return say(Replaced, "process %s has replaced process %s", here.proc, c.Proc)
	case now < here.at+AliveFor:
		return say(Twin, "process %s of %s is alive", here.proc, c.ID)
	}
	m, known := v.Of[c.ID]
	switch {
	case c.Name != "" && v.Name != "" && c.Name != v.Name:
		return say(Stranger, "the folder of %s belongs to set %s, and this is %s", c.ID, c.Name, v.Name)
	case len(v.Of) > 0 && !known:
		return say(Removed, "the cluster has no replica %s", c.ID)
	case known && m.Addr != c.Addr:
		return say(Elsewhere, "%s is at %s, not at %s", c.ID, m.Addr, c.Addr)
	}
	next := alive{proc: c.Proc, claim: c, before: here.before, at: now, conn: conn}
	if here.proc != "" && here.proc != c.Proc {
		next.before = here.proc
	}
	w.alive[c.ID] = next
	delete(w.asks, c.ID)
	mark, had := w.Marks[c.ID]
	word.Knows = had && mark.Folder == c.Folder
	if c.Rejoin != "" {
		w.asks[c.ID] = ask{c, now}
	}
	votes := m.Votes || !known
	switch {
	case c.Set < v.Set:
		return say(Foreign, "operators re-created the cluster (generation %d); this data directory is older", v.Set)
	case c.Set > v.Set: // this verifier does not know of the re-created cluster yet, so it cannot contradict the claim
	case had && mark.Folder != c.Folder && c.Joined <= mark.Joined && c.Set == mark.Set, !had && c.Fresh && c.Joined == 0 && v.Begun && votes:
		return say(Foreign, "%s took part with another data directory", c.ID)
	case had && mark.Folder == c.Folder && mark.Proc != c.Proc && c.Life <= mark.Life:
		return say(Older, "the folder of %s was opened %d times, and this is the %d. of it", c.ID, mark.Life, c.Life)
	case had && mark.Folder == c.Folder && mark.Proc != c.Proc && c.behind(mark):
		return say(Older, "the folder of %s had entry %d in term %d, and this one has %d in %d", c.ID, mark.Last, mark.Term, c.Last, c.Term)
	case w.odd[c.ID] == c.Folder && c.Folder != "":
		return say(Differs, "the state of %s differs from that of a majority", c.ID)
	case c.Rejoin != "":
		return word, false
	}
	w.Marks[c.ID] = c.Mark
	return word, !had || mark.Folder != c.Folder || mark.Life != c.Life || mark.Proc != c.Proc
}

// Know remembers the directories with which a cluster is about to be bootstrapped, so that none of them is later mistaken for one
// that was emptied.
func (w *Witness) Know(folders map[string]string) {
	for id, folder := range folders {
		if _, had := w.Marks[id]; !had {
			w.Marks[id] = Mark{Folder: folder}
		}
	}
}

// Gone records that a connection has ended. The kernel closes the connections of a process that ends, so the process counts as
// ended too.
func (w *Witness) Gone(id string, conn uint64) {
	if a := w.alive[id]; a.conn == conn {
		delete(w.alive, id)
		delete(w.asks, id)
	}
}

// Suspect records that a replica's state differs from that of a majority. Its claims are rejected until it has rejoined with
// another directory.
func (w *Witness) Suspect(id string) {
	if m, had := w.Marks[id]; had {
		w.odd[id] = m.Folder
	}
}

// Asks returns the ids of live replicas that have asked to rejoin. They may still be voters, but must not vote.
func (w *Witness) Asks(now float64) (ids []string) {
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
	Wait   Decision = iota
	Start           // take part with the present directory
	Begin           // bootstrap a new cluster
	Rejoin          // ask to rejoin; the present directory is not used any more
	Renew           // rejoined as a non-voter: quarantine the directory and continue with an empty one
	Leave           // stop: another process has replaced this one
)

func (d Decision) String() string {
	return [...]string{"wait", "start", "begin", "rejoin", "renew", "leave"}[d]
}

// Seeker decides whether a replica takes part, by the responses to its claim. It is not safe for concurrent use.
type Seeker struct {
	Claim
	Others []string // ids of the other replicas
	Waited bool     // every reachable peer has had time to respond
	Sole   bool     // operators re-created the cluster from this directory, and no other replica has become a voter since
	Strict bool     // require more responses, as described at RequiredResponses
	Plant  string   // an injected bug; "": none

	words map[string]Word
}

// PlantAnyFolder is the injected bug of a replica that takes part with any directory.
const PlantAnyFolder = "any-folder"

// Plants lists the injected bugs of this package.
var Plants = []string{PlantAnyFolder}

// Take records a response. Responses of replicas that are not peers are ignored.
func (s *Seeker) Take(w Word) {
	if !slices.Contains(s.Others, w.From) {
		return
	}
	if s.words == nil {
		s.words = map[string]Word{}
	}
	s.words[w.From] = w
}

// Forget discards all responses. It is called when the claim changes, since they apply to the previous one.
func (s *Seeker) Forget() { s.words = nil }

// Need returns how many peers have to accept the claim. Together with the replica itself they are a majority, so one of them
// remembers this replica's latest claim that a majority knew of. Strict requires enough of them that one holds every entry that
// was committed with this replica's vote. That reduces availability: a second replica that is down keeps this one out.
func (s *Seeker) Need() int {
	n := len(s.Others)
	if s.Sole {
		return 0
	}
	if s.Strict && n > 0 {
		return (n + 2) / 2
	}
	return (n + 1) / 2
}

// Decide returns the next step and the reason for it.
func (s *Seeker) Decide() (Decision, string) {
	if s.Plant == PlantAnyFolder {
		if s.Fresh && s.Last == 0 {
			return Begin, "planted"
		}
		return Start, "planted"
	}
	agree, against, begun, stranger, kept := 0, "", "", "", ""
	joined, fresh := uint64(0), s.Fresh && s.Joined == 0
	for _, id := range slices.Sorted(maps.Keys(s.words)) {
		w := s.words[id]
		if w.Begun && !w.Knows && begun == "" {
			begun = id
		}
		joined = max(joined, w.Joined)
		switch w.Verdict {
		case Good:
			if s.Name == "" || w.Name == s.Name { // a verifier that belongs to no cluster yet remembers nothing
				agree++
			}
		case Older, Foreign, Differs:
			if against == "" && (w.Verdict != Foreign || w.Last >= s.Joined) { // else it does not know yet that this one rejoined
				against = id + ": " + w.Why
			}
		case Stranger: // counts neither for nor against the claim
			stranger = id + ": " + w.Why
		case Replaced:
			return Leave, id + ": " + w.Why
		default:
			kept = id + ": " + w.Why
		}
	}
	switch {
	case s.Rejoin != "" && joined > 0: // the leader's response decides, whatever the other peers respond
		return Renew, s.Rejoin
	case kept != "":
		return Wait, kept
	case s.Rejoin != "":
		return Wait, "requests to rejoin: " + s.Rejoin
	case against != "":
		return Rejoin, against
	case fresh && begun != "":
		return Rejoin, "the data directory is empty, and " + begun + " belongs to a bootstrapped cluster"
	case fresh && agree == len(s.Others):
		return Begin, "all replicas have responded, and none belongs to a cluster"
	case fresh:
		return Wait, fmt.Sprintf("a new set begins once all other copies are heard; %d of %d are", agree, len(s.Others))
	case stranger != "" && agree < s.Need():
		return Wait, stranger
	case agree >= s.Need() && (agree == len(s.Others) || s.Waited):
		return Start, fmt.Sprintf("%d of %d other replicas accept the claim", agree, len(s.Others))
	}
	return Wait, fmt.Sprintf("%d other replicas accept the claim; %d are required, and all of them during the initial wait", agree, s.Need())
}

// caughtUpFor is the number of consecutive reports at which a non-voter must have all entries that the leader had at the
// previous report.
const caughtUpFor = 2

// Learner is the leader's view of one non-voter.
type Learner struct {
	proc   string
	mine   uint64 // log index of the leader's last entry at the previous report
	good   int    // consecutive reports at which it had caught up
	Last   uint64 // log index of the learner's last entry
	Behind uint64 // number of entries that it lacks
}

// Report records a learner's latest claim and returns whether it has caught up: at two consecutive reports it had all entries
// that the leader had at the previous report. A learner that replicates slightly too slowly never catches up.
func (l *Learner) Report(c Claim, mine uint64) bool {
	if c.Proc != l.proc {
		*l = Learner{proc: c.Proc}
	}
	l.Last, l.Behind = c.Last, max(mine, c.Last)-c.Last
	switch {
	case !c.Runs || c.Rejoin != "" || l.mine == 0 || c.Last < l.mine:
		l.good = 0
	default:
		l.good++
	}
	l.mine = mine
	return l.good >= caughtUpFor
}

// Latest returns the latest claim of the live process with the given id, if there is one.
func (w *Witness) Latest(id string, now float64) (Claim, bool) {
	a := w.alive[id]
	return a.claim, a.proc != "" && now < a.at+AliveFor
}

// Folders returns the directory ids that the peers sent, by peer.
func (s *Seeker) Folders() map[string]string {
	of := map[string]string{}
	for id, w := range s.words {
		of[id] = w.Folder
	}
	return of
}

// JoinedAt returns what the new directory of a rejoining replica has to record: the log index as of which a leader states that
// the replica is a non-voter, and the leader's cluster.
func (s *Seeker) JoinedAt() (m Mark) {
	for _, w := range s.words {
		if w.Joined > m.Joined {
			m = Mark{Joined: w.Joined, Set: w.Set, Name: w.Name}
		}
	}
	return m
}

// NewName returns the name of the cluster that is about to be bootstrapped: the lowest directory id, so that all replicas
// derive the same name.
func (s *Seeker) NewName() string {
	name := s.Folder
	for _, w := range s.words {
		name = min(name, w.Folder)
	}
	return name
}

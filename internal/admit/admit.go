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

// Mark is what a copy has on its disk.
type Mark struct {
	Folder string `json:"folder"` // drawn when the folder was made
	Life   uint64 `json:"life"`   // how often the folder was opened, this time included
	Proc   string `json:"proc"`   // drawn at the start of the process that has it open
	Term   uint64 `json:"term"`   // the latest term that it knows of
	Last   uint64 `json:"last"`   // the position of its last entry
	Joined uint64 `json:"joined"` // the position as of which the folder was joined without a vote; 0: it began with the set
	Set    uint64 `json:"set"`    // how often operators began the set anew
	Name   string `json:"name"`   // of the set; "": the folder has never been told
}

// behind tells whether a folder lacks something that a later state of the same one had.
func (m Mark) behind(later Mark) bool {
	return m.Term < later.Term || m.Term == later.Term && m.Last < later.Last
}

// Claim is what a copy says of itself.
type Claim struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Mark
	Fresh  bool   `json:"fresh,omitempty"`  // nothing was ever written to the folder
	Rejoin string `json:"rejoin,omitempty"` // it asks to be joined anew, and why; "": it does not
	Runs   bool   `json:"runs,omitempty"`   // it takes part
	Digest Digest `json:"digest"`
}

// Digest is what a copy made of a part of its state at a position of the log, at which all copies look at the same part.
type Digest struct {
	At   uint64 `json:"at"` // 0: none yet
	Part uint64 `json:"part"`
	Sum  uint64 `json:"sum"`
}

// Differ tells which copies' state differs from that of a majority of the voters, by their digests at the latest position that
// the asking copy has looked at. split: they differ, and no majority has one state.
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

// Verdict is what a witness makes of a claim.
type Verdict string

// Verdicts.
const (
	Good      Verdict = "good"      // nothing that the witness remembers speaks against it
	Older     Verdict = "older"     // the folder had more
	Foreign   Verdict = "foreign"   // another folder had the vote
	Twin      Verdict = "twin"      // another process of this id is alive
	Replaced  Verdict = "replaced"  // another process has taken this one's place
	Elsewhere Verdict = "elsewhere" // the id belongs to another address
	Stranger  Verdict = "stranger"  // the folder belongs to another set
	Removed   Verdict = "removed"   // the set has no such id any more
	Differs   Verdict = "differs"   // the copy's state differs from that of a majority
)

// Word is the answer to a claim.
type Word struct {
	From    string  `json:"from"`
	Verdict Verdict `json:"verdict"`
	Why     string  `json:"why,omitempty"`
	Begun   bool    `json:"begun,omitempty"`  // the witness belongs to a set that has begun
	Joined  uint64  `json:"joined,omitempty"` // the witness leads, and the claimant has no vote as of this position; 0: it does not say so
	Last    uint64  `json:"last,omitempty"`   // the witness's own last entry
	Folder  string  `json:"folder,omitempty"` // the witness's own
	Knows   bool    `json:"knows,omitempty"`  // it remembers this very folder of the claimant
	Set     uint64  `json:"set,omitempty"`    // how often operators began the witness's set anew
	Name    string  `json:"name,omitempty"`   // the name of its set
}

// Member is one copy of a set as a configuration has it.
type Member struct {
	Addr  string
	Votes bool
}

// View is what a witness's own copy knows when it hears a claim.
type View struct {
	Begun  bool              // it belongs to a set that has begun
	Of     map[string]Member // the set's latest configuration; nil: it knows none
	Last   uint64
	Folder string // its own
	Set    uint64 // how often operators began the set anew
	Name   string // of its set
}

// AliveFor is how long, in ms of the witness's steady clock, a process that says nothing more is taken for alive while its
// connection stands.
const AliveFor = 3000.0

type alive struct {
	proc   string
	claim  Claim
	before string // the process whose place it took
	at     float64
	conn   uint64
}

// Witness is a copy's memory of the others. It is not safe for concurrent use.
type Witness struct {
	Me    string
	Marks map[string]Mark // by id; kept on disk

	alive map[string]alive
	asks  map[string]ask
	odd   map[string]string // by id: folders whose copies differ from a majority
}

type ask struct {
	claim Claim
	at    float64
}

// NewWitness remembers what its folder kept.
func NewWitness(me string, marks map[string]Mark) *Witness {
	if marks == nil {
		marks = map[string]Mark{}
	}
	return &Witness{Me: me, Marks: marks, alive: map[string]alive{}, asks: map[string]ask{}, odd: map[string]string{}}
}

// Hear takes a claim that came on a connection. keep: another folder, life or process is remembered now, and has to be on the
// witness's disk before the answer goes out; what only grew may follow later.
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
		return say(Replaced, "process %s has taken the place of %s", here.proc, c.Proc)
	case now < here.at+AliveFor:
		return say(Twin, "process %s of %s is alive", here.proc, c.ID)
	}
	m, known := v.Of[c.ID]
	switch {
	case c.Name != "" && v.Name != "" && c.Name != v.Name:
		return say(Stranger, "the folder of %s belongs to set %s, and this is %s", c.ID, c.Name, v.Name)
	case len(v.Of) > 0 && !known:
		return say(Removed, "the set has no copy %s", c.ID)
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
		return say(Foreign, "operators began the set anew, for the %d. time, and this folder is from before", v.Set)
	case c.Set > v.Set: // this witness has not heard of that yet, and has nothing to say against it
	case had && mark.Folder != c.Folder && c.Joined <= mark.Joined && c.Set == mark.Set, !had && c.Fresh && c.Joined == 0 && v.Begun && votes:
		return say(Foreign, "%s had its place with another folder", c.ID)
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

// Know remembers the folders with which a new set is about to begin, so that none of them is taken for one that was emptied.
func (w *Witness) Know(folders map[string]string) {
	for id, folder := range folders {
		if _, had := w.Marks[id]; !had {
			w.Marks[id] = Mark{Folder: folder}
		}
	}
}

// Gone tells that a connection of claims has ended: the kernel ends those of a process that is gone.
func (w *Witness) Gone(id string, conn uint64) {
	if a := w.alive[id]; a.conn == conn {
		delete(w.alive, id)
		delete(w.asks, id)
	}
}

// Suspect notes that a copy differs from a majority: it is told so until it has joined anew.
func (w *Witness) Suspect(id string) {
	if m, had := w.Marks[id]; had {
		w.odd[id] = m.Folder
	}
}

// Asks lists the ids that asked of late to be joined anew, and still have a vote that they may not use.
func (w *Witness) Asks(now float64) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(w.asks)) {
		if now < w.asks[id].at+AliveFor {
			ids = append(ids, id)
		}
	}
	return ids
}

// Decision is what a copy that seeks to take part does next.
type Decision int

// Decisions.
const (
	Wait   Decision = iota
	Start           // with the folder that it has
	Begin           // a new set
	Rejoin          // ask to be joined anew; the folder is not used any more
	Renew           // joined, without a vote: the folder is set aside, and an empty one takes its place
	Leave           // another process has taken its place
)

func (d Decision) String() string {
	return [...]string{"wait", "start", "begin", "rejoin", "renew", "leave"}[d]
}

// Seeker decides for a copy that is about to take part. It is not safe for concurrent use.
type Seeker struct {
	Claim
	Others []string // the ids of the other copies
	Waited bool     // long enough for all that are there to be heard
	Sole   bool     // operators began the set anew with this folder, and nobody else has got a vote since
	Strict bool     // more of them have to be heard: enough that one has what was agreed on with this copy's word
	Plant  string   // a planted bug; "": none

	words map[string]Word
}

// PlantAnyFolder is the planted bug of a copy that starts with whatever folder it has.
const PlantAnyFolder = "any-folder"

// Plants are all of this package.
var Plants = []string{PlantAnyFolder}

// Take takes a word in.
func (s *Seeker) Take(w Word) {
	if !slices.Contains(s.Others, w.From) {
		return
	}
	if s.words == nil {
		s.words = map[string]Word{}
	}
	s.words[w.From] = w
}

// Forget forgets the words: the claim is another now, and what was said of the one before says nothing of it.
func (s *Seeker) Forget() { s.words = nil }

// Need is how many of the others have to be heard. With the copy itself that is a majority, so where the others run, one of
// them remembers this copy's latest claim that a majority knew of. Strict asks for so many that one of them holds whatever was
// agreed on with this copy's word, which costs service: a second copy that is down keeps this one out.
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

// Decide tells what to do, and why.
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
			if s.Name == "" || w.Name == s.Name { // one that belongs to no set yet has nothing to remember
				agree++
			}
		case Older, Foreign, Differs:
			if against == "" && (w.Verdict != Foreign || w.Last >= s.Joined) { // else it has not heard yet that this one joined anew
				against = id + ": " + w.Why
			}
		case Stranger: // of no weight, one way or the other
			stranger = id + ": " + w.Why
		case Replaced:
			return Leave, id + ": " + w.Why
		default:
			kept = id + ": " + w.Why
		}
	}
	switch {
	case s.Rejoin != "" && joined > 0: // a leader's word, whatever the others say
		return Renew, s.Rejoin
	case kept != "":
		return Wait, kept
	case s.Rejoin != "":
		return Wait, "asks to be joined anew: " + s.Rejoin
	case against != "":
		return Rejoin, against
	case fresh && begun != "":
		return Rejoin, "the folder is empty, and " + begun + " belongs to a set that has begun"
	case fresh && agree == len(s.Others):
		return Begin, "all copies are there, and none belongs to a set"
	case fresh:
		return Wait, fmt.Sprintf("a new set begins once all other copies are heard; %d of %d are", agree, len(s.Others))
	case stranger != "" && agree < s.Need():
		return Wait, stranger
	case agree >= s.Need() && (agree == len(s.Others) || s.Waited):
		return Start, fmt.Sprintf("%d of %d others say nothing against it", agree, len(s.Others))
	}
	return Wait, fmt.Sprintf("%d others are heard; %d have to be, or all who are there", agree, s.Need())
}

// caughtUpFor is in how many reports running a copy without a vote has to have what the leader had at the report before.
const caughtUpFor = 2

// Learner is the leader's view of one copy without a vote.
type Learner struct {
	proc   string
	mine   uint64 // the leader's last entry at the report before
	good   int
	Last   uint64 // what the learner has
	Behind uint64 // entries that it lacks
}

// Report takes a learner's latest claim and tells whether it has caught up: it has all that the leader had a report ago, two
// times running. One that is always just too slow never has.
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

// Latest is the claim that a live process of an id made last.
func (w *Witness) Latest(id string, now float64) (Claim, bool) {
	a := w.alive[id]
	return a.claim, a.proc != "" && now < a.at+AliveFor
}

// Folders are those of the others, as they said.
func (s *Seeker) Folders() map[string]string {
	of := map[string]string{}
	for id, w := range s.words {
		of[id] = w.Folder
	}
	return of
}

// JoinedAt is what the new folder of a copy that joined anew has to know: the position as of which a leader says that it joined
// without a vote, and of which set.
func (s *Seeker) JoinedAt() (m Mark) {
	for _, w := range s.words {
		if w.Joined > m.Joined {
			m = Mark{Joined: w.Joined, Set: w.Set, Name: w.Name}
		}
	}
	return m
}

// NewName is the name of the set that is about to begin: all of its copies come to the same.
func (s *Seeker) NewName() string {
	name := s.Folder
	for _, w := range s.words {
		name = min(name, w.Folder)
	}
	return name
}

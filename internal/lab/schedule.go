package lab

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
)

// Kinds of faults.
const (
	StallHolder  = "stall-holder" // SIGSTOP past the time of its duties, then SIGCONT
	StallLeader  = "stall-leader" // the same to the copy that leads
	KillHolder   = "kill-holder"  // SIGKILL, and a start with the old folder
	KillLeader   = "kill-leader"
	KillBoth     = "kill-both"      // the copy that leads and a holder, one process where it is
	CutHolder    = "cut-holder"     // from the copies, not from the vault
	CutThere     = "cut-there"      // what the holder says does not arrive
	CutBack      = "cut-back"       // what it is told does not
	CutLeader    = "cut-leader"     // the leader from the other copies, not from the servers
	CutLeaderOut = "cut-leader-out" // its words to them alone
	MostCopies   = "most-copies"    // all copies but a minority killed, then back
	Late         = "late"           // the holder's words come late
	LateBack     = "late-back"      // what it is told comes late, and then it is heard no more
	StaleLeader  = "stale-leader"   // a stalled leader goes on, with a holder's words unread that only it can hear
	Slow         = "slow"           // the leader's ways are throttled
	Resets       = "resets"         // all sessions break
	YieldDuty    = "yield"          // an operator asks
	DrainHolder  = "drain-holder"   // SIGTERM under load, and a new start
	Replace      = "replace"        // a second process of one name beside the first
	Jump         = "jump"           // a wall clock is set
	OldFolder    = "old-folder"     // a copy restarts with an older folder
	NoFolder     = "no-folder"      // or with none
	Spoil        = "spoil"          // or with some bits of it changed
	SpoilMemory  = "spoil-memory"   // a bit of what a copy holds in memory changes
	OldOfAll     = "old-of-all"     // all copies restart at once, and one of them with an older folder
	ColdAll      = "cold-all"       // all servers restart at once, and their executors are cold
	SlowVault    = "slow-vault"
)

// Fault is one thing that goes wrong.
type Fault struct {
	At   float64 `json:"at"` // s from the start of the load
	For  float64 `json:"for"`
	Kind string  `json:"kind"`
	Pick uint64  `json:"pick"` // chooses among what the kind may hit
	Size float64 `json:"size,omitempty"`
}

func (f Fault) String() string { return fmt.Sprintf("%.1f s %s for %.1f s", f.At, f.Kind, f.For) }

// Scenario is a choice of kinds; a schedule draws from it.
type Scenario struct {
	Name  string
	Text  string
	Kinds []string
}

// Scenarios can be asked for by name.
var Scenarios = []Scenario{
	{"all", "every kind of fault, in an order that the seed draws", []string{StallHolder, StallLeader, KillHolder, KillLeader, KillBoth, CutHolder,
		CutThere, CutBack, CutLeader, CutLeaderOut, MostCopies, Late, LateBack, StaleLeader, Slow, Resets, YieldDuty, DrainHolder, Replace, Jump, OldFolder, NoFolder, Spoil, OldOfAll, SpoilMemory}},
	{"holder", "the holder stalls, dies, is cut off and comes back", []string{StallHolder, KillHolder, CutHolder, CutThere, CutBack, Late, LateBack}},
	{"late", "answers come late, then the holder is cut off", []string{LateBack}},
	{"stale", "a leader that stood still goes on as if it led", []string{StaleLeader}},
	{"leader", "the copy that leads stalls, dies and is cut off", []string{StallLeader, KillLeader, KillBoth, CutLeader, CutLeaderOut, Slow}},
	{"gaps", "one kill, yield or drain at a time, for the gaps without a holder", []string{KillHolder, YieldDuty, DrainHolder}},
	{"handing", "yields, drains and replacements under load", []string{YieldDuty, DrainHolder, Replace, Resets}},
	{"folders", "copies restart with older, empty and spoilt folders, and differ in memory, among kills and stalls", []string{OldFolder, NoFolder, Spoil, OldOfAll, SpoilMemory, KillLeader, MostCopies, StallLeader}},
	{"cold", "all servers restart cold at once", []string{ColdAll}},
	{"vault", "the vault is ten times as slow for a while", []string{SlowVault}},
	{"none", "no fault", nil},
}

func scenario(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// Times by which a schedule is made, in s. A duty's time to live is 2 s.
const (
	firstAt = 3.0 // by then all duties are held
	quiet   = 3.5 // without a new fault at the end
)

// Schedule draws the faults of a run: the same seed gives the same.
func Schedule(seed uint64, s Scenario, seconds float64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 77))
	var all []Fault
	if len(s.Kinds) == 0 {
		return nil
	}
	at, misfits := firstAt, 0
	var bag []string
	for {
		if len(bag) == 0 { // every kind once before one comes again
			bag = append(bag, s.Kinds...)
			rng.Shuffle(len(bag), func(i, j int) { bag[i], bag[j] = bag[j], bag[i] })
		}
		f := Fault{At: at + rng.Float64()*0.5, Kind: bag[0], Pick: rng.Uint64(), Size: rng.Float64()}
		bag = bag[1:]
		switch f.Kind {
		case StallHolder, StallLeader, CutHolder, CutThere, CutBack, CutLeader, CutLeaderOut:
			f.For = 1.2 + 2.6*rng.Float64() // some end before the time to live has passed, most after
		case SpoilMemory:
			f.For = 14 // until all parts of the state were compared
		case LateBack, StaleLeader:
			f.For = 6.5
		case Late, Slow, Jump:
			f.For = 2 + 2*rng.Float64()
		case KillHolder, KillLeader, KillBoth, DrainHolder, OldFolder, NoFolder, Spoil, OldOfAll, MostCopies, ColdAll:
			f.For = 1 + 2*rng.Float64() // until it is back
		case SlowVault:
			f.For = max(seconds-f.At-quiet, 1)
		}
		if f.At+f.For > seconds-quiet {
			if misfits++; misfits > len(s.Kinds) {
				break
			}
			continue // a shorter kind may still fit
		}
		all = append(all, f)
		at = f.At + f.For + 1.5 + rng.Float64()
		if f.Kind == OldFolder || f.Kind == NoFolder || f.Kind == Spoil || f.Kind == OldOfAll || f.Kind == SpoilMemory {
			at += 2 // until the copy has its vote back; a second one that forgets before that is no case of these
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// Kinds lists what a schedule holds, for a line of a report.
func Kinds(all []Fault) string {
	var words []string
	for _, f := range all {
		words = append(words, f.Kind)
	}
	return strings.Join(words, " ")
}

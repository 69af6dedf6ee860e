package lab

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
)

// Kinds of faults, the values of Fault.Kind.
const (
	StallHolder        = "stall-holder" // SIGSTOP beyond the TTL of its leases, then SIGCONT
	StallLeader        = "stall-leader" // the same for the leader
	KillHolder         = "kill-holder"  // SIGKILL, and a restart with its data directory
	KillLeader         = "kill-leader"
	KillBoth           = "kill-both"      // the leader and a holder, which may be one process
	CutHolder          = "cut-holder"     // from the store replicas, not from the vault
	CutHolderOut       = "cut-there"      // the holder's requests don't arrive
	CutHolderIn        = "cut-back"       // the responses to the holder don't arrive
	IsolateLeader      = "cut-leader"     // the leader from the other replicas, not from the servers
	CutLeaderOut       = "cut-leader-out" // only the bytes from the leader to them
	KillMajority       = "most-copies"    // a majority of the replicas is killed and restarted
	DelayHolder        = "late"           // the bytes between the holder and the replicas are delayed
	DelayThenCutHolder = "late-back"      // responses to the holder are delayed, then its requests don't arrive
	StaleLeader        = "stale-leader"   // a stopped leader resumes and reads heartbeats that no other replica received
	ThrottleLeader     = "slow"           // sessions with the leader are throttled
	ResetSessions      = "resets"         // all sessions are reset
	RequestYield       = "yield"          // an operator requests a yield
	DrainHolder        = "drain-holder"   // SIGTERM under load, and a restart
	ReplaceProcess     = "replace"        // a second process of the same name replaces the first
	JumpClock          = "jump"           // a process's wall clock is set forward or back, and later restored
	OldDirectory       = "old-folder"     // a replica restarts with an older data directory
	NoDirectory        = "no-folder"      // a replica restarts without a data directory
	CorruptDirectory   = "spoil"          // a replica restarts with some bits of its data directory changed
	CorruptMemory      = "spoil-memory"   // a bit of a replica's state in memory changes
	RestartAllOneOld   = "old-of-all"     // all replicas restart at once, one of them with an older data directory
	ColdRestart        = "cold-all"       // all servers restart at once with cold executors
	SlowVault          = "slow-vault"     // the vault responds ten times as slowly
)

// Fault is one fault of a schedule. At and For are in s.
type Fault struct {
	At   float64 `json:"at"` // since the start of the load
	For  float64 `json:"for"`
	Kind string  `json:"kind"`
	Pick uint64  `json:"pick"` // selects the target among those that the kind may hit
	Size float64 `json:"size,omitempty"`
}

func (f Fault) String() string { return fmt.Sprintf("%.1f s %s for %.1f s", f.At, f.Kind, f.For) }

// Scenario is a named set of fault kinds from which a schedule draws.
type Scenario struct {
	Name  string
	Text  string
	Kinds []string
}

// Scenarios lists the scenarios that can be selected by name.
var Scenarios = []Scenario{
	{"all", "every kind of fault, in an order that the seed determines", []string{StallHolder, StallLeader, KillHolder, KillLeader, KillBoth, CutHolder,
		CutHolderOut, CutHolderIn, IsolateLeader, CutLeaderOut, KillMajority, DelayHolder, DelayThenCutHolder, StaleLeader, ThrottleLeader, ResetSessions, RequestYield, DrainHolder, ReplaceProcess, JumpClock, OldDirectory, NoDirectory, CorruptDirectory, RestartAllOneOld, CorruptMemory}},
	{"holder", "the holder stalls, is killed, is cut off and returns", []string{StallHolder, KillHolder, CutHolder, CutHolderOut, CutHolderIn, DelayHolder, DelayThenCutHolder}},
	{"late", "responses are delayed, then the holder is cut off", []string{DelayThenCutHolder}},
	{"stale", "a stopped leader resumes and believes that it still leads", []string{StaleLeader}},
	{"leader", "the leader stalls, is killed and is cut off", []string{StallLeader, KillLeader, KillBoth, IsolateLeader, CutLeaderOut, ThrottleLeader}},
	{"gaps", "one kill, yield or drain at a time, for the gaps without a holder", []string{KillHolder, RequestYield, DrainHolder}},
	{"handing", "yields, drains and replacements under load", []string{RequestYield, DrainHolder, ReplaceProcess, ResetSessions}},
	{"folders", "replicas restart with older, missing and corrupt data directories, and memory is corrupted, among kills and stalls", []string{OldDirectory, NoDirectory, CorruptDirectory, RestartAllOneOld, CorruptMemory, KillLeader, KillMajority, StallLeader}},
	{"cold", "all servers restart cold at once", []string{ColdRestart}},
	{"vault", "the vault is ten times as slow until shortly before the end", []string{SlowVault}},
	{"none", "no fault", nil},
}

func findScenario(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// Bounds of a schedule, in s. The TTL of a duty is 2 s.
const (
	firstFaultSeconds = 3.0 // by then every duty has a holder
	quietEndSeconds   = 3.5 // at the end of the run, after the last fault
)

// Schedule draws the faults of a run. The same seed gives the same schedule.
func Schedule(seed uint64, s Scenario, seconds float64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 77))
	var all []Fault
	if len(s.Kinds) == 0 {
		return nil
	}
	at, skipped := firstFaultSeconds, 0
	var remaining []string
	for {
		if len(remaining) == 0 { // each kind occurs once before any is repeated
			remaining = append(remaining, s.Kinds...)
			rng.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		}
		f := Fault{At: at + rng.Float64()*0.5, Kind: remaining[0], Pick: rng.Uint64(), Size: rng.Float64()}
		remaining = remaining[1:]
		switch f.Kind {
		case StallHolder, StallLeader, CutHolder, CutHolderOut, CutHolderIn, IsolateLeader, CutLeaderOut:
			f.For = 1.2 + 2.6*rng.Float64() // some end within the TTL, most later
		case CorruptMemory:
			f.For = 14 // until the replicas have compared all parts of the state
		case DelayThenCutHolder, StaleLeader:
			f.For = 6.5
		case DelayHolder, ThrottleLeader, JumpClock:
			f.For = 2 + 2*rng.Float64()
		case KillHolder, KillLeader, KillBoth, DrainHolder, OldDirectory, NoDirectory, CorruptDirectory, RestartAllOneOld, KillMajority, ColdRestart:
			f.For = 1 + 2*rng.Float64() // until the restart
		case SlowVault:
			f.For = max(seconds-f.At-quietEndSeconds, 1)
		}
		if f.At+f.For > seconds-quietEndSeconds {
			if skipped++; skipped > len(s.Kinds) {
				break
			}
			continue // a shorter fault may still fit
		}
		all = append(all, f)
		at = f.At + f.For + 1.5 + rng.Float64()
		if f.Kind == OldDirectory || f.Kind == NoDirectory || f.Kind == CorruptDirectory || f.Kind == RestartAllOneOld || f.Kind == CorruptMemory {
			at += 2 // until the replica has its vote back; a second loss of data before that isn't tolerated
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// ListKinds returns the kinds of a schedule's faults, separated by spaces.
func ListKinds(all []Fault) string {
	var words []string
	for _, f := range all {
		words = append(words, f.Kind)
	}
	return strings.Join(words, " ")
}

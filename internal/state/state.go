// Package state is what all copies of the store agree on: keys and values, duties, shares, effects, published versions.
// It is free of I/O and of time: Apply is one step of the log, and the same steps give the same state on every copy.
package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"puffinsaddle/internal/allot"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/publish"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/settle"
)

const (
	maxEffects           = 1 << 16    // remembered at once
	legacyEffectPrefix   = "effects/" // where earlier versions kept them among the keys
	maxCounters          = 256
	maxOrphansPerCommand = 256 // effects settled in one step
)

// Kinds of commands.
const (
	OpSet                   = "set"
	OpDelete                = "delete"
	OpBeginEffect           = "begin"  // an effect is about to run
	OpEndEffects            = "end"    // effects have ended
	OpLeaseOrders           = "orders" // the grantor's
	OpFenced                = "act"    // under a duty
	OpRequestYield          = "ask"    // an operator wants a duty given up
	OpFreezeDuty            = "freeze" // or not to be granted
	OpUnfreezeDuty          = "thaw"
	OpAcknowledgeAllocation = "ack"  // a process uses no more than its share
	OpAcknowledgeVersion    = "word" // what a process made of a version

	OpChangeRecords = "change" // of records

	OpCompareDigests = "compare" // all copies look at a part of what they hold

	// What may be done in an act.
	OpIncrementCounter = "mark" // count one up
	OpSetAllocation    = "share"
	OpSetPool          = "pool"
	OpResolveEffects   = "settle"
	OpPruneEffects     = "prune"
	OpPublishVersion   = "publish"
)

// Command is one entry of the log. Earlier versions wrote Op, Key and Value alone, and their logs are read.
type Command struct {
	Op    string `json:"op"`
	Key   string `json:"key,omitempty"` // of a value; an effect's id
	Value []byte `json:"value,omitempty"`

	Process         string                   `json:"who,omitempty"`   // the process that speaks
	Epoch           uint64                   `json:"epoch,omitempty"` // of its presence, for Begin; a version, for Ack
	NoEviction      bool                     `json:"keep,omitempty"`  // forget no effect to make room
	Orders          []duty.Order             `json:"orders,omitempty"`
	Fence           *duty.Ref                `json:"fence,omitempty"` // the grant under which an act is done
	Batch           []Command                `json:"do,omitempty"`    // the act
	EffectIDs       []string                 `json:"ids,omitempty"`
	FailedIDs       []string                 `json:"failed,omitempty"` // for End: ids of effects that failed; EffectIDs has the others
	Amount          int64                    `json:"amount,omitempty"`
	Seq             uint64                   `json:"seq,omitempty"`
	Files           []publish.File           `json:"files,omitempty"`
	Acknowledgement *publish.Acknowledgement `json:"said,omitempty"`

	Change *records.Change `json:"change,omitempty"`
}

// Result is what a command came to.
type Result struct {
	WasAbsent bool     `json:"fresh,omitempty"` // Set, Delete, Begin: the key was absent
	Value     uint64   `json:"n,omitempty"`     // Mark: the count; Settle, Prune: how many; Publish: the version; Change: the revision; Compare: the digest
	Stale     bool     `json:"stale,omitempty"` // refused: the epoch is not the one in force
	Error     string   `json:"error,omitempty"` // refused, and nothing was changed
	Refusals  []string `json:"part,omitempty"`  // Orders: "" or the refusal of each
}

// State is the whole.
type State struct {
	Values        map[string][]byte
	Duties        *duty.Table
	Allocations   *allot.Allocations
	Effects       *settle.EffectLog
	Config        *publish.History
	Records       *records.Set
	Counters      map[string]uint64 // by duty
	StaleRefusals map[string]uint64 // acts refused for their epoch, by duty

	InjectedBug string // a planted bug; "": none
}

// New is the empty state.
func New() *State {
	return &State{Values: map[string][]byte{}, Duties: duty.NewTable(), Allocations: allot.NewAllocations(),
		Effects: settle.NewEffectLog(maxEffects), Config: publish.NewHistory(), Records: records.NewSet(records.DefaultLimits),
		Counters: map[string]uint64{}, StaleRefusals: map[string]uint64{}}
}

// PresenceInForce tells whether a process's presence of an epoch is in force.
func (s *State) PresenceInForce(process string, epoch uint64) bool {
	l := s.Duties.Leases[duty.PresenceName(process)]
	return l != nil && l.Holder == process && l.Epoch == epoch
}

// Apply carries out one entry of the log, written in a leader's term.
func (s *State) Apply(c Command, term uint64) Result {
	switch c.Op {
	case OpSet:
		_, exists := s.Values[c.Key]
		s.Values[c.Key] = c.Value
		return Result{WasAbsent: !exists}
	case OpDelete:
		_, exists := s.Values[c.Key]
		delete(s.Values, c.Key)
		return Result{WasAbsent: !exists}
	case OpBeginEffect:
		id := strings.TrimPrefix(c.Key, legacyEffectPrefix)
		if c.Process != "" && !s.PresenceInForce(c.Process, c.Epoch) {
			return Result{Stale: true, Error: fmt.Sprintf("state: the presence %d of %s is not in force", c.Epoch, c.Process)}
		}
		fresh, err := s.Effects.Begin(id, c.Process, c.Epoch, c.NoEviction)
		return Result{WasAbsent: fresh, Error: errorText(err)}
	case OpEndEffects:
		n := uint64(0)
		for i, ids := range [][]string{c.EffectIDs, c.FailedIDs} {
			for _, id := range ids {
				if s.Effects.End(id, c.Process, i == 0) {
					n++
				}
			}
		}
		return Result{Value: n}
	case OpLeaseOrders:
		var r Result
		for _, o := range c.Orders {
			r.Refusals = append(r.Refusals, errorText(s.applyLeaseOrder(o, term)))
		}
		return r
	case OpChangeRecords:
		if c.Change == nil {
			return Result{Error: "state: no change"}
		}
		commit, err := s.Records.Apply(*c.Change)
		return Result{Value: commit.Revision, Error: errorText(err)}
	case OpCompareDigests:
		return Result{Value: s.Digest(c.Seq)}
	case OpRequestYield:
		return Result{Error: errorText(s.Duties.RequestYield(c.Key))}
	case OpFreezeDuty, OpUnfreezeDuty:
		s.Duties.Freeze(c.Key, c.Op == OpFreezeDuty)
		return Result{}
	case OpAcknowledgeAllocation:
		s.Allocations.Acknowledge(c.Process, c.Epoch)
		return Result{}
	case OpAcknowledgeVersion:
		if c.Acknowledgement == nil {
			return Result{Error: "state: no word"}
		}
		return Result{Error: errorText(s.Config.Acknowledge(c.Process, *c.Acknowledgement))}
	case OpFenced:
		return s.applyFenced(c)
	}
	return Result{Error: fmt.Sprintf("state: unknown command %q", c.Op)}
}

// applyLeaseOrder carries out one of the grantor's, with what hangs on a process's presence.
func (s *State) applyLeaseOrder(o duty.Order, term uint64) error {
	if err := s.Duties.Apply(o, term); err != nil {
		return err
	}
	if process := duty.PresenceProcess(o.Name); process != "" {
		if o.Kind == duty.Grant {
			s.Allocations.AddProcess(process)
		} else {
			s.Allocations.RemoveProcess(process)
			s.Config.Drop(process)
		}
	}
	return nil
}

// applyFenced checks the epoch and carries the act out, whole or not at all, in this one step.
func (s *State) applyFenced(c Command) Result {
	if c.Fence == nil {
		return Result{Error: "state: an act without an epoch"}
	}
	if err := s.Duties.Fence(*c.Fence); err != nil && s.InjectedBug != duty.BugUnfenced {
		if s.StaleRefusals[c.Fence.Name]++; len(s.StaleRefusals) > maxCounters {
			clear(s.StaleRefusals) // names are made up
		}
		return Result{Stale: true, Error: err.Error()}
	}
	// Shares are the one thing that can be refused after a part was done. To copy them costs as much as the fleet is large,
	// so it is done only where an act touches them.
	allocations := s.Allocations
	if slices.ContainsFunc(c.Batch, func(d Command) bool { return d.Op == OpSetAllocation || d.Op == OpSetPool }) {
		s.Allocations = allocations.Clone()
	}
	var r Result
	for _, d := range c.Batch {
		n, err := s.execute(d, *c.Fence)
		if err != nil {
			s.Allocations = allocations
			return Result{Error: err.Error()}
		}
		r.Value = n
	}
	return r
}

func (s *State) execute(c Command, fence duty.Ref) (uint64, error) {
	switch c.Op {
	case OpIncrementCounter:
		if len(s.Counters) >= maxCounters && s.Counters[fence.Name] == 0 {
			return 0, errors.New("state: too many marks")
		}
		s.Counters[fence.Name]++
		return s.Counters[fence.Name], nil
	case OpSetAllocation:
		return 0, s.Allocations.SetTarget(c.Process, c.Amount, s.InjectedBug == duty.BugEarlyGrowth)
	case OpSetPool:
		return 0, s.Allocations.SetPool(c.Amount)
	case OpResolveEffects:
		if len(c.EffectIDs) > maxOrphansPerCommand {
			return 0, fmt.Errorf("state: %d effects to settle in one step, %d at most", len(c.EffectIDs), maxOrphansPerCommand)
		}
		return uint64(s.Effects.Resolve(c.EffectIDs, s.PresenceInForce)), nil
	case OpPruneEffects:
		return uint64(s.Effects.Prune(c.Seq)), nil
	case OpPublishVersion:
		return s.Config.Publish(c.Files, c.Seq, fence.Epoch)
	}
	return 0, fmt.Errorf("state: %q is no act", c.Op)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Snapshot is the state's form in a snapshot. Values and Order are all that earlier versions wrote.
type Snapshot struct {
	Values        map[string][]byte    `json:"values"`
	EffectOrder   []string             `json:"order,omitempty"`
	Duties        *duty.Table          `json:"duties,omitempty"`
	Allocations   *allot.Allocations   `json:"shares,omitempty"`
	Effects       *settle.EffectLog    `json:"effects,omitempty"`
	Config        *publish.History     `json:"config,omitempty"`
	Records       *records.SetSnapshot `json:"records,omitempty"`
	Counters      map[string]uint64    `json:"marks,omitempty"`
	StaleRefusals map[string]uint64    `json:"stale,omitempty"`
}

// Snapshot copies the state, so that it can be written while commands go on.
func (s *State) Snapshot() *Snapshot {
	return &Snapshot{Values: maps.Clone(s.Values), Duties: s.Duties.Clone(), Allocations: s.Allocations.Clone(), Effects: s.Effects.Clone(),
		Config: s.Config.Clone(), Records: s.Records.Snapshot(), Counters: maps.Clone(s.Counters), StaleRefusals: maps.Clone(s.StaleRefusals)}
}

// ReadSnapshot takes the state of a snapshot, in today's form or an earlier one.
func ReadSnapshot(b []byte) (*State, error) {
	var k Snapshot
	if err := json.Unmarshal(b, &k); err != nil {
		return nil, err
	}
	s := New()
	for key, v := range k.Values {
		if !strings.HasPrefix(key, legacyEffectPrefix) {
			s.Values[key] = v
		}
	}
	if k.Duties != nil && k.Duties.Leases != nil {
		s.Duties = k.Duties
		if s.Duties.Frozen == nil {
			s.Duties.Frozen = map[string]bool{}
		}
	}
	if k.Allocations != nil && k.Allocations.Shares != nil {
		s.Allocations = k.Allocations
	}
	if k.Config != nil {
		s.Config = k.Config
		if s.Config.Acknowledgements == nil {
			s.Config.Acknowledgements = map[string]publish.Acknowledgement{}
		}
	}
	if k.Records != nil {
		s.Records = k.Records.Restore(records.DefaultLimits)
	}
	if k.Effects != nil {
		s.Effects = k.Effects
		s.Effects.RebuildIndexes(maxEffects)
	}
	for _, key := range k.EffectOrder {
		s.Effects.Begin(strings.TrimPrefix(key, legacyEffectPrefix), "", 0, false)
	}
	if k.Counters != nil {
		s.Counters = k.Counters
	}
	if k.StaleRefusals != nil {
		s.StaleRefusals = k.StaleRefusals
	}
	return s, nil
}

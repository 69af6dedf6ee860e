// Package state is the replicated state machine of the store: keys and values, duties, capacity allocations, effects, published
// configuration versions and records. It does no I/O and reads no clock: Apply executes one log entry, and the same entries give
// the same state on every replica.
package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"puffinsaddle/internal/allocation"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/effectlog"
	"puffinsaddle/internal/publish"
	"puffinsaddle/internal/records"
)

const (
	maxEffects           = 1 << 16    // effects retained
	legacyEffectPrefix   = "effects/" // key prefix of effects in the values of earlier versions
	maxCounters          = 256        // duties with a counter
	maxOrphansPerCommand = 256        // orphaned effects resolved by one command
)

// Kinds of commands: the values of Command.Op.
const (
	OpSet                   = "set"
	OpDelete                = "delete"
	OpBeginEffect           = "begin"  // record an effect that is about to run
	OpEndEffects            = "end"    // record the outcome of effects
	OpLeaseOrders           = "orders" // grant, release or expire leases, as decided by the grantor
	OpFenced                = "act"    // execute a batch of operations under a duty, fenced by its epoch
	OpRequestYield          = "ask"    // an operator asks the holder of a duty to yield it
	OpFreezeDuty            = "freeze" // an operator asks the holder to yield, and blocks further grants
	OpUnfreezeDuty          = "thaw"   // allow grants again
	OpAcknowledgeAllocation = "ack"    // a process confirms that it uses no more than its allocation
	OpAcknowledgeVersion    = "word"   // a process has applied or rejected a configuration version

	OpChangeRecords = "change" // change records

	OpCompareDigests = "compare" // every replica computes the digest of one partition

	// Operations that are only allowed in the batch of a fenced command.
	OpIncrementCounter = "mark"    // increment the duty's counter
	OpSetAllocation    = "share"   // set the allocation of a process
	OpSetPool          = "pool"    // set the capacity to be allocated
	OpResolveEffects   = "settle"  // resolve orphaned effects
	OpPruneEffects     = "prune"   // forget effects up to a sequence number
	OpPublishVersion   = "publish" // publish a configuration version
)

// Command is one log entry. Earlier versions wrote only the fields op, key and value; their logs are still read.
type Command struct {
	Op    string `json:"op"`
	Key   string `json:"key,omitempty"` // the key of a value, or the id of an effect
	Value []byte `json:"value,omitempty"`

	Process         string                   `json:"who,omitempty"`   // the process that the command concerns
	Epoch           uint64                   `json:"epoch,omitempty"` // begin: epoch of the process's presence; ack: version of its allocation
	NoEviction      bool                     `json:"keep,omitempty"`  // begin: refuse the effect if the log is full, forgetting none
	Orders          []duty.Order             `json:"orders,omitempty"`
	Fence           *duty.Ref                `json:"fence,omitempty"`  // the grant under which the batch is executed
	Batch           []Command                `json:"do,omitempty"`     // act: the operations
	EffectIDs       []string                 `json:"ids,omitempty"`    // end: ids of effects that succeeded; settle: of those to resolve
	FailedIDs       []string                 `json:"failed,omitempty"` // end: ids of effects that failed
	Amount          int64                    `json:"amount,omitempty"`
	Seq             uint64                   `json:"seq,omitempty"`
	Files           []publish.File           `json:"files,omitempty"`
	Acknowledgement *publish.Acknowledgement `json:"said,omitempty"`

	Change *records.Change `json:"change,omitempty"`
}

// Result is the result of a command.
type Result struct {
	WasAbsent bool     `json:"fresh,omitempty"` // set, delete, begin: the key was absent before
	Value     uint64   `json:"n,omitempty"`     // mark, end, settle, prune: a count; publish: version; change: revision; compare: digest
	Stale     bool     `json:"stale,omitempty"` // refused: the epoch is not in force
	Error     string   `json:"error,omitempty"` // refused, and nothing was changed
	Refusals  []string `json:"part,omitempty"`  // orders: the refusal of each, or ""
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	Values        map[string][]byte
	Duties        *duty.Table
	Allocations   *allocation.Allocations
	Effects       *effectlog.EffectLog
	Config        *publish.History
	Records       *records.Set
	Counters      map[string]uint64 // counters, by duty
	StaleRefusals map[string]uint64 // commands refused for a stale epoch, by duty

	InjectedBug string // an injected bug; "": none
}

// New returns an empty state.
func New() *State {
	return &State{Values: map[string][]byte{}, Duties: duty.NewTable(), Allocations: allocation.NewAllocations(),
		Effects: effectlog.NewEffectLog(maxEffects), Config: publish.NewHistory(), Records: records.NewSet(records.DefaultLimits),
		Counters: map[string]uint64{}, StaleRefusals: map[string]uint64{}}
}

// PresenceInForce reports whether the presence of a process with the given epoch is in force.
func (s *State) PresenceInForce(process string, epoch uint64) bool {
	l := s.Duties.Leases[duty.PresenceName(process)]
	return l != nil && l.Holder == process && l.Epoch == epoch
}

// Apply executes one log entry, which a leader appended in the given term.
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
			return Result{Stale: true, Error: fmt.Sprintf("state: presence epoch %d of %s is not in force", c.Epoch, c.Process)}
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
			return Result{Error: "state: change command without a change"}
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
			return Result{Error: "state: acknowledgement command without an acknowledgement"}
		}
		return Result{Error: errorText(s.Config.Acknowledge(c.Process, *c.Acknowledgement))}
	case OpFenced:
		return s.applyFenced(c)
	}
	return Result{Error: fmt.Sprintf("state: unknown command %q", c.Op)}
}

// applyLeaseOrder applies one decision of the grantor. A process's presence also opens and closes its allocation, and its end
// removes the process's acknowledgement.
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

// applyFenced checks the fencing token and executes the batch atomically, within this log entry.
func (s *State) applyFenced(c Command) Result {
	if c.Fence == nil {
		return Result{Error: "state: fenced command without a fencing token"}
	}
	if err := s.Duties.Fence(*c.Fence); err != nil && s.InjectedBug != duty.BugUnfenced {
		if s.StaleRefusals[c.Fence.Name]++; len(s.StaleRefusals) > maxCounters {
			clear(s.StaleRefusals) // callers choose the names, so their number is unbounded
		}
		return Result{Stale: true, Error: err.Error()}
	}
	// Only changes of allocations are expected to be refused after earlier operations of the batch took effect, so only
	// allocations are rolled back. Copying them takes time proportional to the number of servers and is therefore done only if
	// the batch changes them.
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
			return 0, errors.New("state: too many counters")
		}
		s.Counters[fence.Name]++
		return s.Counters[fence.Name], nil
	case OpSetAllocation:
		return 0, s.Allocations.SetTarget(c.Process, c.Amount, s.InjectedBug == duty.BugEarlyGrowth)
	case OpSetPool:
		return 0, s.Allocations.SetPool(c.Amount)
	case OpResolveEffects:
		if len(c.EffectIDs) > maxOrphansPerCommand {
			return 0, fmt.Errorf("state: %d effects to resolve exceed the limit of %d in one command",
				len(c.EffectIDs), maxOrphansPerCommand)
		}
		return uint64(s.Effects.Resolve(c.EffectIDs, s.PresenceInForce)), nil
	case OpPruneEffects:
		return uint64(s.Effects.Prune(c.Seq)), nil
	case OpPublishVersion:
		return s.Config.Publish(c.Files, c.Seq, fence.Epoch)
	}
	return 0, fmt.Errorf("state: operation %q is not allowed in a fenced command", c.Op)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Snapshot is the encoded form of the state. Earlier versions wrote only the fields values and order.
type Snapshot struct {
	Values        map[string][]byte       `json:"values"`
	EffectOrder   []string                `json:"order,omitempty"` // earlier versions: keys of effects in order; not written any more
	Duties        *duty.Table             `json:"duties,omitempty"`
	Allocations   *allocation.Allocations `json:"shares,omitempty"`
	Effects       *effectlog.EffectLog    `json:"effects,omitempty"`
	Config        *publish.History        `json:"config,omitempty"`
	Records       *records.SetSnapshot    `json:"records,omitempty"`
	Counters      map[string]uint64       `json:"marks,omitempty"`
	StaleRefusals map[string]uint64       `json:"stale,omitempty"`
}

// Snapshot copies the state, so that it can be encoded while further commands are applied.
func (s *State) Snapshot() *Snapshot {
	return &Snapshot{Values: maps.Clone(s.Values), Duties: s.Duties.Clone(), Allocations: s.Allocations.Clone(), Effects: s.Effects.Clone(),
		Config: s.Config.Clone(), Records: s.Records.Snapshot(), Counters: maps.Clone(s.Counters), StaleRefusals: maps.Clone(s.StaleRefusals)}
}

// ReadSnapshot decodes a snapshot, in the present format or that of earlier versions.
func ReadSnapshot(b []byte) (*State, error) {
	var snapshot Snapshot
	if err := json.Unmarshal(b, &snapshot); err != nil {
		return nil, err
	}
	s := New()
	for key, v := range snapshot.Values {
		if !strings.HasPrefix(key, legacyEffectPrefix) {
			s.Values[key] = v
		}
	}
	if snapshot.Duties != nil && snapshot.Duties.Leases != nil {
		s.Duties = snapshot.Duties
		if s.Duties.Frozen == nil {
			s.Duties.Frozen = map[string]bool{}
		}
	}
	if snapshot.Allocations != nil && snapshot.Allocations.Shares != nil {
		s.Allocations = snapshot.Allocations
	}
	if snapshot.Config != nil {
		s.Config = snapshot.Config
		if s.Config.Acknowledgements == nil {
			s.Config.Acknowledgements = map[string]publish.Acknowledgement{}
		}
	}
	if snapshot.Records != nil {
		s.Records = snapshot.Records.Restore(records.DefaultLimits)
	}
	if snapshot.Effects != nil {
		s.Effects = snapshot.Effects
		s.Effects.RebuildIndexes(maxEffects)
	}
	for _, key := range snapshot.EffectOrder {
		s.Effects.Begin(strings.TrimPrefix(key, legacyEffectPrefix), "", 0, false)
	}
	if snapshot.Counters != nil {
		s.Counters = snapshot.Counters
	}
	if snapshot.StaleRefusals != nil {
		s.StaleRefusals = snapshot.StaleRefusals
	}
	return s, nil
}

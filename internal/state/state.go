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

	"puffinsaddle/internal/allot"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/publish"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/settle"
)

const (
	mostEffects  = 1 << 16    // effects retained
	oldEffects   = "effects/" // key prefix of effects in the values of earlier versions
	mostMarks    = 256        // duties with a counter
	orphansAtOne = 256        // orphaned effects resolved by one command
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
	Fence           *duty.Ref                `json:"fence,omitempty"` // the grant under which the batch is executed
	Batch           []Command                `json:"do,omitempty"`    // the batch
	EffectIDs       []string                 `json:"ids,omitempty"`
	FailedIDs       []string                 `json:"failed,omitempty"` // end: ids of effects that failed; those that succeeded are in ids
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
	Allocations   *allot.Ledger
	Effects       *settle.Ledger
	Config        *publish.History
	Records       *records.Set
	Counters      map[string]uint64 // counters, by duty
	StaleRefusals map[string]uint64 // commands refused for a stale epoch, by duty

	InjectedBug string // an injected bug; "": none
}

// New returns an empty state.
func New() *State {
	return &State{Values: map[string][]byte{}, Duties: duty.NewTable(), Allocations: allot.NewLedger(),
		Effects: settle.NewLedger(mostEffects), Config: publish.NewHistory(), Records: records.NewSet(records.DefaultLimits),
		Counters: map[string]uint64{}, StaleRefusals: map[string]uint64{}}
}

// PresenceInForce reports whether the presence of a process with the given epoch is in force.
func (s *State) PresenceInForce(who string, epoch uint64) bool {
	l := s.Duties.Leases[duty.PresenceOf(who)]
	return l != nil && l.Holder == who && l.Epoch == epoch
}

// Apply executes one log entry, which a leader appended in the given term.
func (s *State) Apply(c Command, term uint64) Result {
	switch c.Op {
	case OpSet:
		_, there := s.Values[c.Key]
		s.Values[c.Key] = c.Value
		return Result{WasAbsent: !there}
	case OpDelete:
		_, there := s.Values[c.Key]
		delete(s.Values, c.Key)
		return Result{WasAbsent: !there}
	case OpBeginEffect:
		id := strings.TrimPrefix(c.Key, oldEffects)
		if c.Process != "" && !s.PresenceInForce(c.Process, c.Epoch) {
			return Result{Stale: true, Error: fmt.Sprintf("state: presence epoch %d of %s is not in force", c.Epoch, c.Process)}
		}
		fresh, err := s.Effects.Begin(id, c.Process, c.Epoch, c.NoEviction)
		return Result{WasAbsent: fresh, Error: text(err)}
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
			r.Refusals = append(r.Refusals, text(s.order(o, term)))
		}
		return r
	case OpChangeRecords:
		if c.Change == nil {
			return Result{Error: "state: change command without a change"}
		}
		commit, err := s.Records.Apply(*c.Change)
		return Result{Value: commit.Revision, Error: text(err)}
	case OpCompareDigests:
		return Result{Value: s.Digest(c.Seq)}
	case OpRequestYield:
		return Result{Error: text(s.Duties.Ask(c.Key))}
	case OpFreezeDuty, OpUnfreezeDuty:
		s.Duties.Freeze(c.Key, c.Op == OpFreezeDuty)
		return Result{}
	case OpAcknowledgeAllocation:
		s.Allocations.Ack(c.Process, c.Epoch)
		return Result{}
	case OpAcknowledgeVersion:
		if c.Acknowledgement == nil {
			return Result{Error: "state: acknowledgement command without an acknowledgement"}
		}
		return Result{Error: text(s.Config.Say(c.Process, *c.Acknowledgement))}
	case OpFenced:
		return s.act(c)
	}
	return Result{Error: fmt.Sprintf("state: unknown command %q", c.Op)}
}

// order applies one decision of the grantor. A process's presence also opens and closes its allocation, and its end removes
// the process's acknowledgement.
func (s *State) order(o duty.Order, term uint64) error {
	if err := s.Duties.Apply(o, term); err != nil {
		return err
	}
	if who := duty.PresentWho(o.Name); who != "" {
		if o.Kind == duty.Grant {
			s.Allocations.Join(who)
		} else {
			s.Allocations.Drop(who)
			s.Config.Drop(who)
		}
	}
	return nil
}

// act checks the fencing token and executes the batch atomically, within this log entry.
func (s *State) act(c Command) Result {
	if c.Fence == nil {
		return Result{Error: "state: fenced command without a fencing token"}
	}
	if err := s.Duties.Fence(*c.Fence); err != nil && s.InjectedBug != duty.PlantUnfenced {
		if s.StaleRefusals[c.Fence.Name]++; len(s.StaleRefusals) > mostMarks {
			clear(s.StaleRefusals) // callers choose the names, so their number is unbounded
		}
		return Result{Stale: true, Error: err.Error()}
	}
	// Only changes of allocations are expected to be refused after earlier operations of the batch took effect, so only
	// allocations are rolled back. Copying them takes time proportional to the number of servers and is therefore done only if
	// the batch changes them.
	shares := s.Allocations
	if slices.ContainsFunc(c.Batch, func(d Command) bool { return d.Op == OpSetAllocation || d.Op == OpSetPool }) {
		s.Allocations = shares.Clone()
	}
	var r Result
	for _, d := range c.Batch {
		n, err := s.do(d, *c.Fence)
		if err != nil {
			s.Allocations = shares
			return Result{Error: err.Error()}
		}
		r.Value = n
	}
	return r
}

func (s *State) do(c Command, under duty.Ref) (uint64, error) {
	switch c.Op {
	case OpIncrementCounter:
		if len(s.Counters) >= mostMarks && s.Counters[under.Name] == 0 {
			return 0, errors.New("state: too many counters")
		}
		s.Counters[under.Name]++
		return s.Counters[under.Name], nil
	case OpSetAllocation:
		return 0, s.Allocations.Set(c.Process, c.Amount, s.InjectedBug == duty.PlantEarlyGrowth)
	case OpSetPool:
		return 0, s.Allocations.SetPool(c.Amount)
	case OpResolveEffects:
		if len(c.EffectIDs) > orphansAtOne {
			return 0, fmt.Errorf("state: %d effects to resolve exceed the limit of %d in one command", len(c.EffectIDs), orphansAtOne)
		}
		return uint64(s.Effects.Settle(c.EffectIDs, s.PresenceInForce)), nil
	case OpPruneEffects:
		return uint64(s.Effects.Prune(c.Seq)), nil
	case OpPublishVersion:
		return s.Config.Publish(c.Files, c.Seq, under.Epoch)
	}
	return 0, fmt.Errorf("state: operation %q is not allowed in a fenced command", c.Op)
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Snapshot is the encoded form of the state. Earlier versions wrote only the fields values and order.
type Snapshot struct {
	Values  map[string][]byte `json:"values"`
	Order   []string          `json:"order,omitempty"` // earlier versions: keys of effects in order; not written any more
	Duties  *duty.Table       `json:"duties,omitempty"`
	Shares  *allot.Ledger     `json:"shares,omitempty"`
	Effects *settle.Ledger    `json:"effects,omitempty"`
	Config  *publish.History  `json:"config,omitempty"`
	Records *records.Frozen   `json:"records,omitempty"`
	Marks   map[string]uint64 `json:"marks,omitempty"`
	Stale   map[string]uint64 `json:"stale,omitempty"`
}

// Snapshot copies the state, so that it can be encoded while further commands are applied.
func (s *State) Snapshot() *Snapshot {
	return &Snapshot{Values: maps.Clone(s.Values), Duties: s.Duties.Clone(), Shares: s.Allocations.Clone(), Effects: s.Effects.Clone(),
		Config: s.Config.Clone(), Records: s.Records.Freeze(), Marks: maps.Clone(s.Counters), Stale: maps.Clone(s.StaleRefusals)}
}

// ReadSnapshot decodes a snapshot, in the present format or that of earlier versions.
func ReadSnapshot(b []byte) (*State, error) {
	var k Snapshot
	if err := json.Unmarshal(b, &k); err != nil {
		return nil, err
	}
	s := New()
	for key, v := range k.Values {
		if !strings.HasPrefix(key, oldEffects) {
			s.Values[key] = v
		}
	}
	if k.Duties != nil && k.Duties.Leases != nil {
		s.Duties = k.Duties
		if s.Duties.Frozen == nil {
			s.Duties.Frozen = map[string]bool{}
		}
	}
	if k.Shares != nil && k.Shares.Shares != nil {
		s.Allocations = k.Shares
	}
	if k.Config != nil {
		s.Config = k.Config
		if s.Config.Acknowledgements == nil {
			s.Config.Acknowledgements = map[string]publish.Acknowledgement{}
		}
	}
	if k.Records != nil {
		s.Records = k.Records.Thaw(records.DefaultLimits)
	}
	if k.Effects != nil {
		s.Effects = k.Effects
		s.Effects.Restored(mostEffects)
	}
	for _, key := range k.Order {
		s.Effects.Begin(strings.TrimPrefix(key, oldEffects), "", 0, false)
	}
	if k.Marks != nil {
		s.Counters = k.Marks
	}
	if k.Stale != nil {
		s.StaleRefusals = k.Stale
	}
	return s, nil
}

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
	mostEffects  = 1 << 16    // remembered at once
	oldEffects   = "effects/" // where earlier versions kept them among the keys
	mostMarks    = 256
	orphansAtOne = 256 // effects settled in one step
)

// Kinds of commands.
const (
	Set                = "set"
	Delete             = "delete"
	Begin              = "begin"  // an effect is about to run
	End                = "end"    // effects have ended
	Orders             = "orders" // the grantor's
	Act                = "act"    // under a duty
	Ask                = "ask"    // an operator wants a duty given up
	Freeze             = "freeze" // or not to be granted
	Thaw               = "thaw"
	Ack                = "ack"  // a process uses no more than its share
	AcknowledgeVersion = "word" // what a process made of a version

	Change = "change" // of records

	Compare = "compare" // all copies look at a part of what they hold

	// What may be done in an act.
	Mark    = "mark" // count one up
	Share   = "share"
	Pool    = "pool"
	Settle  = "settle"
	Prune   = "prune"
	Publish = "publish"
)

// Command is one entry of the log. Earlier versions wrote Op, Key and Value alone, and their logs are read.
type Command struct {
	Op    string `json:"op"`
	Key   string `json:"key,omitempty"` // of a value; an effect's id
	Value []byte `json:"value,omitempty"`

	Who    string                   `json:"who,omitempty"`   // the process that speaks
	Epoch  uint64                   `json:"epoch,omitempty"` // of its presence, for Begin; a version, for Ack
	Keep   bool                     `json:"keep,omitempty"`  // forget no effect to make room
	Orders []duty.Order             `json:"orders,omitempty"`
	Fence  *duty.Ref                `json:"fence,omitempty"` // the grant under which an act is done
	Do     []Command                `json:"do,omitempty"`    // the act
	IDs    []string                 `json:"ids,omitempty"`
	Failed []string                 `json:"failed,omitempty"` // for End: ids of effects that failed; IDs has the others
	Amount int64                    `json:"amount,omitempty"`
	Seq    uint64                   `json:"seq,omitempty"`
	Files  []publish.File           `json:"files,omitempty"`
	Said   *publish.Acknowledgement `json:"said,omitempty"`

	Change *records.Change `json:"change,omitempty"`
}

// Result is what a command came to.
type Result struct {
	Fresh bool     `json:"fresh,omitempty"` // Set, Delete, Begin: the key was absent
	N     uint64   `json:"n,omitempty"`     // Mark: the count; Settle, Prune: how many; Publish: the version; Change: the revision; Compare: the digest
	Stale bool     `json:"stale,omitempty"` // refused: the epoch is not the one in force
	Error string   `json:"error,omitempty"` // refused, and nothing was changed
	Part  []string `json:"part,omitempty"`  // Orders: "" or the refusal of each
}

// State is the whole.
type State struct {
	Values  map[string][]byte
	Duties  *duty.Table
	Shares  *allot.Ledger
	Effects *settle.Ledger
	Config  *publish.History
	Records *records.Set
	Marks   map[string]uint64 // by duty
	Stale   map[string]uint64 // acts refused for their epoch, by duty

	Plant string // a planted bug; "": none
}

// New is the empty state.
func New() *State {
	return &State{Values: map[string][]byte{}, Duties: duty.NewTable(), Shares: allot.NewLedger(),
		Effects: settle.NewLedger(mostEffects), Config: publish.NewHistory(), Records: records.NewSet(records.DefaultLimits),
		Marks: map[string]uint64{}, Stale: map[string]uint64{}}
}

// Live tells whether a process's presence of an epoch is in force.
func (s *State) Live(who string, epoch uint64) bool {
	l := s.Duties.Leases[duty.PresenceOf(who)]
	return l != nil && l.Holder == who && l.Epoch == epoch
}

// Apply carries out one entry of the log, written in a leader's term.
func (s *State) Apply(c Command, term uint64) Result {
	switch c.Op {
	case Set:
		_, there := s.Values[c.Key]
		s.Values[c.Key] = c.Value
		return Result{Fresh: !there}
	case Delete:
		_, there := s.Values[c.Key]
		delete(s.Values, c.Key)
		return Result{Fresh: !there}
	case Begin:
		id := strings.TrimPrefix(c.Key, oldEffects)
		if c.Who != "" && !s.Live(c.Who, c.Epoch) {
			return Result{Stale: true, Error: fmt.Sprintf("state: the presence %d of %s is not in force", c.Epoch, c.Who)}
		}
		fresh, err := s.Effects.Begin(id, c.Who, c.Epoch, c.Keep)
		return Result{Fresh: fresh, Error: text(err)}
	case End:
		n := uint64(0)
		for i, ids := range [][]string{c.IDs, c.Failed} {
			for _, id := range ids {
				if s.Effects.End(id, c.Who, i == 0) {
					n++
				}
			}
		}
		return Result{N: n}
	case Orders:
		var r Result
		for _, o := range c.Orders {
			r.Part = append(r.Part, text(s.order(o, term)))
		}
		return r
	case Change:
		if c.Change == nil {
			return Result{Error: "state: no change"}
		}
		commit, err := s.Records.Apply(*c.Change)
		return Result{N: commit.Revision, Error: text(err)}
	case Compare:
		return Result{N: s.Digest(c.Seq)}
	case Ask:
		return Result{Error: text(s.Duties.Ask(c.Key))}
	case Freeze, Thaw:
		s.Duties.Freeze(c.Key, c.Op == Freeze)
		return Result{}
	case Ack:
		s.Shares.Ack(c.Who, c.Epoch)
		return Result{}
	case AcknowledgeVersion:
		if c.Said == nil {
			return Result{Error: "state: no word"}
		}
		return Result{Error: text(s.Config.Say(c.Who, *c.Said))}
	case Act:
		return s.act(c)
	}
	return Result{Error: fmt.Sprintf("state: unknown command %q", c.Op)}
}

// order carries out one of the grantor's, with what hangs on a process's presence.
func (s *State) order(o duty.Order, term uint64) error {
	if err := s.Duties.Apply(o, term); err != nil {
		return err
	}
	if who := duty.PresentWho(o.Name); who != "" {
		if o.Kind == duty.Grant {
			s.Shares.Join(who)
		} else {
			s.Shares.Drop(who)
			s.Config.Drop(who)
		}
	}
	return nil
}

// act checks the epoch and carries the act out, whole or not at all, in this one step.
func (s *State) act(c Command) Result {
	if c.Fence == nil {
		return Result{Error: "state: an act without an epoch"}
	}
	if err := s.Duties.Fence(*c.Fence); err != nil && s.Plant != duty.PlantUnfenced {
		if s.Stale[c.Fence.Name]++; len(s.Stale) > mostMarks {
			clear(s.Stale) // names are made up
		}
		return Result{Stale: true, Error: err.Error()}
	}
	// Shares are the one thing that can be refused after a part was done. To copy them costs as much as the fleet is large,
	// so it is done only where an act touches them.
	shares := s.Shares
	if slices.ContainsFunc(c.Do, func(d Command) bool { return d.Op == Share || d.Op == Pool }) {
		s.Shares = shares.Clone()
	}
	var r Result
	for _, d := range c.Do {
		n, err := s.do(d, *c.Fence)
		if err != nil {
			s.Shares = shares
			return Result{Error: err.Error()}
		}
		r.N = n
	}
	return r
}

func (s *State) do(c Command, under duty.Ref) (uint64, error) {
	switch c.Op {
	case Mark:
		if len(s.Marks) >= mostMarks && s.Marks[under.Name] == 0 {
			return 0, errors.New("state: too many marks")
		}
		s.Marks[under.Name]++
		return s.Marks[under.Name], nil
	case Share:
		return 0, s.Shares.Set(c.Who, c.Amount, s.Plant == duty.PlantEarlyGrowth)
	case Pool:
		return 0, s.Shares.SetPool(c.Amount)
	case Settle:
		if len(c.IDs) > orphansAtOne {
			return 0, fmt.Errorf("state: %d effects to settle in one step, %d at most", len(c.IDs), orphansAtOne)
		}
		return uint64(s.Effects.Settle(c.IDs, s.Live)), nil
	case Prune:
		return uint64(s.Effects.Prune(c.Seq)), nil
	case Publish:
		return s.Config.Publish(c.Files, c.Seq, under.Epoch)
	}
	return 0, fmt.Errorf("state: %q is no act", c.Op)
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Kept is the state's form in a snapshot. Values and Order are all that earlier versions wrote.
type Kept struct {
	Values  map[string][]byte    `json:"values"`
	Order   []string             `json:"order,omitempty"`
	Duties  *duty.Table          `json:"duties,omitempty"`
	Shares  *allot.Ledger        `json:"shares,omitempty"`
	Effects *settle.Ledger       `json:"effects,omitempty"`
	Config  *publish.History     `json:"config,omitempty"`
	Records *records.SetSnapshot `json:"records,omitempty"`
	Marks   map[string]uint64    `json:"marks,omitempty"`
	Stale   map[string]uint64    `json:"stale,omitempty"`
}

// Keep copies the state, so that it can be written while commands go on.
func (s *State) Keep() *Kept {
	return &Kept{Values: maps.Clone(s.Values), Duties: s.Duties.Clone(), Shares: s.Shares.Clone(), Effects: s.Effects.Clone(),
		Config: s.Config.Clone(), Records: s.Records.Snapshot(), Marks: maps.Clone(s.Marks), Stale: maps.Clone(s.Stale)}
}

// Read takes the state of a snapshot, in today's form or an earlier one.
func Read(b []byte) (*State, error) {
	var k Kept
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
		s.Shares = k.Shares
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
		s.Effects.Restored(mostEffects)
	}
	for _, key := range k.Order {
		s.Effects.Begin(strings.TrimPrefix(key, oldEffects), "", 0, false)
	}
	if k.Marks != nil {
		s.Marks = k.Marks
	}
	if k.Stale != nil {
		s.Stale = k.Stale
	}
	return s, nil
}

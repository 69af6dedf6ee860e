// Package settle keeps the record of effects and decides what becomes of those whose server is gone. It is free of I/O.
package settle

import (
	"errors"
	"fmt"
	"slices"
)

// ErrFull refuses an effect where the record has no room and nothing in it may be forgotten yet.
var ErrFull = errors.New("settle: the record of effects is full")

// State of an effect.
type State string

// States. Unknown stays so: what ran on a server that is gone can't be learned here.
const (
	Begun   State = ""
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown"
)

// Effect is one record: an effect that a process was about to run.
type Effect struct {
	Owner string `json:"o,omitempty"` // the process; "": nobody settles it
	Epoch uint64 `json:"e,omitempty"` // of the owner's presence
	Seq   uint64 `json:"q"`           // effects count from 1
	State State  `json:"s,omitempty"`
}

// EffectLog is the record. Its methods are steps of the log.
type EffectLog struct {
	Seq        uint64             `json:"seq"`
	Effects    map[string]*Effect `json:"effects"`
	MaxEffects int                `json:"-"`

	order []string // ids by Seq
	open  map[string]*Effect
}

// NewEffectLog is an empty record for so many effects.
func NewEffectLog(maxEffects int) *EffectLog {
	return &EffectLog{Effects: map[string]*Effect{}, MaxEffects: maxEffects, open: map[string]*Effect{}}
}

// RebuildIndexes completes a record that was read from a snapshot.
func (b *EffectLog) RebuildIndexes(maxEffects int) {
	b.MaxEffects, b.order, b.open = maxEffects, nil, map[string]*Effect{}
	if b.Effects == nil {
		b.Effects = map[string]*Effect{}
	}
	for id, e := range b.Effects {
		b.order = append(b.order, id)
		if e.State == Begun && e.Owner != "" {
			b.open[id] = e
		}
	}
	slices.SortFunc(b.order, func(x, y string) int {
		if b.Effects[x].Seq < b.Effects[y].Seq {
			return -1
		}
		return 1
	})
}

// Clone copies a record.
func (b *EffectLog) Clone() *EffectLog {
	c := &EffectLog{Seq: b.Seq, Effects: make(map[string]*Effect, len(b.Effects))}
	for id, e := range b.Effects {
		v := *e
		c.Effects[id] = &v
	}
	c.RebuildIndexes(b.MaxEffects)
	return c
}

// Begin records an effect; false: it was begun before. Where keep is set, nothing is forgotten to make room: that is
// the settler's, by age.
func (b *EffectLog) Begin(id, owner string, epoch uint64, keepAll bool) (bool, error) {
	if b.Effects[id] != nil {
		return false, nil
	}
	for len(b.Effects) >= b.MaxEffects {
		if keepAll {
			return false, fmt.Errorf("%w: %d", ErrFull, b.MaxEffects)
		}
		b.remove(b.order[0])
		b.order = b.order[1:]
	}
	b.Seq++
	e := &Effect{Owner: owner, Epoch: epoch, Seq: b.Seq}
	b.Effects[id] = e
	b.order = append(b.order, id)
	if owner != "" {
		b.open[id] = e
	}
	return true, nil
}

func (b *EffectLog) remove(id string) {
	delete(b.Effects, id)
	delete(b.open, id)
}

// End books how an effect ended; what was settled, or is another's, stays as it is.
func (b *EffectLog) End(id, owner string, ok bool) bool {
	e := b.open[id]
	if e == nil || e.Owner != owner {
		return false
	}
	e.State = Failed
	if ok {
		e.State = Done
	}
	delete(b.open, id)
	return true
}

// Live tells whether a process's presence of that epoch is in force.
type Live func(owner string, epoch uint64) bool

// Orphans lists effects begun by processes that are gone, the oldest first, at most so many.
func (b *EffectLog) Orphans(live Live, limit int) []string {
	var ids []string
	for id, e := range b.open {
		if !live(e.Owner, e.Epoch) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y string) int {
		if b.Effects[x].Seq < b.Effects[y].Seq {
			return -1
		}
		return 1
	})
	return ids[:min(len(ids), limit)]
}

// Resolve marks effects as of unknown outcome, as far as their process is gone now. Nothing runs one.
func (b *EffectLog) Resolve(ids []string, live Live) (settled int) {
	for _, id := range ids {
		if e := b.open[id]; e != nil && !live(e.Owner, e.Epoch) {
			e.State = Unknown
			delete(b.open, id)
			settled++
		}
	}
	return settled
}

// Prune forgets effects up to a number that have ended.
func (b *EffectLog) Prune(upTo uint64) (pruned int) {
	b.order = slices.DeleteFunc(b.order, func(id string) bool {
		e := b.Effects[id]
		if e.Seq > upTo || b.open[id] != nil {
			return false
		}
		b.remove(id)
		pruned++
		return true
	})
	return pruned
}

// AgeTracker tells which effects have reached an age, by the settler's own clock alone: an effect is as old as the time since
// the settler first saw its number passed, at least. A new settler begins anew, so what it prunes is older still.
type AgeTracker struct {
	observations []observation
}

type observation struct {
	seq uint64
	at  float64
}

// Observe notes that the count stands at a number.
func (a *AgeTracker) Observe(now float64, seq uint64) {
	if n := len(a.observations); n > 0 && a.observations[n-1].seq == seq {
		return // nothing new: these are as old as the first note says
	}
	a.observations = append(a.observations, observation{seq, now})
}

// OlderThan is the number up to which all effects are older than keep, in ms of true time, on a clock that may run fast by
// rate; 0: none is.
func (a *AgeTracker) OlderThan(now, ageMS, drift float64) (seq uint64) {
	for len(a.observations) > 0 && now-a.observations[0].at >= ageMS*(1+drift) {
		seq = a.observations[0].seq
		a.observations = a.observations[1:]
	}
	return seq
}

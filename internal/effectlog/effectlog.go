// Package effectlog keeps the effect log and resolves orphaned effects, those whose server is gone. It does no I/O.
package effectlog

import (
	"errors"
	"fmt"
	"slices"
)

// ErrFull is returned for an effect if the log has reached its limit and no effect in it may be removed yet.
var ErrFull = errors.New("effectlog: the effect log is full")

// State is the state of an effect.
type State string

// The states. Unknown is final: the outcome of an effect on a server that is gone can't be determined.
const (
	Begun   State = ""
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown"
)

// Effect is one entry of the log: an effect that a process was about to run.
type Effect struct {
	Owner string `json:"o,omitempty"` // the process; empty: the effect is never resolved
	Epoch uint64 `json:"e,omitempty"` // of the owner's presence
	Seq   uint64 `json:"q"`           // sequence number, from 1
	State State  `json:"s,omitempty"`
}

// EffectLog is the effect log. Its methods are called in the order of the raft log, so they must be deterministic.
type EffectLog struct {
	Seq        uint64             `json:"seq"`     // sequence number of the latest effect
	Effects    map[string]*Effect `json:"effects"` // by ID
	MaxEffects int                `json:"-"`

	order []string           // IDs in the order of Seq
	open  map[string]*Effect // effects with an owner that have neither ended nor been resolved, by ID
}

// NewEffectLog returns an empty effect log for at most the given number of effects.
func NewEffectLog(maxEffects int) *EffectLog {
	return &EffectLog{Effects: map[string]*Effect{}, MaxEffects: maxEffects, open: map[string]*Effect{}}
}

// RebuildIndexes rebuilds the indexes of an effect log that was read from a snapshot.
func (l *EffectLog) RebuildIndexes(maxEffects int) {
	l.MaxEffects, l.order, l.open = maxEffects, nil, map[string]*Effect{}
	if l.Effects == nil {
		l.Effects = map[string]*Effect{}
	}
	for id, e := range l.Effects {
		l.order = append(l.order, id)
		if e.State == Begun && e.Owner != "" {
			l.open[id] = e
		}
	}
	slices.SortFunc(l.order, func(x, y string) int {
		if l.Effects[x].Seq < l.Effects[y].Seq {
			return -1
		}
		return 1
	})
}

// Clone returns a deep copy.
func (l *EffectLog) Clone() *EffectLog {
	c := &EffectLog{Seq: l.Seq, Effects: make(map[string]*Effect, len(l.Effects))}
	for id, e := range l.Effects {
		v := *e
		c.Effects[id] = &v
	}
	c.RebuildIndexes(l.MaxEffects)
	return c
}

// Begin records an effect and returns false if it was recorded before. In a full log it removes the oldest effects,
// unless keepAll is set: then the settler removes effects by age, and Begin returns ErrFull.
func (l *EffectLog) Begin(id, owner string, epoch uint64, keepAll bool) (bool, error) {
	if l.Effects[id] != nil {
		return false, nil
	}
	for len(l.Effects) >= l.MaxEffects {
		if keepAll {
			return false, fmt.Errorf("%w: %d", ErrFull, l.MaxEffects)
		}
		l.remove(l.order[0])
		l.order = l.order[1:]
	}
	l.Seq++
	e := &Effect{Owner: owner, Epoch: epoch, Seq: l.Seq}
	l.Effects[id] = e
	l.order = append(l.order, id)
	if owner != "" {
		l.open[id] = e
	}
	return true, nil
}

func (l *EffectLog) remove(id string) {
	delete(l.Effects, id)
	delete(l.open, id)
}

// End records how an effect ended and returns whether it did. An effect that has ended, was resolved or has another owner
// is not changed.
func (l *EffectLog) End(id, owner string, ok bool) bool {
	e := l.open[id]
	if e == nil || e.Owner != owner {
		return false
	}
	e.State = Failed
	if ok {
		e.State = Done
	}
	delete(l.open, id)
	return true
}

// Live reports whether a process's presence of that epoch is in force.
type Live func(owner string, epoch uint64) bool

// Orphans lists at most the given number of orphaned effects, the oldest first.
func (l *EffectLog) Orphans(live Live, limit int) []string {
	var ids []string
	for id, e := range l.open {
		if !live(e.Owner, e.Epoch) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y string) int {
		if l.Effects[x].Seq < l.Effects[y].Seq {
			return -1
		}
		return 1
	})
	return ids[:min(len(ids), limit)]
}

// Resolve resolves effects whose process is gone by marking their outcome as unknown, and returns how many it marked. An
// effect is never run to resolve it.
func (l *EffectLog) Resolve(ids []string, live Live) (resolved int) {
	for _, id := range ids {
		if e := l.open[id]; e != nil && !live(e.Owner, e.Epoch) {
			e.State = Unknown
			delete(l.open, id)
			resolved++
		}
	}
	return resolved
}

// Prune removes the effects with a sequence number of at most upTo that are no longer open, and returns how many.
func (l *EffectLog) Prune(upTo uint64) (pruned int) {
	l.order = slices.DeleteFunc(l.order, func(id string) bool {
		e := l.Effects[id]
		if e.Seq > upTo || l.open[id] != nil {
			return false
		}
		l.remove(id)
		pruned++
		return true
	})
	return pruned
}

// AgeTracker determines which effects have reached an age by the settler's own clock alone: an effect is at least as old
// as the time since the settler first observed its sequence number. A new settler starts without observations, so the
// effects that it prunes are older still.
type AgeTracker struct {
	observations []observation
}

type observation struct {
	seq uint64
	at  float64
}

// Observe records that the latest sequence number is seq at the time now, in milliseconds.
func (a *AgeTracker) Observe(now float64, seq uint64) {
	if n := len(a.observations); n > 0 && a.observations[n-1].seq == seq {
		return // no new effects: the first observation of the number gives their age
	}
	a.observations = append(a.observations, observation{seq, now})
}

// OlderThan returns the sequence number up to which all effects are older than ageMS milliseconds of true time, or 0, and
// removes the observations used. The clock may run fast by the fraction drift.
func (a *AgeTracker) OlderThan(now, ageMS, drift float64) (seq uint64) {
	for len(a.observations) > 0 && now-a.observations[0].at >= ageMS*(1+drift) {
		seq = a.observations[0].seq
		a.observations = a.observations[1:]
	}
	return seq
}

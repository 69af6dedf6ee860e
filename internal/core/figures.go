package core

import (
	"sync"
	"sync/atomic"
)

// Metrics are counts from the start of the process, by class, for operators.
type Metrics struct {
	OK       map[string]int64 `json:"ok"`
	Shed     map[string]int64 `json:"shed"`
	Errors   map[string]int64 `json:"errors"`
	Attempts int64            `json:"tries"`  // runs begun
	Active   int64            `json:"active"` // requests taken and not yet ended
}

type classCounts struct{ ok, shed, errors atomic.Int64 }

// counts has an entry for every class of the settings and for no other, so that what callers make up takes no
// memory here.
type counts struct {
	mu               sync.RWMutex
	byClass          map[string]*classCounts
	active, attempts atomic.Int64
}

func (n *counts) add(class string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byClass[class] == nil {
		n.byClass[class] = &classCounts{}
	}
}

func (n *counts) class(name string) *classCounts {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.byClass[name]
}

func (n *counts) countAnswer(class string, v Verdict) {
	k := n.class(class)
	switch {
	case k == nil:
	case v == Served:
		k.ok.Add(1)
	case v == Refused:
		k.shed.Add(1)
	default:
		k.errors.Add(1)
	}
}

// Metrics reads the counts.
func (c *Core) Metrics() Metrics {
	f := Metrics{OK: map[string]int64{}, Shed: map[string]int64{}, Errors: map[string]int64{},
		Attempts: c.counts.attempts.Load(), Active: c.counts.active.Load()}
	c.counts.mu.RLock()
	defer c.counts.mu.RUnlock()
	for name, k := range c.counts.byClass {
		f.OK[name], f.Shed[name], f.Errors[name] = k.ok.Load(), k.shed.Load(), k.errors.Load()
	}
	return f
}

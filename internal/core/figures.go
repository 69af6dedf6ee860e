package core

import (
	"sync"
	"sync/atomic"
)

// Metrics has the request counts since the start of the process, by class.
type Metrics struct {
	OK       map[string]int64 `json:"ok"`
	Shed     map[string]int64 `json:"shed"`
	Errors   map[string]int64 `json:"errors"`
	Attempts int64            `json:"tries"`  // attempts started
	Active   int64            `json:"active"` // requests accepted and not yet ended
}

type classCounts struct{ ok, shed, errors atomic.Int64 }

// counts has an entry for each class of the settings and for no other, so that class names invented by callers take no
// memory.
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
	counts := n.class(class)
	switch {
	case counts == nil:
	case v == Served:
		counts.ok.Add(1)
	case v == Refused:
		counts.shed.Add(1)
	default:
		counts.errors.Add(1)
	}
}

// Metrics returns the current counts.
func (c *Core) Metrics() Metrics {
	m := Metrics{OK: map[string]int64{}, Shed: map[string]int64{}, Errors: map[string]int64{},
		Attempts: c.counts.attempts.Load(), Active: c.counts.active.Load()}
	c.counts.mu.RLock()
	defer c.counts.mu.RUnlock()
	for name, k := range c.counts.byClass {
		m.OK[name], m.Shed[name], m.Errors[name] = k.ok.Load(), k.shed.Load(), k.errors.Load()
	}
	return m
}

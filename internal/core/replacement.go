package core

import (
	"puffinsaddle/internal/clock"
	"puffinsaddle/policy"
)

// KeyedAttempt describes an attempt of a keyed request that a process has started, for its successor. Callers see the two
// processes as one server, on which no other attempt of the same request may run. It is encoded under its field names.
type KeyedAttempt struct {
	Class   policy.Class
	Once    string  // the idempotency key
	Until   float64 // the end of the window, in Unix milliseconds
	Expires float64 // when the entry may be removed, in Unix milliseconds
	Body    uint64  // hash of the body
	Good    bool    // it succeeded with Result; otherwise its outcome is failure or unknown
	Result  []byte
}

// exportAttempts lists the keyed attempts that were started.
func (t *keyTable) exportAttempts() []KeyedAttempt {
	list := []KeyedAttempt{}
	for _, e := range t.byID {
		if e.key.keyed && e.started {
			list = append(list, KeyedAttempt{e.class, e.key.key, e.windowEnd, e.expiresAt, e.bodyHash, e.ended && e.succeeded, e.result})
		}
	}
	return list
}

// importAttempt adds an attempt of another process. The memory limit does not apply, since the attempt was started already.
func (t *keyTable) importAttempt(id policy.ID, attempt KeyedAttempt) {
	e := &entry{id: id, key: classKey{attempt.Class.Name, attempt.Once, true}, expiresAt: attempt.Expires, ended: true,
		succeeded: attempt.Good, result: attempt.Result, windowEnd: attempt.Until, bodyHash: attempt.Body,
		class: attempt.Class, started: true}
	if old := t.byKey[e.key]; old != nil {
		t.forget(old.id)
	}
	t.byKey[e.key], t.byID[id] = e, e
	t.usedBytes += e.size()
}

// ExportKeyedAttempts lists the keyed attempts for a successor that is about to serve alongside this process. This
// process then starts no keyed request until ResumeKeyedAttempts is called.
func (c *Core) ExportKeyedAttempts() (attempts []KeyedAttempt) {
	c.runAndWait(func() {
		c.keys.otherProcesses++
		attempts = c.keys.exportAttempts()
	})
	return attempts
}

// ResumeKeyedAttempts reports that the other process is gone. The attempts that it started are unknown here, so keyed
// requests start again only after the longest window in which a repeat of one of them may arrive.
func (c *Core) ResumeKeyedAttempts() {
	c.AfterPendingEvents(func() {
		c.keys.otherProcesses--
		longest := 0.0
		for _, class := range c.classes {
			if class.Safety == policy.Keyed {
				longest = max(longest, clock.Millis(class.KeyTTL)+clockSlackMS)
			}
		}
		if longest > 0 {
			c.log.Warn().Float64("ms", longest).
				Msg("keyed requests are refused for this time: the attempts of another process are unknown")
			c.keys.noStartBefore = c.clock.Now() + longest
		}
	})
}

// ImportKeyedAttempts adds the keyed attempts of the predecessor.
func (c *Core) ImportKeyedAttempts(attempts []KeyedAttempt) {
	c.runAndWait(func() {
		for _, attempt := range attempts {
			c.keys.importAttempt(c.newID(), attempt)
		}
	})
}

// runAndWait runs a function on the goroutine of Run and waits until it returns, or until Stop is called.
func (c *Core) runAndWait(f func()) {
	done := make(chan struct{})
	c.AfterPendingEvents(func() { f(); close(done) })
	select {
	case <-done:
	case <-c.stop:
	}
}

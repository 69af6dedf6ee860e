package core

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"sync"

	"puffinsaddle/internal/clock"
	"puffinsaddle/policy"
)

const (
	maxReads           = 8192    // reads that are remembered; the module books their memory and stays far below
	maxResultBytes     = 4 << 10 // bytes of a result, by the protocol: room for one that is still to come
	entryOverheadBytes = 512     // what an entry takes besides

	expireIntervalMS  = 100.0 // milliseconds
	clockSlackMS      = 100.0 // is added to a window: the callers' clock is the machine's, read a moment earlier
	effectRetentionMS = 2 * (maxAgeMS + maxClockAheadMS)
)

// keyTable ties tries together, as the module orders, and keeps their results: reads of one class and key for as long
// as a result is fresh, and the tries of one request of a keyed class for the whole window in which another may come.
type keyTable struct {
	freshMS        float64
	maxBytes       int // bytes for what is keyed
	usedBytes      int
	lastExpiry     float64 // when what has had its time was last dropped
	otherProcesses int     // processes beside this one that begin what is keyed: then this one begins nothing
	noStartBefore  float64 // nor up to then: one that went may have, and told nothing of it
	byKey          map[classKey]*entry
	byID           map[policy.ID]*entry
	unremembered   map[classKey]*entry // keyed requests of one call of the module, which has not ordered to remember them yet
}

type classKey struct {
	class, key string
	keyed      bool
}

type entry struct {
	id        policy.ID
	key       classKey
	expiresAt float64
	ended     bool
	succeeded bool
	madeAt    float64 // when the result was made, no later than it truly was
	result    []byte

	windowEnd float64      // keyed: no try that reached the machine up to then may run
	bodyHash  uint64       // keyed: sum of the body, which all tries share
	class     policy.Class // keyed: its class, which new settings may not have
	started   bool         // keyed: its run was ordered
}

func newKeyTable(freshMS float64, maxBytes int) keyTable {
	return keyTable{freshMS: freshMS, maxBytes: maxBytes, byKey: map[classKey]*entry{}, byID: map[policy.ID]*entry{},
		unremembered: map[classKey]*entry{}}
}

// tableKey is what ties a request to others; without a key, nothing does.
func tableKey(l *Handler) (classKey, bool) {
	if l.class.Safety == policy.Keyed {
		return classKey{l.request.Class, l.request.IdempotencyKey, true}, true
	}
	return classKey{l.request.Class, l.request.Key, false}, l.class.Safety == policy.Safe && l.request.Key != ""
}

// size is what a keyed entry takes of the room: until its end, as much as its result may.
func (e *entry) size() int {
	if e.ended {
		return entryOverheadBytes + len(e.result)
	}
	return entryOverheadBytes + maxResultBytes
}

// remember keeps an entry, where there is room.
func (t *keyTable) remember(l *Handler, expiresAt float64) {
	key, hasKey := tableKey(l)
	if !hasKey {
		return
	}
	e := &entry{id: l.id, key: key, expiresAt: expiresAt}
	if old := t.byKey[key]; old != nil {
		t.forget(old.id)
	}
	if key.keyed {
		window, deadline := clock.Millis(l.class.KeyTTL), clock.Millis(l.class.Deadline)
		e.windowEnd, e.bodyHash, e.class = l.request.ArrivedAt+window+clockSlackMS, t.hashBody(l.request), l.class
		// A try that reached the machine within the window may be read up to its deadline later.
		e.expiresAt = e.windowEnd + deadline + clockSlackMS
		if t.usedBytes+e.size() > t.maxBytes {
			return
		}
		t.usedBytes += e.size()
	} else if len(t.byKey) >= maxReads {
		return
	}
	t.byKey[key], t.byID[l.id] = e, e
}

func (t *keyTable) forget(id policy.ID) {
	if e := t.byID[id]; e != nil {
		delete(t.byID, id)
		delete(t.byKey, e.key)
		if e.key.keyed {
			t.usedBytes -= e.size()
		}
	}
}

// usable tells whether a request that reached the machine at a given time may have the entry's result. The age
// of a result counts to the arrival of the read, not to the moment at which we look.
func (t *keyTable) usable(e *entry, arrivedAt float64) bool {
	if e.key.keyed {
		return !e.ended || e.succeeded
	}
	return !e.ended || e.succeeded && arrivedAt <= e.madeAt+t.freshMS
}

// findRead names the remembered read that this one repeats.
func (t *keyTable) findRead(l *Handler, now float64) (policy.ID, bool) {
	key, hasKey := tableKey(l)
	e := t.byKey[key]
	if !hasKey || e == nil || now >= e.expiresAt || !t.usable(e, l.request.ArrivedAt) {
		return 0, false
	}
	return e.id, true
}

// findAttempt names the try of a keyed request that this one repeats, held, running or over. Of those that the module hears
// of in one call, the first stands for the others. False: another body came under the same key, so it is no try of
// the same request.
func (t *keyTable) findAttempt(l *Handler) (first policy.ID, repeats, same bool) {
	key, _ := tableKey(l)
	bodyHash := t.hashBody(l.request)
	e := t.findKeyed(l.request)
	if e == nil {
		if e = t.unremembered[key]; e == nil {
			t.unremembered[key] = &entry{id: l.id, bodyHash: bodyHash}
			return 0, false, true
		}
	}
	return e.id, true, e.bodyHash == bodyHash
}

// findKeyed is the try of a keyed request in whose window this one came, whatever the settings say of its class by now.
func (t *keyTable) findKeyed(q *Request) *entry {
	if q.IdempotencyKey == "" {
		return nil
	}
	if e := t.byKey[classKey{q.Class, q.IdempotencyKey, true}]; e != nil && q.ArrivedAt <= e.windowEnd {
		return e
	}
	return nil
}

// hashBody tells bodies apart, to a successor's process as well.
func (t *keyTable) hashBody(q *Request) uint64 {
	h := fnv.New64a()
	h.Write(q.Body)
	return h.Sum64()
}

// mayStart tells whether a request may start: one that is keyed needs an entry that ties its tries, and that no other
// process begins them too. False: it never ran, and is not to.
func (t *keyTable) mayStart(l *Handler, now float64) bool {
	if l.class.Safety != policy.Keyed {
		return true
	}
	e := t.byID[l.id]
	if e == nil || t.otherProcesses > 0 || now < t.noStartBefore {
		return false
	}
	e.started = true
	return true
}

// KeyedAttempt is what a process tells its successor of a try that it ran, or runs: with the two beside each other, callers see one
// server, on which no other try of the same request may run.
type KeyedAttempt struct {
	Class   policy.Class
	Once    string
	Until   float64
	Expires float64
	Body    uint64
	Good    bool // it ended well, with this result; else its end is not known here
	Result  []byte
}

// exportAttempts lists the tries that ran or run.
func (t *keyTable) exportAttempts() []KeyedAttempt {
	list := []KeyedAttempt{}
	for _, e := range t.byID {
		if e.key.keyed && e.started {
			list = append(list, KeyedAttempt{e.class, e.key.key, e.windowEnd, e.expiresAt, e.bodyHash, e.ended && e.succeeded, e.result})
		}
	}
	return list
}

// importAttempt keeps a tie of another process. It is kept whatever room there is: what ran, ran.
func (t *keyTable) importAttempt(id policy.ID, attempt KeyedAttempt) {
	e := &entry{id: id, key: classKey{attempt.Class.Name, attempt.Once, true}, expiresAt: attempt.Expires, ended: true, succeeded: attempt.Good,
		result: attempt.Result, windowEnd: attempt.Until, bodyHash: attempt.Body, class: attempt.Class, started: true}
	if old := t.byKey[e.key]; old != nil {
		t.forget(old.id)
	}
	t.byKey[e.key], t.byID[id] = e, e
	t.usedBytes += e.size()
}

// ExportKeyedAttempts lists the ties for another process that is about to serve beside this one. From then on this one begins nothing
// keyed, until ResumeKeyedAttempts.
func (c *Core) ExportKeyedAttempts() (attempts []KeyedAttempt) {
	c.runAndWait(func() {
		c.keys.otherProcesses++
		attempts = c.keys.exportAttempts()
	})
	return attempts
}

// ResumeKeyedAttempts tells that the other process is gone. What it began is not known here, so the time has to pass in which another
// try of that may come.
func (c *Core) ResumeKeyedAttempts() {
	c.AfterPendingEvents(func() {
		c.keys.otherProcesses--
		longest := 0.0
		for _, k := range c.classes {
			if k.Safety == policy.Keyed {
				longest = max(longest, clock.Millis(k.KeyTTL)+clockSlackMS)
			}
		}
		if longest > 0 {
			c.log.Warn().Float64("ms", longest).Msg("no keyed request is begun for so long: what another process ran is not known here")
			c.keys.noStartBefore = c.clock.Now() + longest
		}
	})
}

// ImportKeyedAttempts takes over the ties of the process before this one.
func (c *Core) ImportKeyedAttempts(attempts []KeyedAttempt) {
	c.runAndWait(func() {
		for _, attempt := range attempts {
			c.keys.importAttempt(c.newID(), attempt)
		}
	})
}

// runAndWait calls back on the owner's goroutine and waits for that; not once Run has ended.
func (c *Core) runAndWait(f func()) {
	done := make(chan struct{})
	c.AfterPendingEvents(func() { f(); close(done) })
	select {
	case <-done:
	case <-c.stop:
	}
}

// resultFor is the result that other tries with the same body are answered with.
func (e *entry) resultFor(bodyHash uint64) ([]byte, bool) {
	return e.result, e.ended && e.succeeded && e.bodyHash == bodyHash
}

// recordEnd keeps the result of a remembered run. One of which nothing ran ties no other try to it.
func (t *keyTable) recordEnd(f policy.Finished, n Notice) {
	e := t.byID[f.ID]
	if e == nil || e.ended {
		return
	}
	if e.key.keyed {
		if f.Outcome == policy.NotRun {
			t.forget(f.ID)
			return
		}
		t.usedBytes -= e.size()
		defer func() { t.usedBytes += e.size() }()
	}
	e.ended, e.succeeded, e.madeAt = true, f.Outcome == policy.OK && n.Ended, n.MadeAt
	if e.succeeded {
		e.result = append([]byte(nil), n.Body...)
	}
}

// result is what a request may share.
func (t *keyTable) result(l *Handler) ([]byte, bool) {
	key, hasKey := tableKey(l)
	e := t.byKey[key]
	if !hasKey || e == nil || !e.ended || !t.usable(e, l.request.ArrivedAt) {
		return nil, false
	}
	return e.result, true
}

// expire drops what has had its time. A look at all of them is not for every call of the module.
func (t *keyTable) expire(now float64) {
	if now >= t.lastExpiry && now < t.lastExpiry+expireIntervalMS {
		return
	}
	t.lastExpiry = now
	for id, e := range t.byID {
		if now >= e.expiresAt {
			t.forget(id)
		}
	}
}

// memoryEffectLog remembers the effects begun since this process started: each for as long as a request with its id can
// come again and pass for new, by its own figures. It grows with what it holds, and keeps no id as text: a piece of a
// message would keep the whole of it.
type memoryEffectLog struct {
	mu      sync.Mutex
	clock   *clock.Clock
	started map[effectID]struct{}
	byAge   []startedEffect // oldest first
}

type effectID [8]byte

type startedEffect struct {
	id effectID
	at float64
}

func newMemoryEffectLog(clk *clock.Clock) *memoryEffectLog {
	return &memoryEffectLog{clock: clk, started: map[effectID]struct{}{}}
}

func (m *memoryEffectLog) Begin(id string) (bool, error) {
	var e effectID
	if n, err := hex.Decode(e[:], []byte(id)); err != nil || n != len(e) {
		return false, fmt.Errorf("%q is not 16 hex digits", id)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.started[e]; known {
		return false, nil
	}
	now := m.clock.Now()
	for len(m.byAge) > 0 && m.byAge[0].at < now-effectRetentionMS {
		delete(m.started, m.byAge[0].id)
		m.byAge = m.byAge[1:]
	}
	m.byAge = append(m.byAge, startedEffect{e, now})
	m.started[e] = struct{}{}
	return true, nil
}

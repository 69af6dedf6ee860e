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
	mostKeys   = 8192    // remembered reads; the module accounts for their memory and stays far under this number
	mostResult = 4 << 10 // bytes of a result by the protocol, reserved until the result is known
	entryBytes = 512     // bytes of an entry without its result

	expireEvery = 100.0 // milliseconds
	keyedSlack  = 100.0 // milliseconds added to a window, since callers read the same clock a moment earlier

	// Milliseconds for which a started effect is remembered: longer than a request with its ID can pass Check.
	ledgerFor = 2 * (mostOld + mostSoon)
)

// keyTable finds earlier requests that a new one repeats, as the module orders, and keeps their results: reads of one
// class and key while a result is fresh, and the attempts of one keyed request for the window in which another may come.
type keyTable struct {
	fresh  float64 // how long the result of a read may be shared, in milliseconds
	room   int     // memory limit for keyed entries, in bytes
	used   int
	looked float64 // when expired entries were last removed
	others int     // other processes that may start keyed requests; this one starts none while there are any
	blind  float64 // nor before this time: a process that is gone may have started some without reporting them
	byKey  map[classKey]*entry
	byID   map[policy.ID]*entry
	claims map[classKey]*entry // keyed requests of the present call of the module, before it orders to remember them
}

type classKey struct {
	class, key string
	keyed      bool
}

type entry struct {
	id      policy.ID
	of      classKey
	expires float64
	ended   bool
	good    bool
	made    float64 // when the result was made, in Unix milliseconds; never later than the true time
	result  []byte

	until float64      // keyed: no other attempt that reached the machine up to this time may run
	body  uint64       // keyed: hash of the body, which is the same for all attempts
	class policy.Class // keyed: the class, which new settings may lack
	begun bool         // keyed: the module started it
}

func newKeyTable(fresh float64, room int) keyTable {
	return keyTable{fresh: fresh, room: room, byKey: map[classKey]*entry{}, byID: map[policy.ID]*entry{},
		claims: map[classKey]*entry{}}
}

// keyOf returns the key under which other requests find this one, and false if it has none.
func keyOf(l *Handler) (classKey, bool) {
	if l.class.Safety == policy.Keyed {
		return classKey{l.req.Class, l.req.IdempotencyKey, true}, true
	}
	return classKey{l.req.Class, l.req.Key, false}, l.class.Safety == policy.Safe && l.req.Key != ""
}

// size returns the bytes that a keyed entry counts for; until it ends, its result counts with the maximum size.
func (e *entry) size() int {
	if e.ended {
		return entryBytes + len(e.result)
	}
	return entryBytes + mostResult
}

// remember adds an entry for a request, unless the table is full.
func (t *keyTable) remember(l *Handler, expires float64) {
	of, tied := keyOf(l)
	if !tied {
		return
	}
	e := &entry{id: l.id, of: of, expires: expires}
	if old := t.byKey[of]; old != nil {
		t.forget(old.id)
	}
	if of.keyed {
		window, deadline := clock.Millis(l.class.KeyTTL), clock.Millis(l.class.Deadline)
		e.until, e.body, e.class = l.req.ArrivedAt+window+keyedSlack, t.sum(l.req), l.class
		// An attempt that reached the machine within the window may be read up to its deadline later.
		e.expires = e.until + deadline + keyedSlack
		if t.used+e.size() > t.room {
			return
		}
		t.used += e.size()
	} else if len(t.byKey) >= mostKeys {
		return
	}
	t.byKey[of], t.byID[l.id] = e, e
}

func (t *keyTable) forget(id policy.ID) {
	if e := t.byID[id]; e != nil {
		delete(t.byID, id)
		delete(t.byKey, e.of)
		if e.of.keyed {
			t.used -= e.size()
		}
	}
}

// usable reports whether a request that reached the machine at a given time may share the entry's result. The age of a
// result counts up to the arrival of the read, not up to the time of this call.
func (t *keyTable) usable(e *entry, at float64) bool {
	if e.of.keyed {
		return !e.ended || e.good
	}
	return !e.ended || e.good && at <= e.made+t.fresh
}

// original returns the remembered read that a request repeats, if there is one.
func (t *keyTable) original(l *Handler, now float64) (policy.ID, bool) {
	of, tied := keyOf(l)
	e := t.byKey[of]
	if !tied || e == nil || now >= e.expires || !t.usable(e, l.req.ArrivedAt) {
		return 0, false
	}
	return e.id, true
}

// try returns the attempt that a keyed request repeats, whether queued, running or ended. Of several attempts in one call
// of the module, the first is the original of the others. If same is false, the key was used with another body, so this
// is not an attempt of the same request.
func (t *keyTable) try(l *Handler) (first policy.ID, repeats, same bool) {
	of, _ := keyOf(l)
	body := t.sum(l.req)
	e := t.tied(l.req)
	if e == nil {
		if e = t.claims[of]; e == nil {
			t.claims[of] = &entry{id: l.id, body: body}
			return 0, false, true
		}
	}
	return e.id, true, e.body == body
}

// tied returns the entry of the keyed request in whose window a request arrived, whether or not the present settings
// still have its class as keyed.
func (t *keyTable) tied(q *Request) *entry {
	if q.IdempotencyKey == "" {
		return nil
	}
	if e := t.byKey[classKey{q.Class, q.IdempotencyKey, true}]; e != nil && q.ArrivedAt <= e.until {
		return e
	}
	return nil
}

// sum returns a hash of the body. It is the same in every process, since entries are exported to successors.
func (t *keyTable) sum(q *Request) uint64 {
	h := fnv.New64a()
	h.Write(q.Body)
	return h.Sum64()
}

// mayBegin reports whether a request may start. A keyed one needs an entry, by which its other attempts are recognized,
// and no other process that may start keyed requests.
func (t *keyTable) mayBegin(l *Handler, now float64) bool {
	if l.class.Safety != policy.Keyed {
		return true
	}
	e := t.byID[l.id]
	if e == nil || t.others > 0 || now < t.blind {
		return false
	}
	e.begun = true
	return true
}

// KeyedAttempt describes an attempt of a keyed request that a process has started, for its successor: callers see the two processes
// as one server, on which no other attempt of the same request may run. It is encoded under its field names.
type KeyedAttempt struct {
	Class   policy.Class
	Once    string
	Until   float64
	Expires float64
	Body    uint64
	Good    bool // it succeeded with Result; otherwise its outcome is failure or unknown
	Result  []byte
}

// ties lists the keyed attempts that were started.
func (t *keyTable) ties() []KeyedAttempt {
	list := []KeyedAttempt{}
	for _, e := range t.byID {
		if e.of.keyed && e.begun {
			list = append(list, KeyedAttempt{e.class, e.of.key, e.until, e.expires, e.body, e.ended && e.good, e.result})
		}
	}
	return list
}

// take adds an attempt of another process. The memory limit does not apply, since the attempt was started already.
func (t *keyTable) take(id policy.ID, tie KeyedAttempt) {
	e := &entry{id: id, of: classKey{tie.Class.Name, tie.Once, true}, expires: tie.Expires, ended: true, good: tie.Good,
		result: tie.Result, until: tie.Until, body: tie.Body, class: tie.Class, begun: true}
	if old := t.byKey[e.of]; old != nil {
		t.forget(old.id)
	}
	t.byKey[e.of], t.byID[id] = e, e
	t.used += e.size()
}

// ExportKeyedAttempts lists the keyed attempts for a successor that is about to serve beside this process. From then on this process
// starts no keyed request, until ResumeKeyedAttempts.
func (c *Core) ExportKeyedAttempts() (ties []KeyedAttempt) {
	c.ask(func() {
		c.keys.others++
		ties = c.keys.ties()
	})
	return ties
}

// ResumeKeyedAttempts reports that the other process is gone. The attempts that it started are unknown here, so keyed requests start
// again only after the longest window in which a repeat of one of them may arrive.
func (c *Core) ResumeKeyedAttempts() {
	c.AfterPendingEvents(func() {
		c.keys.others--
		longest := 0.0
		for _, k := range c.class {
			if k.Safety == policy.Keyed {
				longest = max(longest, clock.Millis(k.KeyTTL)+keyedSlack)
			}
		}
		if longest > 0 {
			c.log.Warn().Float64("ms", longest).Msg("keyed requests are refused for this time: the attempts of another process are unknown")
			c.keys.blind = c.clock.Now() + longest
		}
	})
}

// ImportKeyedAttempts adds the keyed attempts of the predecessor.
func (c *Core) ImportKeyedAttempts(ties []KeyedAttempt) {
	c.ask(func() {
		for _, tie := range ties {
			c.keys.take(c.newID(), tie)
		}
	})
}

// ask runs a function on the goroutine of Run and waits until it returns, or until Stop is called.
func (c *Core) ask(call func()) {
	done := make(chan struct{})
	c.AfterPendingEvents(func() { call(); close(done) })
	select {
	case <-done:
	case <-c.stop:
	}
}

// served returns the result for another attempt with the given body, if this one has succeeded with the same body.
func (e *entry) served(body uint64) ([]byte, bool) {
	return e.result, e.ended && e.good && e.body == body
}

// ended records the end of a remembered attempt with its result. A keyed attempt that never ran is removed, so that
// another attempt may run.
func (t *keyTable) ended(f policy.Finished, n Notice) {
	e := t.byID[f.ID]
	if e == nil || e.ended {
		return
	}
	if e.of.keyed {
		if f.Outcome == policy.Moot {
			t.forget(f.ID)
			return
		}
		t.used -= e.size()
		defer func() { t.used += e.size() }()
	}
	e.ended, e.good, e.made = true, f.Outcome == policy.OK && n.Ended, n.Made
	if e.good {
		e.result = append([]byte(nil), n.Body...)
	}
}

// result returns the result that a request may share, if there is one.
func (t *keyTable) result(l *Handler) ([]byte, bool) {
	of, tied := keyOf(l)
	e := t.byKey[of]
	if !tied || e == nil || !e.ended || !t.usable(e, l.req.ArrivedAt) {
		return nil, false
	}
	return e.result, true
}

// expire removes expired entries. It scans the whole table, so it does so only once in expireEvery.
func (t *keyTable) expire(now float64) {
	if now >= t.looked && now < t.looked+expireEvery {
		return
	}
	t.looked = now
	for id, e := range t.byID {
		if now >= e.expires {
			t.forget(id)
		}
	}
}

// memoryLedger is an effect log in memory for the effects started by this process. It keeps each effect for as long as a
// request with its ID can pass Check, so it has no fixed size. IDs are stored in binary form: a substring of a message
// would keep the whole message in memory.
type memoryLedger struct {
	mu    sync.Mutex
	clock *clock.Clock
	begun map[effect]struct{}
	line  []begunAt // in order of age, oldest first
}

type effect [8]byte

type begunAt struct {
	effect effect
	at     float64
}

func newMemoryLedger(clk *clock.Clock) *memoryLedger {
	return &memoryLedger{clock: clk, begun: map[effect]struct{}{}}
}

func (m *memoryLedger) Begin(id string) (bool, error) {
	var e effect
	if n, err := hex.Decode(e[:], []byte(id)); err != nil || n != len(e) {
		return false, fmt.Errorf("%q is not 16 hex digits", id)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, was := m.begun[e]; was {
		return false, nil
	}
	now := m.clock.Now()
	for len(m.line) > 0 && m.line[0].at < now-ledgerFor {
		delete(m.begun, m.line[0].effect)
		m.line = m.line[1:]
	}
	m.line = append(m.line, begunAt{e, now})
	m.begun[e] = struct{}{}
	return true, nil
}

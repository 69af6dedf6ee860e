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
	mostKeys   = 8192    // reads that are remembered; the module books their memory and stays far below
	mostResult = 4 << 10 // bytes of a result, by the protocol: room for one that is still to come
	entryBytes = 512     // what an entry takes besides

	expireEvery = 100.0 // milliseconds
	keyedSlack  = 100.0 // is added to a window: the callers' clock is the machine's, read a moment earlier
	ledgerFor   = 2 * (mostOld + mostSoon)
)

// keyTable ties tries together, as the module orders, and keeps their results: reads of one class and key for as long
// as a result is fresh, and the tries of one request of a keyed class for the whole window in which another may come.
type keyTable struct {
	fresh  float64
	room   int // bytes for what is keyed
	used   int
	looked float64 // when what has had its time was last dropped
	others int     // processes beside this one that begin what is keyed: then this one begins nothing
	blind  float64 // nor up to then: one that went may have, and told nothing of it
	byKey  map[classKey]*entry
	byID   map[policy.ID]*entry
	claims map[classKey]*entry // keyed requests of one call of the module, which has not ordered to remember them yet
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
	made    float64 // when the result was made, no later than it truly was
	result  []byte

	until float64      // keyed: no try that reached the machine up to then may run
	body  uint64       // keyed: sum of the body, which all tries share
	class policy.Class // keyed: its class, which new settings may not have
	begun bool         // keyed: its run was ordered
}

func newKeyTable(fresh float64, room int) keyTable {
	return keyTable{fresh: fresh, room: room, byKey: map[classKey]*entry{}, byID: map[policy.ID]*entry{},
		claims: map[classKey]*entry{}}
}

// keyOf is what ties a request to others; without a key, nothing does.
func keyOf(l *Handler) (classKey, bool) {
	if l.class.Safety == policy.Keyed {
		return classKey{l.req.Class, l.req.Once, true}, true
	}
	return classKey{l.req.Class, l.req.Key, false}, l.class.Safety == policy.Safe && l.req.Key != ""
}

// size is what a keyed entry takes of the room: until its end, as much as its result may.
func (e *entry) size() int {
	if e.ended {
		return entryBytes + len(e.result)
	}
	return entryBytes + mostResult
}

// remember keeps an entry, where there is room.
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
		e.until, e.body, e.class = l.req.At+window+keyedSlack, t.sum(l.req), l.class
		// A try that reached the machine within the window may be read up to its deadline later.
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

// usable tells whether a request that reached the machine at a given time may have the entry's result. The age
// of a result counts to the arrival of the read, not to the moment at which we look.
func (t *keyTable) usable(e *entry, at float64) bool {
	if e.of.keyed {
		return !e.ended || e.good
	}
	return !e.ended || e.good && at <= e.made+t.fresh
}

// original names the remembered read that this one repeats.
func (t *keyTable) original(l *Handler, now float64) (policy.ID, bool) {
	of, tied := keyOf(l)
	e := t.byKey[of]
	if !tied || e == nil || now >= e.expires || !t.usable(e, l.req.At) {
		return 0, false
	}
	return e.id, true
}

// try names the try of a keyed request that this one repeats, held, running or over. Of those that the module hears
// of in one call, the first stands for the others. False: another body came under the same key, so it is no try of
// the same request.
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

// tied is the try of a keyed request in whose window this one came, whatever the settings say of its class by now.
func (t *keyTable) tied(q *Request) *entry {
	if q.Once == "" {
		return nil
	}
	if e := t.byKey[classKey{q.Class, q.Once, true}]; e != nil && q.At <= e.until {
		return e
	}
	return nil
}

// sum tells bodies apart, to a successor's process as well.
func (t *keyTable) sum(q *Request) uint64 {
	h := fnv.New64a()
	h.Write(q.Body)
	return h.Sum64()
}

// mayBegin tells whether a request may start: one that is keyed needs an entry that ties its tries, and that no other
// process begins them too. False: it never ran, and is not to.
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

// Tie is what a process tells its successor of a try that it ran, or runs: with the two beside each other, callers see one
// server, on which no other try of the same request may run.
type Tie struct {
	Class   policy.Class
	Once    string
	Until   float64
	Expires float64
	Body    uint64
	Good    bool // it ended well, with this result; else its end is not known here
	Result  []byte
}

// ties lists the tries that ran or run.
func (t *keyTable) ties() []Tie {
	list := []Tie{}
	for _, e := range t.byID {
		if e.of.keyed && e.begun {
			list = append(list, Tie{e.class, e.of.key, e.until, e.expires, e.body, e.ended && e.good, e.result})
		}
	}
	return list
}

// take keeps a tie of another process. It is kept whatever room there is: what ran, ran.
func (t *keyTable) take(id policy.ID, tie Tie) {
	e := &entry{id: id, of: classKey{tie.Class.Name, tie.Once, true}, expires: tie.Expires, ended: true, good: tie.Good,
		result: tie.Result, until: tie.Until, body: tie.Body, class: tie.Class, begun: true}
	if old := t.byKey[e.of]; old != nil {
		t.forget(old.id)
	}
	t.byKey[e.of], t.byID[id] = e, e
	t.used += e.size()
}

// HandOn lists the ties for another process that is about to serve beside this one. From then on this one begins nothing
// keyed, until TakeBack.
func (c *Core) HandOn() (ties []Tie) {
	c.ask(func() {
		c.keys.others++
		ties = c.keys.ties()
	})
	return ties
}

// TakeBack tells that the other process is gone. What it began is not known here, so the time has to pass in which another
// try of that may come.
func (c *Core) TakeBack() {
	c.Then(func() {
		c.keys.others--
		longest := 0.0
		for _, k := range c.class {
			if k.Safety == policy.Keyed {
				longest = max(longest, clock.Millis(k.KeyTTL)+keyedSlack)
			}
		}
		if longest > 0 {
			c.log.Warn().Float64("ms", longest).Msg("no keyed request is begun for so long: what another process ran is not known here")
			c.keys.blind = c.clock.Now() + longest
		}
	})
}

// Inherit takes over the ties of the process before this one.
func (c *Core) Inherit(ties []Tie) {
	c.ask(func() {
		for _, tie := range ties {
			c.keys.take(c.newID(), tie)
		}
	})
}

// ask calls back on the owner's goroutine and waits for that; not once Run has ended.
func (c *Core) ask(call func()) {
	done := make(chan struct{})
	c.Then(func() { call(); close(done) })
	select {
	case <-done:
	case <-c.stop:
	}
}

// served is the result that other tries with the same body are answered with.
func (e *entry) served(body uint64) ([]byte, bool) {
	return e.result, e.ended && e.good && e.body == body
}

// ended keeps the result of a remembered run. One of which nothing ran ties no other try to it.
func (t *keyTable) ended(f policy.Finished, n Notice) {
	e := t.byID[f.ID]
	if e == nil || e.ended {
		return
	}
	if e.of.keyed {
		if f.Outcome == policy.NotRun {
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

// result is what a request may share.
func (t *keyTable) result(l *Handler) ([]byte, bool) {
	of, tied := keyOf(l)
	e := t.byKey[of]
	if !tied || e == nil || !e.ended || !t.usable(e, l.req.At) {
		return nil, false
	}
	return e.result, true
}

// expire drops what has had its time. A look at all of them is not for every call of the module.
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

// memoryLedger remembers the effects begun since this process started: each for as long as a request with its id can
// come again and pass for new, by its own figures. It grows with what it holds, and keeps no id as text: a piece of a
// message would keep the whole of it.
type memoryLedger struct {
	mu    sync.Mutex
	clock *clock.Clock
	begun map[effect]struct{}
	line  []begunAt // oldest first
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

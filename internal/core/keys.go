package core

import (
	"encoding/hex"
	"fmt"
	"sync"

	"puffinsaddle/policy"
)

const mostKeys = 8192 // entries; the module books their memory and stays far below

// keyTable ties reads of one class and key together, as the module orders, and keeps their results.
type keyTable struct {
	fresh float64
	byKey map[classKey]*entry
	byID  map[policy.ID]*entry
}

type classKey struct{ class, key string }

type entry struct {
	id      policy.ID
	of      classKey
	expires float64
	ended   bool
	good    bool
	made    float64 // when the result was made, no later than it truly was
	result  []byte
}

func newKeyTable(fresh float64) keyTable {
	return keyTable{fresh: fresh, byKey: map[classKey]*entry{}, byID: map[policy.ID]*entry{}}
}

func (t *keyTable) remember(id policy.ID, q *Request, expires float64) {
	of := classKey{q.Class, q.Key}
	if q.Key == "" || len(t.byKey) >= mostKeys {
		return
	}
	if old := t.byKey[of]; old != nil {
		delete(t.byID, old.id)
	}
	e := &entry{id: id, of: of, expires: expires}
	t.byKey[of], t.byID[id] = e, e
}

func (t *keyTable) forget(id policy.ID) {
	if e := t.byID[id]; e != nil {
		delete(t.byID, id)
		delete(t.byKey, e.of)
	}
}

// usable tells whether a read that reached the machine at a given time may have the entry's result. The age
// of a result counts to the arrival of the read, not to the moment at which we look.
func (t *keyTable) usable(e *entry, at float64) bool {
	return !e.ended || e.good && at <= e.made+t.fresh
}

// original names the remembered read that this one repeats.
func (t *keyTable) original(q *Request, now float64) (policy.ID, bool) {
	e := t.byKey[classKey{q.Class, q.Key}]
	if e == nil || now >= e.expires || !t.usable(e, q.At) {
		return 0, false
	}
	return e.id, true
}

// ended keeps the result of a remembered run.
func (t *keyTable) ended(f policy.Finished, n Notice) {
	e := t.byID[f.ID]
	if e == nil || e.ended {
		return
	}
	e.ended, e.good, e.made = true, f.Outcome == policy.OK && n.Ended, n.Made
	if e.good {
		e.result = append([]byte(nil), n.Body...)
	}
}

// result is what a read may share.
func (t *keyTable) result(q *Request) ([]byte, bool) {
	e := t.byKey[classKey{q.Class, q.Key}]
	if e == nil || !e.ended || !t.usable(e, q.At) {
		return nil, false
	}
	return e.result, true
}

func (t *keyTable) expire(now float64) {
	for id, e := range t.byID {
		if now >= e.expires {
			t.forget(id)
		}
	}
}

// memoryLedger remembers the effects begun in this life of the process, the newest so many of them. It grows
// with what it holds, and keeps no id as text: a piece of a message would keep the whole of it.
type memoryLedger struct {
	mu    sync.Mutex
	most  int
	begun map[effect]struct{}
	ring  []effect
	next  int
}

type effect [8]byte

func newMemoryLedger(most int) *memoryLedger {
	return &memoryLedger{most: most, begun: map[effect]struct{}{}}
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
	if len(m.ring) < m.most {
		m.ring = append(m.ring, e)
	} else {
		delete(m.begun, m.ring[m.next])
		m.ring[m.next] = e
		m.next = (m.next + 1) % m.most
	}
	m.begun[e] = struct{}{}
	return true, nil
}

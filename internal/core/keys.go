package core

import (
	"hash/fnv"

	"puffinsaddle/internal/clock"
	"puffinsaddle/policy"
)

const (
	maxReads           = 8192    // remembered reads; the module accounts for their memory and stays far under this number
	maxResultBytes     = 4 << 10 // bytes of a result by the protocol, reserved until the result is known
	entryOverheadBytes = 512     // bytes of an entry without its result

	expireIntervalMS = 100.0 // milliseconds between removals of expired entries
	clockSlackMS     = 100.0 // milliseconds added to a window, since callers read the same clock a moment earlier
)

// keyTable finds the earlier request that a new one repeats, and keeps its result. The module decides which requests are
// remembered: reads of one class and key while the result is fresh, and attempts of a keyed request for the window in
// which another attempt may arrive.
type keyTable struct {
	freshMS      float64 // how long the result of a read may be shared, in milliseconds
	maxBytes     int     // memory limit for keyed entries, in bytes
	usedBytes    int
	lastExpiry   float64 // when expired entries were last removed
	byKey        map[classKey]*entry
	byID         map[policy.ID]*entry
	unremembered map[classKey]*entry // keyed requests of the present call of the module, which are not yet remembered
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
	madeAt    float64 // when the result was made, in Unix milliseconds; never later than the true time
	result    []byte

	// Of keyed entries only:
	windowEnd float64      // no other attempt that reached the machine up to this time may run
	bodyHash  uint64       // hash of the body, which is the same for all attempts
	class     policy.Class // the class, which new settings may lack
	started   bool         // the module started it
	requestID string       // of the attempt's request; empty: not known
	arrivedAt float64      // when that request reached the machine, in Unix milliseconds
	owner     PeerLink     // to the process that runs it; nil: this process, or one that is gone
	waiting   []policy.ID  // requests that share the result once the owner has reported it
}

func newKeyTable(freshMS float64, maxBytes int) keyTable {
	return keyTable{freshMS: freshMS, maxBytes: maxBytes, byKey: map[classKey]*entry{}, byID: map[policy.ID]*entry{},
		unremembered: map[classKey]*entry{}}
}

// tableKey returns the key under which other requests find this one, and false if it has none.
func tableKey(h *Handler) (classKey, bool) {
	if h.class.Safety == policy.Keyed {
		return classKey{h.request.Class, h.request.IdempotencyKey, true}, true
	}
	return classKey{h.request.Class, h.request.Key, false}, h.class.Safety == policy.Safe && h.request.Key != ""
}

// size returns the bytes that a keyed entry counts for; until it ends, its result counts with the maximum size.
func (e *entry) size() int {
	if e.ended {
		return entryOverheadBytes + len(e.result)
	}
	return entryOverheadBytes + maxResultBytes
}

// remember adds an entry for a request, unless the table is full.
func (t *keyTable) remember(h *Handler, expiresAt float64) {
	key, hasKey := tableKey(h)
	if !hasKey {
		return
	}
	e := &entry{id: h.id, key: key, expiresAt: expiresAt}
	if old := t.byKey[key]; old != nil {
		t.forget(old.id)
	}
	if key.keyed {
		window, deadline := clock.Millis(h.class.KeyTTL), clock.Millis(h.class.Deadline)
		e.windowEnd, e.bodyHash, e.class = h.request.ArrivedAt+window+clockSlackMS, t.hashBody(h.request), h.class
		e.requestID, e.arrivedAt = h.request.ID, h.request.ArrivedAt
		// An attempt that reached the machine within the window may be read up to its deadline later.
		e.expiresAt = e.windowEnd + deadline + clockSlackMS
		if t.usedBytes+e.size() > t.maxBytes {
			return
		}
		t.usedBytes += e.size()
	} else if len(t.byKey) >= maxReads {
		return
	}
	t.byKey[key], t.byID[h.id] = e, e
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

// usable reports whether a request that reached the machine at a given time may share the entry's result. The age of a
// result counts up to the arrival of the read, not up to the time of this call.
func (t *keyTable) usable(e *entry, arrivedAt float64) bool {
	if e.key.keyed {
		return !e.ended || e.succeeded
	}
	return !e.ended || e.succeeded && arrivedAt <= e.madeAt+t.freshMS
}

// findRead returns the remembered read that a request repeats, if there is one.
func (t *keyTable) findRead(h *Handler, now float64) (policy.ID, bool) {
	key, hasKey := tableKey(h)
	e := t.byKey[key]
	if !hasKey || e == nil || now >= e.expiresAt || !t.usable(e, h.request.ArrivedAt) {
		return 0, false
	}
	return e.id, true
}

// findAttempt returns the attempt that a keyed request repeats, whether queued, running or ended. Of several attempts in
// one call of the module, the first is the original of the others. If same is false, the key was used with another body,
// so this is not an attempt of the same request.
func (t *keyTable) findAttempt(h *Handler) (first policy.ID, repeats, same bool) {
	key, _ := tableKey(h)
	bodyHash := t.hashBody(h.request)
	e := t.findKeyed(h.request)
	if e == nil {
		if e = t.unremembered[key]; e == nil {
			t.unremembered[key] = &entry{id: h.id, bodyHash: bodyHash}
			return 0, false, true
		}
	}
	return e.id, true, e.bodyHash == bodyHash
}

// findKeyed returns the entry of the keyed request in whose window a request arrived, whether or not the present settings
// still have its class as keyed.
func (t *keyTable) findKeyed(q *Request) *entry {
	if q.IdempotencyKey == "" {
		return nil
	}
	if e := t.byKey[classKey{q.Class, q.IdempotencyKey, true}]; e != nil && q.ArrivedAt <= e.windowEnd {
		return e
	}
	return nil
}

// hashBody returns a hash of the body. It is the same in every process, since entries are exported to successors.
func (t *keyTable) hashBody(q *Request) uint64 {
	h := fnv.New64a()
	h.Write(q.Body)
	return h.Sum64()
}

// resultFor returns the result for another attempt with the given body, if this one has succeeded with the same body.
func (e *entry) resultFor(bodyHash uint64) ([]byte, bool) {
	return e.result, e.ended && e.succeeded && e.bodyHash == bodyHash
}

// recordEnd records the end of a remembered attempt with its result, and returns its entry. A keyed attempt that never ran is
// removed, so that another attempt may run.
func (t *keyTable) recordEnd(finished policy.Finished, n Notice) *entry {
	e := t.byID[finished.ID]
	if e == nil || e.ended {
		return nil
	}
	if e.key.keyed && finished.Outcome == policy.NotRun {
		t.forget(finished.ID)
		return e
	}
	var result []byte
	succeeded := finished.Outcome == policy.OK && n.Ended
	if succeeded {
		result = append(result, n.Body...)
	}
	e.madeAt = n.MadeAt
	t.setOutcome(e, succeeded, result)
	return e
}

// setOutcome sets the outcome of an attempt that has ended.
func (t *keyTable) setOutcome(e *entry, succeeded bool, result []byte) {
	if e.key.keyed {
		t.usedBytes -= e.size()
		defer func() { t.usedBytes += e.size() }()
	}
	e.ended, e.succeeded, e.result = true, succeeded, result
}

// startedAttempt returns the entry of another attempt of a keyed request that was started, by this process or another one.
func (t *keyTable) startedAttempt(h *Handler) *entry {
	if h.class.Safety != policy.Keyed {
		return nil
	}
	if e := t.findKeyed(h.request); e != nil && e.started && e.id != h.id {
		return e
	}
	return nil
}

// result returns the result that a request may share, if there is one.
func (t *keyTable) result(h *Handler) ([]byte, bool) {
	key, hasKey := tableKey(h)
	e := t.byKey[key]
	if !hasKey || e == nil || !e.ended || !t.usable(e, h.request.ArrivedAt) {
		return nil, false
	}
	return e.result, true
}

// expire removes expired entries. It scans the entire table, and therefore runs only once in expireIntervalMS.
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

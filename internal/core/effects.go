package core

import (
	"encoding/hex"
	"fmt"
	"sync"

	"puffinsaddle/internal/clock"
	"puffinsaddle/policy"
)

// Milliseconds for which a started effect is remembered: longer than a request with its ID can pass Request.Check.
const effectRetentionMS = 2 * (maxAgeMS + maxClockAheadMS)

// recordEffect records a request in the effect log before it runs, and reports whether it may run. Safe requests need no
// record.
func (c *Core) recordEffect(q *Request, class policy.Class) (bool, error) {
	if class.Safety == policy.Safe {
		return true, nil
	}
	ok, err := c.effectLog.Begin(q.ID)
	if err != nil {
		c.log.Warn().Err(err).Str("id", q.ID).Msg("request not run: its effect could not be recorded")
	}
	return ok && err == nil, err
}

// memoryEffectLog is an effect log in memory for the effects started by this process. It keeps each effect for as long as
// a request with its ID can pass Request.Check, so it has no fixed size. IDs are stored in binary form, since a substring
// of a message would keep the entire message in memory.
type memoryEffectLog struct {
	mu      sync.Mutex
	clock   *clock.Clock
	started map[effectID]struct{}
	byAge   []startedEffect // in order of age, oldest first
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

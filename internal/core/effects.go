package core

import (
	"context"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"

	"puffinsaddle/internal/clock"
)

// Milliseconds for which a started effect is remembered: longer than a request with its ID can pass Request.Check.
const effectRetentionMS = 2 * (maxAgeMS + maxClockAheadMS)

// effectRecord is a call of EffectLog.Begin for one request.
type effectRecord struct {
	log    EffectLog
	id     string
	result chan effectRecorded
}

// beginEffect records an effect on a goroutine of its own, and passes the result to recorded. ctx ends once nobody waits for it.
func (c *Core) beginEffect(ctx context.Context, id string, recorded func(effectRecorded)) *effectRecord {
	record := &effectRecord{c.effectLog, id, make(chan effectRecorded, 1)}
	go func() {
		fresh, err := c.effectLog.Begin(ctx, id)
		if err != nil {
			c.log.Warn().Err(err).Str("id", id).Msg("request not run: its effect could not be recorded")
		}
		result := effectRecorded{fresh && err == nil, err}
		record.result <- result
		if result.fresh && c.hasPeers.Load() {
			c.announceEffect(id, func() { recorded(result) })
			return
		}
		recorded(result)
	}()
	return record
}

// announceEffect tells the other processes of the server that an effect is about to start, so that none of them starts it again if
// the request comes to it. announced is called once each of them will learn of it, even if this process is killed.
func (c *Core) announceEffect(id string, announced func()) {
	c.AfterPendingEvents(func() {
		links := c.peerLinks(nil)
		remaining := atomic.Int32{}
		remaining.Store(int32(len(links)) + 1)
		sent := func() {
			if remaining.Add(-1) == 0 {
				announced()
			}
		}
		for _, link := range links {
			link.Send(PeerMessage{Effects: []string{id}}, sent)
		}
		sent()
	})
}

// sendEffects tells a peer the effects that were started so far.
func (c *Core) sendEffects(link PeerLink) {
	if log, inMemory := c.effectLog.(*memoryEffectLog); inMemory {
		if ids := log.ids(); len(ids) > 0 {
			link.Send(PeerMessage{Effects: ids}, nil)
		}
	}
}

// receiveEffects records the effects that a peer has started, and passes them on.
func (c *Core) receiveEffects(from PeerLink, ids []string) {
	log, inMemory := c.effectLog.(*memoryEffectLog)
	if !inMemory {
		return
	}
	for _, id := range ids {
		log.Begin(context.Background(), id) // one that is known already stays known
	}
	for _, link := range c.peerLinks(from) {
		link.Send(PeerMessage{Effects: ids}, nil)
	}
}

// abandon reports to the effect log that an effect did not run whose record was not awaited. The record may come into being
// later, also if it was reported as failed.
func (r *effectRecord) abandon() {
	recorder, ok := r.log.(EffectEndRecorder)
	if !ok {
		return
	}
	go func() {
		if result := <-r.result; result.fresh || result.err != nil {
			recorder.Ended(r.id, false)
		}
	}()
}

// memoryEffectLog is an effect log in memory for the effects started by the processes of this server. It keeps each effect for as long as
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

func (m *memoryEffectLog) Begin(_ context.Context, id string) (bool, error) {
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

// ids lists the effects, oldest first.
func (m *memoryEffectLog) ids() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]string, len(m.byAge))
	for i, effect := range m.byAge {
		list[i] = hex.EncodeToString(effect.id[:])
	}
	return list
}

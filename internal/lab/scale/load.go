package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/net/session"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/state"
)

const (
	changesPerDay      = 24000.0
	burstChanges       = 100
	loadConcurrency    = 6 // concurrent changes of the initial load
	retryBackoff       = 50 * time.Millisecond
	keysPerLargeChange = 400 // in a large change, which fills the send buffers of watchers that don't read
)

// recordWriter changes records through a session with the store.
type recordWriter struct {
	runCtx      context.Context // of the run: a change that has begun completes even if its phase ends
	client      *session.Client
	routeCount  int
	tenantCount int
	rng         *rand.Rand

	mu             sync.Mutex
	latestRevision uint64 // highest revision of the committed changes
	committed      int    // number of committed changes
	serial         int    // of the last change that was generated
}

// newRecordWriter opens a session that runs until the context ends.
func newRecordWriter(ctx context.Context, f *fleet) *recordWriter {
	w := &recordWriter{runCtx: ctx, routeCount: f.Routes, tenantCount: f.Tenants, rng: rand.New(rand.NewPCG(f.Seed, 21))}
	rules := sessionRules(renewIntervalMS, 0)
	w.client = session.NewClient(session.Options{ProcessID: "operator#scale", ReplicaAddresses: f.storeAddresses, Rules: rules, Seed: f.Seed, Steady: clock.Monotonic(), Log: zerolog.Nop()})
	go w.client.Run(ctx)
	return w
}

// routePut returns a put of route i. The version varies its value.
func routePut(i, version int) records.Put {
	v, _ := json.Marshal(records.RouteValue{Service: fmt.Sprintf("svc-%05d", i/9), Class: "book-delivery", Group: fmt.Sprintf("group-%02d", i%40), Weight: float64(version%9 + 1),
		Regions: []string{"r1", "r2"}})
	return records.Put{Key: records.Key{Kind: records.Route, Name: fmt.Sprintf("svc-%05d/%05d", i/9, i)}, Value: v}
}

// tenantPut returns a put of tenant i. The version varies its value.
func tenantPut(i, version int) records.Put {
	v, _ := json.Marshal(records.TenantValue{Share: 0.0000025, RequestsPerSecond: float64(version%500) + 0.5})
	return records.Put{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprintf("tenant-%06d", i)}, Value: v}
}

// load puts all routes and tenants into the store.
func (w *recordWriter) load(ctx context.Context) error {
	changes := make(chan records.Change)
	errs := make(chan error, loadConcurrency)
	for range loadConcurrency {
		go func() {
			for c := range changes {
				if err := w.commit(ctx, c); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	var c records.Change
	send := func() bool {
		select {
		case changes <- c:
			c = records.Change{}
			return true
		case <-ctx.Done():
			return false
		}
	}
	for i := range w.routeCount + w.tenantCount {
		if i < w.routeCount {
			c.Puts = append(c.Puts, routePut(i, 0))
		} else {
			c.Puts = append(c.Puts, tenantPut(i-w.routeCount, 0))
		}
		if len(c.Puts) == records.MaxChangeKeys*3/4 && !send() {
			break
		}
	}
	if len(c.Puts) > 0 {
		send()
	}
	close(changes)
	for range loadConcurrency {
		if err := <-errs; err != nil {
			return err
		}
	}
	return ctx.Err()
}

// commit commits a change. It retries if the outcome is unknown, which is safe because the same puts and deletes are idempotent.
func (w *recordWriter) commit(ctx context.Context, c records.Change) error {
	for ctx.Err() == nil {
		r, err := w.client.Do(ctx, state.Command{Op: state.OpChangeRecords, Change: &c})
		if err == nil {
			w.mu.Lock()
			w.latestRevision = max(w.latestRevision, r.Value)
			w.committed++
			w.mu.Unlock()
			return nil
		}
		if !errors.Is(err, session.ErrNotExecuted) && !errors.Is(err, session.ErrUnconfirmed) {
			return err
		}
		time.Sleep(retryBackoff)
	}
	return ctx.Err()
}

// nextChange returns a random change of some routes and tenants. It also puts or deletes one further key, so that both
// operations occur.
func (w *recordWriter) nextChange(keys int) (c records.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	for i := range keys {
		if i%2 == 0 {
			c.Puts = append(c.Puts, tenantPut((w.rng.IntN(w.tenantCount/keys+1)*keys+i)%w.tenantCount, w.serial))
		} else {
			c.Puts = append(c.Puts, routePut((w.rng.IntN(w.routeCount/keys+1)*keys+i)%w.routeCount, w.serial))
		}
	}
	seen := map[records.Key]bool{}
	kept := c.Puts[:0]
	for _, p := range c.Puts {
		if !seen[p.Key] {
			seen[p.Key] = true
			kept = append(kept, p)
		}
	}
	c.Puts = kept
	extra := records.Key{Kind: records.Tenant, Name: fmt.Sprintf("extra-%02d", w.serial%40)}
	if w.serial/40%2 == 0 {
		p := tenantPut(0, w.serial)
		p.Key = extra
		c.Puts = append(c.Puts, p)
	} else {
		c.Deletes = append(c.Deletes, extra)
	}
	return c
}

const keysPerChange = 3

// changeSteadily makes changes until the context ends, with exponentially distributed waits between them.
func (w *recordWriter) changeSteadily(ctx context.Context, perSecond float64, keys int) {
	for {
		w.mu.Lock()
		wait := time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
		w.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		w.commit(w.runCtx, w.nextChange(keys))
	}
}

// changeInBurst makes n changes within a second.
func (w *recordWriter) changeInBurst(ctx context.Context, n int) {
	var running sync.WaitGroup
	t := time.NewTicker(time.Second / time.Duration(n))
	defer t.Stop()
	for range n {
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		running.Add(1)
		go func() {
			defer running.Done()
			w.commit(w.runCtx, w.nextChange(keysPerChange))
		}()
	}
	running.Wait()
}

// progress returns the latest revision that this writer committed, and the number of its changes.
func (w *recordWriter) progress() (revision uint64, changes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latestRevision, w.committed
}

package lab

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"puffinsaddle/internal/store"
)

// office is a process's report of its leadership.
type office struct {
	Term uint64 `json:"term"` // the term in which it leads; 0: it does not lead
}

// seen is the part of a process's metrics that the lab reads.
type seen struct {
	Duties *struct {
		Me       string            `json:"me"`
		Present  bool              `json:"present"`
		Held     map[string]uint64 `json:"held"`
		Sessions *office           `json:"sessions"`
		Desk     *office           `json:"desk"` // the key of Sessions in earlier builds, which --other-build may run
	} `json:"duties"`
	Store *struct {
		Phase string `json:"phase"`
		Votes bool   `json:"votes"`
	} `json:"store"`
}

// whole reports whether the process's store replica runs with its vote. It is true for a process without a replica and for a
// build that doesn't report it.
func (s seen) whole() bool {
	return s.Store == nil || s.Store.Phase == store.PhaseRuns && s.Store.Votes
}

var web = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// look requests the metrics of all processes; one that doesn't answer is left out.
func (r *run) look() map[*proc]seen {
	var mu sync.Mutex
	all := map[*proc]seen{}
	var wait sync.WaitGroup
	for _, p := range r.procs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			resp, err := web.Get("http://" + p.ops + "/-/metrics")
			if err != nil {
				return
			}
			defer resp.Body.Close()
			var s seen
			if json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&s) == nil && s.Duties != nil {
				mu.Lock()
				all[p] = s
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	return all
}

// settled waits until every duty has a holder, every process is present and every replica has its vote.
func (r *run) settled(ctx context.Context, within time.Duration) error {
	late := time.Now().Add(within)
	names := len(dutyNames)
	if r.Static {
		names--
	}
	for {
		held, present, whole := map[string]bool{}, 0, 0
		for _, s := range r.look() {
			for name := range s.Duties.Held {
				held[name] = true
			}
			if s.Duties.Present {
				present++
			}
			if s.whole() {
				whole++
			}
		}
		if len(held) == names && present == len(r.procs) && whole == len(r.procs) {
			return nil
		}
		if time.Now().After(late) {
			return fmt.Errorf("%d of %d duties have a holder, %d of %d processes are present, %d are without a replica that lacks its vote", len(held), names, present, len(r.procs), whole)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

const nothing = "nothing" // the duty of a process that was picked while no duty has a holder

// holder returns the holder of a duty that pick determines, or any process if no duty has a holder.
func (r *run) holder(pick uint64) (*proc, string) {
	var names []string
	of := map[string]*proc{}
	for p, s := range r.look() {
		for name := range s.Duties.Held {
			names = append(names, name)
			of[name] = p
		}
	}
	if len(names) == 0 {
		return r.procs[pick%uint64(len(r.procs))], nothing
	}
	slices.Sort(names)
	name := names[pick%uint64(len(names))]
	return of[name], name
}

// slowest returns the holder with the slowest clock, other than the process not, and a duty that it holds; nil if there is
// none. With the slowest clock it believes in its lease for longest.
func (r *run) slowest(not *proc) (slow *proc, duty string) {
	for p, s := range r.look() {
		for name := range s.Duties.Held {
			if p != not && (slow == nil || p.rate < slow.rate || p == slow && name < duty) {
				slow, duty = p, name
			}
		}
	}
	return slow, duty
}

// later raises the delay of responses to 1.2 s in five steps and returns the time in s at which it had done so. Each step is
// less than the silence after which a client tries another replica, so the session stays.
func (r *run) later(ctx context.Context, at float64, links map[string]*Link) float64 {
	for i := 1; i <= 5; i++ {
		for _, l := range links {
			l.Delay(time.Duration(i)*240*time.Millisecond, Back)
		}
		at += 0.35
		r.sleep(ctx, at)
	}
	return at
}

// leader returns the process that leads in the highest term, or any process with a replica if none leads.
func (r *run) leader(pick uint64) *proc {
	var best *proc
	term := uint64(0)
	for p, s := range r.look() {
		if o := cmp.Or(s.Duties.Sessions, s.Duties.Desk); o != nil && o.Term > term {
			best, term = p, o.Term
		}
	}
	if best == nil {
		return r.procs[pick%uint64(r.Copies)]
	}
	return best
}

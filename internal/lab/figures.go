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

// office is what a copy says of its sessions.
type office struct {
	Term uint64 `json:"term"` // in which it leads; 0: it does not
}

// seen is what a process says of itself.
type seen struct {
	Duties *struct {
		Me       string            `json:"me"`
		Present  bool              `json:"present"`
		Held     map[string]uint64 `json:"held"`
		Sessions *office           `json:"sessions"`
		Desk     *office           `json:"desk"` // the name of the same in earlier builds, one of which may be played beside
	} `json:"duties"`
	Store *struct {
		Phase string `json:"phase"`
		Votes bool   `json:"votes"`
	} `json:"store"`
}

// whole tells whether the process's copy takes part with its vote, where it keeps one and its build tells of it.
func (s seen) whole() bool {
	return s.Store == nil || s.Store.Phase == store.PhaseRunning && s.Store.Votes
}

var web = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// look asks all processes for their figures.
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

// settled waits until every duty has a holder and every process is present.
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
			return fmt.Errorf("%d of %d duties are held, %d of %d processes present, %d without a copy that has no vote", len(held), names, present, len(r.procs), whole)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

const nothing = "nothing" // what a process holds that was picked because nobody holds a duty

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

// slowest is the holder, other than one process, whose clock runs slowest, and a duty that it holds; nil: there is none. It is
// the one that believes in its duty for longest.
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

// later makes answers come later and later, to 1.2 s, and tells when it was done. Each step is less than the silence after
// which a client seeks another copy, so the session stays.
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

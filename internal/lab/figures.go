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

// leadership is the part of a process's metrics that shows whether it leads.
type leadership struct {
	Term uint64 `json:"term"` // the term in which it leads; 0: it does not lead
}

// processMetrics is the part of a process's metrics that the lab reads.
type processMetrics struct {
	Duties *struct {
		ProcessID string            `json:"me"`
		Present   bool              `json:"present"`
		Held      map[string]uint64 `json:"held"`
		Sessions  *leadership       `json:"sessions"`
		Desk      *leadership       `json:"desk"` // the key of Sessions in earlier builds, which --other-build may run
	} `json:"duties"`
	Store *struct {
		Phase string `json:"phase"`
		Votes bool   `json:"votes"`
	} `json:"store"`
}

// canVote reports whether the process's store replica runs with its vote. It is true for a process without a replica and for a
// build that doesn't report it.
func (s processMetrics) canVote() bool {
	return s.Store == nil || s.Store.Phase == store.PhaseRunning && s.Store.Votes
}

var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// fetchMetrics requests the metrics of all processes; a process that doesn't respond is left out.
func (r *run) fetchMetrics() map[*server]processMetrics {
	var mu sync.Mutex
	all := map[*server]processMetrics{}
	var wait sync.WaitGroup
	for _, p := range r.orderServers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			resp, err := httpClient.Get("http://" + p.operatorAddress + "/-/metrics")
			if err != nil {
				return
			}
			defer resp.Body.Close()
			var s processMetrics
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

// waitHealthy waits until every duty has a holder, every process is present and every replica has its vote.
func (r *run) waitHealthy(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	dutyCount := len(dutyNames)
	if r.NoAllotter {
		dutyCount--
	}
	for {
		held, present, voting := map[string]bool{}, 0, 0
		for _, s := range r.fetchMetrics() {
			for name := range s.Duties.Held {
				held[name] = true
			}
			if s.Duties.Present {
				present++
			}
			if s.canVote() {
				voting++
			}
		}
		if len(held) == dutyCount && present == len(r.orderServers) && voting == len(r.orderServers) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d duties have a holder, %d of %d processes are present, %d have a voting replica or none", len(held), dutyCount, present, len(r.orderServers), voting)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

const noDuty = "nothing" // the duty of a process that was picked while no duty has a holder

// pickHolder returns the holder of a duty that pick determines, or any process if no duty has a holder.
func (r *run) pickHolder(pick uint64) (*server, string) {
	var names []string
	holderOf := map[string]*server{}
	for p, s := range r.fetchMetrics() {
		for name := range s.Duties.Held {
			names = append(names, name)
			holderOf[name] = p
		}
	}
	if len(names) == 0 {
		return r.orderServers[pick%uint64(len(r.orderServers))], noDuty
	}
	slices.Sort(names)
	name := names[pick%uint64(len(names))]
	return holderOf[name], name
}

// slowestHolder returns the holder with the slowest clock, other than the process except, and a duty that it holds; nil if
// there is none. The slower a holder's clock is, the later it considers its lease expired.
func (r *run) slowestHolder(except *server) (slowest *server, duty string) {
	for p, s := range r.fetchMetrics() {
		for name := range s.Duties.Held {
			if p != except && (slowest == nil || p.clockRate < slowest.clockRate || p == slowest && name < duty) {
				slowest, duty = p, name
			}
		}
	}
	return slowest, duty
}

// delayGradually raises the delay of responses to 1.2 s in five steps and returns the time of the last step, in s since the
// start of the load. Each step is shorter than the silence after which a client tries another replica, so the session stays
// open.
func (r *run) delayGradually(ctx context.Context, atSeconds float64, links map[string]*Link) float64 {
	for i := 1; i <= 5; i++ {
		for _, l := range links {
			l.Delay(time.Duration(i)*240*time.Millisecond, Backward)
		}
		atSeconds += 0.35
		r.sleepUntil(ctx, atSeconds)
	}
	return atSeconds
}

// currentLeader returns the process that leads in the highest term, or any process with a replica if none leads.
func (r *run) currentLeader(pick uint64) *server {
	var leader *server
	term := uint64(0)
	for p, s := range r.fetchMetrics() {
		if o := cmp.Or(s.Duties.Sessions, s.Duties.Desk); o != nil && o.Term > term {
			leader, term = p, o.Term
		}
	}
	if leader == nil {
		return r.orderServers[pick%uint64(r.Replicas)]
	}
	return leader
}

package net_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"puffinsaddle/internal/clock"
	"puffinsaddle/policy"
)

// peerCount is the number of routers or order servers in these tests.
const peerCount = 30

// limitWithChance returns the largest count that a limit of n on the mean admits: n plus about two standard deviations.
func limitWithChance(n float64) int { return int(n + 2*math.Sqrt(n) + 2) }

// Thirty routers send one cold order server as many requests as a connection may have open, and obey the Retry-After times
// of its refusals. Guards against more requests running at once, over all routers, than the warm-up ramp in the settings
// allows.
func TestWarmupRampLimitsLoadOfManyRouters(t *testing.T) {
	set := settings
	set.Cores, set.Callers, set.JustStarted, set.WarmupPeriod, set.ColdSpeedShare = 4, peerCount, true, 3*time.Second, 0.25
	x := newExecutor(t)
	h := newServerWithExecutorOnClock(t, clock.System(), set, x, "127.0.0.1:1")
	x.want("JOIN", "0")
	x.send("WELCOME booting 0")
	startedAt := time.Now()
	x.answerBarrier()
	var mu sync.Mutex
	running, maxRunning := 0, 0
	go func() {
		for c := range x.commands {
			switch c.words[0] {
			case "METER":
				x.send("METERS %s 0.1 0 0.1 1", c.words[1]) // idle, so that only the ramp limits starts
			case "EXEC":
				mu.Lock()
				running++
				maxRunning = max(maxRunning, running)
				mu.Unlock()
				go func() {
					time.Sleep(30 * time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					running--
					x.sendNotice("EXIT", c.words[1]+" success 30", "done")
				}()
			}
		}
	}()
	var wait sync.WaitGroup
	answers := make(chan string, peerCount*1000)
	for i := range peerCount {
		p := h.router()
		wait.Go(func() { obeyRetryAfter(p, i, startedAt.Add(set.WarmupPeriod/2), answers) })
	}
	wait.Wait()
	close(answers)
	count := map[string]int{}
	for a := range answers {
		count[a]++
	}
	// The limit of the ramp in the settings at half of the warm-up.
	share := set.ColdSpeedShare + (1-set.ColdSpeedShare)*0.5
	n := float64(set.Cores) * (1 + (set.MaxRunningPerCore-1)*share)
	mu.Lock()
	defer mu.Unlock()
	if maxRunning > limitWithChance(n) || maxRunning == 0 {
		t.Errorf("%d requests ran at once; the limit is %.1f, or %d with chance", maxRunning, n, limitWithChance(n))
	}
	if count["done"] == 0 || count["error"] > 0 {
		t.Errorf("answers: %v", count)
	}
}

// obeyRetryAfter simulates a router that keeps as many requests open as a connection may have, and after a refusal sends none
// before the Retry-After time.
func obeyRetryAfter(p *fakeRouter, router int, deadline time.Time, answers chan<- string) {
	const maxOpen = 32
	next, pending := 0, 0
	for time.Now().Before(deadline) || pending > 0 {
		for pending < maxOpen && time.Now().Before(deadline) {
			next++
			pending++
			p.sendRequest(next, router<<16|next, "book-delivery", "", "x")
		}
		a := p.readAnswer()
		if a[0] == "0" {
			continue
		}
		pending--
		answers <- a[1]
		if a[1] != "later" || len(a) < 3 {
			continue
		}
		wait := 20.0
		for _, field := range strings.Split(a[2], ",") {
			fmt.Sscanf(field, "after=%f", &wait)
		}
		time.Sleep(clock.Duration(min(wait, 200)))
	}
}

// Thirty order servers start with one cold vault, which answers no call before the caller's timeout. The mean number of
// downstream calls in flight over the period in the settings has to stay within the sum of the servers' shares.
func TestDownstreamSharesHoldOnUnresponsiveVault(t *testing.T) {
	set := settings
	set.DownstreamShare, set.CallPeriod, set.JustStarted, set.WarmupPeriod, set.ColdSpeedShare =
		2, 500*time.Millisecond, true, 10*time.Second, 0.25
	set.Classes = append([]policy.Class(nil), set.Classes...)
	set.Classes[0].SkipWorth = 0 // so that every request needs its downstream call
	downstream := &unresponsiveVault{period: set.CallPeriod}
	vaultAddress := startVault(t, downstream.serve)
	var executors []*fakeExecutor
	var servers []*testServer
	for range peerCount {
		x := newExecutor(t)
		servers = append(servers, newServerWithExecutorOnClock(t, clock.System(), set, x, vaultAddress))
		executors = append(executors, x)
	}
	for i, x := range executors {
		x.want("JOIN", "0")
		x.send("WELCOME booting 0")
		x.answerBarrier()
		go runWithDownstreamCalls(x)
		p := servers[i].router()
		go func() {
			for n := range 32 {
				p.sendRequest(n+1, i<<16|n, "tank-level", ",wait=15000", "x")
			}
		}()
	}
	time.Sleep(4 * set.CallPeriod)
	n := float64(peerCount) * set.DownstreamShare
	mean, calls := downstream.maxMeanInFlight()
	if mean > float64(limitWithChance(n)) {
		t.Errorf("%.1f calls in flight on average over %s; the limit is %.0f, or %d with chance",
			mean, set.CallPeriod, n, limitWithChance(n))
	}
	if calls < peerCount {
		t.Errorf("%[2]d servers made only %[1]d calls", calls, peerCount)
	}
}

// runWithDownstreamCalls simulates an executor on which every run makes a downstream call.
func runWithDownstreamCalls(x *fakeExecutor) {
	for c := range x.commands {
		switch c.words[0] {
		case "METER":
			x.send("METERS %s 0.1 0 0.1 1", c.words[1])
		case "EXEC":
			x.sendNotice("CALLOUT", c.words[1], "q")
		case "RETURN":
			x.sendNotice("EXIT", c.words[1]+" success 5", "r")
		}
	}
}

// unresponsiveVault is a fake vault that answers no call before its caller gives up, and records the calls in flight over time.
type unresponsiveVault struct {
	period time.Duration

	mu      sync.Mutex
	calls   int
	changes []inFlightChange
}

// inFlightChange is a change of the number of calls in flight.
type inFlightChange struct {
	at    time.Time
	delta int
}

func (v *unresponsiveVault) record(delta int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.changes = append(v.changes, inFlightChange{time.Now(), delta})
	v.calls += max(delta, 0)
}

func (v *unresponsiveVault) serve(w http.ResponseWriter, r *http.Request) {
	v.record(1)
	defer v.record(-1)
	io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-time.After(2 * time.Second):
	}
}

// maxMeanInFlight returns the largest mean number of calls in flight over any one period, and the number of calls received.
func (v *unresponsiveVault) maxMeanInFlight() (mean float64, calls int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.changes) == 0 {
		return 0, 0
	}
	end := time.Now()
	for begin := v.changes[0].at; begin.Before(end); begin = begin.Add(v.period / 20) {
		area, inFlight, last := 0.0, 0, v.changes[0].at
		add := func(to time.Time) {
			from := last
			if from.Before(begin) {
				from = begin
			}
			if stop := begin.Add(v.period); to.After(stop) {
				to = stop
			}
			if to.After(from) {
				area += float64(inFlight) * to.Sub(from).Seconds()
			}
		}
		for _, e := range v.changes {
			add(e.at)
			inFlight += e.delta
			last = e.at
		}
		add(end)
		mean = max(mean, area/v.period.Seconds())
	}
	return mean, v.calls
}

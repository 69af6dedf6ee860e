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

// many is the number of routers or order servers in these tests.
const many = 30

// allowed returns the largest count that a limit of n on the mean admits: n and about two standard deviations of chance.
func allowed(n float64) int { return int(n + 2*math.Sqrt(n) + 2) }

// Thirty routers send one cold order server as many requests as a connection may have open, and obey the Retry-After times
// of its refusals. Guards against more requests running at once, over all routers, than the warm-up ramp in the settings
// allows.
func TestColdServerUnderThirtyRouters(t *testing.T) {
	set := settings
	set.Cores, set.Callers, set.JustStarted, set.WarmupPeriod, set.ColdSpeedShare = 4, many, true, 3*time.Second, 0.25
	x := newExecutor(t)
	h := withExecutorBy(t, clock.System(), set, x, "127.0.0.1:1")
	x.want("JOIN", "0")
	x.say("WELCOME booting 0")
	began := time.Now()
	x.pass()
	var mu sync.Mutex
	running, most := 0, 0
	go func() {
		for c := range x.cmds {
			switch c.words[0] {
			case "METER":
				x.say("METERS %s 0.1 0 0.1 1", c.words[1]) // idle, so that only the ramp limits starts
			case "EXEC":
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				go func() {
					time.Sleep(30 * time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					running--
					x.notice("EXIT", c.words[1]+" success 30", "done")
				}()
			}
		}
	}()
	var wait sync.WaitGroup
	answers := make(chan string, many*1000)
	for i := range many {
		p := h.router()
		wait.Go(func() { followAdvice(p, i, began.Add(set.WarmupPeriod/2), answers) })
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
	if most > allowed(n) || most == 0 {
		t.Errorf("%d requests ran at once; the limit is %.1f, or %d with chance", most, n, allowed(n))
	}
	if count["done"] == 0 || count["error"] > 0 {
		t.Errorf("answers: %v", count)
	}
}

// followAdvice simulates a router that keeps as many requests open as a connection may have, and after a refusal sends none
// before the Retry-After time.
func followAdvice(p *routerPeer, router int, until time.Time, answers chan<- string) {
	const open = 32
	next, pending := 0, 0
	for time.Now().Before(until) || pending > 0 {
		for pending < open && time.Now().Before(until) {
			next++
			pending++
			p.req(next, router<<16|next, "book-delivery", "", "x")
		}
		a := p.answer()
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
func TestThirtyServersBesideAColdVault(t *testing.T) {
	set := settings
	set.DownstreamShare, set.CallPeriod, set.JustStarted, set.WarmupPeriod, set.ColdSpeedShare = 2, 500*time.Millisecond, true, 10*time.Second, 0.25
	set.Classes = append([]policy.Class(nil), set.Classes...)
	set.Classes[0].SkipWorth = 0 // so that every request needs its downstream call
	below := &coldVault{span: set.CallPeriod}
	at := newVault(t, below.serve)
	var executors []*executorPeer
	var houses []*house
	for range many {
		x := newExecutor(t)
		houses = append(houses, withExecutorBy(t, clock.System(), set, x, at))
		executors = append(executors, x)
	}
	for i, x := range executors {
		x.want("JOIN", "0")
		x.say("WELCOME booting 0")
		x.pass()
		go callAlways(x)
		p := houses[i].router()
		go func() {
			for n := range 32 {
				p.req(n+1, i<<16|n, "tank-level", ",wait=15000", "x")
			}
		}()
	}
	time.Sleep(4 * set.CallPeriod)
	n := float64(many) * set.DownstreamShare
	mean, calls := below.most()
	if mean > float64(allowed(n)) {
		t.Errorf("%.1f calls in flight on average over %s; the limit is %.0f, or %d with chance", mean, set.CallPeriod, n, allowed(n))
	}
	if calls < many {
		t.Errorf("%[2]d servers made only %[1]d calls", calls, many)
	}
}

// callAlways simulates an executor on which every run makes a downstream call.
func callAlways(x *executorPeer) {
	for c := range x.cmds {
		switch c.words[0] {
		case "METER":
			x.say("METERS %s 0.1 0 0.1 1", c.words[1])
		case "EXEC":
			x.notice("CALLOUT", c.words[1], "q")
		case "RETURN":
			x.notice("EXIT", c.words[1]+" success 5", "r")
		}
	}
}

// coldVault is a fake vault that answers no call before its caller gives up, and records the calls in flight over time.
type coldVault struct {
	span time.Duration

	mu    sync.Mutex
	calls int
	edges []edge
}

// edge is a change of the number of calls in flight.
type edge struct {
	at time.Time
	by int
}

func (v *coldVault) note(by int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.edges = append(v.edges, edge{time.Now(), by})
	v.calls += max(by, 0)
}

func (v *coldVault) serve(w http.ResponseWriter, r *http.Request) {
	v.note(1)
	defer v.note(-1)
	io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-time.After(2 * time.Second):
	}
}

// most returns the largest mean number of calls in flight over any one period, and the number of calls received.
func (v *coldVault) most() (mean float64, calls int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.edges) == 0 {
		return 0, 0
	}
	end := time.Now()
	for begin := v.edges[0].at; begin.Before(end); begin = begin.Add(v.span / 20) {
		area, in, last := 0.0, 0, v.edges[0].at
		add := func(to time.Time) {
			from := last
			if from.Before(begin) {
				from = begin
			}
			if stop := begin.Add(v.span); to.After(stop) {
				to = stop
			}
			if to.After(from) {
				area += float64(in) * to.Sub(from).Seconds()
			}
		}
		for _, e := range v.edges {
			add(e.at)
			in += e.by
			last = e.at
		}
		add(end)
		mean = max(mean, area/v.span.Seconds())
	}
	return mean, v.calls
}

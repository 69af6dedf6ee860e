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

// many is how many processes meet a cold one.
const many = 30

// allowed is the most that a budget of n calls may come to: beyond n only chance is borne.
func allowed(n float64) int { return int(n + 2*math.Sqrt(n) + 2) }

// Thirty routers follow what one cold order server tells them, each with all the requests that a connection may have open.
// The ramp holds for their sum: no more runs at once than the settings let a cold server have, as long as it is cold.
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
				x.say("METERS %s 0.1 0 0.1 1", c.words[1]) // idle: the ramp alone holds starts back
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
	// By the settings' own ramp, half way to being warm.
	share := set.ColdSpeedShare + (1-set.ColdSpeedShare)*0.5
	n := float64(set.Cores) * (1 + (set.MaxRunningPerCore-1)*share)
	mu.Lock()
	defer mu.Unlock()
	if most > allowed(n) || most == 0 {
		t.Errorf("%d ran at once, with %.1f allowed and %d by chance", most, n, allowed(n))
	}
	if count["done"] == 0 || count["error"] > 0 {
		t.Errorf("answers: %v", count)
	}
}

// followAdvice plays a router: as many requests as a connection may have, and after a refusal nothing before its time.
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

// Thirty order servers begin beside one vault that is cold: a call there takes as long as a server waits. The calls in hand of
// all, in the mean of the span that the settings name, stay within the sum of their shares.
func TestThirtyServersBesideAColdVault(t *testing.T) {
	set := settings
	set.DownstreamShare, set.CallPeriod, set.JustStarted, set.WarmupPeriod, set.ColdSpeedShare = 2, 500*time.Millisecond, true, 10*time.Second, 0.25
	set.Classes = append([]policy.Class(nil), set.Classes...)
	set.Classes[0].SkipWorth = 0 // every request needs its call
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
		t.Errorf("%.1f calls in hand in the mean of %s, with %.0f allowed and %d by chance", mean, set.CallPeriod, n, allowed(n))
	}
	if calls < many {
		t.Errorf("%d calls were made by %d servers", calls, many)
	}
}

// callAlways plays an executor whose runs all need a call.
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

// coldVault answers no call before its caller gives up, and sums calls in hand over time.
type coldVault struct {
	span time.Duration

	mu    sync.Mutex
	calls int
	edges []edge
}

// edge is a change of the calls in hand.
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

// most is the largest mean of the calls in hand over one span, and how many calls came.
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

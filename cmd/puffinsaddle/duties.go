package main

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/allot"
	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/distribution"
	work "puffinsaddle/internal/duties"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/inventory"
	"puffinsaddle/internal/net/configwatch"
	"puffinsaddle/internal/net/session"
	"puffinsaddle/internal/net/uwsgi"
	"puffinsaddle/internal/publish"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/relay"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store"
	"puffinsaddle/internal/trace"
)

const (
	modeEvery = 250.0 // ms between two looks at the server's own state
	leaveFor  = 100.0 // ms for what is given back at the end to be sent
	needMore  = 1.5   // a server asks for so many times what it uses
	needLeast = 0.25  // and for so many calls in hand at least, or it would never learn that it needs more
)

// duties is what this process holds, or would hold, with others. A nil one is off, and its methods then do nothing.
type duties struct {
	cfg      *config.Config
	me       string
	clk      *clock.Clock
	steady   *clock.Clock
	log      zerolog.Logger
	trace    *trace.Log
	client   *session.Client
	keeper   *work.Runner
	sessions *session.Server
	copy     *store.Store
	origin   *relay.Origin
	core     atomic.Pointer[core.Core]

	mu        sync.Mutex
	risen     bool
	coldUntil float64
	aside     bool
	leaving   bool
}

// holding is what operators see of it.
type holding struct {
	Me       string                 `json:"me"`
	Linked   bool                   `json:"linked"`  // a session stands
	Present  bool                   `json:"present"` // the copies know that this process is there
	Held     map[string]uint64      `json:"held"`    // duties held, and under which epoch
	Fenced   uint64                 `json:"fenced"`  // commands of this process refused for their epoch
	Share    float64                `json:"share"`   // calls in hand that may be below beyond the part for being alone
	Used     float64                `json:"used"`    // calls in hand below of late
	Version  uint64                 `json:"version"` // published, in force
	Sessions *session.ServerMetrics `json:"sessions,omitempty"`

	Origin *configwatch.Metrics `json:"origin,omitempty"` // of a copy: the relays that watch it
	Relays *distribution.Report `json:"relays,omitempty"` // of the copy that leads: what the relays reported
}

// newDuties makes the parts; nothing is sent yet. nil: the operator's file has none.
func newDuties(cfg *config.Config, clk *clock.Clock, log zerolog.Logger) (*duties, error) {
	d := cfg.Operator.Duties
	if !d.On() {
		return nil, nil
	}
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		return nil, err
	}
	h := &duties{cfg: cfg, me: cfg.Name + "#" + hex.EncodeToString(b[:]), clk: clk, steady: clock.Monotonic().SetRate(cfg.Operator.Lab.Rate), log: log}
	if path := cfg.Operator.Lab.Trace; path != "" {
		t, err := trace.Open(path, h.me, h.steady)
		if err != nil {
			return nil, err
		}
		h.trace = t
		t.Add(trace.Event{What: trace.ProcessStarted}, 0)
	}
	plant := cfg.Operator.Lab.Plant
	h.keeper = &work.Runner{Steady: h.steady, Log: log, Trace: h.trace, CheckVersion: h.check}
	h.client = session.NewClient(session.Options{ProcessID: h.me, ReplicaAddresses: d.Copies, Rules: d.Rules(), Seed: cfg.Seed ^ uint64(b[0])<<8 ^ uint64(b[1]),
		Steady: h.steady, Log: log, InjectedBug: plant, OnEvent: h.keeper.HandleEvent, Need: h.need})
	k := h.keeper
	k.WorkByDuty = map[string]work.Work{}
	for _, t := range d.List {
		k.WorkByDuty[t.Name] = k.CounterWork(d.MarkMs)
	}
	if d.Allot.Whole > 0 {
		k.WorkByDuty[work.Allotter] = k.AllotterWork(d.Allot.EveryMs, d.Allot.Room(), plant)
	}
	if d.Publish.Manifest != "" {
		k.WorkByDuty[work.Publisher] = k.PublisherWork(d.Publish.EveryMs, d.Publish.Manifest, h.check)
	}
	if _, on := k.WorkByDuty[work.Settler]; on {
		k.WorkByDuty[work.Settler] = k.SettlerWork(d.Settle.EveryMs, d.Settle.KeepMs, d.Rate, h.steady)
	}
	return h, nil
}

// keep serves sessions where this process keeps a copy.
func (h *duties) keep(ctx context.Context, copy *store.Store) {
	if copy == nil {
		return
	}
	h.copy = copy
	d := h.cfg.Operator.Duties
	g := &duty.Grantor{Rules: d.Rules(), Seed: 1, MaxPresent: d.Allot.Servers, InjectedBug: h.cfg.Operator.Lab.Plant}
	h.sessions = session.NewServer(copy, g, d.Sessions, h.steady, h.log)
	h.sessions.CheckChange = func(c records.Change) error { return checkChange(copy, c) }
	h.sessions.OnTermStart = func(term uint64) { h.trace.Add(trace.Event{What: trace.TermStarted, Term: term}, 0) }
	copy.ServeSessions(h.sessions.Serve)
	h.origin = relay.NewOrigin(copy, h.steady, h.log, h.cfg.Operator.Lab.Plant)
	h.origin.Agreed = func(c records.Commit) {
		h.trace.Add(trace.Event{What: trace.CommitAgreed, N: c.Revision, Text: c.After.String()}, 0)
	}
	h.sessions.ConfigStatus = h.origin.Status
	copy.ServeWatches(h.origin.Serve)
	go h.origin.Run(ctx)
	go h.sessions.Run(ctx)
}

// serve begins to hold duties for a core.
func (h *duties) serve(ctx context.Context, c *core.Core, farm *uwsgi.Runner) {
	if h == nil {
		return
	}
	h.core.Store(c)
	if a := h.cfg.Operator.Duties.Allot; a.Whole > 0 {
		alone := a.Room().ReservePerProcess
		c.SetDownstreamShareFunc(func() float64 { return float64(alone+h.client.Share()) / allot.UnitsPerCall })
		h.keeper.ApplyShare = func(_ int64, used func()) { c.AfterPendingEvents(used) }
	}
	h.keeper.ApplyVersion = func(v publish.Version) {
		servers, err := servers(v.Files)
		if err == nil && farm != nil && len(servers) > 0 {
			farm.SetServers(servers)
		}
	}
	h.client.SetMode(duty.Failing) // until the executor is up
	h.keeper.Start(ctx, h.me, h.client)
	h.look()
}

// need is what this server could use beyond its part for being alone.
func (h *duties) need() int64 {
	c := h.core.Load()
	if c == nil {
		return 0
	}
	want := c.DownstreamConcurrency()*needMore + needLeast
	return max(int64(want*allot.UnitsPerCall)-h.cfg.Operator.Duties.Allot.Room().ReservePerProcess, 0)
}

// look puts the client into the mode that the server is in, now and then.
func (h *duties) look() {
	h.mu.Lock()
	mode := duty.Warm
	switch {
	case h.leaving:
		mode = duty.Draining
	case h.aside:
		mode = duty.OutOfService
	case !h.risen || !h.core.Load().Healthy():
		mode = duty.Failing
	case h.clk.Now() < h.coldUntil:
		mode = duty.Cold
	}
	h.mu.Unlock()
	h.client.SetMode(mode)
	if mode != duty.Draining {
		h.steady.After(modeEvery, h.look)
	}
}

// up tells that the server can serve, cold or warm.
func (h *duties) up(cold bool, coldMs float64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.risen && cold {
		h.coldUntil = h.clk.Now() + coldMs
	}
	h.risen = true
}

func (h *duties) away(away bool) {
	if h != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.aside = away
	}
}

// drain hands all duties on.
func (h *duties) drain() {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.client.SetMode(duty.Draining)
}

// leave gives back what is left, the presence included, at the end.
func (h *duties) leave() {
	if h == nil {
		return
	}
	h.client.ReleaseAll()
	sent := make(chan struct{})
	h.steady.After(leaveFor, func() { close(sent) })
	<-sent
}

func (h *duties) close() {
	if h != nil {
		h.trace.Close()
	}
}

// copied writes down the phases of this process's copy.
func (h *duties) copied() func(phase, why string) {
	if h == nil || h.trace == nil {
		return nil
	}
	return func(phase, why string) {
		h.trace.Add(trace.Event{What: trace.ReplicaPhase, Text: phase, Cause: why}, 0)
	}
}

// watch writes down what a copy carries out.
func (h *duties) watch() func(index, term uint64, c state.Command, r state.Result) {
	if h == nil || h.trace == nil {
		return nil
	}
	return func(index, term uint64, c state.Command, r state.Result) {
		e := trace.Event{What: trace.EntryApplied, Index: index, Term: term, Text: c.Op}
		if c.Fence != nil {
			e.Duty, e.Epoch, e.Cause = c.Fence.Name, c.Fence.Epoch, r.Error
		}
		if c.Op == state.OpCompareDigests || c.Op == state.OpChangeRecords {
			e.N = r.Value
		}
		if c.Op == state.OpBeginEffect && r.WasAbsent {
			e.Cause = c.Key
		}
		var grants []string
		for i, o := range c.Orders {
			if i < len(r.Refusals) && r.Refusals[i] == "" {
				grants = append(grants, fmt.Sprintf("%s %s %s", o.Kind, o.Name, o.Holder))
			}
		}
		if len(grants) > 0 {
			e.Cause = strings.Join(grants, "; ")
		}
		h.trace.Add(e, 0)
	}
}

func (h *duties) figures() *holding {
	if h == nil {
		return nil
	}
	f := &holding{Me: h.me, Linked: h.client.Connected(), Held: map[string]uint64{}, Fenced: h.client.FencedCommands(),
		Share: float64(h.client.Share()) / allot.UnitsPerCall, Version: h.keeper.VersionInForce()}
	_, _, f.Present = h.client.Presence()
	for _, t := range h.cfg.Operator.Duties.List {
		if r, ok := h.client.ActiveGrant(t.Name); ok {
			f.Held[t.Name] = r.Epoch
		}
	}
	if c := h.core.Load(); c != nil {
		f.Used = c.DownstreamConcurrency()
	}
	if h.sessions != nil {
		v := h.sessions.Metrics()
		f.Sessions = &v
	}
	if h.origin != nil {
		v, sum := h.origin.Figures(), h.origin.Report()
		f.Origin, f.Relays = &v, &sum
	}
	return f
}

// calls are the laboratory's, on the operators' address.
func (h *duties) calls() map[string]http.HandlerFunc {
	if h == nil || !h.cfg.Operator.Lab.Calls {
		return nil
	}
	return map[string]http.HandlerFunc{"PUT /-/lab/jump": func(w http.ResponseWriter, r *http.Request) {
		ms, err := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.clk.Jump(ms) // the wall clock: nothing sets a steady one
		h.log.Warn().Float64("ms", ms).Msg("clock jumps")
	}, "PUT /-/lab/spoil": func(w http.ResponseWriter, r *http.Request) {
		pick, err := strconv.ParseUint(r.URL.Query().Get("pick"), 10, 64)
		if err != nil || h.copy == nil {
			http.Error(w, "no pick, or no copy", http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, h.copy.Spoil(pick))
	}}
}

// check tells whether this server can take a published version whole.
func (h *duties) check(files []publish.File) error {
	_, err := servers(files)
	return err
}

// Files that may be published.
const (
	publishedOperator  = "operator.yaml"
	publishedInventory = "inventory"
)

// servers reads what a version says of who does the work. What else an operator's file may set takes a restart, and a
// version that sets it is turned down whole.
func servers(files []publish.File) ([]string, error) {
	o, err := config.ParseOperator(nil)
	if err != nil {
		return nil, err
	}
	var hosts *inventory.Inventory
	for _, f := range files {
		switch stem, _, _ := strings.Cut(f.Name, "."); {
		case f.Name == publishedOperator:
			if o, err = config.ParseOperator(f.Text); err != nil {
				return nil, fmt.Errorf("%s: %w", f.Name, err)
			}
		case stem == publishedInventory && filepath.Ext(f.Name) != "":
			if hosts != nil {
				return nil, fmt.Errorf("%s: a second inventory", f.Name)
			}
			if hosts, err = inventory.Parse(f.Name, f.Text); err != nil {
				return nil, err
			}
		default:
			return nil, fmt.Errorf("%s: neither %s nor %s.csv, .yml or .yaml", f.Name, publishedOperator, publishedInventory)
		}
	}
	rest, _ := config.ParseOperator(nil)
	rest.UWSGI.Servers, rest.Inventory, rest.Text = o.UWSGI.Servers, o.Inventory, o.Text
	if !reflect.DeepEqual(o, rest) {
		return nil, fmt.Errorf("%s: sets more than uwsgi.servers and inventory, which takes a restart", publishedOperator)
	}
	list := append([]string(nil), o.UWSGI.Servers...)
	if o.Inventory.Group != "" {
		if hosts == nil {
			return nil, errors.New("inventory.group is set, and no inventory is published")
		}
		for _, host := range hosts.Group(o.Inventory.Group) {
			list = append(list, host.Endpoint(o.Inventory.Port))
		}
		if len(list) == 0 {
			return nil, fmt.Errorf("inventory.group: no host is in %q", o.Inventory.Group)
		}
	}
	return list, nil
}

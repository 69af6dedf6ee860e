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

	"puffinsaddle/internal/allocation"
	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/dutywork"
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
	modeCheckIntervalMS = 250.0 // ms between checks of the server's health and drain state
	releaseFlushMS      = 100.0 // ms at the end for released leases to be sent
	needHeadroomFactor  = 1.5   // requested capacity as a multiple of the concurrency in use
	needHeadroomCalls   = 0.25  // calls in flight requested in addition, so that an idle server still detects growing demand
)

// dutyManager connects the server to the replicated store for the duties that it holds or is a candidate for, and serves
// sessions where this process has a store replica. The methods of a nil one do nothing: duties are disabled.
type dutyManager struct {
	cfg           *config.Config
	processID     string
	clk           *clock.Clock
	monotonic     *clock.Clock
	log           zerolog.Logger
	trace         *trace.Log
	client        *session.Client
	runner        *dutywork.Runner
	sessionServer *session.Server
	replica       *store.Store
	origin        *relay.Origin
	core          atomic.Pointer[core.Core]

	mu           sync.Mutex
	executorUp   bool
	coldUntilMS  float64
	outOfService bool
	draining     bool
}

// dutyMetrics is the duties section of the metrics.
type dutyMetrics struct {
	ProcessID             string                 `json:"me"`
	Connected             bool                   `json:"linked"`  // a session is established
	HasPresence           bool                   `json:"present"` // this process holds its presence lease
	HeldEpochs            map[string]uint64      `json:"held"`    // epochs of the duties held
	FencedCommands        uint64                 `json:"fenced"`  // commands of this process that were refused for a stale epoch
	AllocatedShare        float64                `json:"share"`   // allocated downstream calls beyond the per-process reserve
	DownstreamConcurrency float64                `json:"used"`    // downstream calls in flight, recent mean
	VersionInForce        uint64                 `json:"version"` // published version in force
	Sessions              *session.ServerMetrics `json:"sessions,omitempty"`

	Origin *configwatch.Metrics `json:"origin,omitempty"` // on a store replica: the relays that watch it
	Relays *distribution.Report `json:"relays,omitempty"` // on the leader: what the relays reported
}

// newDutyManager returns a manager that has sent nothing yet, or nil if the operator's file configures none.
func newDutyManager(cfg *config.Config, clk *clock.Clock, log zerolog.Logger) (*dutyManager, error) {
	d := cfg.Operator.Duties
	if !d.Enabled() {
		return nil, nil
	}
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		return nil, err
	}
	h := &dutyManager{cfg: cfg, processID: cfg.Name + "#" + hex.EncodeToString(b[:]), clk: clk, monotonic: clock.Monotonic().SetRate(cfg.Operator.Lab.ClockRate), log: log}
	if path := cfg.Operator.Lab.TracePath; path != "" {
		t, err := trace.Open(path, h.processID, h.monotonic)
		if err != nil {
			return nil, err
		}
		h.trace = t
		t.Add(trace.Event{What: trace.ProcessStarted}, 0)
	}
	injectedBug := cfg.Operator.Lab.InjectedBug
	h.runner = &dutywork.Runner{Steady: h.monotonic, Log: log, Trace: h.trace, CheckVersion: h.checkVersion}
	h.client = session.NewClient(session.Options{ProcessID: h.processID, ReplicaAddresses: d.Replicas, Rules: d.Rules(), Seed: cfg.Seed ^ uint64(b[0])<<8 ^ uint64(b[1]),
		Steady: h.monotonic, Log: log, InjectedBug: injectedBug, OnEvent: h.runner.HandleEvent, Need: h.downstreamNeed})
	runner := h.runner
	runner.WorkByDuty = map[string]dutywork.Work{}
	for _, t := range d.List {
		runner.WorkByDuty[t.Name] = runner.CounterWork(d.MarkIntervalMS)
	}
	if d.Allocation.Total > 0 {
		runner.WorkByDuty[dutywork.Allotter] = runner.AllotterWork(d.Allocation.IntervalMS, d.Allocation.Capacity(), injectedBug)
	}
	if d.Publish.Manifest != "" {
		runner.WorkByDuty[dutywork.Publisher] = runner.PublisherWork(d.Publish.IntervalMS, d.Publish.Manifest, h.checkVersion)
	}
	if _, on := runner.WorkByDuty[dutywork.Settler]; on {
		runner.WorkByDuty[dutywork.Settler] = runner.SettlerWork(d.Resolution.IntervalMS, d.Resolution.RetentionMS, d.MaxDrift, h.monotonic)
	}
	return h, nil
}

// serveReplica serves sessions and watches if this process has a store replica.
func (h *dutyManager) serveReplica(ctx context.Context, replica *store.Store) {
	if replica == nil {
		return
	}
	h.replica = replica
	d := h.cfg.Operator.Duties
	grantor := &duty.Grantor{Rules: d.Rules(), Seed: 1, MaxPresent: d.Allocation.MaxProcesses, InjectedBug: h.cfg.Operator.Lab.InjectedBug}
	h.sessionServer = session.NewServer(replica, grantor, d.MaxSessions, h.monotonic, h.log)
	h.sessionServer.CheckChange = func(c records.Change) error { return checkChange(replica, c) }
	h.sessionServer.OnTermStart = func(term uint64) { h.trace.Add(trace.Event{What: trace.TermStarted, Term: term}, 0) }
	replica.ServeSessions(h.sessionServer.Serve)
	h.origin = relay.NewOrigin(replica, h.monotonic, h.log, h.cfg.Operator.Lab.InjectedBug)
	h.origin.OnCommit = func(c records.Commit) {
		h.trace.Add(trace.Event{What: trace.CommitAgreed, N: c.Revision, Text: c.After.String()}, 0)
	}
	h.sessionServer.ConfigStatus = h.origin.Status
	replica.ServeWatches(h.origin.Serve)
	go h.origin.Run(ctx)
	go h.sessionServer.Run(ctx)
}

// start starts the client, which then holds duties for the core c.
func (h *dutyManager) start(ctx context.Context, c *core.Core, uwsgiRunner *uwsgi.Runner) {
	if h == nil {
		return
	}
	h.core.Store(c)
	if a := h.cfg.Operator.Duties.Allocation; a.Total > 0 {
		reserve := a.Capacity().ReservePerProcess
		c.SetDownstreamShareFunc(func() float64 { return float64(reserve+h.client.Share()) / allocation.UnitsPerCall })
		h.runner.ApplyShare = func(_ int64, used func()) { c.AfterPendingEvents(used) }
	}
	h.runner.ApplyVersion = func(v publish.Version) {
		addresses, err := publishedServers(v.Files)
		if err == nil && uwsgiRunner != nil && len(addresses) > 0 {
			uwsgiRunner.SetServers(addresses)
		}
	}
	h.client.SetMode(duty.Failing) // until the executor has started
	h.runner.Start(ctx, h.processID, h.client)
	h.updateMode()
}

// downstreamNeed returns the capacity, in allocation units, that this server could use beyond its per-process reserve.
func (h *dutyManager) downstreamNeed() int64 {
	c := h.core.Load()
	if c == nil {
		return 0
	}
	neededCalls := c.DownstreamConcurrency()*needHeadroomFactor + needHeadroomCalls
	return max(int64(neededCalls*allocation.UnitsPerCall)-h.cfg.Operator.Duties.Allocation.Capacity().ReservePerProcess, 0)
}

// updateMode sets the client's mode from the server's state, and repeats this periodically until the server drains.
func (h *dutyManager) updateMode() {
	h.mu.Lock()
	mode := duty.Warm
	switch {
	case h.draining:
		mode = duty.Draining
	case h.outOfService:
		mode = duty.OutOfService
	case !h.executorUp || !h.core.Load().Healthy():
		mode = duty.Failing
	case h.clk.Now() < h.coldUntilMS:
		mode = duty.Cold
	}
	h.mu.Unlock()
	h.client.SetMode(mode)
	if mode != duty.Draining {
		h.monotonic.After(modeCheckIntervalMS, h.updateMode)
	}
}

// executorStarted records that the executor has started, cold or warm.
func (h *dutyManager) executorStarted(cold bool, coldMs float64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.executorUp && cold {
		h.coldUntilMS = h.clk.Now() + coldMs
	}
	h.executorUp = true
}

// setOutOfService takes the server out of service for duties, or back in, as an operator requests.
func (h *dutyManager) setOutOfService(outOfService bool) {
	if h != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.outOfService = outOfService
	}
}

// drain starts handing all duties over to other servers.
func (h *dutyManager) drain() {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.client.SetMode(duty.Draining)
}

// releaseAll releases the remaining leases, the presence lease included, and waits for the releases to be sent.
func (h *dutyManager) releaseAll() {
	if h == nil {
		return
	}
	h.client.ReleaseAll()
	flushed := make(chan struct{})
	h.monotonic.After(releaseFlushMS, func() { close(flushed) })
	<-flushed
}

func (h *dutyManager) close() {
	if h != nil {
		h.trace.Close()
	}
}

// phaseTracer returns a function that traces the phases of this process's store replica, or nil without a trace.
func (h *dutyManager) phaseTracer() func(phase, reason string) {
	if h == nil || h.trace == nil {
		return nil
	}
	return func(phase, reason string) {
		h.trace.Add(trace.Event{What: trace.ReplicaPhase, Text: phase, Cause: reason}, 0)
	}
}

// applyTracer returns a function that traces the commands that a store replica applies, or nil without a trace.
func (h *dutyManager) applyTracer() func(index, term uint64, c state.Command, r state.Result) {
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

// metrics returns the duties section of the metrics, or nil if duties are disabled.
func (h *dutyManager) metrics() *dutyMetrics {
	if h == nil {
		return nil
	}
	f := &dutyMetrics{ProcessID: h.processID, Connected: h.client.Connected(), HeldEpochs: map[string]uint64{}, FencedCommands: h.client.FencedCommands(),
		AllocatedShare: float64(h.client.Share()) / allocation.UnitsPerCall, VersionInForce: h.runner.VersionInForce()}
	_, _, f.HasPresence = h.client.Presence()
	for _, t := range h.cfg.Operator.Duties.List {
		if r, ok := h.client.ActiveGrant(t.Name); ok {
			f.HeldEpochs[t.Name] = r.Epoch
		}
	}
	if c := h.core.Load(); c != nil {
		f.DownstreamConcurrency = c.DownstreamConcurrency()
	}
	if h.sessionServer != nil {
		v := h.sessionServer.Metrics()
		f.Sessions = &v
	}
	if h.origin != nil {
		v, sum := h.origin.Metrics(), h.origin.Report()
		f.Origin, f.Relays = &v, &sum
	}
	return f
}

// labHandlers returns the lab's fault-injection handlers, which are served on the operators' address.
func (h *dutyManager) labHandlers() map[string]http.HandlerFunc {
	if h == nil || !h.cfg.Operator.Lab.FaultCalls {
		return nil
	}
	return map[string]http.HandlerFunc{"PUT /-/lab/jump": func(w http.ResponseWriter, r *http.Request) {
		ms, err := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.clk.Jump(ms) // only the wall clock jumps; the monotonic clock is never set
		h.log.Warn().Float64("ms", ms).Msg("lab moves the wall clock")
	}, "PUT /-/lab/spoil": func(w http.ResponseWriter, r *http.Request) {
		pick, err := strconv.ParseUint(r.URL.Query().Get("pick"), 10, 64)
		if err != nil || h.replica == nil {
			http.Error(w, "pick is missing or invalid, or there is no store replica", http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, h.replica.CorruptMemory(pick))
	}}
}

// checkVersion reports whether this server can apply all of a published version.
func (h *dutyManager) checkVersion(files []publish.File) error {
	_, err := publishedServers(files)
	return err
}

// Names of files that may be published; the inventory has one of the extensions .csv, .yml and .yaml.
const (
	publishedOperator  = "operator.yaml"
	publishedInventory = "inventory"
)

// publishedServers returns the uwsgi servers that a published version configures. Other settings of an operator's file need a
// restart; a version that contains any of them is rejected entirely.
func publishedServers(files []publish.File) ([]string, error) {
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
				return nil, fmt.Errorf("%s: more than one inventory is published", f.Name)
			}
			if hosts, err = inventory.Parse(f.Name, f.Text); err != nil {
				return nil, err
			}
		default:
			return nil, fmt.Errorf("%s: not a publishable file; expected %s, or %s.csv, .yml or .yaml", f.Name, publishedOperator, publishedInventory)
		}
	}
	allowed, _ := config.ParseOperator(nil)
	allowed.UWSGI.Servers, allowed.Inventory, allowed.Text = o.UWSGI.Servers, o.Inventory, o.Text
	if !reflect.DeepEqual(o, allowed) {
		return nil, fmt.Errorf("%s: sets more than uwsgi.servers and inventory; other settings need a restart", publishedOperator)
	}
	addresses := append([]string(nil), o.UWSGI.Servers...)
	if o.Inventory.Group != "" {
		if hosts == nil {
			return nil, errors.New("inventory.group is set, but no inventory is published")
		}
		for _, host := range hosts.Group(o.Inventory.Group) {
			addresses = append(addresses, host.Endpoint(o.Inventory.DefaultPort))
		}
		if len(addresses) == 0 {
			return nil, fmt.Errorf("inventory.group: %q contains no host", o.Inventory.Group)
		}
	}
	return addresses, nil
}

package main

import (
	"context"
	"errors"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/inventory"
	"puffinsaddle/internal/net/executor"
	"puffinsaddle/internal/net/handover"
	"puffinsaddle/internal/net/members"
	"puffinsaddle/internal/net/operator"
	"puffinsaddle/internal/net/uwsgi"
	"puffinsaddle/internal/net/vault"
	"puffinsaddle/internal/store"
)

// operatorCloseTimeout is the time for operators' calls in progress at the end. Calls are answered from memory, so one that
// takes longer is incomplete.
const operatorCloseTimeout = 50 * time.Millisecond

// Fractions of the process's memory limit.
const (
	keyTableMemoryFraction = 0.15 // for keyed attempts and their results
	gatewayMemoryFraction  = 0.25 // for requests and answers on connections of gateways

	openRequestsMemoryFraction = 0.25 // for open requests

	routerAnswersMemoryFraction = 0.125 // for answers that routers do not read
	memoryLimitFraction         = 0.7   // the garbage collector runs more often above this; stacks and sockets need the rest
)

const (
	openRequestBytes = 16 << 10 // of an open request: its body, its goroutine and what the module keeps of it
	maxOpenRequests  = 4096
)

// server is one order server with the parts that it is assembled from. Parts that are not configured are nil.
type server struct {
	cfg *config.Config // as read at the start
	clk *clock.Clock
	log zerolog.Logger

	core        *core.Core
	link        *executor.Link // nil if uwsgi servers run the requests
	uwsgiRunner *uwsgi.Runner
	vault       *vault.Client
	reporter    *members.Reporter
	manager     *dutyManager
	replica     *store.Store
	watcher     *recordsWatch
	operator    *operator.Front

	inherited inheritedState
	fronts    []front
	sockets   map[string]*net.TCPListener // of the fronts, by address
	offer     *handover.Offer             // written before ready is set, read after it

	ready      atomic.Bool // the fronts serve
	executorUp chan struct{}
	draining   bool
	drainDone  chan struct{}
	reloads    *reloads
}

// run assembles the server and serves until a drain has completed. load reads the configuration again for a reload.
func run(cfg *config.Config, load func() (*config.Config, error), signals <-chan receivedSignal, clk *clock.Clock, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(cfg.Cores)), 1))
	debug.SetMemoryLimit(int64(cfg.MemoryMB * memoryLimitFraction * (1 << 20)))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &server{cfg: cfg, clk: clk, log: log, executorUp: make(chan struct{}, 1), drainDone: make(chan struct{}), reloads: newReloads(cfg, load)}
	defer s.close(ctx)
	for _, assemble := range []func(context.Context) error{s.openState, s.newCore, s.openFronts, s.serveOperators} {
		if err := assemble(ctx); err != nil {
			return err
		}
	}
	if s.link != nil {
		go s.link.Run(ctx)
	} else {
		s.onExecutorUp(false)
	}
	s.reporter = members.New(cfg.Members, cfg.Name)
	go s.reporter.Run(ctx)
	s.handleSignals(signals)
	return nil
}

// openState opens the duties and the store replica, and creates the runner from the same inventory.
func (s *server) openState(ctx context.Context) (err error) {
	hosts, err := loadInventory(s.cfg.Operator)
	if err != nil {
		return err
	}
	if s.manager, err = newDutyManager(s.cfg, s.clk, s.log); err != nil {
		return err
	}
	if s.replica, err = openStore(ctx, s.cfg, hosts, s.manager, s.log); err != nil {
		return err
	}
	if s.manager != nil {
		s.manager.serveReplica(ctx, s.replica)
	}
	return s.newRunner(hosts)
}

// newRunner creates the runner of the requests: the link to the executor, or uwsgi servers, which take precedence.
func (s *server) newRunner(hosts *inventory.Inventory) error {
	servers := uwsgiServers(s.cfg.Operator, hosts)
	switch {
	case len(servers) > 0:
		settings := s.cfg.Operator.UWSGI
		settings.Servers = servers
		s.uwsgiRunner = uwsgi.NewRunner(settings, s.clk, s.log)
	case s.cfg.Executor != "":
		s.link = executor.New(s.cfg.Executor, s.log, func(cold, replaced bool) {
			if replaced {
				s.core.RunnerReplaced(cold)
			}
			s.onExecutorUp(cold)
		})
	default:
		return errors.New("no executor is configured, and the inventory group has no uwsgi server")
	}
	return nil
}

// newCore creates the core, and starts what decides on its requests from outside: duties and records.
func (s *server) newCore(ctx context.Context) (err error) {
	var runner core.Runner = s.link
	if s.uwsgiRunner != nil {
		runner = s.uwsgiRunner
	}
	var effectLog core.EffectLog // nil: effects are kept in memory only
	switch {
	case s.manager != nil:
		effectLog = s.manager.client
	case s.replica != nil:
		effectLog = s.replica
	}
	s.vault = vault.New(s.cfg.Vault, s.clk)
	s.core = core.New(s.clk, s.log, s.cfg.Settings, s.cfg.Seed, runner, s.vault, effectLog)
	s.core.SetMaxOpenRequests(min(int(s.cfg.MemoryMB*openRequestsMemoryFraction*(1<<20)/openRequestBytes), maxOpenRequests))
	s.core.SetKeyTableBytes(int(s.cfg.MemoryMB * keyTableMemoryFraction * (1 << 20)))
	s.manager.start(ctx, s.core, s.uwsgiRunner)
	if s.watcher, err = newRecordsWatch(s.cfg, s.manager.traceLog(), s.uwsgiRunner, s.log); err != nil {
		return err
	}
	s.watcher.run(ctx)
	return nil
}

// openFronts opens the fronts. They serve at once, unless a predecessor still serves their sockets.
func (s *server) openFronts(context.Context) (err error) {
	if s.inherited, s.fronts, s.sockets, err = openFronts(s.cfg, s.core, s.clk, s.log); err != nil {
		return err
	}
	go s.core.Run()
	if !s.inherited.hasSockets() {
		s.startServing()
	}
	return nil
}

// startServing lets the fronts serve, and offers their sockets to a successor.
func (s *server) startServing() {
	if s.inherited.predecessor != nil {
		handover.ImportKeyedAttempts(s.core, s.inherited.predecessor, s.log)
	}
	for _, f := range s.fronts {
		go f.Serve()
	}
	if s.inherited.offerPath != "" {
		s.offerSockets()
	}
	s.ready.Store(true)
}

// offerSockets offers the sockets to a successor. If that fails, this process can't be replaced while it runs.
func (s *server) offerSockets() {
	offer, err := handover.New(s.inherited.offerPath, s.sockets, handover.KeyedAttempts(s.core, s.log), s.log)
	if err != nil {
		logFailure(s.log, err)
		return
	}
	s.offer = offer
	s.log.Info().Msg("may be replaced")
}

// serveOperators serves the operators' address, if there is one.
func (s *server) serveOperators(context.Context) (err error) {
	if s.cfg.OperatorListen == "" {
		return nil
	}
	calls := operator.Calls{
		Ready: func() bool { return s.ready.Load() && s.core.Ready() },
		Drain: func(outOfService bool) {
			s.core.ForceUnhealthy(outOfService)
			s.manager.setOutOfService(outOfService)
		},
		Metrics: func() any { return s.metrics() },
		Extra:   s.manager.labHandlers(),
	}
	if s.operator, err = operator.Listen(s.cfg.OperatorListen, config.MaxOperatorConnections, calls, s.log); err != nil {
		return err
	}
	s.log.Info().Stringer("at", s.operator.Addr()).Msg("serving operators")
	go func() { logFailure(s.log, s.operator.Serve()) }()
	return nil
}

// onExecutorUp handles a start of the executor, or of what replaces it.
func (s *server) onExecutorUp(cold bool) {
	s.core.RunnerStarted(cold)
	s.manager.executorStarted(cold, clock.Millis(s.cfg.Settings.WarmupPeriod))
	select {
	case s.executorUp <- struct{}{}:
	default:
	}
}

// handleSignals handles signals until a drain has completed.
func (s *server) handleSignals(signals <-chan receivedSignal) {
	for {
		select {
		case received := <-signals:
			switch {
			case received.Signal == syscall.SIGHUP: // also during a drain: attempts in flight need the new addresses until they end
				s.reloads.request()
			case !s.draining:
				s.drain(received.arrivedMS)
			}
		case read := <-s.reloads.done:
			s.reloads.finish(read, s.log, s.apply)
		case <-s.executorUp:
			if !s.ready.Load() && !s.draining { // until now, the predecessor served these sockets
				s.startServing()
			}
		case <-s.drainDone:
			return
		}
	}
}

// apply applies the parts of a new configuration that need no restart.
func (s *server) apply(updated *config.Config) {
	if s.link != nil && updated.Executor != "" {
		s.link.SetAddress(updated.Executor)
	}
	s.vault.SetAddress(updated.Vault)
	s.reporter.SetAddress(updated.Members)
	s.core.Adopt(updated.Settings)
}

// close closes what outlives the fronts.
func (s *server) close(ctx context.Context) {
	if s.operator != nil {
		ctx, cancel := context.WithTimeout(ctx, operatorCloseTimeout)
		defer cancel()
		s.operator.Close(ctx)
	}
	s.inherited.close()
	s.watcher.close()
	if s.replica != nil {
		s.replica.Close()
	}
	s.manager.close()
}

// loadInventory loads the operator's inventory, or returns nil if there is none.
func loadInventory(o config.Operator) (*inventory.Inventory, error) {
	if o.Inventory.Path == "" {
		return nil, nil
	}
	return inventory.Load(o.Inventory.Path)
}

// uwsgiServers returns the uwsgi servers from the operator's file and its inventory.
func uwsgiServers(o config.Operator, hosts *inventory.Inventory) []string {
	servers := slices.Clone(o.UWSGI.Servers)
	if hosts == nil || o.Inventory.Group == "" {
		return servers
	}
	for _, h := range hosts.Group(o.Inventory.Group) {
		servers = append(servers, h.Endpoint(o.Inventory.DefaultPort))
	}
	return servers
}

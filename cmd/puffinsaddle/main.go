// Command puffinsaddle runs one order server, which serves routers according to the decisions of the policy module. Its
// subcommands inspect and control running servers, check configuration and run the lab.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/inventory"
	"puffinsaddle/internal/net/accept"
	"puffinsaddle/internal/net/executor"
	"puffinsaddle/internal/net/handover"
	"puffinsaddle/internal/net/members"
	"puffinsaddle/internal/net/operator"
	"puffinsaddle/internal/net/respfront"
	"puffinsaddle/internal/net/uwsgi"
	"puffinsaddle/internal/net/vault"
	"puffinsaddle/internal/store"
)

const (
	reservedDescriptors  = 64              // descriptors for the executor, the vault, logs and others
	drainKeyPrefix       = "drain/"        // key prefix of draining servers in the store
	addressInUseTimeout  = 5 * time.Second // how long to retry an address in use
	addressRetryInterval = 20 * time.Millisecond

	// Fractions of the process's memory limit.
	keyTableMemoryFraction = 0.15 // for keyed attempts and their results
	memoryLimitFraction    = 0.7  // the garbage collector runs more often above this; stacks and sockets need the rest
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(serve()) // without arguments, as the platform starts it
}

// serve runs one order server until its drain has completed and returns the exit status.
func serve() int {
	// Signals are caught before anything else, so that one that arrives during start-up does not kill the process.
	clk := clock.System()
	signals := catchSignals(clk)
	load := func() (*config.Config, error) { return config.Load(os.Getenv) }
	cfg, err := load()
	if err != nil {
		fmt.Fprintln(os.Stderr, "puffinsaddle:", err)
		return 2
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stdout).With().Timestamp().Str("name", cfg.Name).Logger().Level(zerolog.InfoLevel)
	if err := run(cfg, load, signals, clk, log); err != nil {
		log.Error().Err(err).Msg("stopped")
		return 1
	}
	return 0
}

// receivedSignal is a signal with its arrival time. Timeouts that a signal starts count from its arrival, however late the main
// loop handles it.
type receivedSignal struct {
	os.Signal
	arrivedMS float64
}

// catchSignals returns the signals that this process receives. Termination and reload signals have separate channels and
// goroutines, so that each is timestamped at once: os/signal drops a signal whose channel is full, and any number of reload
// signals that arrive during a reload must neither delay nor displace a termination signal. Dropped reload signals do no
// harm, since a pending one reads the file's latest content.
func catchSignals(clk *clock.Clock) <-chan receivedSignal {
	signals := make(chan receivedSignal)
	for _, kind := range [][]os.Signal{{syscall.SIGTERM, os.Interrupt}, {syscall.SIGHUP}} {
		received := make(chan os.Signal, 8)
		signal.Notify(received, kind...)
		go func() {
			for s := range received {
				signals <- receivedSignal{s, clk.Now()}
			}
		}()
	}
	return signals
}

// run assembles the server and serves until a drain has completed. load reads the configuration again for a reload.
func run(cfg *config.Config, load func() (*config.Config, error), signals <-chan receivedSignal, clk *clock.Clock, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(cfg.Cores)), 1))
	debug.SetMemoryLimit(int64(cfg.MemoryMB * memoryLimitFraction * (1 << 20)))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, hosts, err := uwsgiServers(cfg.Operator)
	if err != nil {
		return err
	}
	manager, err := newDutyManager(cfg, clk, log)
	if err != nil {
		return err
	}
	defer manager.close()
	replica, err := openStore(ctx, cfg, hosts, manager, log)
	if err != nil {
		return err
	}
	var effectLog core.EffectLog // nil: effects are kept in memory only
	if replica != nil {
		defer replica.Close()
		effectLog = replica
	}
	if manager != nil {
		effectLog = manager.client
		manager.serveReplica(ctx, replica)
	}

	var c *core.Core
	var onExecutorUp func(cold bool)
	var runner core.Runner
	var link *executor.Link
	var uwsgiRunner *uwsgi.Runner
	if cfg.Executor != "" {
		link = executor.New(cfg.Executor, log, func(cold, replaced bool) {
			if replaced {
				c.RunnerReplaced(cold)
			}
			onExecutorUp(cold)
		})
		runner = link
	}
	if len(servers) > 0 { // uwsgi servers in the operator's file take precedence over the executor
		uwsgiSettings := cfg.Operator.UWSGI
		uwsgiSettings.Servers = servers
		uwsgiRunner = uwsgi.NewRunner(uwsgiSettings, clk, log)
		runner, link = uwsgiRunner, nil
	}
	if runner == nil {
		return errors.New("no executor is configured, and the inventory group has no uwsgi server")
	}
	vaultClient := vault.New(cfg.Vault, clk)
	c = core.New(clk, log, cfg.Settings, cfg.Seed, runner, vaultClient, effectLog)
	c.SetKeyTableBytes(int(cfg.MemoryMB * keyTableMemoryFraction * (1 << 20)))
	manager.start(ctx, c, uwsgiRunner)
	watcher, err := newRecordsWatch(cfg, manager.traceLog(), uwsgiRunner, log)
	if err != nil {
		return err
	}
	defer watcher.close()
	watcher.run(ctx)
	inherited, fronts, sockets, err := openFronts(cfg, c, clk, log)
	defer inherited.close()
	if err != nil {
		return err
	}
	var offer *handover.Offer // written before ready is set, read after it
	var ready atomic.Bool
	startServing := func() {
		importKeyedAttempts(c, inherited.predecessor, log)
		for _, f := range fronts {
			go f.Serve()
		}
		if inherited.offerPath != "" {
			if offer, err = handover.New(inherited.offerPath, sockets, func() []byte { return encodeKeyedAttempts(c, log) }, c.ResumeKeyedAttempts, log); err != nil {
				logFailure(log, err) // this process can then not be replaced while it runs
			} else {
				log.Info().Msg("may be replaced")
			}
		}
		ready.Store(true)
	}
	go c.Run()
	if !inherited.hasSockets() {
		startServing()
	}
	applied, rejected := 0, 0
	var reloadMu sync.Mutex
	if cfg.OperatorListen != "" {
		operatorServer, err := operator.Listen(cfg.OperatorListen, config.MaxOperatorConnections, operator.Calls{Ready: func() bool { return ready.Load() && c.Ready() }, Drain: func(outOfService bool) {
			c.ForceUnhealthy(outOfService)
			manager.setOutOfService(outOfService)
		}, Metrics: func() any {
			reloadMu.Lock()
			defer reloadMu.Unlock()
			return struct {
				core.Metrics
				Applied  int             `json:"config_applied"`
				Rejected int             `json:"config_rejected"`
				Duties   *dutyMetrics    `json:"duties,omitempty"`
				Store    *store.Status   `json:"store,omitempty"`
				Records  *recordsMetrics `json:"records,omitempty"`
			}{c.Metrics(), applied, rejected, manager.metrics(), storeStatus(replica), watcher.metrics()}
		}, Extra: manager.labHandlers()}, log)
		if err != nil {
			return err
		}
		log.Info().Stringer("at", operatorServer.Addr()).Msg("serving operators")
		go func() { logFailure(log, operatorServer.Serve()) }()
		defer operatorServer.Close(ctx)
	}
	executorUp := make(chan struct{}, 1)
	onExecutorUp = func(cold bool) {
		c.RunnerStarted(cold)
		manager.executorStarted(cold, clock.Millis(cfg.Settings.WarmupPeriod))
		select {
		case executorUp <- struct{}{}:
		default:
		}
	}
	if link != nil {
		go link.Run(ctx)
	} else {
		onExecutorUp(false)
	}
	reporter := members.New(cfg.Members, cfg.Name)
	go reporter.Run(ctx)

	var drainFronts []core.Front
	for _, f := range fronts {
		drainFronts = append(drainFronts, f)
	}
	drainDone := make(chan struct{})
	draining, current := false, cfg
	for {
		select {
		case s := <-signals:
			switch {
			case s.Signal == syscall.SIGHUP: // also during a drain: attempts in flight need the new addresses until they end
				ok := reload(load, current, log, func(updated *config.Config) {
					current = updated
					if link != nil && updated.Executor != "" {
						link.SetAddress(updated.Executor)
					}
					vaultClient.SetAddress(updated.Vault)
					reporter.SetAddress(updated.Members)
					c.Adopt(updated.Settings)
				})
				reloadMu.Lock()
				if ok {
					applied++
				} else {
					rejected++
				}
				reloadMu.Unlock()
			case !draining && offer.HasSuccessor():
				draining = true
				log.Info().Msg("replaced")
				manager.drain()
				go func() {
					shutDown(func() { c.YieldToSuccessor(s.arrivedMS, cfg.StopTimeoutMS, drainFronts...) }, c.StopReached(), manager.releaseAll)
					close(drainDone)
				}()
			case !draining:
				draining = true
				log.Info().Float64("stop_ms", cfg.StopTimeoutMS).Msg("draining")
				reporter.Leave()
				manager.drain()
				if replica != nil {
					go func() { logFailure(log, replica.Set(drainKeyPrefix+cfg.Name, []byte("draining"))) }() // the drain needs no quorum
				}
				go func() {
					shutDown(func() { c.Shutdown(s.arrivedMS, cfg.StopTimeoutMS, drainFronts...) }, c.StopReached(), manager.releaseAll)
					close(drainDone)
				}()
			}
		case <-executorUp:
			if !ready.Load() && !draining { // until now, the predecessor served these sockets
				startServing()
			}
		case <-drainDone:
			return nil
		}
	}
}

// shutDown closes the fronts and releases the duties. The duties are released as soon as no further downstream call can
// be made, that is, when the fronts are closed or the module has given its last answers before the stop: callers may keep
// the fronts open until the process is killed, and the leases would then last until they expire.
func shutDown(closeFronts func(), stopReached <-chan struct{}, releaseDuties func()) {
	closed := make(chan struct{})
	go func() {
		closeFronts()
		close(closed)
	}()
	select {
	case <-closed:
	case <-stopReached:
	}
	releaseDuties()
	<-closed
}

// reload reads the configuration again and applies it with use; an invalid one changes nothing. It returns whether the
// configuration was applied. Changes other than peer addresses and settings need a restart.
func reload(load func() (*config.Config, error), previous *config.Config, log zerolog.Logger, apply func(*config.Config)) bool {
	updated, err := load()
	if err == nil {
		err = updated.CheckReplaces(previous)
	}
	if err != nil {
		log.Error().Err(err).Msg("configuration rejected; the previous one stays in force")
		return false
	}
	log.Info().Str("executor", updated.Executor).Str("vault", updated.Vault).Str("members", updated.Members).Msg("configuration read again")
	apply(updated)
	return true
}

// front is a core.Front that Serve runs.
type front interface {
	core.Front
	Serve()
}

// openFronts takes over the predecessor's sockets, or opens new ones. It retries while the predecessor may be exiting. In that
// case the predecessor hands over none or only some of its sockets, and its addresses become free shortly after.
func openFronts(cfg *config.Config, c *core.Core, clk *clock.Clock, log zerolog.Logger) (inherited inheritedState, fronts []front, sockets map[string]*net.TCPListener, err error) {
	for deadline := time.Now().Add(addressInUseTimeout); ; time.Sleep(addressRetryInterval) {
		if inherited, err = inheritSockets(cfg, log); err == nil {
			fronts, sockets, err = listenFronts(cfg, inherited.sockets, c, clk, log)
		}
		if err == nil || !inherited.incomplete && !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return inherited, fronts, sockets, err
		}
		log.Warn().Err(err).Msg("predecessor is exiting or still holds the address; retrying")
		inherited.close()
	}
}

// listenFronts opens the configured fronts, on inherited sockets where available. It closes inherited sockets that no front uses.
func listenFronts(cfg *config.Config, inherited map[string]*net.TCPListener, c *core.Core, clk *clock.Clock, log zerolog.Logger) (fronts []front, sockets map[string]*net.TCPListener, err error) {
	sockets = map[string]*net.TCPListener{}
	defer func() {
		if err != nil { // a retry must not find the addresses in use
			for _, s := range sockets {
				s.Close()
			}
		}
	}()
	openListener := func(address, service string) (*accept.Listener, error) {
		ln, err := accept.New(inherited[address], log), error(nil)
		if inherited[address] == nil {
			ln, err = accept.Listen(address, log)
		}
		if err == nil {
			log.Info().Stringer("at", ln.Addr()).Bool("inherited", inherited[address] != nil).Msg("serving " + service)
			sockets[address] = ln.Socket()
		}
		return ln, err
	}
	if cfg.Listen != "" {
		ln, err := openListener(cfg.Listen, "routers")
		if err != nil {
			return nil, nil, err
		}
		fronts = append(fronts, respfront.New(ln, cfg.MaxRouterConnections(), c, clk, log))
	}
	if u := cfg.Operator.UWSGI; u.Listen != "" {
		ln, err := openListener(u.Listen, "uwsgi")
		if err != nil {
			return nil, nil, err
		}
		fronts = append(fronts, uwsgi.New(ln, u, c, clk, log))
	}
	for address, s := range inherited {
		if sockets[address] != s {
			s.Close() // no front accepts from it
		}
	}
	return fronts, sockets, nil
}

// inheritedState is what a running predecessor hands over to this process, which replaces it.
type inheritedState struct {
	offerPath   string // where this process offers its own sockets to a successor; empty: it offers none
	sockets     map[string]*net.TCPListener
	predecessor net.Conn // the connection to the predecessor
	incomplete  bool     // the predecessor failed to hand its sockets over; it may be exiting
}

func (i inheritedState) hasSockets() bool { return len(i.sockets) > 0 }

func (i inheritedState) close() {
	if i.predecessor != nil {
		i.predecessor.Close()
	}
}

// inheritSockets requests the predecessor's listening sockets. The predecessor is found by name in the server's private
// directory; in a shared directory, a process of that name could belong to another server.
func inheritSockets(cfg *config.Config, log zerolog.Logger) (i inheritedState, err error) {
	if cfg.PrivateDir == "" {
		return i, nil
	}
	i.offerPath = filepath.Join(cfg.PrivateDir, url.PathEscape(cfg.Name)+".handover")
	if i.sockets, i.predecessor, err = handover.Take(i.offerPath); err != nil {
		i.incomplete = true
		return i, err
	}
	if i.hasSockets() {
		log.Info().Int("sockets", len(i.sockets)).Msg("replacing a running process")
	}
	return i, nil
}

// encodeKeyedAttempts encodes, for a successor, the keyed attempts that ran in this process.
func encodeKeyedAttempts(c *core.Core, log zerolog.Logger) []byte {
	data, err := json.Marshal(c.ExportKeyedAttempts())
	logFailure(log, err) // never fails, since the attempts have no NaN or infinite numbers
	return data
}

// importKeyedAttempts imports the keyed attempts of the predecessor, if there is one. A predecessor that sends none may go on
// starting keyed requests; this process then starts none until the predecessor has exited and its keys have expired.
func importKeyedAttempts(c *core.Core, predecessor net.Conn, log zerolog.Logger) {
	if predecessor == nil {
		return
	}
	var attempts []core.KeyedAttempt
	data, received := handover.AnnounceServing(predecessor)
	if received && json.Unmarshal(data, &attempts) == nil {
		c.ImportKeyedAttempts(attempts)
		return
	}
	log.Warn().Msg("predecessor sent no keyed attempts; keyed requests wait for its exit")
	c.ExportKeyedAttempts()
	go func() {
		handover.WaitForExit(predecessor)
		c.ResumeKeyedAttempts()
	}()
}

// uwsgiServers returns the uwsgi servers from the operator's file and its inventory, and the inventory itself.
func uwsgiServers(o config.Operator) (servers []string, hosts *inventory.Inventory, err error) {
	servers = slices.Clone(o.UWSGI.Servers)
	if o.Inventory.Path == "" {
		return servers, nil, nil
	}
	if hosts, err = inventory.Load(o.Inventory.Path); err != nil {
		return nil, nil, err
	}
	if o.Inventory.Group != "" {
		for _, h := range hosts.Group(o.Inventory.Group) {
			servers = append(servers, h.Endpoint(o.Inventory.DefaultPort))
		}
	}
	return servers, hosts, nil
}

// openStore opens the store replica that the operator's file configures, if any. Once there is a quorum, it writes this
// server's configuration to the store; serving does not wait for that.
func openStore(ctx context.Context, cfg *config.Config, hosts *inventory.Inventory, manager *dutyManager, log zerolog.Logger) (*store.Store, error) {
	settings := cfg.Operator.Store
	if settings.Listen == "" {
		return nil, nil
	}
	if settings.ID == "" {
		settings.ID = cfg.Name
	}
	overrides := map[string]string{}
	for id, at := range settings.AddressOverrides {
		overrides[settings.Peers[id]] = at
	}
	s, err := store.Open(store.Options{ID: settings.ID, Listen: settings.Listen, Dir: settings.Dir, Peers: settings.Peers, AddressOverrides: overrides, Strict: settings.Strict, CompareIntervalMS: settings.CompareIntervalMS, ElectionTimeoutMS: settings.ElectionTimeoutMS, Log: log,
		Events: log, OnPhaseChange: manager.phaseTracer(), OnApply: manager.applyTracer(), InjectedBug: cfg.Operator.Lab.InjectedBug})
	if err != nil {
		return nil, err
	}
	log.Info().Str("id", settings.ID).Str("at", s.Addr()).Msg("serving the store")
	go func() {
		if err := s.Ready(ctx); err != nil {
			return // closed before a leader was elected
		}
		logFailure(log, s.Set("config/"+cfg.Name, cfg.Operator.Text))
		logFailure(log, s.Delete(drainKeyPrefix+cfg.Name))
		if hosts != nil {
			text, err := json.Marshal(hosts)
			logFailure(log, err)
			logFailure(log, s.Set("inventory", text))
		}
	}()
	return s, nil
}

// storeStatus returns the status of this process's store replica for the metrics, or nil without a replica.
func storeStatus(s *store.Store) *store.Status {
	if s == nil {
		return nil
	}
	st := s.Status()
	return &st
}

// logFailure logs the failure of a background operation; serving continues without it.
func logFailure(log zerolog.Logger, err error) {
	if err != nil {
		log.Warn().Err(err).Msg("background operation failed")
	}
}

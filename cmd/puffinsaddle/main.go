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
	spareSockets = 64              // descriptors for the executor, the vault, logs and others
	drainMark    = "drain/"        // key prefix of draining servers in the store
	addressFor   = 5 * time.Second // how long to retry an address in use
	addressPause = 20 * time.Millisecond
	keyedPart    = 0.15 // fraction of the memory limit for keyed attempts and their results
	memoryPart   = 0.7  // fraction of the memory limit at which the garbage collector works harder; stacks and sockets need the rest
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(serve()) // without arguments, as the platform starts it
}

// serve runs one order server until its drain has completed and returns the exit status.
func serve() int {
	// Signals are caught before anything else, so that one that arrives during start-up does not kill the process.
	clk := clock.System()
	signals := caught(clk)
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

// notice is a signal with its arrival time in ms. Timeouts that a signal starts count from its arrival, however late the
// main loop handles it.
type notice struct {
	os.Signal
	at float64
}

// caught returns the signals that this process receives. Termination and reload signals have separate channels and
// goroutines, so that each is timestamped at once: os/signal drops a signal whose channel is full, and any number of reload
// signals that arrive during a reload must neither delay nor displace a termination signal. Dropped reload signals do no
// harm, since a pending one reads the file's latest content.
func caught(clk *clock.Clock) <-chan notice {
	all := make(chan notice)
	for _, kind := range [][]os.Signal{{syscall.SIGTERM, os.Interrupt}, {syscall.SIGHUP}} {
		heard := make(chan os.Signal, 8)
		signal.Notify(heard, kind...)
		go func() {
			for s := range heard {
				all <- notice{s, clk.Now()}
			}
		}()
	}
	return all
}

// run assembles the server and serves until a drain has completed. load reads the configuration again for a reload.
func run(cfg *config.Config, load func() (*config.Config, error), signals <-chan notice, clk *clock.Clock, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(cfg.Cores)), 1))
	debug.SetMemoryLimit(int64(cfg.MemoryMB * memoryPart * (1 << 20)))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, hosts, err := inventoried(cfg.Operator)
	if err != nil {
		return err
	}
	held, err := newDuties(cfg, clk, log)
	if err != nil {
		return err
	}
	defer held.close()
	state, err := openStore(ctx, cfg, hosts, held, log)
	if err != nil {
		return err
	}
	var ledger core.EffectLog // nil: effects are kept in memory only
	if state != nil {
		defer state.Close()
		ledger = state
	}
	if held != nil {
		ledger = held.client
		held.keep(ctx, state)
	}

	var c *core.Core
	var rise func(cold bool)
	var runner core.Runner
	var link *executor.Link
	var farm *uwsgi.Runner
	if cfg.Executor != "" {
		link = executor.New(cfg.Executor, log, func(cold, another bool) {
			if another {
				c.RunnerReplaced(cold)
			}
			rise(cold)
		})
		runner = link
	}
	if len(servers) > 0 { // uwsgi servers in the operator's file take precedence over the executor
		set := cfg.Operator.UWSGI
		set.Servers = servers
		farm = uwsgi.NewRunner(set, clk, log)
		runner, link = farm, nil
	}
	if runner == nil {
		return errors.New("no executor is configured, and the inventory group has no uwsgi server")
	}
	calls := vault.New(cfg.Vault, clk)
	c = core.New(clk, log, cfg.Settings, cfg.Seed, runner, calls, ledger)
	c.SetKeyTableBytes(int(cfg.MemoryMB * keyedPart * (1 << 20)))
	held.serve(ctx, c, farm)
	watch, err := newWatch(cfg, held.tracer(), farm, log)
	if err != nil {
		return err
	}
	defer watch.close()
	watch.run(ctx)
	given, fronts, sockets, err := openFronts(cfg, c, clk, log)
	defer given.close()
	if err != nil {
		return err
	}
	var offer *handover.Offer // written before ready is set, read after it
	var ready atomic.Bool
	serve := func() {
		succeed(c, given.tie, log)
		for _, f := range fronts {
			go f.Serve()
		}
		if given.path != "" {
			if offer, err = handover.New(given.path, sockets, func() []byte { return handOn(c, log) }, c.ResumeKeyedAttempts, log); err != nil {
				note(log, err) // this process can then not be replaced while it runs
			} else {
				log.Info().Msg("may be replaced")
			}
		}
		ready.Store(true)
	}
	go c.Run()
	if !given.any() {
		serve()
	}
	applied, rejected := 0, 0
	var files sync.Mutex
	if cfg.OperatorListen != "" {
		ops, err := operator.Listen(cfg.OperatorListen, config.OperatorConns, operator.Calls{Ready: func() bool { return ready.Load() && c.Ready() }, Drain: func(away bool) {
			c.ForceUnhealthy(away)
			held.away(away)
		}, Figures: func() any {
			files.Lock()
			defer files.Unlock()
			return struct {
				core.Metrics
				Applied  int           `json:"config_applied"`
				Rejected int           `json:"config_rejected"`
				Duties   *holding      `json:"duties,omitempty"`
				Store    *store.Status `json:"store,omitempty"`
				Records  *watchFigures `json:"records,omitempty"`
			}{c.Metrics(), applied, rejected, held.figures(), storeStatus(state), watch.figures()}
		}, More: held.calls()}, log)
		if err != nil {
			return err
		}
		log.Info().Stringer("at", ops.Addr()).Msg("serving operators")
		go func() { note(log, ops.Serve()) }()
		defer ops.Close(ctx)
	}
	up := make(chan struct{}, 1)
	rise = func(cold bool) {
		c.RunnerStarted(cold)
		held.up(cold, clock.Millis(cfg.Settings.WarmupPeriod))
		select {
		case up <- struct{}{}:
		default:
		}
	}
	if link != nil {
		go link.Run(ctx)
	} else {
		rise(false)
	}
	reporter := members.New(cfg.Members, cfg.Name)
	go reporter.Run(ctx)

	var all []core.Front
	for _, f := range fronts {
		all = append(all, f)
	}
	left := make(chan struct{})
	draining, inForce := false, cfg
	for {
		select {
		case s := <-signals:
			switch {
			case s.Signal == syscall.SIGHUP: // also during a drain: attempts in flight need the new addresses until they end
				ok := reload(load, inForce, log, func(now *config.Config) {
					inForce = now
					if link != nil && now.Executor != "" {
						link.SetAddress(now.Executor)
					}
					calls.SetAddress(now.Vault)
					reporter.Move(now.Members)
					c.Adopt(now.Settings)
				})
				files.Lock()
				if ok {
					applied++
				} else {
					rejected++
				}
				files.Unlock()
			case !draining && offer.Taken():
				draining = true
				log.Info().Msg("replaced")
				held.drain()
				go func() {
					c.YieldToSuccessor(s.at, all...)
					held.leave()
					close(left)
				}()
			case !draining:
				draining = true
				log.Info().Float64("stop_ms", cfg.StopMs).Msg("draining")
				reporter.Leave()
				held.drain()
				if state != nil {
					go func() { note(log, state.Set(drainMark+cfg.Name, []byte("draining"))) }() // the drain does not wait for a quorum
				}
				go func() {
					c.Shutdown(s.at, cfg.StopMs, all...)
					held.leave()
					close(left)
				}()
			}
		case <-up:
			if !ready.Load() && !draining { // until now, the predecessor served these sockets
				serve()
			}
		case <-left:
			return nil
		}
	}
}

// reload reads the configuration again and applies it with use; an invalid one changes nothing. It returns whether the
// configuration was applied. Changes other than peer addresses and settings need a restart.
func reload(load func() (*config.Config, error), old *config.Config, log zerolog.Logger, use func(*config.Config)) bool {
	now, err := load()
	if err == nil {
		err = now.Replaces(old)
	}
	if err != nil {
		log.Error().Err(err).Msg("configuration rejected; the previous one stays in force")
		return false
	}
	log.Info().Str("executor", now.Executor).Str("vault", now.Vault).Str("members", now.Members).Msg("configuration read again")
	use(now)
	return true
}

// front is a core.Front that Serve runs.
type front interface {
	core.Front
	Serve()
}

// openFronts takes over the predecessor's sockets, or opens new ones. It retries while the predecessor may be exiting: that
// one then hands over none or only some of its sockets, and its addresses become free shortly after.
func openFronts(cfg *config.Config, c *core.Core, clk *clock.Clock, log zerolog.Logger) (given inheritance, fronts []front, sockets map[string]*net.TCPListener, err error) {
	for last := time.Now().Add(addressFor); ; time.Sleep(addressPause) {
		if given, err = inherit(cfg, log); err == nil {
			fronts, sockets, err = listen(cfg, given.sockets, c, clk, log)
		}
		if err == nil || !given.ending && !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(last) {
			return given, fronts, sockets, err
		}
		log.Warn().Err(err).Msg("predecessor is exiting or still holds the address; retrying")
		given.close()
	}
}

// listen opens the configured fronts, on inherited sockets where available. It closes inherited sockets that no front uses.
func listen(cfg *config.Config, given map[string]*net.TCPListener, c *core.Core, clk *clock.Clock, log zerolog.Logger) (fronts []front, sockets map[string]*net.TCPListener, err error) {
	sockets = map[string]*net.TCPListener{}
	defer func() {
		if err != nil { // a retry must not find the addresses in use
			for _, s := range sockets {
				s.Close()
			}
		}
	}()
	open := func(address, what string) (*accept.Listener, error) {
		ln, err := accept.On(given[address], log), error(nil)
		if given[address] == nil {
			ln, err = accept.Listen(address, log)
		}
		if err == nil {
			log.Info().Stringer("at", ln.Addr()).Bool("inherited", given[address] != nil).Msg("serving " + what)
			sockets[address] = ln.Socket()
		}
		return ln, err
	}
	if cfg.Listen != "" {
		ln, err := open(cfg.Listen, "routers")
		if err != nil {
			return nil, nil, err
		}
		fronts = append(fronts, respfront.New(ln, cfg.RouterSockets(), c, clk, log))
	}
	if u := cfg.Operator.UWSGI; u.Listen != "" {
		ln, err := open(u.Listen, "uwsgi")
		if err != nil {
			return nil, nil, err
		}
		fronts = append(fronts, uwsgi.New(ln, u, c, clk, log))
	}
	for address, s := range given {
		if sockets[address] != s {
			s.Close() // no front accepts from it
		}
	}
	return fronts, sockets, nil
}

// inheritance is what a running predecessor hands over to this process, which replaces it.
type inheritance struct {
	path    string // where this process offers its own sockets to a successor; empty: it offers none
	sockets map[string]*net.TCPListener
	tie     net.Conn // the connection to the predecessor
	ending  bool     // the predecessor failed to hand its sockets over; it may be exiting
}

func (i inheritance) any() bool { return len(i.sockets) > 0 }

func (i inheritance) close() {
	if i.tie != nil {
		i.tie.Close()
	}
}

// inherit requests the predecessor's listening sockets. The predecessor is found by name in the server's private directory;
// without a private directory, a process of that name could belong to another user.
func inherit(cfg *config.Config, log zerolog.Logger) (i inheritance, err error) {
	if cfg.Private == "" {
		return i, nil
	}
	i.path = filepath.Join(cfg.Private, url.PathEscape(cfg.Name)+".handover")
	if i.sockets, i.tie, err = handover.Take(i.path); err != nil {
		i.ending = true
		return i, err
	}
	if i.any() {
		log.Info().Int("sockets", len(i.sockets)).Msg("replacing a running process")
	}
	return i, nil
}

// handOn encodes, for a successor, the keyed attempts that ran in this process.
func handOn(c *core.Core, log zerolog.Logger) []byte {
	text, err := json.Marshal(c.ExportKeyedAttempts())
	note(log, err) // never fails: there are no NaN or infinite numbers in it
	return text
}

// succeed imports the keyed attempts of the predecessor, if there is one. A predecessor that sends none may go on starting
// keyed requests; this process then starts none until the predecessor has exited and its keys have expired.
func succeed(c *core.Core, tie net.Conn, log zerolog.Logger) {
	if tie == nil {
		return
	}
	var ties []core.KeyedAttempt
	text, told := handover.Serving(tie)
	if told && json.Unmarshal(text, &ties) == nil {
		c.ImportKeyedAttempts(ties)
		return
	}
	log.Warn().Msg("predecessor sent no keyed attempts; keyed requests wait for its exit")
	c.ExportKeyedAttempts()
	go func() {
		handover.Gone(tie)
		c.ResumeKeyedAttempts()
	}()
}

// inventoried returns the uwsgi servers from the operator's file and its inventory, and the inventory itself.
func inventoried(o config.Operator) (servers []string, hosts *inventory.Inventory, err error) {
	servers = slices.Clone(o.UWSGI.Servers)
	if o.Inventory.Path == "" {
		return servers, nil, nil
	}
	if hosts, err = inventory.Load(o.Inventory.Path); err != nil {
		return nil, nil, err
	}
	if o.Inventory.Group != "" {
		for _, h := range hosts.Group(o.Inventory.Group) {
			servers = append(servers, h.Endpoint(o.Inventory.Port))
		}
	}
	return servers, hosts, nil
}

// openStore opens the store replica that the operator's file configures, if any. Once there is a quorum, it writes this
// server's configuration to the store; serving does not wait for that.
func openStore(ctx context.Context, cfg *config.Config, hosts *inventory.Inventory, held *duties, log zerolog.Logger) (*store.Store, error) {
	set := cfg.Operator.Store
	if set.Listen == "" {
		return nil, nil
	}
	if set.ID == "" {
		set.ID = cfg.Name
	}
	via := map[string]string{}
	for id, at := range set.Via {
		via[set.Peers[id]] = at
	}
	s, err := store.Open(store.Options{ID: set.ID, Listen: set.Listen, Dir: set.Dir, Peers: set.Peers, Via: via, Strict: set.Strict, CompareMs: set.CompareMs, ElectionMs: set.Election, Log: log,
		Events: log, Told: held.copied(), Watch: held.watch(), Plant: cfg.Operator.Lab.Plant})
	if err != nil {
		return nil, err
	}
	log.Info().Str("id", set.ID).Str("at", s.Addr()).Msg("serving the store")
	go func() {
		if err := s.Ready(ctx); err != nil {
			return // closed before a leader was elected
		}
		note(log, s.Set("config/"+cfg.Name, cfg.Operator.Text))
		note(log, s.Delete(drainMark+cfg.Name))
		if hosts != nil {
			text, err := json.Marshal(hosts)
			note(log, err)
			note(log, s.Set("inventory", text))
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

// note logs the failure of a background operation; serving continues without it.
func note(log zerolog.Logger, err error) {
	if err != nil {
		log.Warn().Err(err).Msg("background operation failed")
	}
}

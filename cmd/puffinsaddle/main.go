// Command puffinsaddle is one order server: it serves routers by the decisions of the policy module.
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
	spareSockets = 64 // descriptors for the executor, the vault, logs and the rest
	drainMark    = "drain/"
	addressFor   = 5 * time.Second // an address in use is tried for so long
	addressPause = 20 * time.Millisecond
	keyedPart    = 0.15 // of the limit, for the tries of keyed classes and their results
	memoryPart   = 0.7  // of the limit, from which the collector works harder; stacks and sockets need the rest
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(serve()) // the bare program, as the platform starts it
}

// serve is one order server, to the end of its drain.
func serve() int {
	// Caught before anything else: a notice that comes while the program starts must not end it.
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

// notice is a signal with the time at which it came: what is to happen within a time of it counts from then, however late
// the program comes to it.
type notice struct {
	os.Signal
	at float64
}

// caught is the notices that this process gets. Each kind has a channel and a goroutine of its own, so that it is noted at
// once: notices to read the file again, however many come while the file is read, must not delay the one to leave, nor
// cost it, since what finds a channel full is dropped. Of those, one that waits stands for all: it reads what the file
// holds by then.
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

// run wires the parts and serves until the notice to drain is carried out. load reads the configuration again.
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
	var ledger core.EffectLog // nil: effects are remembered in memory
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
	if len(servers) > 0 { // the operator's choice of who does the work comes first
		set := cfg.Operator.UWSGI
		set.Servers = servers
		farm = uwsgi.NewRunner(set, clk, log)
		runner, link = farm, nil
	}
	if runner == nil {
		return errors.New("nobody does the work: no executor is named, and no uwsgi server is in the inventory's group")
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
	var offer *handover.Offer // written before ready, read after
	var ready atomic.Bool
	serve := func() {
		succeed(c, given.tie, log)
		for _, f := range fronts {
			go f.Serve()
		}
		if given.path != "" {
			if offer, err = handover.New(given.path, sockets, func() []byte { return handOn(c, log) }, c.ResumeKeyedAttempts, log); err != nil {
				note(log, err) // then this process can't be replaced while it runs
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
		ops, err := operator.Listen(cfg.OperatorListen, config.MaxOperatorConnections, operator.Calls{Ready: func() bool { return ready.Load() && c.Ready() }, Drain: func(away bool) {
			c.ForceUnhealthy(away)
			held.away(away)
		}, Metrics: func() any {
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
		}, Extra: held.calls()}, log)
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
			case s.Signal == syscall.SIGHUP: // also during a drain: open runs need the new addresses until their end
				ok := reload(load, inForce, log, func(now *config.Config) {
					inForce = now
					if link != nil && now.Executor != "" {
						link.SetAddress(now.Executor)
					}
					calls.SetAddress(now.Vault)
					reporter.SetAddress(now.Members)
					c.Adopt(now.Settings)
				})
				files.Lock()
				if ok {
					applied++
				} else {
					rejected++
				}
				files.Unlock()
			case !draining && offer.HasSuccessor():
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
				log.Info().Float64("stop_ms", cfg.StopTimeoutMS).Msg("draining")
				reporter.Leave()
				held.drain()
				if state != nil {
					go func() { note(log, state.Set(drainMark+cfg.Name, []byte("draining"))) }() // the drain waits for no quorum
				}
				go func() {
					c.Shutdown(s.at, cfg.StopTimeoutMS, all...)
					held.leave()
					close(left)
				}()
			}
		case <-up:
			if !ready.Load() && !draining { // until now the process before this one served what comes there
				serve()
			}
		case <-left:
			return nil
		}
	}
}

// reload reads the configuration again and hands it on; a faulty one changes nothing. What is neither an
// address of a peer nor among the settings needs a restart.
func reload(load func() (*config.Config, error), old *config.Config, log zerolog.Logger, use func(*config.Config)) bool {
	now, err := load()
	if err == nil {
		err = now.CheckReplaces(old)
	}
	if err != nil {
		log.Error().Err(err).Msg("configuration not taken; the old one stays in force")
		return false
	}
	log.Info().Str("executor", now.Executor).Str("vault", now.Vault).Str("members", now.Members).Msg("configuration read again")
	use(now)
	return true
}

// front is a core's front that has to be set going.
type front interface {
	core.Front
	Serve()
}

// openFronts takes the sockets of the process before this one over, or opens its own. That one may end just now: then it hands
// nothing over, or not all, and its addresses are free a moment later.
func openFronts(cfg *config.Config, c *core.Core, clk *clock.Clock, log zerolog.Logger) (given inheritance, fronts []front, sockets map[string]*net.TCPListener, err error) {
	for last := time.Now().Add(addressFor); ; time.Sleep(addressPause) {
		if given, err = inherit(cfg, log); err == nil {
			fronts, sockets, err = listen(cfg, given.sockets, c, clk, log)
		}
		if err == nil || !given.ending && !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(last) {
			return given, fronts, sockets, err
		}
		log.Warn().Err(err).Msg("the process before is ending, or holds the address; trying again")
		given.close()
	}
}

// listen opens the fronts that the configuration names, on sockets that were handed over where there are such.
func listen(cfg *config.Config, given map[string]*net.TCPListener, c *core.Core, clk *clock.Clock, log zerolog.Logger) (fronts []front, sockets map[string]*net.TCPListener, err error) {
	sockets = map[string]*net.TCPListener{}
	defer func() {
		if err != nil { // another try must not find them in use
			for _, s := range sockets {
				s.Close()
			}
		}
	}()
	open := func(address, what string) (*accept.Listener, error) {
		ln, err := accept.New(given[address], log), error(nil)
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
		fronts = append(fronts, respfront.New(ln, cfg.MaxRouterConnections(), c, clk, log))
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
			s.Close() // nobody would accept from it
		}
	}
	return fronts, sockets, nil
}

// inheritance is what a process that runs already hands to this one, which replaces it.
type inheritance struct {
	path    string // where this process offers the same in its turn; empty: nowhere
	sockets map[string]*net.TCPListener
	tie     net.Conn
	ending  bool // that process did not hand them over
}

func (i inheritance) any() bool { return len(i.sockets) > 0 }

func (i inheritance) close() {
	if i.tie != nil {
		i.tie.Close()
	}
}

// inherit asks the process before this one for its listening sockets. It is found in the server's own folder, by
// name; without such a folder there is no telling whose process it would be.
func inherit(cfg *config.Config, log zerolog.Logger) (i inheritance, err error) {
	if cfg.PrivateDir == "" {
		return i, nil
	}
	i.path = filepath.Join(cfg.PrivateDir, url.PathEscape(cfg.Name)+".handover")
	if i.sockets, i.tie, err = handover.Take(i.path); err != nil {
		i.ending = true
		return i, err
	}
	if i.any() {
		log.Info().Int("sockets", len(i.sockets)).Msg("replacing a running process")
	}
	return i, nil
}

// handOn is what a successor has to know of the keyed requests that ran here.
func handOn(c *core.Core, log zerolog.Logger) []byte {
	text, err := json.Marshal(c.ExportKeyedAttempts())
	note(log, err) // it has no number that is none, so there is none
	return text
}

// succeed takes over what the process before this one, if there is any, knows of its keyed requests. One that tells
// nothing may go on beginning some: then none is begun here before it has gone and their time has passed.
func succeed(c *core.Core, tie net.Conn, log zerolog.Logger) {
	if tie == nil {
		return
	}
	var ties []core.KeyedAttempt
	text, told := handover.AnnounceServing(tie)
	if told && json.Unmarshal(text, &ties) == nil {
		c.ImportKeyedAttempts(ties)
		return
	}
	log.Warn().Msg("the process before this one does not tell what it ran")
	c.ExportKeyedAttempts()
	go func() {
		handover.WaitForExit(tie)
		c.ResumeKeyedAttempts()
	}()
}

// inventoried lists the uwsgi servers that the operator's file and its inventory name, and the inventory.
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
			servers = append(servers, h.Endpoint(o.Inventory.DefaultPort))
		}
	}
	return servers, hosts, nil
}

// openStore opens the replicated store where the operator's file has one, and writes to it what this server
// was set up with as soon as there is a quorum. Serving does not wait for that.
func openStore(ctx context.Context, cfg *config.Config, hosts *inventory.Inventory, held *duties, log zerolog.Logger) (*store.Store, error) {
	set := cfg.Operator.Store
	if set.Listen == "" {
		return nil, nil
	}
	if set.ID == "" {
		set.ID = cfg.Name
	}
	via := map[string]string{}
	for id, at := range set.AddressOverrides {
		via[set.Peers[id]] = at
	}
	s, err := store.Open(store.Options{ID: set.ID, Listen: set.Listen, Dir: set.Dir, Peers: set.Peers, AddressOverrides: via, Strict: set.Strict, CompareIntervalMS: set.CompareIntervalMS, ElectionTimeoutMS: set.ElectionTimeoutMS, Log: log,
		Events: log, OnPhaseChange: held.copied(), OnApply: held.watch(), InjectedBug: cfg.Operator.Lab.InjectedBug})
	if err != nil {
		return nil, err
	}
	log.Info().Str("id", set.ID).Str("at", s.Addr()).Msg("serving the store")
	go func() {
		if err := s.Ready(ctx); err != nil {
			return // stopped before there was a leader
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

// storeStatus is what operators see of this process's copy; nil: it keeps none.
func storeStatus(s *store.Store) *store.Status {
	if s == nil {
		return nil
	}
	st := s.Status()
	return &st
}

// note logs what failed beside the serving, which goes on without it.
func note(log zerolog.Logger, err error) {
	if err != nil {
		log.Warn().Err(err).Msg("beside the serving")
	}
}

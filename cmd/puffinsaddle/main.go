// Command puffinsaddle is one order server: it serves routers by the decisions of the policy module.
package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/executor"
	"puffinsaddle/internal/net/members"
	"puffinsaddle/internal/net/respfront"
	"puffinsaddle/internal/net/uwsgi"
	"puffinsaddle/internal/net/vault"
)

const (
	spareSockets = 64  // descriptors for the executor, the vault, logs and the rest
	memoryPart   = 0.7 // of the limit, from which the collector works harder; stacks and sockets need the rest
)

func main() {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "puffinsaddle:", err)
		os.Exit(2)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stdout).With().Timestamp().Str("name", cfg.Name).Logger().Level(zerolog.InfoLevel)
	if err := run(cfg, log); err != nil {
		log.Error().Err(err).Msg("stopped")
		os.Exit(1)
	}
}

// run wires the parts and serves until the notice to drain is carried out.
func run(cfg *config.Config, log zerolog.Logger) error {
	notice := make(chan os.Signal, 1)
	signal.Notify(notice, syscall.SIGTERM, os.Interrupt)
	runtime.GOMAXPROCS(max(int(math.Ceil(cfg.Cores)), 1))
	debug.SetMemoryLimit(int64(cfg.MemoryMB * memoryPart * (1 << 20)))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clk := clock.System()
	var c *core.Core
	var runner core.Runner
	var link *executor.Link
	if cfg.Executor != "" {
		link = executor.New(cfg.Executor, log, func(cold bool, ageMs float64) { c.Up(cold) })
		runner = link
	}
	if len(cfg.Operator.UWSGI.Servers) > 0 { // the operator's choice of who does the work comes first
		runner, link = uwsgi.NewRunner(cfg.Operator.UWSGI, clk, log), nil
	}
	c = core.New(clk, log, cfg.Settings, cfg.Seed, runner, vault.New(cfg.Vault, clk), nil)
	fronts, err := listen(cfg, c, clk, log)
	if err != nil {
		return err
	}
	go c.Run()
	if link != nil {
		go link.Run(ctx)
	} else {
		c.Up(false)
	}
	reporter := members.New(cfg.Members, cfg.Name)
	if cfg.Members != "" {
		go reporter.Run(ctx)
	}

	<-notice
	log.Info().Float64("stop_ms", cfg.StopMs).Msg("draining")
	reporter.Leave()
	c.Leave(cfg.StopMs, fronts...)
	return nil
}

// listen opens the fronts that the configuration names.
func listen(cfg *config.Config, c *core.Core, clk *clock.Clock, log zerolog.Logger) ([]core.Front, error) {
	var fronts []core.Front
	if cfg.Listen != "" {
		f, err := respfront.Listen(cfg.Listen, cfg.Sockets-spareSockets, c, clk, log)
		if err != nil {
			return nil, err
		}
		log.Info().Stringer("at", f.Addr()).Msg("serving routers")
		go f.Serve()
		fronts = append(fronts, f)
	}
	if cfg.Operator.UWSGI.Listen != "" {
		f, err := uwsgi.Listen(cfg.Operator.UWSGI, c, clk, log)
		if err != nil {
			return nil, err
		}
		log.Info().Stringer("at", f.Addr()).Msg("serving uwsgi")
		go f.Serve()
		fronts = append(fronts, f)
	}
	return fronts, nil
}

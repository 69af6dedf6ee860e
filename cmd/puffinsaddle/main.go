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
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/executor"
	"puffinsaddle/internal/net/members"
	"puffinsaddle/internal/net/respfront"
	"puffinsaddle/internal/net/vault"
)

const (
	spareSockets = 64  // descriptors for the executor, the vault, logs and the rest
	memoryPart   = 0.7 // of the limit, from which the collector works harder; stacks and sockets need the rest
	shutMs       = 250 // before the stop, the listener closes: what comes later could not be answered
	leaveMs      = 25  // and the process ends so long before
	lookEvery    = 5 * time.Millisecond
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
	link := executor.New(cfg.Executor, log, func(cold bool, ageMs float64) { c.Up(cold) })
	c = core.New(clk, log, cfg.Settings, cfg.Seed, link, vault.New(cfg.Vault, clk), nil)
	front, err := respfront.Listen(cfg.Listen, cfg.Sockets-spareSockets, c, clk, log)
	if err != nil {
		return err
	}
	reporter := members.New(cfg.Members, cfg.Name)
	go c.Run()
	go link.Run(ctx)
	go front.Serve()
	go reporter.Run(ctx)
	log.Info().Str("listen", cfg.Listen).Msg("serving")

	<-notice
	stopAt := clk.Now() + cfg.StopMs
	log.Info().Float64("stop_ms", cfg.StopMs).Msg("draining")
	c.Drain(stopAt)
	reporter.Leave()
	front.Drain()
	// Until the listener closes, routers that have not heard of the drain may still come.
	time.Sleep(clock.Duration(max(stopAt-shutMs-clk.Now(), 0)))
	front.Shut()
	for clk.Now() < stopAt-leaveMs && (c.Owed() > 0 || !front.Flushed()) {
		time.Sleep(lookEvery)
	}
	time.Sleep(clock.Duration(min(max(stopAt-leaveMs-clk.Now(), 0), shutMs/2))) // requests that crossed 'closing'
	log.Info().Int("owed", c.Owed()).Msg("leaving")
	front.Close()
	return nil
}

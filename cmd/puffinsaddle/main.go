// Command puffinsaddle runs one order server, which serves routers according to the decisions of the policy module. Its
// subcommands inspect and control running servers, check configuration and run the lab.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
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

// logFailure logs the failure of a background operation; serving continues without it.
func logFailure(log zerolog.Logger, err error) {
	if err != nil {
		log.Warn().Err(err).Msg("background operation failed")
	}
}

package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
)

// SIGTERM arrives during a reload that never ends, such as one from a disk that does not respond. Guards against a process
// that does not drain and is killed with requests in flight.
func TestDrainDoesNotWaitForReload(t *testing.T) {
	executor, joins := startFakeExecutor(t, "WELCOME steady 5\r\n")
	file := strings.Replace(fmt.Sprintf(configTemplate, executor, fakeMembers(t).LocalAddr()), `"stop_ms":1e7`, `"stop_ms":300`, 1)
	cfg := newConfigFile(t, "", file).mustLoad()
	reading, released := make(chan struct{}), make(chan struct{})
	defer close(released)
	load := func() (*config.Config, error) {
		close(reading)
		<-released
		return cfg, nil
	}
	lines, signals, done := make(logLines, 1000), make(chan receivedSignal), make(chan error, 1)
	go func() { done <- run(cfg, load, signals, clock.System(), zerolog.New(lines)) }()
	<-joins
	signals <- signalNow(syscall.SIGHUP)
	<-reading
	go func() { signals <- signalNow(syscall.SIGTERM) }()
	lines.waitFor(t, "draining")
	lines.waitFor(t, "leaving")
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Reloads are requested while the configuration is read: it is read once more, since the file may have changed.
func TestReloadRequestedDuringReadIsNotLost(t *testing.T) {
	current := &config.Config{}
	reads, results := make(chan struct{}, 10), make(chan *config.Config, 10)
	r := newReloads(current, func() (*config.Config, error) {
		reads <- struct{}{}
		return <-results, nil
	})
	var applied []*config.Config
	apply := func(updated *config.Config) { applied = append(applied, updated) }
	r.request()
	<-reads
	r.request()
	r.request()
	older, newer := &config.Config{Executor: "a:1"}, &config.Config{Executor: "b:1"}
	results <- older
	r.finish(<-r.done, zerolog.Nop(), apply)
	<-reads
	results <- newer
	r.finish(<-r.done, zerolog.Nop(), apply)
	if len(applied) != 2 || applied[0] != older || applied[1] != newer {
		t.Errorf("applied %v", applied)
	}
	if r.reading || len(reads) > 0 {
		t.Error("the configuration is read a third time")
	}
	if n, rejected := r.counts(); n != 2 || rejected != 0 {
		t.Errorf("%d reads applied, %d rejected", n, rejected)
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/policy"
)

const text = `{"name":"n1","listen":"127.0.0.1:0","executor":%q,"vault":"127.0.0.1:1","members":%q,"stop_ms":1e7,
"settings":{"classes":[{"name":"book","aim":1700000000,"deadline":5000000000,"worth":4.0,"idempotency":"unsafe"}],
"extra":{"nCores":6,"heapKb":10998.0,"runMemFactor":4.0},"limits":{},"rules":{"fallMultiple":8.0},"tick":4000000}}`

// logLines passes the server's log to the test, line by line.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) { l <- string(b); return len(b), nil }

// want reads the log up to a line that contains word and returns that line.
func (l logLines) want(t *testing.T, word string) string {
	t.Helper()
	late := time.After(enough)
	for {
		select {
		case line, open := <-l:
			if !open {
				t.Fatalf("the log ended without %q", word)
			}
			if strings.Contains(line, word) {
				return line
			}
		case <-late:
			t.Fatalf("the log has no %q within %s", word, enough)
		}
	}
}

// serves waits until a server can be replaced and returns its address. A second server that starts earlier finds no
// predecessor, and with port 0 it would serve on a port of its own instead of replacing the first.
func (l logLines) serves(t *testing.T) (at string) {
	t.Helper()
	_, at, _ = strings.Cut(l.want(t, "serving routers"), `"at":"`)
	at, _, _ = strings.Cut(at, `"`)
	l.want(t, "may be replaced")
	return at
}

// now returns a signal that arrives at the current time.
func now(s os.Signal) notice { return notice{s, clock.System().Now()} }

// executorPeer starts a fake executor that answers each JOIN with the given welcome. Its listener and connections stay open
// until the test binary exits: the order servers that tests run in this process keep dialing the address after their test
// has ended, and the operating system could give a closed port to a fake executor of another package's tests.
func executorPeer(t *testing.T, welcome string) (address string, joined <-chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	joins := make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Write([]byte(welcome))
			joins <- strings.TrimSpace(line)
			go io.Copy(io.Discard, conn) // a connection without a reference would be closed by the garbage collector
		}
	}()
	return ln.Addr().String(), joins
}

// The port of a fake executor must not be given to another process's tests while a server may still dial it.
func TestFakeExecutorKeepsItsPort(t *testing.T) {
	var address string
	t.Run("a test that ends", func(t *testing.T) { address, _ = executorPeer(t, "") })
	if ln, err := net.Listen("tcp", address); err == nil {
		ln.Close()
		t.Errorf("the port of %s is free after its test has ended", address)
	}
}

// membersPeer opens the socket of a fake membership service.
func membersPeer(t *testing.T) net.PacketConn {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// report reads the next report to the fake membership service.
func report(t *testing.T, c net.PacketConn) string {
	b := make([]byte, 100)
	n, _, err := c.ReadFrom(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n])
}

// On SIGHUP, an invalid file is reported by its key and changes nothing. A valid one moves the executor's link and the
// membership reports to their new addresses, both before WELCOME and during a drain, and the process continues.
func TestConfigurationIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	load := func() (*config.Config, error) {
		return config.Load(func(k string) string { return map[string]string{"RELAY_CONFIG": path}[k] })
	}
	write := func(s string) {
		if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, firstJoins := executorPeer(t, "")
	second, secondJoins := executorPeer(t, "")
	third, thirdJoins := executorPeer(t, "")
	m1, m2 := membersPeer(t), membersPeer(t)
	write(fmt.Sprintf(text, first, m1.LocalAddr()))
	cfg, err := load()
	if err != nil {
		t.Fatal(err)
	}
	lines, signals, done := make(logLines, 1000), make(chan notice), make(chan error, 1)
	go func() { done <- run(cfg, load, signals, clock.System(), zerolog.New(lines)) }()
	if j := <-firstJoins; j != "JOIN 0" {
		t.Fatalf("joined with %q", j)
	}
	if r := report(t, m1); r != "HB n1 UP" {
		t.Fatalf("reported %q", r)
	}
	write(strings.Replace(fmt.Sprintf(text, second, m2.LocalAddr()), `"stop_ms":1e7`, `"stop_ms":"soon"`, 1))
	signals <- now(syscall.SIGHUP)
	lines.want(t, "stop_ms")
	write(strings.Replace(fmt.Sprintf(text, second, m2.LocalAddr()), `"stop_ms":1e7,`, "", 1)) // is valid at a start, but not in a reload
	signals <- now(syscall.SIGHUP)
	lines.want(t, "the file in force has it")
	write(fmt.Sprintf(text, second, m2.LocalAddr()))
	signals <- now(syscall.SIGHUP)
	if j := <-secondJoins; j != "JOIN 0" {
		t.Fatalf("joined with %q", j)
	}
	if r := report(t, m2); r != "HB n1 UP" {
		t.Fatalf("reported %q", r)
	}
	if len(firstJoins) > 0 {
		t.Error("the link joined the old address again")
	}
	signals <- now(syscall.SIGTERM)
	lines.want(t, "draining")
	write(fmt.Sprintf(text, third, m2.LocalAddr()))
	signals <- now(syscall.SIGHUP)
	select {
	case <-thirdJoins:
	case err := <-done:
		t.Errorf("the process ended during its drain: %v", err)
	}
}

// starter returns a function that starts servers which share a private directory, and thus can replace each other.
func starter(t *testing.T) func(executor string) (logLines, chan notice, chan error) {
	return starterBy(t, membersPeer(t))
}

// starterBy is starter with the given membership service.
func starterBy(t *testing.T, members net.PacketConn) func(executor string) (logLines, chan notice, chan error) {
	private := t.TempDir()
	return func(executor string) (logLines, chan notice, chan error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(fmt.Sprintf(text, executor, members.LocalAddr())), 0o600); err != nil {
			t.Fatal(err)
		}
		load := func() (*config.Config, error) {
			return config.Load(func(k string) string { return map[string]string{"RELAY_CONFIG": path, "TMPDIR": private}[k] })
		}
		cfg, err := load()
		if err != nil {
			t.Fatal(err)
		}
		lines, signals, done := make(logLines, 1000), make(chan notice), make(chan error, 1)
		go func() { done <- run(cfg, load, signals, clock.System(), zerolog.New(lines)) }()
		return lines, signals, done
	}
}

// A second server starts on the same addresses and takes over the first one's sockets once its own executor is up. The first
// then notifies its callers and ends. No connection is refused, and health checks succeed throughout.
func TestRunningProcessIsReplaced(t *testing.T) {
	members := membersPeer(t)
	start := starterBy(t, members)
	const check, healthy = "*2\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n", "*3\r\n$1\r\n1\r\n$7\r\nhealthy\r\n"
	first, _ := executorPeer(t, "WELCOME steady 5\r\n")
	lines, signals, done := start(first)
	at := lines.serves(t)
	ask := func() {
		t.Helper()
		conn, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.Write([]byte(check))
		b := make([]byte, len(healthy))
		if _, err := io.ReadFull(conn, b); err != nil || string(b) != healthy {
			t.Fatalf("answered %q, %v", b, err)
		}
	}
	ask()
	second, joins := executorPeer(t, "")
	starting, _, _ := start(second)
	starting.want(t, "replacing a running process")
	<-joins
	ask() // answered by the first server: the second's executor is not up
	third, _ := executorPeer(t, "WELCOME steady 5\r\n")
	taking, _, _ := start(third)
	taking.want(t, "module started")
	lines.want(t, "a successor serves") // SIGTERM follows once the successor has reported that it is ready
	ask()
	signals <- now(syscall.SIGTERM)
	lines.want(t, "replaced")
	if err := <-done; err != nil {
		t.Errorf("the first server ended with %v", err)
	}
	ask()
	// The membership service merges the reports of all processes of a name: none may report that the server leaves, and the
	// reports continue without the first process.
	for ended := time.Now(); time.Since(ended) < 500*time.Millisecond; {
		if got := report(t, members); got != "HB n1 UP" {
			t.Fatalf("reported %q", got)
		}
	}
}

// SIGTERM arrives while a successor has the sockets but does not serve yet, because its executor is not up. If the first
// server left the accept queue to it, no process would accept connections, so the first drains as if it had no successor.
func TestQueueIsNotLeftToOneThatDoesNotServe(t *testing.T) {
	start := starter(t)
	first, _ := executorPeer(t, "WELCOME steady 5\r\n")
	lines, signals, _ := start(first)
	at := lines.serves(t)
	second, joins := executorPeer(t, "")
	start(second)
	<-joins
	lines.want(t, "handed to a successor")
	signals <- now(syscall.SIGTERM)
	lines.want(t, "draining")
	conn, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "*4\r\n$3\r\nREQ\r\n$1\r\n1\r\n$4\r\nbook\r\n$0\r\n\r\n")
	const answers = "*2\r\n$1\r\n0\r\n$7\r\nclosing\r\n*3\r\n$1\r\n1\r\n$5\r\nerror\r\n$0\r\n\r\n"
	b := make([]byte, len(answers))
	conn.SetDeadline(time.Now().Add(time.Minute))
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != answers {
		t.Errorf("answered %q, %v", b, err)
	}
}

// SIGTERM arrives at a successor that has the sockets but does not serve yet: it ends. The predecessor continues to serve the
// accept queue and no longer counts as being replaced.
func TestNoticeToLeaveBeforeServing(t *testing.T) {
	start := starter(t)
	first, _ := executorPeer(t, "WELCOME steady 5\r\n")
	lines, signals, _ := start(first)
	at := lines.serves(t)
	second, joins := executorPeer(t, "")
	_, signals2, done2 := start(second)
	<-joins
	lines.want(t, "handed to a successor")
	late := now(syscall.SIGTERM)
	late.at -= 1e7 - 500 // leaves 500 ms of the 1e7 ms stop timeout
	signals2 <- late
	if err := <-done2; err != nil {
		t.Errorf("the second server ended with %v", err)
	}
	conn, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Minute))
	const healthy = "*3\r\n$1\r\n1\r\n$7\r\nhealthy\r\n"
	io.WriteString(conn, "*2\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n")
	b := make([]byte, len(healthy))
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != healthy {
		t.Errorf("answered %q, %v", b, err)
	}
	signals <- now(syscall.SIGTERM)
	lines.want(t, "draining")
}

// SIGTERM arrives while reload signals have filled their channel. It was dropped when all signals shared one channel.
func TestNoticeToLeaveIsNeverDropped(t *testing.T) {
	signals, seen := caught(clock.System()), make(chan os.Signal, 1)
	signal.Notify(seen, syscall.SIGHUP)
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP, syscall.SIGTERM, os.Interrupt) })
	for range 30 {
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		<-seen
	}
	signal.Notify(seen, syscall.SIGTERM)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	<-seen
	for late := time.After(10 * time.Second); ; {
		select {
		case s := <-signals:
			if s.Signal == syscall.SIGTERM {
				return
			}
		case <-late:
			t.Fatal("SIGTERM was never received")
		}
	}
}

// The predecessor exits during the handover: it accepts the connection but hands no sockets over, and its address becomes
// free shortly after. The start used to fail.
func TestStartBesideAProcessThatEnds(t *testing.T) {
	private := t.TempDir()
	path := filepath.Join(t.TempDir(), "config.json")
	old, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	offer, err := net.Listen("unix", filepath.Join(private, "n1.handover"))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for range 2 {
			conn, err := offer.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
		offer.Close()
	}()
	executor, _ := executorPeer(t, "WELCOME steady 5\r\n")
	file := strings.Replace(fmt.Sprintf(text, executor, membersPeer(t).LocalAddr()), "127.0.0.1:0", old.Addr().String(), 1)
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	load := func() (*config.Config, error) {
		return config.Load(func(k string) string { return map[string]string{"RELAY_CONFIG": path, "TMPDIR": private}[k] })
	}
	cfg, err := load()
	if err != nil {
		t.Fatal(err)
	}
	lines, signals, done := make(logLines, 1000), make(chan notice), make(chan error, 1)
	go func() {
		err := run(cfg, load, signals, clock.System(), zerolog.New(lines))
		done <- err
		if err != nil {
			close(lines)
		}
	}()
	lines.want(t, "handover")
	lines.want(t, "address already in use")
	old.Close()
	lines.want(t, "module started")
}

// Signals before the executor is up: a reload of an empty or truncated file changes nothing. SIGTERM arrives twice, with a
// reload in between, and the process ends within its stop timeout.
func TestNoticesBeforeWelcome(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	load := func() (*config.Config, error) {
		return config.Load(func(k string) string { return map[string]string{"RELAY_CONFIG": path}[k] })
	}
	executor, joins := executorPeer(t, "")
	members := membersPeer(t)
	file := strings.Replace(fmt.Sprintf(text, executor, members.LocalAddr()), `"stop_ms":1e7`, `"stop_ms":300`, 1)
	write := func(s string) {
		if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(file)
	cfg, err := load()
	if err != nil {
		t.Fatal(err)
	}
	lines, signals, done := make(logLines, 10000), make(chan notice), make(chan error, 1)
	go func() { done <- run(cfg, load, signals, clock.System(), zerolog.New(lines)) }()
	<-joins
	for n := 0; n < len(file); n += 7 {
		write(file[:n])
		signals <- now(syscall.SIGHUP)
		lines.want(t, "stays in force")
	}
	if len(joins) > 0 {
		t.Error("the link joined the executor again")
	}
	signals <- now(syscall.SIGTERM)
	write(file)
	signals <- now(syscall.SIGHUP)
	signals <- now(syscall.SIGTERM)
	lines.want(t, "configuration read again")
	lines.want(t, "leaving")
	if err := <-done; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// SIGTERM arrives during a reload that hangs until the stop timeout has passed. The timeout counts from the signal's arrival,
// not from its handling; otherwise the platform would kill the process with requests in flight.
func TestNoticeToLeaveCountsFromWhenItCame(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	executor, joins := executorPeer(t, "WELCOME steady 5\r\n")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(text, executor, membersPeer(t).LocalAddr())), 0o600); err != nil {
		t.Fatal(err)
	}
	load := func() (*config.Config, error) {
		return config.Load(func(k string) string { return map[string]string{"RELAY_CONFIG": path}[k] })
	}
	cfg, err := load()
	if err != nil {
		t.Fatal(err)
	}
	reading, read := make(chan struct{}), make(chan struct{})
	hangs := func() (*config.Config, error) {
		close(reading)
		<-read
		return load()
	}
	clk, lines, signals, done := clock.Manual(1.7e12), make(logLines, 1000), make(chan notice), make(chan error, 1)
	go func() { done <- run(cfg, hangs, signals, clk, zerolog.New(lines)) }()
	<-joins
	signals <- notice{syscall.SIGHUP, clk.Now()}
	<-reading
	leave := notice{syscall.SIGTERM, clk.Now()}
	clk.Set(1.7e12 + 1e7 + 1) // the stop timeout of 1e7 ms has passed
	close(read)
	signals <- leave
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Minute):
		t.Error("the process still runs after its stop timeout")
	}
}

// idle is a runner that reports each start and runs nothing.
type idle struct{ starts chan string }

func (i idle) Start(a *core.Attempt)              { i.starts <- a.Request.ID }
func (idle) Return(*core.Attempt, uint64, []byte) {}
func (idle) Skip(*core.Attempt, uint64)           {}
func (idle) Abandon(*core.Attempt)                {}
func (idle) ReadGauges(func([]float64))           {}
func (idle) Diagnose(func(bool)) bool             { return false }

// A server replaces one of an earlier build, which sends no keyed attempts and goes on starting keyed requests: none is
// started here until the predecessor has exited and its keys have expired.
func TestNothingKeyedBesideOneThatTellsNothing(t *testing.T) {
	old, tie := net.Pipe()
	go func() {
		b := make([]byte, 1)
		old.Read(b)
		old.Write(b)
	}()
	clk, starts := clock.Manual(1.7e12), make(chan string, 1)
	c := core.New(clk, zerolog.Nop(), policy.Settings{
		Classes: []policy.Class{{Name: "pay", Aim: time.Minute, Deadline: time.Minute, Worth: 1, Safety: policy.Keyed, KeyTTL: time.Second}},
		Cores:   8, MemoryKB: 1e6, RunMemoryFactor: 4, MaxRunningPerCore: 8, BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnectionGauge: -1,
	}, 1, idle{starts}, nil, nil)
	c.RunnerStarted(false)
	go c.Run()
	t.Cleanup(c.Stop)
	answers := make(chan core.Verdict, 1)
	n := 0
	pay := func() {
		n++
		id := fmt.Sprintf("%016x", n)
		c.Open(&core.Request{ID: id, Class: "pay", ArrivedAt: clk.Now(), KB: 1, IdempotencyKey: id}, func(o core.Outcome) { answers <- o.Verdict })
	}
	lines := make(logLines, 10)
	succeed(c, tie, zerolog.New(lines))
	lines.want(t, "sent no keyed attempts")
	pay()
	select {
	case v := <-answers:
		if v != core.Refused {
			t.Fatalf("verdict %v while the predecessor runs", v)
		}
	case <-starts:
		t.Fatal("a keyed request started while the predecessor runs")
	}
	old.Close()
	for beside := true; beside; { // the keys' expiry counts only from when the exit is noticed
		in := make(chan struct{})
		c.AfterPendingEvents(func() { close(in) })
		<-in
		clk.Set(clk.Now() + 1200)
		pay()
		select {
		case v := <-answers:
			if v != core.Refused {
				t.Fatalf("verdict %v after the predecessor's exit", v)
			}
		case <-starts:
			beside = false
		}
	}
}

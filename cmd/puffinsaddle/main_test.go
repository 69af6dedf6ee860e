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

// logLines hands the program's log to the test, line by line.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) { l <- string(b); return len(b), nil }

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
			t.Fatalf("the log had no %q for %s", word, enough)
		}
	}
}

// serves waits until a process can be replaced, and is where it listens: one that starts before that finds nobody, and on a
// port of the system's choice it would serve beside the first.
func (l logLines) serves(t *testing.T) (at string) {
	t.Helper()
	_, at, _ = strings.Cut(l.want(t, "serving routers"), `"at":"`)
	at, _, _ = strings.Cut(at, `"`)
	l.want(t, "may be replaced")
	return at
}

// now is a notice that comes just now.
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
		t.Errorf("the port of %s is free once its test has ended", address)
	}
}

func membersPeer(t *testing.T) net.PacketConn {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func report(t *testing.T, c net.PacketConn) string {
	b := make([]byte, 100)
	n, _, err := c.ReadFrom(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n])
}

// A notice to read the configuration again: a faulty file names its key and changes nothing, a good one moves
// the executor's link and the reports, before WELCOME and during a drain alike, and the process goes on.
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
	write(strings.Replace(fmt.Sprintf(text, second, m2.LocalAddr()), `"stop_ms":1e7,`, "", 1)) // would be taken at a start
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
		t.Error("the old address was joined again")
	}
	signals <- now(syscall.SIGTERM)
	lines.want(t, "draining")
	write(fmt.Sprintf(text, third, m2.LocalAddr()))
	signals <- now(syscall.SIGHUP)
	select {
	case <-thirdJoins:
	case err := <-done:
		t.Errorf("ended in the middle of its drain: %v", err)
	}
}

// starter starts processes beside each other, with a folder that they share.
func starter(t *testing.T) func(executor string) (logLines, chan notice, chan error) {
	return starterBy(t, membersPeer(t))
}

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

// A second process starts beside the first on the same addresses and takes its sockets over once its own executor is
// up. The first is then no longer needed: it asks its callers to go, and ends by itself. Nobody is ever refused a
// connection, and checks are answered well all the while.
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
	ask() // by the first: the second's executor is not up
	third, _ := executorPeer(t, "WELCOME steady 5\r\n")
	taking, _, _ := start(third)
	taking.want(t, "module started")
	lines.want(t, "a successor serves") // the notice comes once the second says that it is ready
	ask()
	signals <- now(syscall.SIGTERM)
	lines.want(t, "replaced")
	if err := <-done; err != nil {
		t.Errorf("the first ended with %v", err)
	}
	ask()
	// The list follows the reports of all: none says that the server leaves, and they go on without the first.
	for ended := time.Now(); time.Since(ended) < 500*time.Millisecond; {
		if got := report(t, members); got != "HB n1 UP" {
			t.Fatalf("reported %q", got)
		}
	}
}

// The notice to leave comes when a second process has the sockets and its executor is not up, so that it does not serve:
// the first left the queue to it, and nobody accepted. It drains as one that nobody replaces.
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

// The notice to leave comes to a process that has the sockets and does not serve yet: it ends, and the one that it was to
// replace goes on, with its queue, and is no longer replaced.
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
	late.at -= 1e7 - 500 // of the 1e7 ms from the notice to the stop
	signals2 <- late
	if err := <-done2; err != nil {
		t.Errorf("the second ended with %v", err)
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

// The notice to leave comes while notices to read the file again have filled what holds them: it was dropped.
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
			t.Fatal("never heard")
		}
	}
}

// The process before this one ends while it is asked for its sockets: it takes the asking and hands nothing over, and
// its address is free a moment later. The start was refused.
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

// Notices before the executor is up: a file that is empty or cut short at any byte changes nothing, one to leave comes
// twice with one to read the file again between, and the process ends by itself within its time.
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
		t.Error("the executor was joined again")
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

// The notice to leave comes while the file is read again, which hangs until the notice's time is over: that counts from when
// it came, not from when the program gets to it, or it would be stopped with requests in hand.
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
	clk.Set(1.7e12 + 1e7 + 1) // its 1e7 ms are over
	close(read)
	signals <- leave
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Minute):
		t.Error("still there, long after its time")
	}
}

// idle is a runner that tells of each start.
type idle struct{ starts chan string }

func (i idle) Start(a *core.Attempt)              { i.starts <- a.Request.ID }
func (idle) Return(*core.Attempt, uint64, []byte) {}
func (idle) Skip(*core.Attempt, uint64)           {}
func (idle) Abandon(*core.Attempt)                {}
func (idle) ReadGauges(func([]float64))           {}
func (idle) Diagnose(func(bool)) bool             { return false }

// A process replaces one of an earlier build, which tells nothing of what it ran and goes on beginning it: no payment is
// begun until that one has gone and the time of its payments has passed.
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
	lines.want(t, "does not tell")
	pay()
	select {
	case v := <-answers:
		if v != core.Refused {
			t.Fatalf("beside it: %v", v)
		}
	case <-starts:
		t.Fatal("begun beside it")
	}
	old.Close()
	for beside := true; beside; { // until that is known, the time does not begin
		in := make(chan struct{})
		c.AfterPendingEvents(func() { close(in) })
		<-in
		clk.Set(clk.Now() + 1200)
		pay()
		select {
		case v := <-answers:
			if v != core.Refused {
				t.Fatalf("after it: %v", v)
			}
		case <-starts:
			beside = false
		}
	}
}

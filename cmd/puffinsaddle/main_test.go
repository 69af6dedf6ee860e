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

const configTemplate = `{"name":"n1","listen":"127.0.0.1:0","executor":%q,"vault":"127.0.0.1:1","members":%q,"stop_ms":1e7,
"settings":{"classes":[{"name":"book","aim":1700000000,"deadline":5000000000,"worth":4.0,"idempotency":"unsafe"}],
"extra":{"nCores":6,"heapKb":10998.0,"runMemFactor":4.0},"limits":{},"rules":{"fallMultiple":8.0},"tick":4000000}}`

// logLines hands the program's log to the test, line by line.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) { l <- string(b); return len(b), nil }

func (l logLines) waitFor(t *testing.T, word string) string {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case line, open := <-l:
			if !open {
				t.Fatalf("the log ended without %q", word)
			}
			if strings.Contains(line, word) {
				return line
			}
		case <-timeout:
			t.Fatalf("the log had no %q for %s", word, testTimeout)
		}
	}
}

// waitUntilReplaceable waits until a process can be replaced, and is where it listens: one that starts before that finds nobody, and on a
// port of the system's choice it would serve beside the first.
func (l logLines) waitUntilReplaceable(t *testing.T) (at string) {
	t.Helper()
	_, at, _ = strings.Cut(l.waitFor(t, "serving routers"), `"at":"`)
	at, _, _ = strings.Cut(at, `"`)
	l.waitFor(t, "may be replaced")
	return at
}

// signalNow is a notice that comes just now.
func signalNow(s os.Signal) receivedSignal { return receivedSignal{s, clock.System().Now()} }

// startFakeExecutor starts a fake executor that answers each JOIN with the given welcome. Its listener and connections stay open
// until the test binary exits: the order servers that tests run in this process keep dialing the address after their test
// has ended, and the operating system could give a closed port to a fake executor of another package's tests.
func startFakeExecutor(t *testing.T, welcome string) (address string, joined <-chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	joinLines := make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Write([]byte(welcome))
			joinLines <- strings.TrimSpace(line)
			go io.Copy(io.Discard, conn) // a connection without a reference would be closed by the garbage collector
		}
	}()
	return ln.Addr().String(), joinLines
}

// The port of a fake executor must not be given to another process's tests while a server may still dial it.
func TestFakeExecutorKeepsItsPort(t *testing.T) {
	var address string
	t.Run("a test that ends", func(t *testing.T) { address, _ = startFakeExecutor(t, "") })
	if ln, err := net.Listen("tcp", address); err == nil {
		ln.Close()
		t.Errorf("the port of %s is free once its test has ended", address)
	}
}

func fakeMembers(t *testing.T) net.PacketConn {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func readReport(t *testing.T, c net.PacketConn) string {
	b := make([]byte, 100)
	n, _, err := c.ReadFrom(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n])
}

// A notice to read the configuration again: a faulty file names its key and changes nothing, a good one moves
// the executor's link and the reports, before WELCOME and during a drain alike, and the process goes on.
func TestReloadMovesAddressesAndRejectsInvalidFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	load := func() (*config.Config, error) {
		return config.Load(func(k string) string { return map[string]string{"RELAY_CONFIG": path}[k] })
	}
	write := func(s string) {
		if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, firstJoins := startFakeExecutor(t, "")
	second, secondJoins := startFakeExecutor(t, "")
	third, thirdJoins := startFakeExecutor(t, "")
	m1, m2 := fakeMembers(t), fakeMembers(t)
	write(fmt.Sprintf(configTemplate, first, m1.LocalAddr()))
	cfg, err := load()
	if err != nil {
		t.Fatal(err)
	}
	lines, signals, done := make(logLines, 1000), make(chan receivedSignal), make(chan error, 1)
	go func() { done <- run(cfg, load, signals, clock.System(), zerolog.New(lines)) }()
	if j := <-firstJoins; j != "JOIN 0" {
		t.Fatalf("joined with %q", j)
	}
	if r := readReport(t, m1); r != "HB n1 UP" {
		t.Fatalf("reported %q", r)
	}
	write(strings.Replace(fmt.Sprintf(configTemplate, second, m2.LocalAddr()), `"stop_ms":1e7`, `"stop_ms":"soon"`, 1))
	signals <- signalNow(syscall.SIGHUP)
	lines.waitFor(t, "stop_ms")
	write(strings.Replace(fmt.Sprintf(configTemplate, second, m2.LocalAddr()), `"stop_ms":1e7,`, "", 1)) // would be taken at a start
	signals <- signalNow(syscall.SIGHUP)
	lines.waitFor(t, "the file in force has it")
	write(fmt.Sprintf(configTemplate, second, m2.LocalAddr()))
	signals <- signalNow(syscall.SIGHUP)
	if j := <-secondJoins; j != "JOIN 0" {
		t.Fatalf("joined with %q", j)
	}
	if r := readReport(t, m2); r != "HB n1 UP" {
		t.Fatalf("reported %q", r)
	}
	if len(firstJoins) > 0 {
		t.Error("the old address was joined again")
	}
	signals <- signalNow(syscall.SIGTERM)
	lines.waitFor(t, "draining")
	write(fmt.Sprintf(configTemplate, third, m2.LocalAddr()))
	signals <- signalNow(syscall.SIGHUP)
	select {
	case <-thirdJoins:
	case err := <-done:
		t.Errorf("ended in the middle of its drain: %v", err)
	}
}

// newServerStarter starts processes beside each other, with a folder that they share.
func newServerStarter(t *testing.T) func(executor string) (logLines, chan receivedSignal, chan error) {
	return newServerStarterWithMembers(t, fakeMembers(t))
}

func newServerStarterWithMembers(t *testing.T, members net.PacketConn) func(executor string) (logLines, chan receivedSignal, chan error) {
	private := t.TempDir()
	return func(executor string) (logLines, chan receivedSignal, chan error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(fmt.Sprintf(configTemplate, executor, members.LocalAddr())), 0o600); err != nil {
			t.Fatal(err)
		}
		load := func() (*config.Config, error) {
			return config.Load(func(k string) string { return map[string]string{"RELAY_CONFIG": path, "TMPDIR": private}[k] })
		}
		cfg, err := load()
		if err != nil {
			t.Fatal(err)
		}
		lines, signals, done := make(logLines, 1000), make(chan receivedSignal), make(chan error, 1)
		go func() { done <- run(cfg, load, signals, clock.System(), zerolog.New(lines)) }()
		return lines, signals, done
	}
}

// A second process starts beside the first on the same addresses and takes its sockets over once its own executor is
// up. The first is then no longer needed: it asks its callers to go, and ends by itself. Nobody is ever refused a
// connection, and checks are answered well all the while.
func TestReplacementRefusesNoConnection(t *testing.T) {
	members := fakeMembers(t)
	start := newServerStarterWithMembers(t, members)
	const check, healthy = "*2\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n", "*3\r\n$1\r\n1\r\n$7\r\nhealthy\r\n"
	first, _ := startFakeExecutor(t, "WELCOME steady 5\r\n")
	lines, signals, done := start(first)
	at := lines.waitUntilReplaceable(t)
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
	second, joins := startFakeExecutor(t, "")
	starting, _, _ := start(second)
	starting.waitFor(t, "replacing a running process")
	<-joins
	ask() // by the first: the second's executor is not up
	third, _ := startFakeExecutor(t, "WELCOME steady 5\r\n")
	taking, _, _ := start(third)
	taking.waitFor(t, "module started")
	lines.waitFor(t, "a successor serves") // the notice comes once the second says that it is ready
	ask()
	signals <- signalNow(syscall.SIGTERM)
	lines.waitFor(t, "replaced")
	if err := <-done; err != nil {
		t.Errorf("the first ended with %v", err)
	}
	ask()
	// The list follows the reports of all: none says that the server leaves, and they go on without the first.
	for ended := time.Now(); time.Since(ended) < 500*time.Millisecond; {
		if got := readReport(t, members); got != "HB n1 UP" {
			t.Fatalf("reported %q", got)
		}
	}
}

// The notice to leave comes when a second process has the sockets and its executor is not up, so that it does not serve:
// the first left the queue to it, and nobody accepted. It drains as one that nobody replaces.
func TestDrainWhileSuccessorIsNotServing(t *testing.T) {
	start := newServerStarter(t)
	first, _ := startFakeExecutor(t, "WELCOME steady 5\r\n")
	lines, signals, _ := start(first)
	at := lines.waitUntilReplaceable(t)
	second, joins := startFakeExecutor(t, "")
	start(second)
	<-joins
	lines.waitFor(t, "handed to a successor")
	signals <- signalNow(syscall.SIGTERM)
	lines.waitFor(t, "draining")
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
func TestSuccessorStoppedBeforeServing(t *testing.T) {
	start := newServerStarter(t)
	first, _ := startFakeExecutor(t, "WELCOME steady 5\r\n")
	lines, signals, _ := start(first)
	at := lines.waitUntilReplaceable(t)
	second, joins := startFakeExecutor(t, "")
	_, signals2, done2 := start(second)
	<-joins
	lines.waitFor(t, "handed to a successor")
	termination := signalNow(syscall.SIGTERM)
	termination.arrivedMS -= 1e7 - 500 // of the 1e7 ms from the notice to the stop
	signals2 <- termination
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
	signals <- signalNow(syscall.SIGTERM)
	lines.waitFor(t, "draining")
}

// The notice to leave comes while notices to read the file again have filled what holds them: it was dropped.
func TestTerminationSignalIsNotDropped(t *testing.T) {
	signals, observed := catchSignals(clock.System()), make(chan os.Signal, 1)
	signal.Notify(observed, syscall.SIGHUP)
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP, syscall.SIGTERM, os.Interrupt) })
	for range 30 {
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		<-observed
	}
	signal.Notify(observed, syscall.SIGTERM)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	<-observed
	for timeout := time.After(10 * time.Second); ; {
		select {
		case s := <-signals:
			if s.Signal == syscall.SIGTERM {
				return
			}
		case <-timeout:
			t.Fatal("never heard")
		}
	}
}

// The process before this one ends while it is asked for its sockets: it takes the asking and hands nothing over, and
// its address is free a moment later. The start was refused.
func TestStartWhilePredecessorExits(t *testing.T) {
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
	executor, _ := startFakeExecutor(t, "WELCOME steady 5\r\n")
	file := strings.Replace(fmt.Sprintf(configTemplate, executor, fakeMembers(t).LocalAddr()), "127.0.0.1:0", old.Addr().String(), 1)
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
	lines, signals, done := make(logLines, 1000), make(chan receivedSignal), make(chan error, 1)
	go func() {
		err := run(cfg, load, signals, clock.System(), zerolog.New(lines))
		done <- err
		if err != nil {
			close(lines)
		}
	}()
	lines.waitFor(t, "handover")
	lines.waitFor(t, "address already in use")
	old.Close()
	lines.waitFor(t, "module started")
}

// Notices before the executor is up: a file that is empty or cut short at any byte changes nothing, one to leave comes
// twice with one to read the file again between, and the process ends by itself within its time.
func TestSignalsBeforeExecutorIsUp(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	load := func() (*config.Config, error) {
		return config.Load(func(k string) string { return map[string]string{"RELAY_CONFIG": path}[k] })
	}
	executor, joins := startFakeExecutor(t, "")
	members := fakeMembers(t)
	file := strings.Replace(fmt.Sprintf(configTemplate, executor, members.LocalAddr()), `"stop_ms":1e7`, `"stop_ms":300`, 1)
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
	lines, signals, done := make(logLines, 10000), make(chan receivedSignal), make(chan error, 1)
	go func() { done <- run(cfg, load, signals, clock.System(), zerolog.New(lines)) }()
	<-joins
	for n := 0; n < len(file); n += 7 {
		write(file[:n])
		signals <- signalNow(syscall.SIGHUP)
		lines.waitFor(t, "stays in force")
	}
	if len(joins) > 0 {
		t.Error("the executor was joined again")
	}
	signals <- signalNow(syscall.SIGTERM)
	write(file)
	signals <- signalNow(syscall.SIGHUP)
	signals <- signalNow(syscall.SIGTERM)
	lines.waitFor(t, "configuration read again")
	lines.waitFor(t, "leaving")
	if err := <-done; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// The notice to leave comes while the file is read again, which hangs until the notice's time is over: that counts from when
// it came, not from when the program gets to it, or it would be stopped with requests in hand.
func TestStopTimeoutCountsFromSignalArrival(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	executor, joins := startFakeExecutor(t, "WELCOME steady 5\r\n")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(configTemplate, executor, fakeMembers(t).LocalAddr())), 0o600); err != nil {
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
	hangingLoad := func() (*config.Config, error) {
		close(reading)
		<-read
		return load()
	}
	clk, lines, signals, done := clock.Manual(1.7e12), make(logLines, 1000), make(chan receivedSignal), make(chan error, 1)
	go func() { done <- run(cfg, hangingLoad, signals, clk, zerolog.New(lines)) }()
	<-joins
	signals <- receivedSignal{syscall.SIGHUP, clk.Now()}
	<-reading
	termination := receivedSignal{syscall.SIGTERM, clk.Now()}
	clk.Set(1.7e12 + 1e7 + 1) // its 1e7 ms are over
	close(read)
	signals <- termination
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Minute):
		t.Error("still there, long after its time")
	}
}

// recordingRunner is a runner that tells of each start.
type recordingRunner struct{ starts chan string }

func (i recordingRunner) Start(a *core.Attempt)              { i.starts <- a.Request.ID }
func (recordingRunner) Return(*core.Attempt, uint64, []byte) {}
func (recordingRunner) Skip(*core.Attempt, uint64)           {}
func (recordingRunner) Abandon(*core.Attempt)                {}
func (recordingRunner) ReadGauges(func([]float64))           {}
func (recordingRunner) Diagnose(func(bool)) bool             { return false }

// A process replaces one of an earlier build, which tells nothing of what it ran and goes on beginning it: no payment is
// begun until that one has gone and the time of its payments has passed.
func TestNoKeyedRequestsUntilOlderPredecessorExits(t *testing.T) {
	old, connection := net.Pipe()
	go func() {
		b := make([]byte, 1)
		old.Read(b)
		old.Write(b)
	}()
	clk, starts := clock.Manual(1.7e12), make(chan string, 1)
	c := core.New(clk, zerolog.Nop(), policy.Settings{
		Classes: []policy.Class{{Name: "pay", Aim: time.Minute, Deadline: time.Minute, Worth: 1, Safety: policy.Keyed, KeyTTL: time.Second}},
		Cores:   8, MemoryKB: 1e6, RunMemoryFactor: 4, MaxRunningPerCore: 8, BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnectionGauge: -1,
	}, 1, recordingRunner{starts}, nil, nil)
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
	importKeyedAttempts(c, connection, zerolog.New(lines))
	lines.waitFor(t, "does not tell")
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
	for predecessorRuns := true; predecessorRuns; { // until that is known, the time does not begin
		processed := make(chan struct{})
		c.AfterPendingEvents(func() { close(processed) })
		<-processed
		clk.Set(clk.Now() + 1200)
		pay()
		select {
		case v := <-answers:
			if v != core.Refused {
				t.Fatalf("after it: %v", v)
			}
		case <-starts:
			predecessorRuns = false
		}
	}
}

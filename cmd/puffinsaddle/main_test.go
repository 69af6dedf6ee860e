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
	"puffinsaddle/internal/net/handover"
	"puffinsaddle/policy"
)

const configTemplate = `{"name":"n1","listen":"127.0.0.1:0","executor":%q,"vault":"127.0.0.1:1","members":%q,"stop_ms":1e7,
"settings":{"classes":[{"name":"book","aim":1700000000,"deadline":5000000000,"worth":4.0,"idempotency":"unsafe"}],
"extra":{"nCores":6,"heapKb":10998.0,"runMemFactor":4.0},"limits":{},"rules":{"fallMultiple":8.0},"tick":4000000}}`

// logLines passes the server's log to the test, line by line.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) { l <- string(b); return len(b), nil }

// waitFor reads the log up to a line that contains word and returns that line.
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
			t.Fatalf("the log has no %q within %s", word, testTimeout)
		}
	}
}

// waitUntilReplaceable waits until a server can be replaced and returns its address. A second server that starts earlier finds no
// predecessor, and with port 0 it would serve on a port of its own instead of replacing the first.
func (l logLines) waitUntilReplaceable(t *testing.T) (at string) {
	t.Helper()
	_, at, _ = strings.Cut(l.waitFor(t, "serving routers"), `"at":"`)
	at, _, _ = strings.Cut(at, `"`)
	l.waitFor(t, "may be replaced")
	return at
}

// signalNow returns a signal that arrives at the current time.
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
		t.Errorf("the port of %s is free after its test has ended", address)
	}
}

// fakeMembers opens the socket of a fake membership service.
func fakeMembers(t *testing.T) net.PacketConn {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// readReport reads the next report to the fake membership service.
func readReport(t *testing.T, c net.PacketConn) string {
	b := make([]byte, 100)
	n, _, err := c.ReadFrom(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n])
}

// On SIGHUP, an invalid file is reported by its key and changes nothing. A valid one moves the executor's link and the
// membership reports to their new addresses, both before WELCOME and during a drain, and the process continues.
func TestReloadMovesAddressesAndRejectsInvalidFile(t *testing.T) {
	first, firstJoins := startFakeExecutor(t, "")
	second, secondJoins := startFakeExecutor(t, "")
	third, thirdJoins := startFakeExecutor(t, "")
	m1, m2 := fakeMembers(t), fakeMembers(t)
	file := newConfigFile(t, "", fmt.Sprintf(configTemplate, first, m1.LocalAddr()))
	lines, signals, done := startServer(file)
	if j := <-firstJoins; j != "JOIN 0" {
		t.Fatalf("joined with %q", j)
	}
	if r := readReport(t, m1); r != "HB n1 UP" {
		t.Fatalf("reported %q", r)
	}
	file.write(strings.Replace(fmt.Sprintf(configTemplate, second, m2.LocalAddr()), `"stop_ms":1e7`, `"stop_ms":"soon"`, 1))
	signals <- signalNow(syscall.SIGHUP)
	lines.waitFor(t, "stop_ms")
	file.write(strings.Replace(fmt.Sprintf(configTemplate, second, m2.LocalAddr()), `"stop_ms":1e7,`, "", 1)) // valid only at a start
	signals <- signalNow(syscall.SIGHUP)
	lines.waitFor(t, "the file in force has it")
	file.write(fmt.Sprintf(configTemplate, second, m2.LocalAddr()))
	signals <- signalNow(syscall.SIGHUP)
	if j := <-secondJoins; j != "JOIN 0" {
		t.Fatalf("joined with %q", j)
	}
	if r := readReport(t, m2); r != "HB n1 UP" {
		t.Fatalf("reported %q", r)
	}
	if len(firstJoins) > 0 {
		t.Error("the link joined the old address again")
	}
	signals <- signalNow(syscall.SIGTERM)
	lines.waitFor(t, "draining")
	file.write(fmt.Sprintf(configTemplate, third, m2.LocalAddr()))
	signals <- signalNow(syscall.SIGHUP)
	select {
	case <-thirdJoins:
	case err := <-done:
		t.Errorf("the process ended during its drain: %v", err)
	}
}

// newServerStarter returns a function that starts servers which share a private directory, and thus can replace each other.
func newServerStarter(t *testing.T) func(executor string) (logLines, chan receivedSignal, chan error) {
	return newServerStarterWithMembers(t, fakeMembers(t))
}

// newServerStarterWithMembers is newServerStarter with the given membership service.
func newServerStarterWithMembers(t *testing.T, members net.PacketConn) func(executor string) (logLines, chan receivedSignal, chan error) {
	private := t.TempDir()
	return func(executor string) (logLines, chan receivedSignal, chan error) {
		return startServer(newConfigFile(t, private, fmt.Sprintf(configTemplate, executor, members.LocalAddr())))
	}
}

// A second server starts on the same addresses and takes over the first one's sockets once its own executor is up. The first
// then notifies its callers and ends. No connection is refused, and health checks succeed throughout.
func TestReplacementRefusesNoConnection(t *testing.T) {
	members := fakeMembers(t)
	start := newServerStarterWithMembers(t, members)
	const check, healthy = "*2\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n", "*3\r\n$1\r\n1\r\n$7\r\nhealthy\r\n"
	first, _ := startFakeExecutor(t, "WELCOME steady 5\r\n")
	lines, signals, done := start(first)
	at := lines.waitUntilReplaceable(t)
	checkHealth := func() {
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
	checkHealth()
	second, joins := startFakeExecutor(t, "")
	starting, _, _ := start(second)
	starting.waitFor(t, "replacing a running process")
	<-joins
	checkHealth() // answered by the first server: the second's executor is not up
	third, _ := startFakeExecutor(t, "WELCOME steady 5\r\n")
	taking, _, _ := start(third)
	taking.waitFor(t, "module started")
	lines.waitFor(t, "a successor serves") // SIGTERM follows once the successor has reported that it is ready
	checkHealth()
	signals <- signalNow(syscall.SIGTERM)
	lines.waitFor(t, "replaced")
	if err := <-done; err != nil {
		t.Errorf("the first server ended with %v", err)
	}
	checkHealth()
	// The membership service merges the reports of all processes of a name: none may report that the server leaves, and the
	// reports continue without the first process.
	for ended := time.Now(); time.Since(ended) < 500*time.Millisecond; {
		if got := readReport(t, members); got != "HB n1 UP" {
			t.Fatalf("reported %q", got)
		}
	}
}

// SIGTERM arrives while a successor has the sockets but does not serve yet, because its executor is not up. If the first
// server left the accept queue to it, no process would accept connections, so the first drains as if it had no successor.
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

// SIGTERM arrives at a successor that has the sockets but does not serve yet: it ends. The predecessor continues to serve the
// accept queue and no longer counts as being replaced.
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
	termination.arrivedMS -= 1e7 - 500 // leaves 500 ms of the 1e7 ms stop timeout
	signals2 <- termination
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
	signals <- signalNow(syscall.SIGTERM)
	lines.waitFor(t, "draining")
}

// SIGTERM arrives while reload signals have filled their channel. Guards against dropping a termination signal, as happened
// when it shared that channel.
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
			t.Fatal("SIGTERM was never received")
		}
	}
}

// The predecessor exits during the handover: it accepts the connection but hands no sockets over, and its address becomes
// free shortly after. Guards against a start that fails meanwhile.
func TestStartWhilePredecessorExits(t *testing.T) {
	private := t.TempDir()
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
	configuration := newConfigFile(t, private, file)
	cfg := configuration.mustLoad()
	lines, signals, done := make(logLines, 1000), make(chan receivedSignal), make(chan error, 1)
	go func() {
		err := run(cfg, configuration.load, signals, clock.System(), zerolog.New(lines))
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

// Signals before the executor is up: a reload of an empty or truncated file changes nothing. SIGTERM arrives twice, with a
// reload in between, and the process ends within its stop timeout.
func TestSignalsBeforeExecutorIsUp(t *testing.T) {
	executor, joins := startFakeExecutor(t, "")
	members := fakeMembers(t)
	file := strings.Replace(fmt.Sprintf(configTemplate, executor, members.LocalAddr()), `"stop_ms":1e7`, `"stop_ms":300`, 1)
	configuration := newConfigFile(t, "", file)
	lines, signals, done := startServer(configuration)
	<-joins
	for n := 0; n < len(file); n += 7 {
		configuration.write(file[:n])
		signals <- signalNow(syscall.SIGHUP)
		lines.waitFor(t, "stays in force")
	}
	if len(joins) > 0 {
		t.Error("the link joined the executor again")
	}
	signals <- signalNow(syscall.SIGTERM)
	configuration.write(file)
	signals <- signalNow(syscall.SIGHUP)
	signals <- signalNow(syscall.SIGTERM)
	lines.waitFor(t, "configuration read again")
	lines.waitFor(t, "leaving")
	if err := <-done; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// SIGTERM arrives during a reload that hangs until the stop timeout has passed. The timeout counts from the signal's arrival,
// not from its handling; otherwise the platform would kill the process with requests in flight.
func TestStopTimeoutCountsFromSignalArrival(t *testing.T) {
	executor, joins := startFakeExecutor(t, "WELCOME steady 5\r\n")
	file := newConfigFile(t, "", fmt.Sprintf(configTemplate, executor, fakeMembers(t).LocalAddr()))
	cfg := file.mustLoad()
	reading, read := make(chan struct{}), make(chan struct{})
	hangingLoad := func() (*config.Config, error) {
		close(reading)
		<-read
		return file.load()
	}
	clk, lines, signals, done := clock.Manual(1.7e12), make(logLines, 1000), make(chan receivedSignal), make(chan error, 1)
	go func() { done <- run(cfg, hangingLoad, signals, clk, zerolog.New(lines)) }()
	<-joins
	signals <- receivedSignal{syscall.SIGHUP, clk.Now()}
	<-reading
	termination := receivedSignal{syscall.SIGTERM, clk.Now()}
	clk.Set(1.7e12 + 1e7 + 1) // the stop timeout of 1e7 ms has passed
	close(read)
	signals <- termination
	// From here on the clock moves on, since the module is called at most once a tick.
	timeout := time.After(time.Minute)
	for ended := false; !ended; {
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
			ended = true
		case <-timeout:
			t.Fatal("the process still runs after its stop timeout")
		case <-time.After(time.Millisecond):
			clk.Set(clk.Now() + 1)
		}
	}
	if line := lines.waitFor(t, "leaving"); !strings.Contains(line, "all requests answered before the stop") {
		t.Errorf("the process did not end by its last answers: %s", line)
	}
}

// recordingRunner is a runner that reports each start and runs nothing.
type recordingRunner struct{ starts chan string }

func (i recordingRunner) Start(a *core.Attempt)              { i.starts <- a.Request.ID }
func (recordingRunner) Return(*core.Attempt, uint64, []byte) {}
func (recordingRunner) Skip(*core.Attempt, uint64)           {}
func (recordingRunner) Abandon(*core.Attempt)                {}
func (recordingRunner) ReadGauges(func([]float64))           {}
func (recordingRunner) Diagnose(func(bool)) bool             { return false }

// A server replaces one of an earlier build, which sends no keyed attempts and goes on starting keyed requests: none is
// started here until the predecessor has exited and its keys have expired.
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
		MarksRetry: true,
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
	handover.ImportKeyedAttempts(c, connection, zerolog.New(lines))
	lines.waitFor(t, "sent no keyed attempts")
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
	for predecessorRuns := true; predecessorRuns; { // the keys' expiry counts only from when the exit is noticed
		processed := make(chan struct{})
		c.AfterPendingEvents(func() { close(processed) })
		<-processed
		clk.Set(clk.Now() + 1200)
		pay()
		select {
		case v := <-answers:
			if v != core.Refused {
				t.Fatalf("verdict %v after the predecessor's exit", v)
			}
		case <-starts:
			predecessorRuns = false
		}
	}
}

// A caller keeps the fronts open until the kill. Guards against leases that are not released then and block the next holder
// until they expire.
func TestDutiesAreReleasedWhileFrontsAreOpen(t *testing.T) {
	stopReached, released, frontsMayClose, done := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		shutDown(func() { <-frontsMayClose }, stopReached, func() { close(released) })
		close(done)
	}()
	select {
	case <-released:
		t.Error("released while requests may still make downstream calls")
	case <-time.After(20 * time.Millisecond):
	}
	close(stopReached)
	select {
	case <-released:
	case <-time.After(testTimeout):
		t.Fatal("not released")
	}
	select {
	case <-done:
		t.Error("ended before the fronts were closed")
	default:
	}
	close(frontsMayClose)
	<-done
}

// An operator's call that is never completed is open when a drain ends. Guards against a store replica that is closed, and
// hands over its leadership, only after the timeout of that call, when the process has been killed.
func TestIncompleteOperatorCallDoesNotDelayExit(t *testing.T) {
	executor, _ := startFakeExecutor(t, "WELCOME steady 5\r\n")
	operator := freePort(t)
	file := strings.Replace(fmt.Sprintf(configTemplate, executor, fakeMembers(t).LocalAddr()), `"stop_ms":1e7`, fmt.Sprintf(`"stop_ms":600,"operator":%q`, operator), 1)
	lines, signals, done := startServer(newConfigFile(t, "", file))
	lines.waitFor(t, "serving operators")
	signals <- signalNow(syscall.SIGTERM)
	lines.waitFor(t, "draining")
	call, err := net.Dial("tcp", operator)
	if err != nil {
		t.Fatal(err)
	}
	defer call.Close()
	io.WriteString(call, "GET /-/metrics HTTP/1.1\r\n")
	lines.waitFor(t, "leaving")
	leftAt := time.Now()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if took := time.Since(leftAt); took > time.Second { // half of the time that a call may take
		t.Errorf("the process ended %s after its fronts", took)
	}
}

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	serverProcessEnv = "PUFFINSADDLE_TEST_SERVE" // environment variable that makes the test binary run as an order server
	testTimeout      = 60 * time.Second          // timeout of a test that waits
)

func TestMain(m *testing.M) {
	if os.Getenv(serverProcessEnv) != "" {
		if len(os.Args) > 1 {
			os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr))
		}
		os.Exit(serve())
	}
	os.Exit(m.Run())
}

// serverProcess is an order server in a separate process.
type serverProcess struct {
	t        testing.TB
	path     string
	listen   string
	operator string
	args     []string // command line; empty: it serves
	env      []string // additional environment variables
	cmd      *exec.Cmd
	log      *lockedBuffer
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// usedAddresses holds the addresses that freePort returned. The system may choose a closed port again.
var usedAddresses sync.Map

// freePort returns an address whose port is free.
func freePort(t testing.TB) string {
	t.Helper()
	for {
		// Outgoing connections use 127.0.0.1 and thus can't take a port of another address in the meantime.
		ln, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.1:0", os.Getpid()%250+1))
		if err != nil {
			t.Fatal(err)
		}
		address := ln.Addr().String()
		ln.Close()
		if _, again := usedAddresses.LoadOrStore(address, true); !again {
			return address
		}
	}
}

func newServerProcess(t testing.TB) *serverProcess {
	return &serverProcess{t: t, path: filepath.Join(t.TempDir(), "config.json"), listen: freePort(t), operator: freePort(t), log: &lockedBuffer{}}
}

// writeConfig writes the process's configuration file.
func (c *serverProcess) writeConfig(executor, members string, sockets int) {
	c.t.Helper()
	file := strings.Replace(fmt.Sprintf(configTemplate, executor, members), `"listen":"127.0.0.1:0"`,
		fmt.Sprintf(`"listen":%q,"operator":%q,"limits":{"cores":1,"memory_mb":96,"sockets":%d}`, c.listen, c.operator, sockets), 1)
	if err := os.WriteFile(c.path, []byte(file), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// start starts the process with a limit on its file descriptors.
func (c *serverProcess) start(descriptors int) {
	c.t.Helper()
	self, err := os.Executable()
	if err != nil {
		c.t.Fatal(err)
	}
	c.cmd = exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), self}, c.args...)...)
	c.cmd.Env = append([]string{serverProcessEnv + "=1", "RELAY_CONFIG=" + c.path}, c.env...)
	c.cmd.Stdout, c.cmd.Stderr = c.log, c.log
	if err := c.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		c.cmd.Process.Kill()
		c.cmd.Wait()
	})
}

var httpClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (c *serverProcess) ready() bool {
	r, err := httpClient.Get("http://" + c.operator + "/-/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode/100 == 2
}

// waitUntil waits until holds returns true.
func (c *serverProcess) waitUntil(what string, holds func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %s: %s; the log:\n%s", testTimeout, what, c.log)
		}
	}
}

// serveConnections listens on a free address until the test ends, and serves each connection on a goroutine of its own.
func serveConnections(t testing.TB, serve func(net.Conn)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return ln.Addr().String()
}

// startRunningExecutor starts a fake executor that welcomes servers after welcomeDelay, and completes every attempt at once.
func startRunningExecutor(t testing.TB, welcomeDelay time.Duration) string {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) { serveRunningExecutor(conn, welcomeDelay) })
}

// serveRunningExecutor is the fake executor's side of a link.
func serveRunningExecutor(conn net.Conn, welcomeDelay time.Duration) {
	defer conn.Close()
	r, n := bufio.NewReader(conn), 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		switch words := strings.Fields(line); words[0] {
		case "JOIN":
			fmt.Sscan(words[1], &n) // EXIT numbers continue after the last one that the server received
			time.Sleep(welcomeDelay)
			io.WriteString(conn, "WELCOME steady 100000\r\n")
		case "METER":
			fmt.Fprintf(conn, "METERS %s 0.1 0 0.1 1\r\n", words[1])
		case "EXEC":
			var size int
			fmt.Sscan(words[len(words)-1], &size)
			r.Discard(size + 2)
			n++
			fmt.Fprintf(conn, "EXIT %d %s success 1 2\r\nok\r\n", n, words[1])
		}
	}
}

// isServed sends one request on a new connection and returns whether it completed.
func isServed(at string, id int) bool {
	conn, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fields := fmt.Sprintf("id=%016x,at=%d,from=4,kb=10,rank=0.5", id, time.Now().UnixMilli())
	fmt.Fprintf(conn, "*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$4\r\nbook\r\n$%d\r\n%s\r\n$1\r\nx\r\n", len(fields), fields)
	b := make([]byte, 256)
	n, _ := conn.Read(b)
	return strings.Contains(string(b[:n]), "done")
}

// connectIdleClients keeps idle clients connected: each reconnects as soon as the server closes its connection.
func (c *serverProcess) connectIdleClients(clients int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				conn, err := net.DialTimeout("tcp", c.listen, time.Second)
				if err != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				end := context.AfterFunc(ctx, func() { conn.Close() })
				io.Copy(io.Discard, conn) // until the server closes the connection
				end()
				conn.Close()
			}
		})
	}
	stop = func() {
		cancel()
		all.Wait()
	}
	c.t.Cleanup(stop)
	time.Sleep(settleTime)
	return stop
}

const settleTime = 500 * time.Millisecond // time in which idle clients take all descriptors that they can get

// While the membership service is down, idle clients take every descriptor that they can get. The server still serves
// requests, reports its readiness, reloads its configuration, links to another executor, and reports again once the
// membership service is back.
func TestIdleClientsWhileMembersIsDown(t *testing.T) {
	const descriptors = 160
	gone := fakeMembers(t)
	down := gone.LocalAddr().String()
	gone.Close()
	c := newServerProcess(t)
	c.writeConfig(startRunningExecutor(t, 0), down, descriptors)
	c.start(descriptors)
	c.waitUntil("it is ready", c.ready)
	stop := c.connectIdleClients(3 * descriptors)
	c.waitUntil("a request is served among idle clients", func() bool { return isServed(c.listen, 1) })
	c.waitUntil("it reports that it is ready", c.ready)
	another := fakeMembers(t)
	c.writeConfig(startRunningExecutor(t, 0), another.LocalAddr().String(), descriptors)
	c.cmd.Process.Signal(syscall.SIGHUP)
	if got := readReport(t, another); got != "HB n1 UP" {
		t.Errorf("reported %q", got)
	}
	c.waitUntil("a request is served by the other executor", func() bool { return isServed(c.listen, 2) })
	stop()
	c.waitUntil("a request is served once the connections of the idle clients have left the accept queue", func() bool { return isServed(c.listen, 3) })
	for n := 4; n < 24; n++ {
		if !isServed(c.listen, n) {
			t.Errorf("request %d is not served after the membership service is back", n)
		}
	}
	for range 3 {
		if got := readReport(t, another); got != "HB n1 UP" {
			t.Errorf("reported %q", got)
		}
	}
}

// Thirty processes start at once while the membership service reads no report, executors are late, and every third address
// is still in use by a predecessor: nine in ten are ready within 10 s.
func TestThirtyProcessesStartAtOnce(t *testing.T) {
	const processes, within = 30, 10 * time.Second
	slow := fakeMembers(t) // it reads no report
	var all []*serverProcess
	for i := range processes {
		c := newServerProcess(t)
		c.writeConfig(startRunningExecutor(t, time.Duration(i%5)*200*time.Millisecond), slow.LocalAddr().String(), 1024)
		if i%3 == 0 {
			before, err := net.Listen("tcp", c.listen)
			if err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(time.Duration(500+50*i)*time.Millisecond, func() { before.Close() })
		}
		all = append(all, c)
	}
	began := time.Now()
	for _, c := range all {
		c.start(1024)
	}
	took := make(chan time.Duration, processes)
	for _, c := range all {
		go func() {
			for !c.ready() && time.Since(began) < testTimeout {
				time.Sleep(20 * time.Millisecond)
			}
			took <- time.Since(began)
		}()
	}
	inTime, longest := 0, time.Duration(0)
	for range processes {
		d := <-took
		longest = max(longest, d)
		if d <= within {
			inTime++
		}
	}
	if inTime < processes*9/10 {
		t.Errorf("%d of %d were ready within %s, the last after %s", inTime, processes, within, longest)
	}
	for i, c := range all {
		if !isServed(c.listen, i+1) {
			t.Errorf("process %d does not serve; its log:\n%s", i, c.log)
		}
	}
}

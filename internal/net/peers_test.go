package net_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/redcon"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/accept"
	"puffinsaddle/internal/net/executor"
	"puffinsaddle/internal/net/respfront"
	"puffinsaddle/internal/net/uwsgi"
	"puffinsaddle/internal/net/vault"
	"puffinsaddle/policy"
)

const testTimeout = 60 * time.Second // limit for tests that hang; no result depends on it

var settings = policy.Settings{
	Classes: []policy.Class{
		{Name: "tank-level", Aim: 600 * time.Millisecond, Deadline: 20 * time.Second, Worth: 1, LateValue: 1, Calls: true, SkipWorth: 0.5},
		{Name: "book-delivery", Aim: 600 * time.Millisecond, Deadline: 20 * time.Second, Worth: 4, LateValue: 1, Safety: policy.Unsafe},
	},
	Servers: 2, Callers: 2, Cores: 50, MemoryKB: 1e6, RunMemoryFactor: 4, MaxRunningPerCore: 8, MaxRunningPeriod: 3 * time.Second,
	SharedResultTTL: 200 * time.Millisecond, DrainGrace: 2500 * time.Millisecond, PassesDeadline: true, MarksRetry: true,
	HasDownstream: true, DownstreamShare: 100, CallPeriod: 5 * time.Second, MaxRetryAfter: time.Second, Hint: policy.HintCredit,
	BusyGauge: 0, RunnableGauge: 1, MemoryGauge: 2, ConnectionGauge: 3, ColdSpeedShare: 1,
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// testServer is an order server with fakes in place of the systems around it.
type testServer struct {
	t     *testing.T
	core  *core.Core
	resp  *respfront.Front
	uwsgi *uwsgi.Front

	link  *executor.Link // set only with a scripted executor
	vault *vault.Client
}

// newServer builds a server with the default settings and the system's clock.
func newServer(t *testing.T, runner core.Runner, downstream core.Downstream, uwsgiSettings config.UWSGI,
	configure func(*core.Core)) *testServer {
	return newServerOnClock(t, clock.System(), settings, runner, downstream, uwsgiSettings, configure)
}

// newServerOnClock builds a server with a given clock and settings.
func newServerOnClock(t *testing.T, clk *clock.Clock, settings policy.Settings, runner core.Runner, downstream core.Downstream,
	uwsgiSettings config.UWSGI, configure func(*core.Core)) *testServer {
	c := core.New(clk, zerolog.Nop(), settings, 1, runner, downstream, nil)
	if configure != nil {
		configure(c)
	}
	h := &testServer{t: t, core: c}
	ln, err := accept.Listen("127.0.0.1:0", zerolog.Nop())
	must(t, err)
	h.resp = respfront.New(ln, 64, c, clk, zerolog.Nop())
	uwsgiSettings.MaxConnections, uwsgiSettings.DefaultRequestKB = 64, 10
	uwsgiSettings.MaxBodyBytes, uwsgiSettings.MaxResultBytes = 4096, 4096
	if uwsgiSettings.ReadTimeoutMS == 0 {
		uwsgiSettings.ReadTimeoutMS = 1e6
	}
	ln, err = accept.Listen("127.0.0.1:0", zerolog.Nop())
	must(t, err)
	h.uwsgi = uwsgi.New(ln, uwsgiSettings, c, clk, zerolog.Nop())
	go c.Run()
	go h.resp.Serve()
	go h.uwsgi.Serve()
	t.Cleanup(func() { c.Stop(); h.resp.Close(); h.uwsgi.Close() })
	return h
}

// newServerWithExecutor builds a server with a scripted executor.
func newServerWithExecutor(t *testing.T, x *fakeExecutor, vaultAddress string, change ...func(*executor.Link)) *testServer {
	return newServerWithExecutorOnClock(t, clock.System(), settings, x, vaultAddress, change...)
}

// newServerWithKeyTable builds a server with a scripted executor and a memory limit for keyed attempts, in bytes.
func newServerWithKeyTable(t *testing.T, clk *clock.Clock, settings policy.Settings, x *fakeExecutor,
	maxBytes int) *testServer {
	return newConfiguredServerWithExecutor(t, clk, settings, x, "127.0.0.1:1", func(c *core.Core) { c.SetKeyTableBytes(maxBytes) })
}

// newServerWithExecutorOnClock builds a server with a scripted executor, a given clock and settings.
func newServerWithExecutorOnClock(t *testing.T, clk *clock.Clock, settings policy.Settings, x *fakeExecutor, vaultAddress string,
	change ...func(*executor.Link)) *testServer {
	return newConfiguredServerWithExecutor(t, clk, settings, x, vaultAddress, func(*core.Core) {}, change...)
}

// newConfiguredServerWithExecutor also configures the core, and changes the executor's link before its first connection.
func newConfiguredServerWithExecutor(t *testing.T, clk *clock.Clock, settings policy.Settings, x *fakeExecutor,
	vaultAddress string, configure func(*core.Core), change ...func(*executor.Link)) *testServer {
	var c *core.Core
	link := executor.New(x.ln.Addr().String(), zerolog.Nop(), func(cold, replaced bool) {
		if replaced {
			c.RunnerReplaced(cold)
		}
		c.RunnerStarted(cold)
	})
	link.ReadTimeout = time.Hour // the script answers only when a test makes it
	for _, c := range change {
		c(link)
	}
	calls := vault.New(vaultAddress, clk)
	h := newServerOnClock(t, clk, settings, link, calls, config.UWSGI{}, func(made *core.Core) {
		c = made
		configure(c)
	})
	h.link, h.vault = link, calls
	go link.Run(t.Context())
	return h
}

// newReadyServer builds a server whose executor is up and whose vault is down.
func newReadyServer(t *testing.T) (*fakeExecutor, *testServer) {
	t.Helper()
	x := newExecutor(t)
	h := newServerWithExecutor(t, x, "127.0.0.1:1")
	x.acceptJoin(0)
	x.answerBarrier()
	return x, h
}

// command is a command that the fake executor received.
type command struct {
	words []string
	body  []byte
}

// fakeExecutor replaces the executor; the test reads the commands that it receives and sends notices.
type fakeExecutor struct {
	t            *testing.T
	ln           net.Listener
	commands     chan command
	mu           sync.Mutex
	conn         net.Conn
	lastNotice   int
	startedAt    time.Time
	ignoreMeters bool // METER commands get no answer, except that of the barrier
}

func newExecutor(t *testing.T) *fakeExecutor {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	x := &fakeExecutor{t: t, ln: ln, commands: make(chan command, 1000), startedAt: time.Now()}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.conn = conn
			x.mu.Unlock()
			go x.readCommands(bufio.NewReader(conn))
		}
	}()
	return x
}

func (x *fakeExecutor) readCommands(r *bufio.Reader) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		c := command{words: strings.Fields(line)}
		if c.words[0] == "EXEC" || c.words[0] == "RETURN" {
			n, _ := strconv.Atoi(c.words[len(c.words)-1])
			c.body = make([]byte, n+2)
			if _, err := io.ReadFull(r, c.body); err != nil {
				return
			}
			c.body = c.body[:n]
		}
		x.commands <- c
	}
}

// nextCommand returns the next command and answers requests for gauges itself, except that of the barrier.
func (x *fakeExecutor) nextCommand() command {
	x.t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case c := <-x.commands:
			if c.words[0] == "METER" && !strings.HasPrefix(c.words[1], "f") {
				if x.ignoreMeters {
					continue
				}
				x.send("METERS %s 0.1 0 0.1 1", c.words[1])
				continue
			}
			return c
		case <-timeout:
			x.t.Fatal("no command arrived")
		}
	}
}

func (x *fakeExecutor) want(words ...string) command {
	x.t.Helper()
	c := x.nextCommand()
	if got := strings.Join(c.words, " "); !strings.HasPrefix(got, strings.Join(words, " ")) {
		x.t.Fatalf("command %q, want %q", got, words)
	}
	return c
}

func (x *fakeExecutor) send(format string, a ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	fmt.Fprintf(x.conn, format+"\r\n", a...)
}

// sendNotice sends the next numbered notice; its last word is the length of the body.
func (x *fakeExecutor) sendNotice(kind, rest string, body string) {
	x.lastNotice++
	x.send("%s %d %s %d\r\n%s", kind, x.lastNotice, rest, len(body), body)
}

// acceptJoin expects JOIN with the given notice number and answers it.
func (x *fakeExecutor) acceptJoin(lastNotice int) {
	x.t.Helper()
	x.want("JOIN", strconv.Itoa(lastNotice))
	x.sendWelcome()
}

// sendWelcome sends WELCOME with the executor's age.
func (x *fakeExecutor) sendWelcome() {
	x.send("WELCOME steady %d", time.Since(x.startedAt).Milliseconds())
}

// acceptRejoin answers JOIN on a new connection and skips commands that were still in transit on the old one.
func (x *fakeExecutor) acceptRejoin(lastNotice int) {
	x.t.Helper()
	for c := x.nextCommand(); c.words[0] != "JOIN"; c = x.nextCommand() {
	}
	x.sendWelcome()
}

// answerBarrier answers the METER that serves as barrier.
func (x *fakeExecutor) answerBarrier() {
	x.t.Helper()
	x.send("METERS %s 0.1 0 0.1 1", x.want("METER").words[1])
}

// fakeRouter replaces a router with one connection.
type fakeRouter struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (h *testServer) router() *fakeRouter {
	conn, err := net.Dial("tcp", h.resp.Addr().String())
	must(h.t, err)
	h.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &fakeRouter{h.t, conn, bufio.NewReader(conn)}
}

func (p *fakeRouter) send(words ...string) {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	p.conn.Write(b)
}

// sendRequest sends a request that arrived now. extraFields is appended to its fields.
func (p *fakeRouter) sendRequest(tag, id int, class, extraFields, body string) {
	p.send("REQ", strconv.Itoa(tag), class,
		fmt.Sprintf("id=%016x,at=%d,from=4,kb=10,rank=0.5%s", id, time.Now().UnixMilli(), extraFields), body)
}

// readAnswer reads one array of bulk strings.
func (p *fakeRouter) readAnswer() []string {
	p.t.Helper()
	line, err := p.r.ReadString('\n')
	must(p.t, err)
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	must(p.t, err)
	words := make([]string, n)
	for i := range words {
		line, err := p.r.ReadString('\n')
		must(p.t, err)
		size, err := strconv.Atoi(strings.TrimSpace(line[1:]))
		must(p.t, err)
		b := make([]byte, size+2)
		_, err = io.ReadFull(p.r, b)
		must(p.t, err)
		words[i] = string(b[:size])
	}
	return words
}

func (p *fakeRouter) want(words ...string) {
	p.t.Helper()
	got := p.readAnswer()
	for i, w := range words {
		if i >= len(got) || got[i] != w {
			p.t.Fatalf("answer %q, want %q", got, words)
		}
	}
}

// startVault starts a fake vault and returns its address.
func startVault(t *testing.T, do http.HandlerFunc) string {
	s := httptest.NewServer(do)
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://")
}

// closeConn closes the executor's connection.
func (x *fakeExecutor) closeConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn.Close()
}

// runAll runs all requests until the test ends, and counts the starts of each id.
func (x *fakeExecutor) runAll() (starts func() map[string]int) {
	var mu sync.Mutex
	count := map[string]int{}
	go func() {
		for c := range x.commands {
			switch c.words[0] {
			case "METER":
				x.send("METERS %s 0.1 0 0.1 1", c.words[1])
			case "EXEC":
				mu.Lock()
				count[c.words[1]]++
				mu.Unlock()
				x.sendNotice("EXIT", c.words[1]+" success 1", "for "+string(c.body))
			}
		}
	}()
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		return maps.Clone(count)
	}
}

// packet encodes a uwsgi packet independently of the codec under test.
func packet(body string, vars ...string) string {
	var block []byte
	for _, v := range append(vars, "CONTENT_LENGTH", strconv.Itoa(len(body))) {
		block = append(block, byte(len(v)), byte(len(v)>>8))
		block = append(block, v...)
	}
	return string([]byte{0, byte(len(block)), byte(len(block) >> 8), 0}) + string(block) + body
}

// gateway connects to the uwsgi front, sends bytes, and closes its side for writing if closeWrite is set.
func (h *testServer) gateway(b string, closeWrite bool) *fakeGateway {
	conn, err := net.Dial("tcp", h.uwsgi.Addr().String())
	must(h.t, err)
	h.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, b)
	if closeWrite {
		conn.(*net.TCPConn).CloseWrite()
	}
	return &fakeGateway{h.t, conn}
}

// fakeGateway replaces a gateway with one connection.
type fakeGateway struct {
	t    *testing.T
	conn net.Conn
}

// readResponse reads up to the end of the connection, which has to contain exactly one response.
func (g *fakeGateway) readResponse() (status int, header http.Header, body string) {
	g.t.Helper()
	r := bufio.NewReader(g.conn)
	resp, err := http.ReadResponse(r, nil)
	must(g.t, err)
	b, err := io.ReadAll(resp.Body)
	must(g.t, err)
	if rest, _ := io.ReadAll(r); len(rest) > 0 {
		g.t.Errorf("a second answer: %q", rest)
	}
	return resp.StatusCode, resp.Header, string(b)
}

// startUWSGIServer starts a fake uwsgi server that answers each request with do, and returns its address.
func startUWSGIServer(t testing.TB, do func(conn net.Conn, vars map[string]string, body string)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				header := make([]byte, 4)
				if _, err := io.ReadFull(conn, header); err != nil {
					return
				}
				block := make([]byte, int(header[1])|int(header[2])<<8)
				io.ReadFull(conn, block)
				var words []string
				for len(block) >= 2 {
					n := int(block[0]) | int(block[1])<<8
					words, block = append(words, string(block[2:2+n])), block[2+n:]
				}
				vars := map[string]string{}
				for i := 0; i+1 < len(words); i += 2 {
					vars[words[i]] = words[i+1]
				}
				n, _ := strconv.Atoi(vars["CONTENT_LENGTH"])
				body := make([]byte, n)
				io.ReadFull(conn, body)
				do(conn, vars, string(body))
			}()
		}
	}()
	return ln.Addr().String()
}

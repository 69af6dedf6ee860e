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

const patience = 60 * time.Second // for tests that hang; no test depends on its length

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

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// house is an order server with fakes in place of the systems around it.
type house struct {
	t    *testing.T
	core *core.Core
	resp *respfront.Front
	uw   *uwsgi.Front

	link  *executor.Link // set only with a scripted executor
	vault *vault.Client
}

func build(t *testing.T, runner core.Runner, below core.Downstream, set config.UWSGI, hand func(*core.Core)) *house {
	return buildBy(t, clock.System(), settings, runner, below, set, hand)
}

// buildBy builds a server with a given clock and settings.
func buildBy(t *testing.T, clk *clock.Clock, settings policy.Settings, runner core.Runner, below core.Downstream, set config.UWSGI, hand func(*core.Core)) *house {
	c := core.New(clk, zerolog.Nop(), settings, 1, runner, below, nil)
	if hand != nil {
		hand(c)
	}
	h := &house{t: t, core: c}
	ln, err := accept.Listen("127.0.0.1:0", zerolog.Nop())
	must(t, err)
	h.resp = respfront.New(ln, 64, c, clk, zerolog.Nop())
	set.Conns, set.KB = 64, 10
	set.MaxBody, set.MaxResult = 4096, 4096
	if set.ReadMs == 0 {
		set.ReadMs = 1e6
	}
	ln, err = accept.Listen("127.0.0.1:0", zerolog.Nop())
	must(t, err)
	h.uw = uwsgi.New(ln, set, c, clk, zerolog.Nop())
	go c.Run()
	go h.resp.Serve()
	go h.uw.Serve()
	t.Cleanup(func() { c.Stop(); h.resp.Close(); h.uw.Close() })
	return h
}

// withExecutor builds a server with a scripted executor.
func withExecutor(t *testing.T, x *executorPeer, vaultAt string, change ...func(*executor.Link)) *house {
	return withExecutorBy(t, clock.System(), settings, x, vaultAt, change...)
}

// withExecutorRoom also limits the memory for keyed attempts, in bytes.
func withExecutorRoom(t *testing.T, clk *clock.Clock, settings policy.Settings, x *executorPeer, room int) *house {
	return executorHouse(t, clk, settings, x, "127.0.0.1:1", func(c *core.Core) { c.SetKeyTableBytes(room) })
}

func withExecutorBy(t *testing.T, clk *clock.Clock, settings policy.Settings, x *executorPeer, vaultAt string, change ...func(*executor.Link)) *house {
	return executorHouse(t, clk, settings, x, vaultAt, func(*core.Core) {}, change...)
}

func executorHouse(t *testing.T, clk *clock.Clock, settings policy.Settings, x *executorPeer, vaultAt string, hand func(*core.Core), change ...func(*executor.Link)) *house {
	var c *core.Core
	link := executor.New(x.ln.Addr().String(), zerolog.Nop(), func(cold, another bool) {
		if another {
			c.RunnerReplaced(cold)
		}
		c.RunnerStarted(cold)
	})
	link.ReadTimeout = time.Hour // the script answers only when a test makes it
	for _, c := range change {
		c(link)
	}
	calls := vault.New(vaultAt, clk)
	h := buildBy(t, clk, settings, link, calls, config.UWSGI{}, func(made *core.Core) {
		c = made
		hand(c)
	})
	h.link, h.vault = link, calls
	go link.Run(t.Context())
	return h
}

// serving builds a server whose executor is up and whose vault is down.
func serving(t *testing.T) (*executorPeer, *house) {
	t.Helper()
	x := newExecutor(t)
	h := withExecutor(t, x, "127.0.0.1:1")
	x.welcome(0)
	x.pass()
	return x, h
}

type command struct {
	words []string
	body  []byte
}

// executorPeer is a fake executor; the test reads the commands that it receives and sends notices.
type executorPeer struct {
	t    *testing.T
	ln   net.Listener
	cmds chan command
	mu   sync.Mutex
	conn net.Conn
	n    int
	born time.Time
	mute bool // METER commands get no answer, except that of the barrier
}

func newExecutor(t *testing.T) *executorPeer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	x := &executorPeer{t: t, ln: ln, cmds: make(chan command, 1000), born: time.Now()}
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
			go x.read(bufio.NewReader(conn))
		}
	}()
	return x
}

func (x *executorPeer) read(r *bufio.Reader) {
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
		x.cmds <- c
	}
}

// next returns the next command and answers requests for gauges itself, except that of the barrier.
func (x *executorPeer) next() command {
	x.t.Helper()
	late := time.After(patience)
	for {
		select {
		case c := <-x.cmds:
			if c.words[0] == "METER" && !strings.HasPrefix(c.words[1], "f") {
				if x.mute {
					continue
				}
				x.say("METERS %s 0.1 0 0.1 1", c.words[1])
				continue
			}
			return c
		case <-late:
			x.t.Fatal("no command arrived")
		}
	}
}

func (x *executorPeer) want(words ...string) command {
	x.t.Helper()
	c := x.next()
	if got := strings.Join(c.words, " "); !strings.HasPrefix(got, strings.Join(words, " ")) {
		x.t.Fatalf("command %q, want %q", got, words)
	}
	return c
}

func (x *executorPeer) say(format string, a ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	fmt.Fprintf(x.conn, format+"\r\n", a...)
}

// notice sends the next numbered notice; its last word is the length of the body.
func (x *executorPeer) notice(kind, rest string, body string) {
	x.n++
	x.say("%s %d %s %d\r\n%s", kind, x.n, rest, len(body), body)
}

// welcome expects JOIN with the given notice number and answers it.
func (x *executorPeer) welcome(n int) {
	x.t.Helper()
	x.want("JOIN", strconv.Itoa(n))
	x.hail()
}

// hail sends WELCOME with the executor's age.
func (x *executorPeer) hail() { x.say("WELCOME steady %d", time.Since(x.born).Milliseconds()) }

// rejoin answers JOIN on a new connection and skips commands that were still in transit on the old one.
func (x *executorPeer) rejoin(n int) {
	x.t.Helper()
	for c := x.next(); c.words[0] != "JOIN"; c = x.next() {
	}
	x.hail()
}

// pass answers the METER that serves as barrier.
func (x *executorPeer) pass() {
	x.t.Helper()
	x.say("METERS %s 0.1 0 0.1 1", x.want("METER").words[1])
}

// routerPeer is a fake router with one connection.
type routerPeer struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (h *house) router() *routerPeer {
	conn, err := net.Dial("tcp", h.resp.Addr().String())
	must(h.t, err)
	h.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return &routerPeer{h.t, conn, bufio.NewReader(conn)}
}

func (p *routerPeer) send(words ...string) {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	p.conn.Write(b)
}

// req sends a request that arrived at the present time.
func (p *routerPeer) req(tag, id int, class, more, body string) {
	p.send("REQ", strconv.Itoa(tag), class, fmt.Sprintf("id=%016x,at=%d,from=4,kb=10,rank=0.5%s", id, time.Now().UnixMilli(), more), body)
}

// answer reads one array of bulk strings.
func (p *routerPeer) answer() []string {
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

func (p *routerPeer) want(words ...string) {
	p.t.Helper()
	got := p.answer()
	for i, w := range words {
		if i >= len(got) || got[i] != w {
			p.t.Fatalf("answer %q, want %q", got, words)
		}
	}
}

// newVault starts a fake vault and returns its address.
func newVault(t *testing.T, do http.HandlerFunc) string {
	s := httptest.NewServer(do)
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://")
}

// cut closes the executor's connection.
func (x *executorPeer) cut() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn.Close()
}

// obey runs all requests until the test ends, and counts the starts of each id.
func (x *executorPeer) obey() (starts func() map[string]int) {
	var mu sync.Mutex
	count := map[string]int{}
	go func() {
		for c := range x.cmds {
			switch c.words[0] {
			case "METER":
				x.say("METERS %s 0.1 0 0.1 1", c.words[1])
			case "EXEC":
				mu.Lock()
				count[c.words[1]]++
				mu.Unlock()
				x.notice("EXIT", c.words[1]+" success 1", "for "+string(c.body))
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

// gateway connects to the uwsgi front, sends bytes, and closes its side for writing if end is set.
func (h *house) gateway(b string, end bool) *gatewayPeer {
	conn, err := net.Dial("tcp", h.uw.Addr().String())
	must(h.t, err)
	h.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, b)
	if end {
		conn.(*net.TCPConn).CloseWrite()
	}
	return &gatewayPeer{h.t, conn}
}

// gatewayPeer is a fake gateway with one connection.
type gatewayPeer struct {
	t    *testing.T
	conn net.Conn
}

// answers reads up to the end of the connection, which has to contain exactly one response.
func (g *gatewayPeer) answers() (status int, head http.Header, body string) {
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

// uwsgiServer starts a uwsgi server that answers each request with do, and returns its address.
func uwsgiServer(t *testing.T, do func(conn net.Conn, vars map[string]string, body string)) string {
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
				head := make([]byte, 4)
				if _, err := io.ReadFull(conn, head); err != nil {
					return
				}
				block := make([]byte, int(head[1])|int(head[2])<<8)
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

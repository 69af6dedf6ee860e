package net_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/net/executor"
	"puffinsaddle/internal/net/vault"
	"puffinsaddle/policy"
)

// binaryBody contains RESP syntax and bytes that are not valid text. It must be passed on unchanged.
const binaryBody = "any \x00\r\n$5\xff bytes"

// id returns the request ID with a given number.
func id(n int) string { return fmt.Sprintf("%016x", n) }

// The normal case: a health check before the executor is up, answers in any order, bodies passed byte for byte, and a
// downstream call.
func TestAnswersInAnyOrderWithDownstreamCall(t *testing.T) {
	vaultAddress := startVault(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s/%s", r.Header.Get("X-Ticket"), b)
	})
	x := newExecutor(t)
	h := newServerWithExecutor(t, x, vaultAddress)
	p := h.router()
	p.send("HEALTH", "1", "deep=1")
	p.want("1", "healthy")
	x.acceptJoin(0)
	x.answerBarrier()
	p.sendRequest(2, 2, "book-delivery", "", binaryBody)
	if c := x.want("EXEC", id(2), "book-delivery"); string(c.body) != binaryBody {
		t.Errorf("the executor got %q", c.body)
	}
	p.sendRequest(3, 3, "tank-level", "", "")
	x.want("EXEC", id(3), "tank-level", "0")
	x.sendNotice("CALLOUT", id(3), "q"+binaryBody)
	if c := x.want("RETURN", id(3)); string(c.body) != id(3)+"/q"+binaryBody {
		t.Errorf("the run got %q", c.body)
	}
	x.sendNotice("EXIT", id(3)+" success 12.5", "r"+binaryBody)
	p.want("3", "done", "", "r"+binaryBody)
	x.sendNotice("EXIT", id(2)+" failure 1", "")
	p.want("2", "error")
	p.sendRequest(4, 4, "no-such-class", "", "")
	p.want("4", "later")
}

// The executor's connection breaks. Commands without a notice are sent again, but only once the barrier shows that they did
// not arrive, and a notice that arrives twice counts once.
func TestUndeliveredCommandsAreResentAfterBarrier(t *testing.T) {
	x, h := newReadyServer(t)
	p := h.router()
	p.sendRequest(1, 1, "book-delivery", "", "a")
	x.want("EXEC", id(1))
	p.sendRequest(2, 2, "book-delivery", "", "b")
	x.want("EXEC", id(2))
	p.sendRequest(3, 3, "book-delivery", "", "c")
	x.want("EXEC", id(3))
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	x.closeConn()
	x.acceptJoin(1)
	x.send("EXIT 1 %s success 1 1\r\nA", id(1))   // repeated
	x.sendNotice("EXIT", id(2)+" success 1", "B") // the run ended while there was no connection
	p.want("2", "done", "", "B")
	x.answerBarrier()
	if c := x.want("EXEC", id(3)); string(c.body) != "c" {
		t.Errorf("sent again with body %q", c.body)
	}
	x.sendNotice("EXIT", id(3)+" success 1", "C")
	p.want("3", "done", "", "C")
}

// The executor's machine fails without closing the connection. The server reconnects after the read timeout, and sends
// commands without a notice again.
func TestSilentExecutorConnectionIsReplaced(t *testing.T) {
	x := newExecutor(t)
	h := newServerWithExecutor(t, x, "127.0.0.1:1", func(l *executor.Link) { l.ReadTimeout = 2 * time.Second })
	x.acceptJoin(0)
	x.answerBarrier()
	p := h.router()
	p.sendRequest(1, 1, "book-delivery", "", "a")
	x.want("EXEC", id(1))
	timeout := time.After(testTimeout)
	for joined := false; !joined; { // the test answers nothing on this connection any more
		select {
		case c := <-x.commands:
			joined = c.words[0] == "JOIN"
		case <-timeout:
			t.Fatal("the silent connection was not replaced")
		}
	}
	x.sendWelcome()
	x.answerBarrier()
	x.want("EXEC", id(1))
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
}

// The deadline passes during a run. The answer does not wait for the end of the run, and that end causes no second answer.
func TestOverdueRequestIsAnsweredBeforeRunEnds(t *testing.T) {
	x, h := newReadyServer(t)
	p := h.router()
	p.sendRequest(1, 1, "book-delivery", ",wait=1000", "a")
	x.want("EXEC", id(1))
	p.want("1", "error")
	x.sendNotice("EXIT", id(1)+" interrupted 1005", "")
	p.sendRequest(2, 2, "book-delivery", "", "b")
	x.want("EXEC", id(2))
	x.sendNotice("EXIT", id(2)+" success 1", "B")
	p.want("2", "done", "", "B")
	p.sendRequest(3, 3, "book-delivery", fmt.Sprintf(",at=%d,wait=5", time.Now().UnixMilli()-1000), "late already")
	p.want("3", "later")
}

// A request with an id that was seen before is not run, whether the first attempt is still open or has ended.
func TestRepeatedRequestIDDoesNotRun(t *testing.T) {
	x, h := newReadyServer(t)
	p := h.router()
	p.sendRequest(1, 7, "book-delivery", "", "a")
	x.want("EXEC", id(7))
	p.sendRequest(2, 7, "book-delivery", "", "a")
	p.want("2", "error")
	x.sendNotice("EXIT", id(7)+" success 1", "A")
	p.want("1", "done", "", "A")
	p.sendRequest(3, 7, "book-delivery", "", "a")
	p.want("3", "error")
}

// Malformed input closes its own connection and no other. The reader of redcon panics on the second of these inputs and
// never returns from the third.
func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	x, h := newReadyServer(t)
	good := h.router()
	for _, bad := range []string{"*1\r\n$x\r\n", "*1\r\n$9223372036854775807\r\n+", "*9223372036854775807\r\n$1\r\n", "*-1\r\n", "*+2\r\n",
		"*2\r\n$4\r\nREQ\r\n$1\r\n1\r\n", "GET / HTTP/1.1\r\n", strings.Repeat("*", 100), "*2\r\n$3\r\nREQ\r\n$1\r\n0\r\n",
		"*2\r\n$4\r\nWHAT\r\n$1\r\n1\r\n", "*3\r\n$3\r\nREQ\r\n$1\r\n1\r\n$1\r\nx\r\n", "*2\r\n$9999999\r\n" + strings.Repeat("x", 40<<10)} {
		p := h.router()
		p.conn.Write([]byte(bad))
		if n, err := io.Copy(io.Discard, p.r); n > 0 {
			t.Errorf("%.30q was answered with %d bytes, %v", bad, n, err)
		}
	}
	good.sendRequest(1, 1, "book-delivery", "", "a")
	x.want("EXEC", id(1))
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	good.want("1", "done", "", "A")
}

// A router that reads none of its answers is disconnected; others are served meanwhile.
func TestSlowReaderDoesNotDelayOthers(t *testing.T) {
	x, h := newReadyServer(t)
	slow, good := h.router(), h.router()
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		for i := 1; ; i++ { // ends when the server closes the connection
			if _, err := slow.conn.Write(bytes.Repeat([]byte("*2\r\n$6\r\nHEALTH\r\n$1\r\n5\r\n"), 500)); err != nil {
				if errors.Is(err, os.ErrDeadlineExceeded) {
					t.Error("the server did not close the slow reader's connection")
				}
				return
			}
		}
	}()
	good.sendRequest(1, 1, "book-delivery", "", "a")
	x.want("EXEC", id(1))
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	good.want("1", "done", "", "A")
	<-disconnected
}

// A caller aborts its request during a downstream call. The call is cancelled by closing its connection.
func TestAbortCancelsDownstreamCall(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	vaultAddress := startVault(t, func(w http.ResponseWriter, r *http.Request) {
		io.ReadAll(r.Body)
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	x := newExecutor(t)
	h := newServerWithExecutor(t, x, vaultAddress)
	x.acceptJoin(0)
	x.answerBarrier()
	p := h.router()
	p.sendRequest(1, 1, "tank-level", "", "a")
	x.want("EXEC", id(1))
	x.sendNotice("CALLOUT", id(1), "q")
	<-begun
	p.send("ABORT", "1")
	<-ended
	x.sendNotice("EXIT", id(1)+" interrupted 5", "")
	p.sendRequest(2, 2, "book-delivery", "", "b")
	x.want("EXEC", id(2))
}

// Each reply or failure of the vault must give the matching outcome of the call.
func TestVaultOutcomes(t *testing.T) {
	reply := func(status int, unseen string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if unseen != "" {
				w.Header().Set("X-Refused-Unseen", unseen)
			}
			w.WriteHeader(status)
			io.WriteString(w, "body")
		}
	}
	hang := func(w http.ResponseWriter, r *http.Request) { io.ReadAll(r.Body); <-r.Context().Done() }
	broken := func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }
	for _, c := range []struct {
		name   string
		do     http.HandlerFunc
		maxMs  float64
		want   policy.Outcome
		result string
	}{
		{"ok", reply(200, ""), 1e6, policy.OK, "body"}, {"full", reply(503, "1"), 1e6, policy.Full, ""},
		{"503 that may have run", reply(503, ""), 1e6, policy.Failed, ""}, {"moot", reply(409, "1"), 1e6, policy.NotRun, ""},
		{"failed", reply(500, ""), 1e6, policy.Failed, ""}, {"overdue", reply(504, ""), 1e6, policy.TimedOut, ""},
		{"own timeout", hang, 20, policy.TimedOut, ""}, {"broken", broken, 1e6, policy.InvalidReply, ""},
	} {
		got, body := vault.New(startVault(t, c.do), clock.System()).Call(t.Context(), id(1), c.maxMs, []byte("x"))
		if got != c.want || string(body) != c.result {
			t.Errorf("%s: %v %q, want %v %q", c.name, got, body, c.want, c.result)
		}
	}
	if got, _ := vault.New("127.0.0.1:1", clock.System()).Call(context.Background(), id(1), 1e6, nil); got != policy.Unreachable {
		t.Errorf("refused: %v", got)
	}
}

// A vault sends further bytes before, after or in place of its reply. Interim responses and bytes after the reply affect neither
// this call nor the next one. A reply that may be incomplete is invalid, which is detected at once if the header shows it.
func TestInvalidVaultReplies(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for _, c := range []struct {
		name, bytes string
		end         bool // the vault closes the connection; else it stays open
		want        policy.Outcome
	}{
		{"plain", good, false, policy.OK},
		{"1xx responses first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good, false, policy.OK},
		{"a second reply after the first", good + strings.Replace(good, "body", "evil", 1), false, policy.OK},
		{"garbage after the reply", good + "\x00\xff\x17noise", false, policy.OK},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, policy.OK},
		{"garbage", "\x00\xff\x17noise\r\n\r\n", false, policy.InvalidReply},
		{"endless 1xx responses", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), false, policy.InvalidReply},
		{"endless header", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Y: z\r\n", 20000), false, policy.InvalidReply},
		{"truncated header", "HTTP/1.1 200 OK\r\nConte", true, policy.InvalidReply},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nbody", false, policy.InvalidReply},
		{"a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody", false, policy.InvalidReply},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nbody", false, policy.InvalidReply},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", true, policy.InvalidReply},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\nbody", true, policy.InvalidReply},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must(t, err)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						io.WriteString(conn, c.bytes)
					}
					if !c.end {
						io.Copy(io.Discard, conn) // until the client closes it
					}
					conn.Close()
				}()
			}
		}()
		client := vault.New(ln.Addr().String(), clock.System())
		for range 2 {
			got, body := client.Call(t.Context(), id(1), 1e6, []byte("x"))
			if got != c.want || got == policy.OK && string(body) != "body" {
				t.Errorf("%s: %v %q, want %v", c.name, got, body, c.want)
			}
		}
		ln.Close()
	}
}

// The addresses of executor and vault change during a downstream call. The run continues at the new addresses, and a deep
// check that the reconnection interrupted is sent again.
func TestExecutorAndVaultAddressChangeDuringCall(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	oldVault := startVault(t, func(w http.ResponseWriter, r *http.Request) {
		io.ReadAll(r.Body)
		close(begun)
		<-release
		io.WriteString(w, "from the old vault")
	})
	x := newExecutor(t)
	h := newServerWithExecutor(t, x, oldVault)
	x.acceptJoin(0)
	x.answerBarrier()
	p := h.router()
	p.sendRequest(1, 1, "tank-level", "", "a")
	x.want("EXEC", id(1))
	x.sendNotice("CALLOUT", id(1), "q")
	<-begun
	checked := make(chan bool, 1)
	if !h.link.Diagnose(func(healthy bool) { checked <- healthy }) {
		t.Fatal("the check was not started")
	}
	x.want("DIAG")
	y := newExecutor(t)
	y.lastNotice = x.lastNotice
	h.link.SetAddress(y.ln.Addr().String())
	h.vault.SetAddress(startVault(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "from the new") }))
	y.acceptJoin(1)
	y.answerBarrier()
	y.send("DIAGNOSED %s success", y.want("DIAG").words[1])
	if !<-checked {
		t.Error("the reconnection was reported as unhealthy")
	}
	close(release)
	if c := y.want("RETURN", id(1)); string(c.body) != "from the old vault" {
		t.Errorf("the run got %q", c.body)
	}
	y.sendNotice("CALLOUT", id(1), "q")
	if c := y.want("RETURN", id(1)); string(c.body) != "from the new" {
		t.Errorf("the run got %q", c.body)
	}
	y.sendNotice("EXIT", id(1)+" success 12", "A")
	p.want("1", "done", "", "A")
}

// Requests with invalid values are answered with an error at once and reach neither the module nor the executor. The
// connection stays open, but is closed if the invalid requests continue.
func TestInvalidRequestValuesAreRejected(t *testing.T) {
	x, h := newReadyServer(t)
	now := time.Now().UnixMilli()
	good := fmt.Sprintf("id=%016x,at=%d,from=4,kb=10,rank=0.5", 99, now)
	for _, c := range []struct{ old, new string }{
		{"kb=10", "kb=NaN"}, {"kb=10", "kb=-1"}, {"kb=10", "kb=0"}, {"kb=10", "kb=2000"}, {",kb=10", ""}, {"kb=10", "kb=+Inf"},
		{"rank=0.5", "rank=1"}, {"rank=0.5", "rank=-0.1"}, {",rank=0.5", ""}, {"from=4", "from=1e300"}, {"from=4", "from=-4"},
		{",from=4", ""}, {"rank=0.5", "rank=0.5,wait=0"}, {"rank=0.5", "rank=0.5,wait=1e12"}, {"rank=0.5", "rank=0.5,wait=nan"},
		{fmt.Sprint(now), "1"}, {fmt.Sprint(now), "1e18"}, {fmt.Sprintf("at=%d,", now), ""}, {"id=", "it="}, {"id=0", "id="},
		{"id=0", "id=x"}, {"rank", "=,rank"},
	} {
		p := h.router()
		p.send("REQ", "1", "tank-level", strings.Replace(good, c.old, c.new, 1), "")
		p.want("1", "error")
	}
	p := h.router()
	for i := 1; i <= 8; i++ {
		p.send("REQ", strconv.Itoa(i), "tank-level", "id=none", "")
		p.want(strconv.Itoa(i), "error")
	}
	p.send("REQ", "9", "tank-level", "id=none", "")
	if n, err := io.Copy(io.Discard, p.r); n > 0 || err != nil {
		t.Errorf("the ninth invalid request was answered with %d bytes, %v", n, err)
	}
	p = h.router()
	p.sendRequest(1, 1, "book-delivery", "", "a")
	x.want("EXEC", id(1)) // the first command: none of the requests before it was started
}

// Connections without a command, with a partial command, or idle after one are closed. When the table is full, a new
// connection replaces the one that was silent for longest, never one that waits for an answer.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	x, h := newReadyServer(t) // the table holds 64 connections
	busy := h.router()
	busy.sendRequest(1, 1, "book-delivery", "", "a")
	x.want("EXEC", id(1))
	var silent []*fakeRouter
	for range 64 {
		silent = append(silent, h.router())
	}
	last := h.router()
	last.sendRequest(1, 2, "book-delivery", "", "b")
	x.want("EXEC", id(2))
	for _, p := range silent { // some replaced by others, the rest timed out
		if n, err := io.Copy(io.Discard, p.r); n > 0 || err != nil {
			t.Fatalf("a silent connection got %d bytes, %v", n, err)
		}
	}
	partial := h.router()
	partial.send("HEALTH", "1")
	partial.want("1", "healthy")
	io.WriteString(partial.conn, "*3\r\n$3\r\nREQ\r\n")
	if n, err := io.Copy(io.Discard, partial.r); n > 0 || err != nil {
		t.Errorf("a partial command got %d bytes, %v", n, err)
	}
	for i, p := range []*fakeRouter{busy, last} {
		x.sendNotice("EXIT", id(1+i)+" success 1", "A")
		p.want("1", "done", "", "A")
		p.want("0", "closing") // the closing message comes once, and the connection stays open for a time
		if n, err := io.Copy(io.Discard, p.r); n > 0 || err != nil {
			t.Errorf("an idle connection got %d bytes, %v", n, err)
		}
	}
}

package net_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/handover"
)

// keyedProcess is one process of a server, which another one replaces. It has a class of keyed requests.
type keyedProcess struct {
	*testServer
	x   *fakeExecutor
	clk *clock.Clock
}

func newKeyedProcess(t *testing.T, clk *clock.Clock) *keyedProcess {
	t.Helper()
	x, h := newKeyedServerOnClock(t, clk, nil)
	return &keyedProcess{h, x, clk}
}

// notifyingPredecessor is a Predecessor that also tells the test when a successor has ended.
type notifyingPredecessor struct {
	handover.Predecessor
	successorEnded chan struct{}
}

func (n notifyingPredecessor) SuccessorEnded(successor *handover.Link) {
	n.Predecessor.SuccessorEnded(successor)
	close(n.successorEnded)
}

// connect offers a socket to successors as a running process does, and connects to it as its successor. After the end of that
// connection, successorEnded is closed.
func (p *keyedProcess) connect() (predecessor net.Conn, successorEnded <-chan struct{}) {
	p.t.Helper()
	path := filepath.Join(p.t.TempDir(), "n1.handover")
	socket := newExecutor(p.t).ln.(*net.TCPListener)
	ended := make(chan struct{})
	offer, err := handover.New(path, map[string]*net.TCPListener{"there": socket},
		notifyingPredecessor{handover.KeyedAttempts(p.core, zerolog.Nop()), ended}, zerolog.Nop())
	must(p.t, err)
	p.t.Cleanup(offer.Close)
	sockets, predecessor, err := handover.Take(path)
	if must(p.t, err); len(sockets) != 1 {
		p.t.Fatalf("%d sockets", len(sockets))
	}
	sockets["there"].Close()
	p.t.Cleanup(func() { predecessor.Close() })
	return predecessor, ended
}

// startSuccessor starts a process that serves beside this one. To both, endLink has the effect of the other's end.
func (p *keyedProcess) startSuccessor() (successor *keyedProcess, endLink func() error) {
	p.t.Helper()
	predecessor, _ := p.connect()
	successor = newKeyedProcess(p.t, p.clk)
	handover.ImportKeyedAttempts(successor.core, predecessor, zerolog.Nop())
	return successor, predecessor.Close
}

// run sends a payment and expects that it runs.
func (p *keyedProcess) run(router *fakeRouter, tag, n int, idempotencyKey string) {
	p.t.Helper()
	router.sendPayment(tag, n, p.clk.Now(), idempotencyKey, "a")
	p.x.want("EXEC", id(n), "pay")
}

// succeed ends the run of a payment.
func (p *keyedProcess) succeed(n int, result string) {
	p.x.sendNotice("EXIT", id(n)+" success 1", result)
}

// shareResult sends a further attempt of a payment that has succeeded, here or in the other process. Once it has its answer, this
// process knows the result.
func (p *keyedProcess) shareResult(router *fakeRouter, tag, n int, idempotencyKey, result string) {
	p.t.Helper()
	router.sendPayment(tag, n, p.clk.Now(), idempotencyKey, "a")
	router.want(fmt.Sprint(tag), "done", "", result)
}

// sendWaiting sends a payment that has to wait for the attempt of another process.
func (p *keyedProcess) sendWaiting(router *fakeRouter, tag, n int, idempotencyKey string) {
	p.t.Helper()
	router.sendPayment(tag, n, p.clk.Now(), idempotencyKey, "a")
	router.checkNoOtherRun(p.x, 1000+tag, 1000+n, p.clk.Now())
}

// learnStarts waits until this process knows all attempts that its successor has started so far: they come before the permission of
// a payment that it runs itself.
func (p *keyedProcess) learnStarts(router *fakeRouter, tag, n int) {
	p.t.Helper()
	p.run(router, tag, n, fmt.Sprintf("c%d", n))
}

// A router's attempt reaches the new process and its next one the replaced process, over either front: it is not refused, does
// not run there, and gets the result of the first. The same holds in the other direction. Guards against a replaced process
// that refuses what its successor has run.
func TestReplacedProcessSharesAttemptsOfSuccessor(t *testing.T) {
	old := newKeyedProcess(t, clock.Manual(startMS))
	next, _ := old.startSuccessor()
	p, q := old.router(), next.router()
	next.run(q, 1, 1, "aa")
	old.sendWaiting(p, 1, 2, "aa")
	g := old.gateway(packet("a", "ORDER_CLASS", "pay", "ORDER_ONCE", "aa", "ORDER_AT", fmt.Sprintf("%.0f", startMS)), false)
	next.succeed(1, binaryBody)
	q.want("1", "done", "", binaryBody)
	p.want("1", "done", "", binaryBody)
	if status, _, body := g.readResponse(); status != 200 || body != binaryBody {
		t.Errorf("the gateway got %d %q", status, body)
	}
	p.sendPayment(2, 3, startMS, "aa", "a")
	p.want("2", "done", "", binaryBody)
	p.sendPayment(3, 4, startMS, "aa", "another body")
	p.want("3", "error")

	old.run(p, 4, 5, "bb")
	next.sendWaiting(q, 2, 6, "bb")
	old.succeed(5, "B")
	p.want("4", "done", "", "B")
	q.want("2", "done", "", "B")
	q.sendPayment(3, 7, startMS, "bb", "a")
	q.want("3", "done", "", "B")
}

// A successor takes over while payments run and have ended. It does not run them again, and answers their further attempts with
// their results, as soon as these are known. Guards against a successor that knows none of the attempts.
func TestSuccessorImportsKeyedAttempts(t *testing.T) {
	old := newKeyedProcess(t, clock.Manual(startMS))
	p := old.router()
	old.run(p, 1, 1, "aa")
	old.succeed(1, binaryBody)
	p.want("1", "done", "", binaryBody)
	old.run(p, 2, 2, "bb")
	predecessor, _ := old.connect()
	old.run(p, 3, 3, "cc") // the successor does not serve yet
	next := newKeyedProcess(t, old.clk)
	handover.ImportKeyedAttempts(next.core, predecessor, zerolog.Nop())
	q := next.router()
	q.sendPayment(1, 11, startMS, "aa", "a")
	q.want("1", "done", "", binaryBody)
	q.sendPayment(2, 12, startMS, "aa", "another body")
	q.want("2", "error")
	next.sendWaiting(q, 3, 13, "bb")
	next.sendWaiting(q, 4, 14, "cc")
	old.succeed(2, "B")
	p.want("2", "done", "", "B")
	q.want("3", "done", "", "B")
	old.x.sendNotice("EXIT", id(3)+" failure 1", "")
	p.want("3", "error")
	q.want("4", "error")
	next.run(q, 5, 15, "dd")
}

// The new process ends while the old one still runs, which then decides alone. It knows what the new one has started: a request
// without a result fails, and does not run again. All others run at once.
func TestSuccessorEndsBesidePredecessor(t *testing.T) {
	old := newKeyedProcess(t, clock.Manual(startMS))
	next, endLink := old.startSuccessor()
	p, q := old.router(), next.router()
	next.run(q, 1, 1, "aa")
	next.succeed(1, "A")
	q.want("1", "done", "", "A")
	old.shareResult(p, 5, 9, "aa", "A")
	next.run(q, 2, 2, "bb")
	old.sendWaiting(p, 1, 3, "bb")
	must(t, endLink())
	p.want("1", "error")
	p.sendPayment(2, 4, startMS, "aa", "a")
	p.want("2", "done", "", "A")
	p.sendPayment(3, 5, startMS, "bb", "a")
	p.want("3", "error")
	old.run(p, 4, 6, "cc")
	old.succeed(6, "C")
	p.want("4", "done", "", "C")
}

// The replaced process ends with a payment that runs: its outcome stays unknown to the new process, which fails further attempts
// and does not run them. What has ended is shared, and all else runs.
func TestPredecessorEndsWithRunningAttempt(t *testing.T) {
	old := newKeyedProcess(t, clock.Manual(startMS))
	next, endLink := old.startSuccessor()
	p, q := old.router(), next.router()
	old.run(p, 1, 1, "aa")
	old.succeed(1, "A")
	p.want("1", "done", "", "A")
	next.shareResult(q, 5, 9, "aa", "A")
	old.run(p, 2, 2, "bb")
	next.sendWaiting(q, 1, 3, "bb")
	must(t, endLink())
	q.want("1", "error")
	q.sendPayment(2, 4, startMS, "bb", "a")
	q.want("2", "error")
	q.sendPayment(3, 5, startMS, "aa", "a")
	q.want("3", "done", "", "A")
	next.run(q, 4, 6, "cc")
}

// Three processes run beside each other, each replaced by the next: all know what any of them has started.
func TestThreeProcessesInARowShareAttempts(t *testing.T) {
	first := newKeyedProcess(t, clock.Manual(startMS))
	second, endFirstLink := first.startSuccessor()
	p, q := first.router(), second.router()
	first.run(p, 1, 1, "aa")
	second.run(q, 1, 2, "bb")
	third, _ := second.startSuccessor()
	r := third.router()
	third.run(r, 1, 3, "cc")
	first.run(p, 2, 4, "dd")
	second.run(q, 2, 5, "ee")
	first.sendWaiting(p, 3, 6, "cc")
	first.sendWaiting(p, 4, 7, "ee")
	second.sendWaiting(q, 3, 8, "dd")
	third.sendWaiting(r, 2, 9, "aa")
	third.sendWaiting(r, 3, 10, "dd")
	third.sendWaiting(r, 4, 11, "ee")
	third.succeed(3, "C")
	r.want("1", "done", "", "C")
	p.want("3", "done", "", "C")
	second.succeed(5, "E")
	q.want("2", "done", "", "E")
	p.want("4", "done", "", "E")
	r.want("4", "done", "", "E")
	first.succeed(1, "A")
	p.want("1", "done", "", "A")
	r.want("2", "done", "", "A")
	must(t, endFirstLink()) // its attempt of dd has no known outcome any more
	q.want("3", "error")
	r.want("3", "error")
	third.sendWaiting(r, 5, 12, "bb")
	second.succeed(2, "B")
	r.want("5", "done", "", "B")
}

// An attempt that was permitted and then did not run after all, since the executor never started it: attempts that wait for it
// elsewhere are refused, and the next one runs.
func TestAttemptThatDidNotRunIsReleased(t *testing.T) {
	old := newKeyedProcess(t, clock.Manual(startMS))
	next, _ := old.startSuccessor()
	p, q := old.router(), next.router()
	for i, end := range []struct{ starts, waits *keyedProcess }{{old, next}, {next, old}} {
		sender, waiting := p, q
		if end.starts == next {
			sender, waiting = q, p
		}
		key := fmt.Sprintf("a%d", i)
		end.starts.run(sender, 10+i, 10+i, key)
		old.learnStarts(p, 40+i, 40+i)
		end.waits.sendWaiting(waiting, 20+i, 20+i, key)
		end.starts.x.sendNotice("EXIT", id(10+i)+" nothing 0", "")
		sender.want(fmt.Sprint(10+i), "error")
		waiting.want(fmt.Sprint(20+i), "later")
		end.waits.run(waiting, 30+i, 30+i, key)
		end.waits.succeed(30+i, "A")
		waiting.want(fmt.Sprint(30+i), "done", "", "A")
	}
}

// A successor of an earlier build takes no claims: this process starts no keyed request from the handover until that build has
// ended and the window of its attempts has passed. It does answer with the results that it has.
func TestSuccessorOfEarlierBuild(t *testing.T) {
	old := newKeyedProcess(t, clock.Manual(startMS))
	p := old.router()
	old.run(p, 1, 1, "aa")
	old.succeed(1, "A")
	p.want("1", "done", "", "A")
	old.run(p, 2, 2, "bb")
	successor, successorEnded := old.connect()
	successor.Write([]byte{2}) // its format version
	header := make([]byte, 9)
	if _, err := io.ReadFull(successor, header); err != nil || header[0] != 3 {
		t.Fatalf("header %v, %v", header, err)
	}
	state := make([]byte, binary.BigEndian.Uint64(header[1:]))
	_, err := io.ReadFull(successor, state)
	must(t, err)
	var attempts []core.KeyedAttempt
	if err := json.Unmarshal(state, &attempts); err != nil || len(attempts) != 2 {
		t.Fatalf("state %s, %v", state, err)
	}
	p.sendPayment(3, 3, startMS, "cc", "a")
	p.want("3", "later")
	p.sendRequest(10, 10, "pay", fmt.Sprintf(",at=%.0f,retry=1,once=ee", startMS), "a")
	p.want("10", "error") // the successor may have run an earlier attempt
	p.checkNoOtherRun(old.x, 9, 90, startMS)
	p.sendPayment(4, 4, startMS, "aa", "a")
	p.want("4", "done", "", "A")
	old.succeed(2, "B")
	p.want("2", "done", "", "B")
	successor.Close()
	<-successorEnded
	p.sendPayment(5, 5, startMS, "dd", "a")
	p.want("5", "later")
	p.sendRequest(6, 6, "pay", fmt.Sprintf(",at=%.0f,retry=1,once=dd", startMS), "a")
	p.want("6", "error")
	old.clk.Set(startMS + keyWindowMS + 101)
	p = old.router() // the other connection was idle for too long
	old.run(p, 7, 7, "dd")
}

// A request with an effect comes to one process, and its router leaves while the run goes on, or after its end. Then the same request
// comes to the other process, in either direction: it does not run again. Guards against an effect that each of the two processes of a
// replacement records for itself.
func TestRequestComesAgainAtOtherProcess(t *testing.T) {
	clk := clock.Manual(startMS)
	old := newKeyedProcess(t, clk)
	book := func(p *keyedProcess, n int) *fakeRouter {
		router := p.router()
		router.sendRequest(1, n, "book-delivery", fmt.Sprintf(",at=%.0f", startMS), "a")
		p.x.want("EXEC", id(n))
		return router
	}
	wantFailed := func(p *keyedProcess, n int) {
		t.Helper()
		router := p.router()
		router.sendRequest(1, n, "book-delivery", fmt.Sprintf(",at=%.0f", startMS), "a")
		router.want("1", "error")
		router.checkNoOtherRun(p.x, 2, 1000+n, startMS)
	}
	book(old, 1).conn.Close() // before the successor joins
	next, _ := old.startSuccessor()
	for i, pair := range []struct{ first, second *keyedProcess }{{old, next}, {next, old}} {
		running, ended := 10+2*i, 11+2*i
		book(pair.first, running).conn.Close()
		router := book(pair.first, ended)
		pair.first.succeed(ended, "A")
		router.want("1", "done", "", "A")
		router.conn.Close()
		old.learnStarts(old.router(), 1, 50+i) // both directions: the other process answers a claim after all earlier messages
		wantFailed(pair.second, running)
		wantFailed(pair.second, ended)
	}
	wantFailed(next, 1)
}

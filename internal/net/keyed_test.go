package net_test

import (
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/handover"
	"puffinsaddle/policy"
)

const (
	start  = 1.7e12  // initial time of the tests' clock, in Unix milliseconds
	window = 30000.0 // interval in which another attempt of a payment may arrive, in milliseconds
)

// keyed builds a server with a class of keyed requests, on a clock that the test sets.
func keyed(t *testing.T, change func(*policy.Settings)) (*executorPeer, *house, *clock.Clock) {
	t.Helper()
	set := settings
	set.Classes = append(slices.Clone(set.Classes), policy.Class{Name: "pay", Aim: 6 * time.Second, Deadline: 8 * time.Second,
		Worth: 4, LateValue: 1, Safety: policy.Keyed, KeyTTL: window * time.Millisecond})
	if change != nil {
		change(&set)
	}
	x, clk := newExecutor(t), clock.Manual(start)
	h := withExecutorBy(t, clk, set, x, "127.0.0.1:1")
	x.welcome(0)
	x.pass()
	return x, h, clk
}

// pay sends an attempt of a payment that arrived at a given time.
func (p *routerPeer) pay(tag, id int, at float64, once, body string) {
	p.req(tag, id, "pay", fmt.Sprintf(",at=%.0f,once=%s", at, once), body)
}

// unrun sends a further request and expects its run as the next command, so that none of the requests before it was started.
func (p *routerPeer) unrun(x *executorPeer, tag, id int, at float64) {
	p.t.Helper()
	p.req(tag, id, "book-delivery", fmt.Sprintf(",at=%.0f", at), "last")
	x.want("EXEC", fmt.Sprintf("%016x", id))
	x.notice("EXIT", fmt.Sprintf("%016x", id)+" success 1", "L")
	p.want(fmt.Sprint(tag), "done", "", "L")
}

// A client's second attempt arrives on another connection while the first runs, and more arrive after its end. All of them
// get the result of the first byte for byte, and none runs up to the last instant of the window. Guards against fronts
// that ignore the idempotency key, with which every attempt ran.
func TestTriesOfOnePaymentRunOnce(t *testing.T) {
	x, h, clk := keyed(t, nil)
	p, other := h.router(), h.router()
	p.pay(1, 1, start, "ab12", "a")
	x.want("EXEC", id(1), "pay")
	other.pay(1, 2, start, "ab12", "a")
	other.unrun(x, 9, 90, start)
	x.notice("EXIT", id(1)+" success 1", odd)
	p.want("1", "done", "", odd)
	other.want("1", "done", "", odd)
	for i, at := range []float64{start, start + 15000, start + window} {
		clk.Set(at)
		other = h.router() // the connection before was idle for too long
		other.pay(10+i, 10+i, at, "ab12", "a")
		other.want(fmt.Sprint(10+i), "done", "", odd)
	}
	// An attempt that reached the machine within the window and is read after it.
	clk.Set(start + window + 7000)
	other = h.router()
	other.pay(20, 20, start+window, "ab12", "a")
	other.want("20", "done", "", odd)
	other.pay(21, 21, start+window+1000, "ab12", "a")
	x.want("EXEC", id(21), "pay")
	x.notice("EXIT", id(21)+" success 1", "B")
	other.want("21", "done", "", "B")
	other.pay(22, 22, start+window+1000, "ab12", "a") // from now on the result of the later run counts
	other.want("22", "done", "", "B")
}

// The outcome of an attempt decides whether the next one runs. A refused attempt had no effect, so the next one runs. A
// failed one, or one whose caller went away, may have had its effect. One that the executor never started had none.
func TestTriesAfterOneThatDidNotServe(t *testing.T) {
	x, h, _ := keyed(t, nil)
	p := h.router()
	p.req(1, 1, "pay", fmt.Sprintf(",at=%.0f,wait=5,once=aa", start-1000.0), "a")
	p.want("1", "later")
	p.pay(2, 2, start, "aa", "a")
	x.want("EXEC", id(2))
	x.notice("EXIT", id(2)+" failure 1", "")
	p.want("2", "error")
	p.pay(3, 3, start, "aa", "a")
	p.want("3", "error")
	p.pay(4, 4, start, "bb", "a")
	x.want("EXEC", id(4))
	p.send("ABORT", "4")
	p.pay(5, 5, start, "bb", "a")
	p.unrun(x, 6, 6, start)
	x.notice("EXIT", id(4)+" success 1", "B")
	for range 2 { // the answer to the aborted attempt may be left out, but does no harm
		if a := p.answer(); a[1] != "done" || a[3] != "B" {
			t.Errorf("answered %q", a)
		}
	}
	p.pay(7, 7, start, "cc", "a")
	x.want("EXEC", id(7))
	x.notice("EXIT", id(7)+" nothing 0", "")
	p.want("7", "error")
	p.pay(8, 8, start, "cc", "a")
	x.want("EXEC", id(8))
}

// New settings and a drain keep the remembered attempts as they are.
func TestTiesOutliveSettingsAndDrain(t *testing.T) {
	x, h, _ := keyed(t, nil)
	p := h.router()
	p.pay(1, 1, start, "ab", "a")
	x.want("EXEC", id(1))
	set := settings
	set.Classes = []policy.Class{{Name: "pay", Aim: 6 * time.Second, Deadline: 8 * time.Second, Worth: 2, Safety: policy.Keyed, KeyTTL: time.Second},
		set.Classes[1]}
	h.core.Adopt(set)
	p.pay(2, 2, start, "ab", "a")
	h.core.Drain(start, start+9000)
	p.pay(3, 3, start, "ab", "a")
	p.unrun(x, 8, 8, start)
	x.notice("EXIT", id(1)+" success 1", "A")
	for range 3 {
		if a := p.answer(); a[1] != "done" || a[3] != "A" {
			t.Errorf("answered %q", a)
		}
	}
	p.pay(4, 4, start, "ab", "a")
	p.want("4", "done", "", "A")
}

// A key that is missing, malformed or used for another body gets an error and changes nothing; likewise a malformed cost or
// tenant.
func TestFalseKeysStayOutside(t *testing.T) {
	x, h, _ := keyed(t, nil)
	p := h.router()
	p.pay(1, 1, start, "ab", "a")
	x.want("EXEC", id(1))
	x.notice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	at := fmt.Sprintf(",at=%.0f", start)
	for i, more := range []string{"", ",once=", ",once=xyz", ",once=" + fmt.Sprintf("%065d", 1), ",once=ab,cost=x", ",once=ab,cost=0",
		",once=ab,cost=-1", ",once=ab,cost=1e9", ",once=ab,tenant=" + fmt.Sprintf("%0257d", 1)} {
		q := h.router()
		q.req(1, 10+i, "pay", at+more, "a")
		q.want("1", "error")
	}
	p.pay(2, 2, start, "ab", "another body")
	p.want("2", "error")
	p.unrun(x, 8, 8, start)
	p.pay(3, 3, start, "ab", "a")
	p.want("3", "done", "", "A")
}

// When the key table is full, a payment is refused and not started. Remembered attempts stay, and once they expire the table
// has space again.
func TestWhatCannotBeRememberedIsNotBegun(t *testing.T) {
	set := settings
	set.Classes = []policy.Class{{Name: "pay", Aim: 6 * time.Second, Deadline: 8 * time.Second, Worth: 4, Safety: policy.Keyed, KeyTTL: window * time.Millisecond},
		set.Classes[1]}
	x, clk := newExecutor(t), clock.Manual(start)
	h := withExecutorRoom(t, clk, set, x, 6000) // bytes: one running attempt, or two that ended
	x.welcome(0)
	x.pass()
	p := h.router()
	p.pay(1, 1, start, "aa", "a")
	x.want("EXEC", id(1))
	p.pay(2, 2, start, "bb", "a")
	p.want("2", "later")
	p.unrun(x, 8, 8, start)
	x.notice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	p.pay(30, 30, start, "aa", "a") // its answer shows that the end was recorded and its reserved memory freed
	p.want("30", "done", "", "A")
	p.pay(3, 3, start, "bb", "a")
	x.want("EXEC", id(3))
	p.pay(4, 4, start, "aa", "a")
	p.want("4", "done", "", "A")
	x.notice("EXIT", id(3)+" success 1", "B")
	p.want("3", "done", "", "B")
	clk.Set(start + window + 9000)
	p = h.router() // the other connection was idle for too long
	for i, once := range []string{"cc", "dd"} {
		p.pay(10+i, 10+i, start+window+9000, once, "a")
		x.want("EXEC", id(10+i))
		x.notice("EXIT", id(10+i)+" success 1", "C")
		p.want(fmt.Sprint(10+i), "done", "", "C")
		p.pay(40+i, 40+i, start+window+9000, once, "a")
		p.want(fmt.Sprint(40+i), "done", "", "C")
	}
}

// A successor takes over the sockets while payments run. Callers see the two processes as one server, so the successor must
// not run again what the predecessor ran or runs, and the predecessor must not start new keyed requests from then on.
// Guards against a successor that knows none of the attempts. After the successor ends, the predecessor has to wait for
// the window in which further attempts of the successor's requests may arrive.
func TestTiesGoToASuccessor(t *testing.T) {
	x, h, clk := keyed(t, nil)
	p := h.router()
	p.pay(1, 1, start, "aa", "a")
	x.want("EXEC", id(1))
	x.notice("EXIT", id(1)+" success 1", odd)
	p.want("1", "done", "", odd)
	p.pay(10, 10, start, "aa", "a") // its answer shows that the end was recorded
	p.want("10", "done", "", odd)
	p.pay(2, 2, start, "bb", "a")
	x.want("EXEC", id(2))

	path, ln := filepath.Join(t.TempDir(), "n1.handover"), newExecutor(t).ln.(*net.TCPListener)
	gone := make(chan struct{})
	_, err := handover.New(path, map[string]*net.TCPListener{"there": ln}, func() []byte {
		text, err := json.Marshal(h.core.ExportKeyedAttempts())
		must(t, err)
		return text
	}, func() { h.core.ResumeKeyedAttempts(); h.core.AfterPendingEvents(func() { close(gone) }) }, zerolog.Nop())
	must(t, err)
	sockets, tie, err := handover.Take(path)
	if must(t, err); len(sockets) != 1 {
		t.Fatalf("%d sockets", len(sockets))
	}
	sockets["there"].Close()
	p.pay(3, 3, start, "cc", "a") // the successor does not serve yet
	x.want("EXEC", id(3))
	text, told := handover.AnnounceServing(tie)
	var ties []core.KeyedAttempt
	if err := json.Unmarshal(text, &ties); err != nil || !told || len(ties) != 3 {
		t.Fatalf("complete %v: %s, %v", told, text, err)
	}

	x2 := newExecutor(t)
	set := settings
	set.Classes = append(slices.Clone(set.Classes), policy.Class{Name: "pay", Aim: 6 * time.Second, Deadline: 8 * time.Second,
		Worth: 4, LateValue: 1, Safety: policy.Keyed, KeyTTL: window * time.Millisecond})
	h2 := withExecutorBy(t, clk, set, x2, "127.0.0.1:1")
	x2.welcome(0)
	x2.pass()
	h2.core.ImportKeyedAttempts(ties)
	q := h2.router()
	q.pay(11, 11, start, "aa", "a")
	q.want("11", "done", "", odd)
	q.pay(12, 12, start, "aa", "another body")
	q.want("12", "error")
	for i, once := range []string{"bb", "cc"} { // the successor does not know their outcome
		q.pay(13+i, 13+i, start, once, "a")
		q.want(fmt.Sprint(13+i), "error")
	}
	q.pay(15, 15, start, "dd", "a")
	x2.want("EXEC", id(15)) // the first command: none of the requests before it was started

	p.pay(4, 4, start, "ee", "a")
	p.want("4", "later")
	p.unrun(x, 5, 5, start)
	p.pay(6, 6, start, "aa", "a")
	p.want("6", "done", "", odd)
	x.notice("EXIT", id(2)+" success 1", "B")
	p.want("2", "done", "", "B")
	p.pay(7, 7, start, "bb", "a")
	p.want("7", "done", "", "B")

	tie.Close()
	<-gone
	p.pay(8, 8, start, "dd", "a")
	p.want("8", "later")
	clk.Set(start + window + 101)
	p = h.router() // the other connection was idle for too long
	p.pay(9, 9, start+window+101, "dd", "a")
	x.want("EXEC", id(9))
}

// A predecessor that is an earlier build, which echoes the byte it receives, or that ends during the exchange has to be
// recognized as one that sent no state.
func TestWhoTellsNothingIsKnownForIt(t *testing.T) {
	for _, answer := range []string{"\x02", "\x02\x00\x00\x00\x00\x00\x00\x00\x00", "", "\x03\x00\x00", "\x03\xff\x00\x00\x00\x00\x00\x00\x00"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must(t, err)
		t.Cleanup(func() { ln.Close() })
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.Read(make([]byte, 1))
			conn.Write([]byte(answer))
			conn.Close()
		}()
		tie, err := net.Dial("tcp", ln.Addr().String())
		must(t, err)
		if text, told := handover.AnnounceServing(tie); told {
			t.Errorf("after %q: state %q was taken as complete", answer, text)
		}
		tie.Close()
	}
}

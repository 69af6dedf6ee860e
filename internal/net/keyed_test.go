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
	start  = 1.7e12  // where the clock of these stories stands at first
	window = 30000.0 // in which another try of a payment may come, in milliseconds
)

// keyed builds a house with a class whose tries are tied by a key, on a clock that the test sets.
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

// pay sends a try of a payment that came at a time.
func (p *routerPeer) pay(tag, id int, at float64, once, body string) {
	p.req(tag, id, "pay", fmt.Sprintf(",at=%.0f,once=%s", at, once), body)
}

// unrun sends a booking behind all else and waits for its run: whatever came before it was not started.
func (p *routerPeer) unrun(x *executorPeer, tag, id int, at float64) {
	p.t.Helper()
	p.req(tag, id, "book-delivery", fmt.Sprintf(",at=%.0f", at), "last")
	x.want("EXEC", fmt.Sprintf("%016x", id))
	x.notice("EXIT", fmt.Sprintf("%016x", id)+" success 1", "L")
	p.want(fmt.Sprint(tag), "done", "", "L")
}

// A client's second try comes while the first runs, over another connection, and more come after its end: all get the
// first one's result as it was made, and up to the window's last instant nothing runs again. Neither front read what
// ties the tries, so each of them ran.
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
		other = h.router() // the one before was idle for long
		other.pay(10+i, 10+i, at, "ab12", "a")
		other.want(fmt.Sprint(10+i), "done", "", odd)
	}
	// It reached the machine within the window and is read after it.
	clk.Set(start + window + 7000)
	other = h.router()
	other.pay(20, 20, start+window, "ab12", "a")
	other.want("20", "done", "", odd)
	other.pay(21, 21, start+window+1000, "ab12", "a")
	x.want("EXEC", id(21), "pay")
	x.notice("EXIT", id(21)+" success 1", "B")
	other.want("21", "done", "", "B")
	other.pay(22, 22, start+window+1000, "ab12", "a") // from now on the later one's counts
	other.want("22", "done", "", "B")
}

// What a try left behind decides: a refused one nothing, so that the next runs; one that failed may have had its
// effect, and so may one whose caller went. One that the executor never started left nothing either.
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
	for range 2 { // the first one's is not owed any more, and does no harm
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

// New settings and a drain leave the ties as they are.
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

// A key that is missing, malformed or another request's gets an error and touches nothing; so do other fields.
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

// With no room to remember another, a payment is refused and not begun; what is remembered stays, and when its time is
// over there is room again.
func TestWhatCannotBeRememberedIsNotBegun(t *testing.T) {
	set := settings
	set.Classes = []policy.Class{{Name: "pay", Aim: 6 * time.Second, Deadline: 8 * time.Second, Worth: 4, Safety: policy.Keyed, KeyTTL: window * time.Millisecond},
		set.Classes[1]}
	x, clk := newExecutor(t), clock.Manual(start)
	h := withExecutorRoom(t, clk, set, x, 6000) // bytes: one in hand, or two that ended
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
	p.pay(30, 30, start, "aa", "a") // answered once the end is in the books, and what it took is free
	p.want("30", "done", "", "A")
	p.pay(3, 3, start, "bb", "a")
	x.want("EXEC", id(3))
	p.pay(4, 4, start, "aa", "a")
	p.want("4", "done", "", "A")
	x.notice("EXIT", id(3)+" success 1", "B")
	p.want("3", "done", "", "B")
	clk.Set(start + window + 9000)
	p = h.router() // the other was idle for long
	for i, once := range []string{"cc", "dd"} {
		p.pay(10+i, 10+i, start+window+9000, once, "a")
		x.want("EXEC", id(10+i))
		x.notice("EXIT", id(10+i)+" success 1", "C")
		p.want(fmt.Sprint(10+i), "done", "", "C")
		p.pay(40+i, 40+i, start+window+9000, once, "a")
		p.want(fmt.Sprint(40+i), "done", "", "C")
	}
}

// A process is replaced beside itself while payments run: to callers the two are one server, so what the first ran or runs
// the second does not run again, and what comes to the first from then on it does not begin. The second knew of nothing.
// When the second ends, the time has to pass in which another try of what it ran may come.
func TestTiesGoToASuccessor(t *testing.T) {
	x, h, clk := keyed(t, nil)
	p := h.router()
	p.pay(1, 1, start, "aa", "a")
	x.want("EXEC", id(1))
	x.notice("EXIT", id(1)+" success 1", odd)
	p.want("1", "done", "", odd)
	p.pay(10, 10, start, "aa", "a") // answered once the end is in the books
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
	p.pay(3, 3, start, "cc", "a") // the second does not serve yet
	x.want("EXEC", id(3))
	text, told := handover.Serving(tie)
	var ties []core.KeyedAttempt
	if err := json.Unmarshal(text, &ties); err != nil || !told || len(ties) != 3 {
		t.Fatalf("told %v: %s, %v", told, text, err)
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
	for i, once := range []string{"bb", "cc"} { // what became of them is not known here
		q.pay(13+i, 13+i, start, once, "a")
		q.want(fmt.Sprint(13+i), "error")
	}
	q.pay(15, 15, start, "dd", "a")
	x2.want("EXEC", id(15)) // none before it was begun

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
	p = h.router() // the other was idle for long
	p.pay(9, 9, start+window+101, "dd", "a")
	x.want("EXEC", id(9))
}

// The process before is of an earlier build, which says what it hears, or it goes while it is asked: it tells nothing.
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
		if text, told := handover.Serving(tie); told {
			t.Errorf("after %q: told %q", answer, text)
		}
		tie.Close()
	}
}

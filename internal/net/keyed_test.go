package net_test

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/net/handover"
	"puffinsaddle/policy"
)

const (
	startMS     = 1.7e12  // initial time of the tests' clock, in Unix milliseconds
	keyWindowMS = 30000.0 // interval in which another attempt of a payment may arrive, in milliseconds
)

// newKeyedServer builds a server with a class of keyed requests, on a clock that the test sets.
func newKeyedServer(t *testing.T, change func(*policy.Settings)) (*fakeExecutor, *testServer, *clock.Clock) {
	t.Helper()
	clk := clock.Manual(startMS)
	x, h := newKeyedServerOnClock(t, clk, change)
	return x, h, clk
}

func newKeyedServerOnClock(t *testing.T, clk *clock.Clock, change func(*policy.Settings)) (*fakeExecutor, *testServer) {
	t.Helper()
	set := settings
	set.Classes = append(slices.Clone(set.Classes), policy.Class{Name: "pay", Aim: 6 * time.Second, Deadline: 8 * time.Second,
		Worth: 4, LateValue: 1, Safety: policy.Keyed, KeyTTL: keyWindowMS * time.Millisecond})
	if change != nil {
		change(&set)
	}
	x := newExecutor(t)
	h := newServerWithExecutorOnClock(t, clk, set, x, "127.0.0.1:1")
	x.acceptJoin(0)
	x.answerBarrier()
	return x, h
}

// sendPayment sends an attempt of a payment that arrived at a given time.
func (p *fakeRouter) sendPayment(tag, id int, at float64, idempotencyKey, body string) {
	p.sendRequest(tag, id, "pay", fmt.Sprintf(",at=%.0f,once=%s", at, idempotencyKey), body)
}

// checkNoOtherRun sends a further request and expects its run as the next command: none of the requests before it was
// started.
func (p *fakeRouter) checkNoOtherRun(x *fakeExecutor, tag, id int, at float64) {
	p.t.Helper()
	p.sendRequest(tag, id, "book-delivery", fmt.Sprintf(",at=%.0f", at), "last")
	x.want("EXEC", fmt.Sprintf("%016x", id))
	x.sendNotice("EXIT", fmt.Sprintf("%016x", id)+" success 1", "L")
	p.want(fmt.Sprint(tag), "done", "", "L")
}

// A client's second attempt arrives on another connection while the first runs, and more arrive after its end. All of them
// get the result of the first byte for byte, and none runs up to the last instant of the window. Guards against fronts
// that ignore the idempotency key, with which every attempt ran.
func TestAttemptsOfOnePaymentRunOnce(t *testing.T) {
	x, h, clk := newKeyedServer(t, nil)
	p, other := h.router(), h.router()
	p.sendPayment(1, 1, startMS, "ab12", "a")
	x.want("EXEC", id(1), "pay")
	other.sendPayment(1, 2, startMS, "ab12", "a")
	other.checkNoOtherRun(x, 9, 90, startMS)
	x.sendNotice("EXIT", id(1)+" success 1", binaryBody)
	p.want("1", "done", "", binaryBody)
	other.want("1", "done", "", binaryBody)
	for i, at := range []float64{startMS, startMS + 15000, startMS + keyWindowMS} {
		clk.Set(at)
		other = h.router() // the connection before was idle for too long
		other.sendPayment(10+i, 10+i, at, "ab12", "a")
		other.want(fmt.Sprint(10+i), "done", "", binaryBody)
	}
	// An attempt that reached the machine within the window and is read after it.
	clk.Set(startMS + keyWindowMS + 7000)
	other = h.router()
	other.sendPayment(20, 20, startMS+keyWindowMS, "ab12", "a")
	other.want("20", "done", "", binaryBody)
	other.sendPayment(21, 21, startMS+keyWindowMS+1000, "ab12", "a")
	x.want("EXEC", id(21), "pay")
	x.sendNotice("EXIT", id(21)+" success 1", "B")
	other.want("21", "done", "", "B")
	other.sendPayment(22, 22, startMS+keyWindowMS+1000, "ab12", "a") // from now on the result of the later run counts
	other.want("22", "done", "", "B")
}

// The outcome of an attempt decides whether the next one runs. A refused attempt had no effect, so the next one runs. A
// failed one, or one whose caller went away, may have had its effect. One that the executor never started had none.
func TestAttemptAfterUnsuccessfulOne(t *testing.T) {
	x, h, _ := newKeyedServer(t, nil)
	p := h.router()
	p.sendRequest(1, 1, "pay", fmt.Sprintf(",at=%.0f,wait=5,once=aa", startMS-1000.0), "a")
	p.want("1", "later")
	p.sendPayment(2, 2, startMS, "aa", "a")
	x.want("EXEC", id(2))
	x.sendNotice("EXIT", id(2)+" failure 1", "")
	p.want("2", "error")
	p.sendPayment(3, 3, startMS, "aa", "a")
	p.want("3", "error")
	p.sendPayment(4, 4, startMS, "bb", "a")
	x.want("EXEC", id(4))
	p.send("ABORT", "4")
	p.sendPayment(5, 5, startMS, "bb", "a")
	p.checkNoOtherRun(x, 6, 6, startMS)
	x.sendNotice("EXIT", id(4)+" success 1", "B")
	for range 2 { // an answer to the aborted attempt is not required, but harmless
		if a := p.readAnswer(); a[1] != "done" || a[3] != "B" {
			t.Errorf("answered %q", a)
		}
	}
	p.sendPayment(7, 7, startMS, "cc", "a")
	x.want("EXEC", id(7))
	x.sendNotice("EXIT", id(7)+" nothing 0", "")
	p.want("7", "error")
	p.sendPayment(8, 8, startMS, "cc", "a")
	x.want("EXEC", id(8))
}

// New settings and a drain keep the remembered attempts as they are.
func TestKeyedAttemptsOutliveSettingsAndDrain(t *testing.T) {
	x, h, _ := newKeyedServer(t, nil)
	p := h.router()
	p.sendPayment(1, 1, startMS, "ab", "a")
	x.want("EXEC", id(1))
	set := settings
	set.Classes = []policy.Class{{Name: "pay", Aim: 6 * time.Second, Deadline: 8 * time.Second, Worth: 2,
		Safety: policy.Keyed, KeyTTL: time.Second},
		set.Classes[1]}
	h.core.Adopt(set)
	p.sendPayment(2, 2, startMS, "ab", "a")
	h.core.Drain(startMS, startMS+9000)
	p.sendPayment(3, 3, startMS, "ab", "a")
	p.checkNoOtherRun(x, 8, 8, startMS)
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	for range 3 {
		if a := p.readAnswer(); a[1] != "done" || a[3] != "A" {
			t.Errorf("answered %q", a)
		}
	}
	p.sendPayment(4, 4, startMS, "ab", "a")
	p.want("4", "done", "", "A")
}

// A key that is missing, malformed or used for another body gets an error and changes nothing; likewise a malformed cost or
// tenant.
func TestInvalidKeysAreRejected(t *testing.T) {
	x, h, _ := newKeyedServer(t, nil)
	p := h.router()
	p.sendPayment(1, 1, startMS, "ab", "a")
	x.want("EXEC", id(1))
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	at := fmt.Sprintf(",at=%.0f", startMS)
	for i, more := range []string{"", ",once=", ",once=xyz", ",once=" + fmt.Sprintf("%065d", 1), ",once=ab,cost=x", ",once=ab,cost=0",
		",once=ab,cost=-1", ",once=ab,cost=1e9", ",once=ab,tenant=" + fmt.Sprintf("%0257d", 1)} {
		q := h.router()
		q.sendRequest(1, 10+i, "pay", at+more, "a")
		q.want("1", "error")
	}
	p.sendPayment(2, 2, startMS, "ab", "another body")
	p.want("2", "error")
	p.checkNoOtherRun(x, 8, 8, startMS)
	p.sendPayment(3, 3, startMS, "ab", "a")
	p.want("3", "done", "", "A")
}

// When the key table is full, a payment is refused and not started. Remembered attempts stay, and once they expire the table
// has space again.
func TestPaymentIsRefusedWhenKeyTableIsFull(t *testing.T) {
	set := settings
	set.Classes = []policy.Class{{Name: "pay", Aim: 6 * time.Second, Deadline: 8 * time.Second, Worth: 4,
		Safety: policy.Keyed, KeyTTL: keyWindowMS * time.Millisecond},
		set.Classes[1]}
	x, clk := newExecutor(t), clock.Manual(startMS)
	h := newServerWithKeyTable(t, clk, set, x, 6000) // bytes: one running attempt, or two that ended
	x.acceptJoin(0)
	x.answerBarrier()
	p := h.router()
	p.sendPayment(1, 1, startMS, "aa", "a")
	x.want("EXEC", id(1))
	p.sendPayment(2, 2, startMS, "bb", "a")
	p.want("2", "later")
	p.checkNoOtherRun(x, 8, 8, startMS)
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	p.sendPayment(30, 30, startMS, "aa", "a") // its answer shows that the end was recorded and its reserved memory freed
	p.want("30", "done", "", "A")
	p.sendPayment(3, 3, startMS, "bb", "a")
	x.want("EXEC", id(3))
	p.sendPayment(4, 4, startMS, "aa", "a")
	p.want("4", "done", "", "A")
	x.sendNotice("EXIT", id(3)+" success 1", "B")
	p.want("3", "done", "", "B")
	clk.Set(startMS + keyWindowMS + 9000)
	p = h.router() // the other connection was idle for too long
	for i, key := range []string{"cc", "dd"} {
		p.sendPayment(10+i, 10+i, startMS+keyWindowMS+9000, key, "a")
		x.want("EXEC", id(10+i))
		x.sendNotice("EXIT", id(10+i)+" success 1", "C")
		p.want(fmt.Sprint(10+i), "done", "", "C")
		p.sendPayment(40+i, 40+i, startMS+keyWindowMS+9000, key, "a")
		p.want(fmt.Sprint(40+i), "done", "", "C")
	}
}

// A predecessor that is an earlier build, which echoes the byte it receives, or that ends during the exchange has to be
// recognized as one that sent no state.
func TestMissingPredecessorStateIsDetected(t *testing.T) {
	for _, answer := range []string{"\x02", "\x02\x00\x00\x00\x00\x00\x00\x00\x00", "", "\x03\x00\x00", "\x03\xff\x00\x00\x00\x00\x00\x00\x00", "\x04\x00\x00", "\x04\xff\x00\x00\x00\x00\x00\x00\x00"} {
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
		predecessor, err := net.Dial("tcp", ln.Addr().String())
		must(t, err)
		if state, _, complete := handover.AnnounceServing(predecessor); complete {
			t.Errorf("after %q: state %q was taken as complete", answer, state)
		}
		predecessor.Close()
	}
}

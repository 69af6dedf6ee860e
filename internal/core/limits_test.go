package core

import (
	"fmt"
	"testing"
)

// More requests are open than may be: a further attempt of a keyed request is refused only if nothing of it can run. Guards against
// a refusal of a request that has run, or that runs later from the queue.
func TestRequestOverLimitIsRefusedOnlyIfNoneRan(t *testing.T) {
	r := newKeyedFixture(t, 2)
	r.pay(1, "aa")
	running := <-r.runner.started
	r.open(2, "book", "", startMS)
	<-r.runner.started
	r.payInQueue(3, "bb")
	fill := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for len(r.handlers) < defaultMaxOpen {
			r.handlers[r.nextID()] = &Handler{}
		}
	}
	fill()
	check := func(id int, once, want string) {
		t.Helper()
		r.pay(id, once)
		r.wantAnswer(fmt.Sprintf("%d %s", id, want))
	}
	failed, refused := fmt.Sprintf("%d ", Failed), fmt.Sprintf("%d ", Refused)
	check(11, "aa", failed)
	check(12, "bb", failed)
	check(13, "cc", refused)
	check(14, "", refused)
	r.succeed(running, "A", 1)
	r.wantAnswer("1 0 A")
	r.waitForOpen(defaultMaxOpen - 1)
	fill()
	check(15, "aa", "0 A")
	r.open(16, "read", "", startMS)
	r.wantAnswer("16 " + refused)
	r.ExportKeyedAttempts(newFakePeer(t))
	check(17, "dd", failed) // unmarked, so it may be a retry of what the successor has started
}

package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"puffinsaddle/internal/mailbox"
	"puffinsaddle/policy"
)

// fakePeer is a fake link to the other process of a server. The test reads the messages and sends others.
type fakePeer struct {
	t        *testing.T
	messages chan sentMessage
}

type sentMessage struct {
	PeerMessage
	sent func()
}

func newFakePeer(t *testing.T) *fakePeer { return &fakePeer{t, make(chan sentMessage, 10)} }

func (p *fakePeer) Send(m PeerMessage, sent func()) { p.messages <- sentMessage{m, sent} }

// next returns the next message.
func (p *fakePeer) next() sentMessage {
	p.t.Helper()
	select {
	case m := <-p.messages:
		return m
	case <-time.After(30 * time.Second):
		p.t.Fatal("no message was sent")
		return sentMessage{}
	}
}

// wantClaim returns the next message, which has to be a claim of a request.
func (p *fakePeer) wantClaim(id int) *KeyedAttempt {
	p.t.Helper()
	m := p.next()
	if m.Claim == nil || m.Claim.RequestID != fmt.Sprintf("%016x", id) {
		p.t.Fatalf("sent %+v, want a claim of %d", m.PeerMessage, id)
	}
	return m.Claim
}

// wantNotRun expects the message that an attempt did not run.
func (p *fakePeer) wantNotRun(id int) {
	p.t.Helper()
	if m := p.next(); m.Ended == nil || m.Ended.RequestID != fmt.Sprintf("%016x", id) || !m.Ended.NotRun {
		p.t.Fatalf("sent %+v, want that %d did not run", m.PeerMessage, id)
	}
}

// newKeyedFixture returns a fixture with a class of keyed requests, of which as many run at once as there are cores.
func newKeyedFixture(t *testing.T, cores int) *fixture { return newKeyedFixtureWithLog(t, nil, cores) }

// newKeyedFixtureWithLog is newKeyedFixture with the given effect log.
func newKeyedFixtureWithLog(t *testing.T, effectLog EffectLog, cores int) *fixture {
	r := newFixture(t, effectLog)
	set := testSettings
	set.Cores, set.MaxRunningPerCore = cores, 1.5
	set.Classes = append(slices.Clone(set.Classes), policy.Class{Name: "pay", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 4,
		Safety: policy.Keyed, KeyTTL: 30 * time.Second})
	r.Adopt(set)
	return r
}

// pay opens an attempt of a keyed request that waits for 3 s.
func (r *fixture) pay(id int, once string) *Handler {
	q := &Request{ID: fmt.Sprintf("%016x", id), Class: "pay", ArrivedAt: startMS, WaitMS: 3000, KB: 1, IdempotencyKey: once, Body: []byte("a")}
	return r.Open(q, func(o Outcome) { r.answers <- fmt.Sprintf("%d %d %s", id, o.Verdict, o.Result) })
}

// payInQueue is pay, and waits until the attempt is in the queue, so that later ones come after it.
func (r *fixture) payInQueue(id int, once string) {
	r.pay(id, once)
	for queued := false; !queued; {
		r.runAndWait(func() { queued = r.keys.byKey[classKey{"pay", once, true}] != nil })
	}
}

// settle waits until all earlier events have been processed.
func (r *fixture) settle() { r.runAndWait(func() {}) }

// advance moves the clock step by step, so that the module's timers fire.
func (r *fixture) advance(toMS float64) {
	for now := r.clock.Now(); now < startMS+toMS; now = r.clock.Now() {
		r.clock.Set(min(now+100, startMS+toMS))
		r.settle()
	}
}

// startedBy returns the announcement that another process starts an attempt of a keyed request.
func (r *fixture) startedBy(id int, once string) PeerMessage {
	class := policy.Class{Name: "pay", Deadline: 5 * time.Second, Safety: policy.Keyed, KeyTTL: 30 * time.Second}
	var body uint64
	r.runAndWait(func() { body = r.keys.hashBody(&Request{Body: []byte("a")}) })
	return PeerMessage{Started: &KeyedAttempt{Class: class, Once: once, Until: startMS + 30100, Expires: startMS + 36000, Body: body,
		RequestID: fmt.Sprintf("%016x", id), ArrivedAt: startMS, Running: true}}
}

func endedBy(id int, once, result string) PeerMessage {
	return PeerMessage{Ended: &AttemptResult{Class: "pay", Once: once, RequestID: fmt.Sprintf("%016x", id), Good: true, Result: []byte(result)}}
}

// An attempt waits in the queue of one process when another process starts a later attempt of the same request. It is not refused
// at its due time, and does not run when its turn comes. Guards against a refusal of a request that has run, and a second run.
func TestQueuedAttemptWhileOtherProcessStartsRequest(t *testing.T) {
	r, peer := newKeyedFixture(t, 2), newFakePeer(t)
	r.ImportKeyedAttempts(peer, nil)
	r.open(1, "book", "", startMS)
	running := <-r.runner.started
	r.open(2, "book", "", startMS)
	<-r.runner.started
	r.payInQueue(3, "aa")
	r.payInQueue(4, "bb")
	r.payInQueue(5, "cc")
	r.ReceiveFromPeer(peer, r.startedBy(13, "aa"))
	r.ReceiveFromPeer(peer, r.startedBy(14, "bb"))
	r.ReceiveFromPeer(peer, endedBy(14, "bb", "B"))
	r.settle()
	r.succeed(running, "A", 1)
	r.wantAnswer("1 0 A")
	r.advance(3000)
	got := []string{<-r.answers, <-r.answers, <-r.answers, <-r.answers}
	slices.Sort(got)
	// The third one's turn comes; the two after it stay in the queue. No process has started the last one.
	want := []string{fmt.Sprintf("2 %d ", Overdue), fmt.Sprintf("3 %d ", Overdue), "4 0 B", fmt.Sprintf("5 %d ", Refused)}
	if !slices.Equal(got, want) || len(r.runner.started) > 0 {
		t.Errorf("answers %q, want %q; %d started", got, want, len(r.runner.started))
	}
}

// Another process may have started keyed requests that this one does not know of, while it runs and for the window after its end. A
// first attempt is refused, and a retry fails, since its request may have run. Guards against a refusal of a request that has run.
func TestRetryOfUnknownAttemptIsNotRefused(t *testing.T) {
	for _, marksRetry := range []bool{true, false} {
		r := newKeyedFixture(t, 8)
		r.runAndWait(func() { r.settings.MarksRetry = marksRetry })
		id := 0
		check := func(retry bool, want Verdict) {
			t.Helper()
			id++
			q := &Request{ID: fmt.Sprintf("%016x", id), Class: "pay", ArrivedAt: r.clock.Now(), WaitMS: 3000, KB: 1, IdempotencyKey: fmt.Sprintf("%02x", id), Retry: retry}
			r.Open(q, func(o Outcome) { r.answers <- fmt.Sprint(o.Verdict) })
			if got := <-r.answers; got != fmt.Sprint(want) {
				t.Errorf("retries marked: %v, retry: %v: verdict %s, want %d", marksRetry, retry, got, want)
			}
		}
		first := Refused // of an unmarked attempt
		if !marksRetry {
			first = Failed
		}
		r.ExportKeyedAttempts(nil)
		check(false, first)
		check(true, Failed)
		r.ResumeKeyedStarts()
		r.settle()
		check(false, first)
		check(true, Failed)
		r.clock.Set(startMS + 30000)
		check(false, first)
		check(true, Failed)
		r.clock.Set(startMS + 30000 + clockSlackMS)
		r.Open(&Request{ID: fmt.Sprintf("%016x", 99), Class: "pay", ArrivedAt: r.clock.Now(), WaitMS: 3000, KB: 1, IdempotencyKey: "ff"}, func(Outcome) {})
		<-r.runner.started
	}
}

// The module refuses an attempt at once, since it is overdue, while another process may have run an earlier one: a successor whose
// message has not come yet, or a process that sends none. A first attempt is refused, and a retry fails. Guards against a refusal of
// a request that has run.
func TestOverdueRetryBesideOtherProcessIsNotRefused(t *testing.T) {
	for _, marksRetry := range []bool{true, false} {
		r := newKeyedFixture(t, 8)
		r.runAndWait(func() { r.settings.MarksRetry = marksRetry })
		id := 0
		check := func(retry bool, want ...Verdict) {
			t.Helper()
			id++
			q := &Request{ID: fmt.Sprintf("%016x", id), Class: "pay", ArrivedAt: startMS - 4000, WaitMS: 3000, KB: 1, IdempotencyKey: fmt.Sprintf("%02x", id), Retry: retry}
			r.Open(q, func(o Outcome) { r.answers <- fmt.Sprint(o.Verdict) })
			if got := <-r.answers; !slices.ContainsFunc(want, func(v Verdict) bool { return got == fmt.Sprint(v) }) {
				t.Errorf("retries marked: %v, retry: %v: verdict %s, want one of %d", marksRetry, retry, got, want)
			}
		}
		checkBoth := func() {
			t.Helper()
			if marksRetry {
				check(false, Refused)
			}
			check(true, Failed, Overdue)
		}
		check(true, Refused)
		peer := newFakePeer(t)
		r.ExportKeyedAttempts(peer)
		checkBoth()
		r.PeerEnded(peer)
		r.settle()
		check(true, Refused)
		r.SuspendKeyedStarts()
		checkBoth()
		r.ResumeKeyedStarts()
		r.settle()
		checkBoth()
	}
}

// A request waits for the result of another process's attempt until its due time, or until its caller goes. Guards against
// requests that stay open for as long as that attempt runs.
func TestWaitForOtherProcessEndsAtDueTime(t *testing.T) {
	r, peer := newKeyedFixture(t, 8), newFakePeer(t)
	r.ImportKeyedAttempts(peer, []KeyedAttempt{*r.startedBy(11, "aa").Started})
	h := r.pay(1, "aa")
	r.pay(2, "aa")
	r.settle()
	h.CallerGone()
	r.waitForOpen(1)
	r.advance(3000)
	r.wantAnswer(fmt.Sprintf("2 %d ", Overdue))
	r.waitForOpen(0)
	r.ReceiveFromPeer(peer, endedBy(11, "aa", "A"))
	r.settle()
	if len(r.answers)+len(r.runner.started) > 0 {
		t.Error("a further answer or run after the request had ended")
	}
}

// The other process does not respond to a claim. The request fails at its due time, and does not run if the permission comes later.
func TestClaimWithoutResponseFailsAtDueTime(t *testing.T) {
	r, peer := newKeyedFixture(t, 8), newFakePeer(t)
	r.ExportKeyedAttempts(peer)
	r.pay(1, "aa")
	peer.wantClaim(1)
	r.advance(3000)
	r.wantAnswer(fmt.Sprintf("1 %d ", Overdue))
	peer.wantNotRun(1)
	r.ReceiveFromPeer(peer, PeerMessage{Response: &ClaimResponse{RequestID: fmt.Sprintf("%016x", 1), Granted: true}})
	r.settle()
	if len(r.runner.started) > 0 {
		t.Error("a request ran after its answer")
	}
}

// A caller goes while the claim of its request has no response yet: the request does not run, and the other process is told.
func TestCallerGoneBeforeResponse(t *testing.T) {
	r, peer := newKeyedFixture(t, 8), newFakePeer(t)
	r.ExportKeyedAttempts(peer)
	h := r.pay(1, "aa")
	peer.wantClaim(1)
	h.CallerGone()
	peer.wantNotRun(1)
	r.ReceiveFromPeer(peer, PeerMessage{Response: &ClaimResponse{RequestID: fmt.Sprintf("%016x", 1), Granted: true}})
	r.waitForOpen(0)
	if len(r.runner.started) > 0 {
		t.Error("a request ran whose caller had gone")
	}
}

// A caller has gone when the module, which has not learned of it yet, starts its request: the request does not run, whether or not it
// needs the permission of another process.
func TestCallerGoneBeforeStart(t *testing.T) {
	r := newKeyedFixture(t, 8)
	for _, start := range []any{policy.Start{}, startPending{}} {
		h := &Handler{core: r.Core, inbox: mailbox.New[any]()}
		h.inbox.Put(callerGone{})
		h.inbox.Put(start)
		if h.awaitStart() {
			t.Errorf("the request goes on to its run after %T", start)
		}
	}
}

// Two attempts of one request reach both processes at once. The new process starts its own, so the replaced one is denied the
// start and answers with the result of the other.
func TestDeniedClaimSharesResult(t *testing.T) {
	r, peer := newKeyedFixture(t, 8), newFakePeer(t)
	r.ExportKeyedAttempts(peer)
	r.pay(1, "aa")
	claim := peer.wantClaim(1)
	r.ReceiveFromPeer(peer, r.startedBy(2, "aa"))
	r.ReceiveFromPeer(peer, PeerMessage{Response: &ClaimResponse{RequestID: claim.RequestID}})
	r.settle()
	r.ReceiveFromPeer(peer, endedBy(2, "aa", "A"))
	r.wantAnswer("1 0 A")
	if len(r.runner.started) > 0 {
		t.Error("a request ran whose claim was denied")
	}
}

// Two attempts reach this process before it learns that the other one has started the request: the second waits for the first,
// whose claim is denied, and both get the result. Guards against an error to an attempt whose request was served.
func TestAttemptBehindDeniedClaimSharesResult(t *testing.T) {
	r, peer := newKeyedFixture(t, 8), newFakePeer(t)
	r.ExportKeyedAttempts(peer)
	r.pay(1, "aa")
	claim := peer.wantClaim(1)
	r.pay(2, "aa")
	r.settle()
	r.ReceiveFromPeer(peer, r.startedBy(11, "aa"))
	r.ReceiveFromPeer(peer, PeerMessage{Response: &ClaimResponse{RequestID: claim.RequestID}})
	r.settle()
	r.ReceiveFromPeer(peer, endedBy(11, "aa", "A"))
	got := []string{<-r.answers, <-r.answers}
	slices.Sort(got)
	if want := []string{"1 0 A", "2 0 A"}; !slices.Equal(got, want) {
		t.Errorf("answers %q, want %q", got, want)
	}
}

// The key table is full beside another process: a request of which nothing was started is refused, and one that the other process
// has started gets its result.
func TestFullKeyTableBesideOtherProcess(t *testing.T) {
	r, peer := newKeyedFixture(t, 8), newFakePeer(t)
	r.runAndWait(func() { r.keys.maxBytes = entryOverheadBytes })
	r.ImportKeyedAttempts(peer, []KeyedAttempt{*r.startedBy(11, "aa").Started})
	r.pay(1, "bb")
	r.wantAnswer(fmt.Sprintf("1 %d ", Refused))
	r.pay(2, "aa")
	r.settle()
	r.ReceiveFromPeer(peer, endedBy(11, "aa", "A"))
	r.wantAnswer("2 0 A")
}

// New settings remove a keyed class in one of the two processes only: a request that the other one runs is not refused there, and gets
// the result once there is one.
func TestClassRemovedBesideOtherProcess(t *testing.T) {
	r, peer := newKeyedFixture(t, 8), newFakePeer(t)
	r.ImportKeyedAttempts(peer, nil)
	r.Adopt(testSettings)
	r.ReceiveFromPeer(peer, r.startedBy(11, "aa"))
	r.pay(1, "aa")
	r.wantAnswer(fmt.Sprintf("1 %d ", Failed))
	r.ReceiveFromPeer(peer, endedBy(11, "aa", "A"))
	r.pay(2, "aa")
	r.wantAnswer("2 0 A")
	r.pay(3, "bb")
	r.wantAnswer(fmt.Sprintf("3 %d ", Refused))
}

// A claim is granted, unless an attempt of the request was started here.
func TestClaimIsDeniedOnceStarted(t *testing.T) {
	r, peer := newKeyedFixture(t, 8), newFakePeer(t)
	r.ImportKeyedAttempts(peer, nil)
	for i, want := range []bool{true, false} {
		claim := r.startedBy(10+i, "aa").Started
		r.ReceiveFromPeer(peer, PeerMessage{Claim: claim})
		if m := peer.next(); m.Response == nil || m.Response.RequestID != claim.RequestID || m.Response.Granted != want {
			t.Errorf("sent %+v, want the response %v", m.PeerMessage, want)
		}
	}
}

// The new process runs a keyed request only once the message that tells the replaced process of it is on its way: if it is killed
// right after, the replaced one knows that the request may have run.
func TestStartWaitsUntilPredecessorIsTold(t *testing.T) {
	r, peer := newKeyedFixture(t, 8), newFakePeer(t)
	r.ImportKeyedAttempts(peer, nil)
	r.pay(1, "aa")
	announced := peer.next()
	if announced.Started == nil || announced.Started.RequestID != fmt.Sprintf("%016x", 1) {
		t.Fatalf("sent %+v, want the start of 1", announced.PeerMessage)
	}
	r.settle()
	if len(r.runner.started) > 0 {
		t.Error("the request ran before the other process was told")
	}
	announced.sent()
	r.succeed(<-r.runner.started, "A", 1)
	r.wantAnswer("1 0 A")
	if m := peer.next(); m.Ended == nil || !m.Ended.Good || string(m.Ended.Result) != "A" {
		t.Errorf("sent %+v, want the result", m.PeerMessage)
	}
}

// The new process is killed with claims that have no response yet. The replaced process decides on them alone: it starts those of
// which the other one had started no attempt.
func TestClaimsAreDecidedWhenSuccessorEnds(t *testing.T) {
	r, peer := newKeyedFixture(t, 8), newFakePeer(t)
	r.ExportKeyedAttempts(peer)
	r.pay(1, "aa")
	peer.wantClaim(1)
	r.pay(2, "bb")
	peer.wantClaim(2)
	r.ReceiveFromPeer(peer, r.startedBy(12, "bb"))
	r.PeerEnded(peer)
	r.succeed(<-r.runner.started, "A", 1)
	got := []string{<-r.answers, <-r.answers}
	slices.Sort(got)
	if want := []string{"1 0 A", fmt.Sprintf("2 %d ", Failed)}; !slices.Equal(got, want) {
		t.Errorf("answers %q, want %q", got, want)
	}
	if len(r.runner.started) > 0 {
		t.Error("a request ran that the other process had started")
	}
}

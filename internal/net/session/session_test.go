package session

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store"
)

const testTimeout = 60 * time.Second // a hanging test fails after it

var rules = duty.Rules{ClockBounds: duty.ClockBounds{MaxDrift: 0.1, MarginMS: 50}, RenewIntervalMS: 300, CooldownMS: 1000, ColdWaitMS: 1000, PresenceTTLMS: 2000,
	Duties: []duty.DutyRule{{Name: "allotter", TTLMS: 2000}}}

// fakeReplica is a fake store replica that commits each entry at once and is the leader unless a test sets otherwise.
type fakeReplica struct {
	mu       sync.Mutex
	st       *state.State
	term     uint64
	isLeader bool
	leaderID string
	index    uint64

	confirmGate chan struct{} // leadership is not confirmed before it is closed; nil: confirmed at once
	maxOrders   int           // largest number of orders in one entry
}

func (f *fakeReplica) Leadership() (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term, f.isLeader
}

func (f *fakeReplica) Leader() string { return f.leaderID }

func (f *fakeReplica) Propose(cmd state.Command) func() (state.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	f.maxOrders = max(f.maxOrders, len(cmd.Orders))
	r := f.st.Apply(cmd, f.term)
	return func() (state.Result, error) { return r, nil }
}

func (f *fakeReplica) ConfirmLeadership() func() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	return func() error {
		if f.confirmGate != nil {
			<-f.confirmGate
		}
		return nil
	}
}

func (f *fakeReplica) View(read func(*state.State, uint64)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.st, f.index)
}

// testServer is a server listening on a port.
type testServer struct {
	replica *fakeReplica
	server  *Server
	address string
}

func startServer(t *testing.T, replica *fakeReplica, steady *clock.Clock) *testServer {
	t.Helper()
	return startServerWith(t, replica, steady, rules, 16)
}

// startServerWith starts a server with the given session limit.
func startServerWith(t *testing.T, replica *fakeReplica, steady *clock.Clock, leaseRules duty.Rules, maxSessions int) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &testServer{replica: replica, address: ln.Addr().String(),
		server: NewServer(replica, &duty.Grantor{Rules: leaseRules, Seed: 1}, maxSessions, steady, zerolog.Nop())}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				var purpose [1]byte
				if _, err := io.ReadFull(conn, purpose[:]); err != nil || purpose[0] != store.PurposeSessions {
					conn.Close()
					return
				}
				s.server.Serve(conn)
			}()
		}
	}()
	go s.server.Run(t.Context())
	return s
}

// startClient starts a client and returns the channel of its events.
func startClient(t *testing.T, processID string, addresses map[string]string, steady *clock.Clock) (*Client, chan any) {
	events := make(chan any, 1000)
	c := NewClient(Options{ProcessID: processID, ReplicaAddresses: addresses, Rules: rules, Seed: 1, Steady: steady,
		Log: zerolog.Nop(), OnEvent: func(e any) { events <- e }})
	go c.Run(t.Context())
	return c, events
}

// waitForEvent waits for an event of type T that satisfies the predicate.
func waitForEvent[T any](t *testing.T, events chan any, matches func(T) bool) T {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case e := <-events:
			if v, ok := e.(T); ok && matches(v) {
				return v
			}
		case <-timeout:
			var v T
			t.Fatalf("no matching %T event before the timeout", v)
		}
	}
}

func newLeader(st *state.State) *fakeReplica { return &fakeReplica{st: st, term: 1, isLeader: true} }

func isAllotterGrant(g duty.LeaseGained) bool { return g.Name == "allotter" }

// An order server is redirected to the leader, is granted the duty for which it is a candidate, executes commands under it, and
// is refused under any other epoch.
func TestHolderRunsCommandsAndForgedEpochsAreRefused(t *testing.T) {
	steady := clock.Monotonic()
	leader := startServer(t, newLeader(state.New()), steady)
	follower := startServer(t, &fakeReplica{st: state.New(), term: 1, leaderID: "lead"}, steady)
	c, events := startClient(t, "a#1", map[string]string{"lead": leader.address, "follow": follower.address}, steady)
	gained := waitForEvent(t, events, isAllotterGrant)
	if r, err := c.DoFenced(t.Context(), gained.Ref, state.Command{Op: state.OpIncrementCounter}); err != nil || r.Value != 1 {
		t.Errorf("%+v %v", r, err)
	}
	forged := duty.Ref{Name: gained.Name, Epoch: gained.Epoch + 1}
	if _, err := c.DoFenced(t.Context(), forged, state.Command{Op: state.OpIncrementCounter}); !errors.Is(err, ErrStaleEpoch) ||
		c.FencedCommands() != 1 {
		t.Errorf("forged epoch: error %v, %d fenced commands counted", err, c.FencedCommands())
	}
	if fresh, err := c.Begin(context.Background(), "0a"); !fresh || err != nil {
		t.Errorf("%v %v", fresh, err)
	}
	if fresh, err := c.Begin(context.Background(), "0a"); fresh || err != nil {
		t.Errorf("second begin of the same effect: fresh %v, error %v", fresh, err)
	}
	var status DutyStatus
	if err := c.Read(t.Context(), ReadDuties, &status); err != nil || status.Marks["allotter"] != 1 || status.StaleCommands["allotter"] != 1 {
		t.Errorf("%+v %v", status, err)
	}
	if err := c.Read(t.Context(), "nonsense", &status); err == nil {
		t.Error("an unknown query was answered")
	}
	if _, err := c.Do(t.Context(), state.Command{Op: state.OpRequestYield, Key: "allotter"}); err != nil {
		t.Fatal(err)
	}
	yieldRequest := waitForEvent(t, events, func(duty.YieldRequested) bool { return true })
	c.Quiesced(yieldRequest.Ref)
	waitForEvent(t, events, func(e duty.LeaseEnded) bool { return e.Name == "allotter" && e.Cause == duty.CauseYield })
	for deadline := time.Now().Add(testTimeout); ; {
		if err := c.Read(t.Context(), ReadDuties, &status); err != nil {
			t.Fatal(err)
		}
		if lease := status.Table.Leases["allotter"]; lease.Holder == "" || lease.Epoch > yieldRequest.Epoch {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the yielded duty was not released")
		}
	}
	if _, err := c.DoFenced(t.Context(), yieldRequest.Ref, state.Command{Op: state.OpIncrementCounter}); !errors.Is(err, ErrStaleEpoch) {
		t.Errorf("command under a yielded duty: %v", err)
	}
}

// hasEffect reports whether an effect is recorded.
func (f *fakeReplica) hasEffect(id string) (recorded bool) {
	f.View(func(st *state.State, _ uint64) { recorded = st.Effects.Effects[id] != nil })
	return recorded
}

// A caller's context ends the wait for the record of an effect. The record comes into being all the same: then the effect is not
// new any more.
func TestContextEndsWaitForRecord(t *testing.T) {
	steady := clock.Monotonic()
	leader := startServer(t, newLeader(state.New()), steady)
	c, events := startClient(t, "a#1", map[string]string{"lead": leader.address}, steady)
	waitForEvent(t, events, isAllotterGrant)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	var id string
	for n, err := 1, error(nil); err == nil; n++ { // without an error, the reply came first
		id = fmt.Sprintf("%02x", n)
		if _, err = c.Begin(ended, id); err != nil && !errors.Is(err, ErrUnconfirmed) || n > 100 {
			t.Fatalf("error %v, want %v", err, ErrUnconfirmed)
		}
	}
	for deadline := time.Now().Add(testTimeout); !leader.replica.hasEffect(id); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the effect was not recorded")
		}
	}
	if fresh, err := c.Begin(t.Context(), id); fresh || err != nil {
		t.Errorf("second begin of the same effect: fresh %v, error %v", fresh, err)
	}
}

// A message that violates the protocol ends its own connection and changes no state.
func TestMalformedMessageClosesConnection(t *testing.T) {
	leader := startServer(t, newLeader(state.New()), clock.Monotonic())
	message := func(text string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	for name, b := range map[string][]byte{
		"invalid JSON":              message("{"),
		"empty message":             message("{}"),
		"heartbeat without a name":  message(`{"beat":{"no":1}}`),
		"length of zero":            {0, 0, 0, 0},
		"length beyond the limit":   {0xff, 0xff, 0xff, 0xff},
		"orders of the grantor":     message(`{"no":1,"do":{"op":"orders","orders":[{"k":"grant","n":"allotter","h":"x","term":1}]}}`),
		"forbidden command":         message(`{"no":1,"do":{"op":"set","key":"k"}}`),
		"effect of another process": message(`{"no":1,"do":{"op":"begin","key":"0a","who":"a#1","epoch":1}}`),
		"two names in one session":  append(message(`{"beat":{"from":"x#1","no":1}}`), message(`{"beat":{"from":"y#1","no":1}}`)...),
		"too many duty names":       message(fmt.Sprintf(`{"beat":{"from":"x#1","no":1,"stands":[%s"x"]}}`, string(repeat(`"x",`, 100)))),
		"truncated message":         message(`{"beat":{"from":"x#1"}}`)[:9],
	} {
		conn, err := net.Dial("tcp", leader.address)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		conn.Write(append([]byte{store.PurposeSessions}, b...))
		if name == "truncated message" {
			conn.(*net.TCPConn).CloseWrite()
		}
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: the connection was not closed", name)
		}
		conn.Close()
	}
	leader.replica.View(func(st *state.State, _ uint64) {
		if len(st.Duties.Leases)+len(st.Values)+len(st.Effects.Effects) > 0 {
			t.Errorf("state was changed: %+v %+v %+v", st.Duties.Leases, st.Values, st.Effects.Effects)
		}
	})
}

func repeat(s string, n int) (b []byte) {
	for range n {
		b = append(b, s...)
	}
	return b
}

// Sessions beyond the limit are refused with a retry delay, and a new one is served once another has ended.
func TestSessionLimitIsEnforced(t *testing.T) {
	leader := startServer(t, newLeader(state.New()), clock.Monotonic())
	var conns []net.Conn
	openSession := func() error { // opens a session and runs one query
		conn, err := net.Dial("tcp", leader.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		conn.Write(append([]byte{store.PurposeSessions}, must(encodeFrame(clientMessage{Query: ReadCapacity, RequestID: 1}))...))
		conns = append(conns, conn)
		var m serverMessage
		if err := newReader(conn, 0).Next(&m); err != nil {
			return err
		}
		if m.RetryMS > 0 {
			return &sessionLimitError{m.RetryMS}
		}
		if m.RequestID != 1 {
			t.Fatalf("%+v", m)
		}
		return nil
	}
	for range 16 {
		if err := openSession(); err != nil {
			t.Fatal(err)
		}
	}
	var limitErr *sessionLimitError
	if err := openSession(); !errors.As(err, &limitErr) {
		t.Errorf("session beyond the limit did not get a retry delay: %v", err)
	} else if minDelay, maxDelay := limitRetryRenewals*rules.RenewIntervalMS*0.5, limitRetryRenewals*rules.RenewIntervalMS*1.5; limitErr.retryMS < minDelay ||
		limitErr.retryMS > maxDelay {
		t.Errorf("retry delay %v ms, want %v to %v", limitErr.retryMS, minDelay, maxDelay)
	}
	if metrics := leader.server.Metrics(); metrics.OpenSessions != 16 || metrics.Terminated != 1 {
		t.Errorf("%+v", metrics)
	}
	conns[0].Close()
	for deadline := time.Now().Add(testTimeout); openSession() != nil; {
		if time.Now().After(deadline) {
			t.Fatal("no session accepted after another has ended")
		}
	}
}

// Servers that connect at the same moment, while the leader waits for the first entry of its term, are all granted their
// presence, and each log entry carries a bounded number of orders.
func TestSimultaneousArrivalsAreGrantedInBoundedEntries(t *testing.T) {
	const servers = 2*duty.MaxOrdersPerTick + 100
	replica := newLeader(state.New())
	replica.confirmGate = make(chan struct{})
	slowRules := rules
	slowRules.RenewIntervalMS = clock.Millis(testTimeout) // no session is closed for silence while the others connect
	leader := startServerWith(t, replica, clock.Monotonic(), slowRules, servers)
	for i := range servers {
		conn, err := net.Dial("tcp", leader.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		processID := fmt.Sprintf("os-%d#1", i)
		conn.Write(append([]byte{store.PurposeSessions}, must(encodeFrame(clientMessage{Heartbeat: &duty.Heartbeat{From: processID, Seq: 1,
			Candidacies: []string{duty.PresenceName(processID)}}}))...))
		go io.Copy(io.Discard, conn)
	}
	waitUntil := func(condition string, holds func() bool) {
		for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("not within %s: %s", testTimeout, condition)
			}
		}
	}
	waitUntil("all heartbeats have arrived", func() bool { return leader.server.Metrics().Heartbeats == servers })
	close(replica.confirmGate)
	present := 0
	waitUntil("all are present", func() bool {
		replica.View(func(st *state.State, _ uint64) { present = max(present, st.Duties.CountPresent()) })
		return present == servers
	})
	replica.mu.Lock()
	defer replica.mu.Unlock()
	if replica.maxOrders > duty.MaxOrdersPerTick {
		t.Errorf("an entry has %d orders, more than the limit", replica.maxOrders)
	}
}

// A server refused by a replica at its session limit reconnects no sooner than the retry delay, and is served once another
// session has ended.
func TestRefusedServerWaitsForRetryDelay(t *testing.T) {
	t.Parallel()
	steady, slowRules := clock.Monotonic(), rules
	slowRules.RenewIntervalMS = 1000 // long enough that no session is closed as silent on a busy machine
	leader := startServerWith(t, newLeader(state.New()), steady, slowRules, 16)
	var conns []net.Conn
	for range 16 {
		conn, err := net.Dial("tcp", leader.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.Write([]byte{store.PurposeSessions})
		go func() { // a silent session would be closed
			for conn.SetWriteDeadline(time.Now().Add(testTimeout)) == nil {
				if _, err := conn.Write(must(encodeFrame(clientMessage{Query: ReadCapacity, RequestID: 1}))); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		go io.Copy(io.Discard, conn)
		conns = append(conns, conn)
	}
	for deadline := time.Now().Add(testTimeout); leader.server.Metrics().OpenSessions < 16; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not all sessions were opened")
		}
	}
	var mu sync.Mutex
	var attempts []float64
	c := NewClient(Options{ProcessID: "a#1", ReplicaAddresses: map[string]string{"lead": leader.address}, Rules: slowRules,
		Seed: 1, Steady: steady, Log: zerolog.Nop(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			mu.Lock()
			attempts = append(attempts, steady.Now())
			mu.Unlock()
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}})
	go c.Run(t.Context())
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		mu.Lock()
		n := len(attempts)
		mu.Unlock()
		if n >= 3 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connection attempts, want at least 3", n)
		}
	}
	mu.Lock()
	for i := 1; i < len(attempts); i++ {
		if gap := attempts[i] - attempts[i-1]; gap < limitRetryRenewals*slowRules.RenewIntervalMS*0.5 {
			t.Errorf("reconnected after %v ms, before the retry delay", gap)
		}
	}
	mu.Unlock()
	conns[0].Close()
	for deadline := time.Now().Add(testTimeout); !c.Connected(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no session after another has ended")
		}
	}
}

// A retry delay of days, or longer than a timer can represent, is bounded to a number of renewal intervals; the client does not
// reconnect sooner.
func TestRetryDelayIsBounded(t *testing.T) {
	for _, retryMS := range []float64{1e9, 1e300} {
		t.Run(fmt.Sprint(retryMS), func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { ln.Close() })
			steady := clock.Monotonic()
			attempts := make(chan float64, 1000)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					attempts <- steady.Now()
					conn.Write(must(encodeFrame(serverMessage{RetryMS: retryMS})))
					go io.Copy(io.Discard, conn)
				}
			}()
			fastRules := rules
			fastRules.RenewIntervalMS = 200
			c := NewClient(Options{ProcessID: "a#1", ReplicaAddresses: map[string]string{"a": ln.Addr().String()}, Rules: fastRules,
				Seed: 1, Steady: steady, Log: zerolog.Nop()})
			go c.Run(t.Context())
			first := <-attempts
			select {
			case second := <-attempts:
				if gap := second - first; gap < maxLimitRetryRenewals*fastRules.RenewIntervalMS {
					t.Errorf("reconnected after %v ms, before the bounded retry delay", gap)
				}
			case <-time.After(testTimeout):
				t.Fatal("the client did not reconnect")
			}
		})
	}
}

func must(b []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return b
}

// When another replica with the same log becomes the leader, the holder of a duty connects to it and keeps the duty.
func TestHolderKeepsDutyAcrossLeaderChange(t *testing.T) {
	steady := clock.Monotonic()
	st := state.New()
	first := newLeader(st)
	firstServer := startServer(t, first, steady)
	second := &fakeReplica{st: st, term: 1, leaderID: "one"}
	secondServer := startServer(t, second, steady)
	c, events := startClient(t, "a#1", map[string]string{"one": firstServer.address, "two": secondServer.address}, steady)
	gained := waitForEvent(t, events, isAllotterGrant)
	first.mu.Lock()
	first.isLeader, first.leaderID = false, "two"
	index := first.index
	first.mu.Unlock()
	second.mu.Lock()
	second.isLeader, second.term, second.index = true, 2, index
	second.mu.Unlock()
	waitForEvent(t, events, func(SessionEstablished) bool { return true })
	waitForEvent(t, events, func(h duty.LeaseRenewed) bool { return h.Name == "allotter" })
	if r, ok := c.ActiveGrant("allotter"); !ok || r != gained.Ref {
		t.Errorf("active grant %+v, %v; granted %+v", r, ok, gained.Ref)
	}
}

// BenchmarkFleet measures, on a simulated clock, the processing cost of servers and duties at the leader and at an order server.
// The disk of the log and the sockets are excluded.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ servers, duties int }{{12, 5}, {100, 20}, {300, 20}, {1000, 20}, {2000, 20}, {4300, 20}} {
		b.Run(fmt.Sprintf("servers=%d/duties=%d", size.servers, size.duties), func(b *testing.B) {
			measureFleet(b, size.servers, size.duties)
		})
	}
}

// BenchmarkDuties measures the same for several numbers of duties, with every server a candidate for all of them.
func BenchmarkDuties(b *testing.B) {
	for _, n := range []int{5, 10, 20, 40, 80} {
		b.Run(fmt.Sprintf("duties=%d", n), func(b *testing.B) { measureFleet(b, 1000, n) })
	}
}

// measureFleet simulates seconds of a fleet in which every server is a candidate for every duty.
func measureFleet(b *testing.B, servers, dutyCount int) {
	r := rules
	r.Duties = nil
	for i := range dutyCount {
		r.Duties = append(r.Duties, duty.DutyRule{Name: fmt.Sprintf("duty-%d", i), TTLMS: 2000})
	}
	st, now, index := state.New(), 1000.0, uint64(0)
	g := &duty.Grantor{Rules: r, Seed: 1}
	g.StartTerm(1, now)
	var fleet []*duty.Machine
	byName := map[string]*duty.Machine{}
	for i := range servers {
		m := duty.NewMachine(r, fmt.Sprintf("os-%d#%016x", i, i), uint64(i))
		fleet = append(fleet, m)
		byName[m.ProcessID] = m
	}
	var entries, bytesIn, bytesOut, heartbeats int
	var replicaTime, clientTime time.Duration
	run := func() { // one second
		for end := now + 1000; now < end; now += batchIntervalMS {
			start := time.Now()
			var heartbeatFrames [][]byte
			for _, m := range fleet {
				for _, a := range m.Tick(now) {
					if s, ok := a.(duty.SendHeartbeat); ok {
						heartbeatFrames = append(heartbeatFrames, must(encodeFrame(clientMessage{Heartbeat: &s.Heartbeat})))
					}
				}
			}
			clientTime += time.Since(start)
			start = time.Now()
			var orders []duty.Order
			var processed []duty.Heartbeat
			for _, f := range heartbeatFrames {
				var m clientMessage
				if err := json.Unmarshal(f[4:], &m); err != nil {
					b.Fatal(err)
				}
				bytesIn += len(f)
				processed = append(processed, *m.Heartbeat)
				orders = append(orders, g.HandleHeartbeat(now, *m.Heartbeat, st.Duties)...)
			}
			orders = append(orders, g.Tick(now, st.Duties)...)
			if len(orders)+len(heartbeatFrames) > 0 {
				entries++
				index++
			}
			st.Apply(state.Command{Op: state.OpLeaseOrders, Orders: orders}, 1)
			for _, o := range orders {
				g.HandleOrderResult(now, o, st.Duties)
			}
			var replyFrames [][]byte
			for _, f := range processed {
				a := g.Reply(f.From, f.Seq, index, st.Duties)
				replyFrames = append(replyFrames, must(encodeFrame(serverMessage{Reply: &a})))
				bytesOut += len(replyFrames[len(replyFrames)-1])
			}
			replicaTime += time.Since(start)
			start = time.Now()
			for i, f := range replyFrames {
				var m serverMessage
				if err := json.Unmarshal(f[4:], &m); err != nil {
					b.Fatal(err)
				}
				byName[processed[i].From].HandleReply(now, *m.Reply)
			}
			clientTime += time.Since(start)
			heartbeats += len(heartbeatFrames)
		}
	}
	run()
	run()
	entries, bytesIn, bytesOut, heartbeats, replicaTime, clientTime = 0, 0, 0, 0, 0, 0
	for b.Loop() {
		run()
	}
	n := float64(b.N)
	b.ReportMetric(float64(entries)/n, "entries/s")
	b.ReportMetric(float64(heartbeats)/n, "heartbeats/s")
	b.ReportMetric(float64(bytesIn)/n, "bytes-in/s")
	b.ReportMetric(float64(bytesOut)/n, "bytes-out/s")
	b.ReportMetric(float64(replicaTime.Microseconds())/n, "copy-µs/s")
	b.ReportMetric(float64(clientTime.Microseconds())/n/float64(servers), "server-µs/s")
}

// BenchmarkArrivals measures, on a simulated clock, the leader's work until all servers of a fleet that connects at one moment are
// present, as after a leader change that outlasted their presence. The disk of the log and the sockets are excluded.
func BenchmarkArrivals(b *testing.B) {
	for _, servers := range []int{300, 1000, 2000, 4300} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			r := rules
			r.Duties = nil
			longest, entries := time.Duration(0), 0
			for b.Loop() {
				st, now := state.New(), 1000.0
				g := &duty.Grantor{Rules: r, Seed: 1}
				g.StartTerm(1, now)
				var heartbeatFrames [][]byte
				for i := range servers {
					processID := fmt.Sprintf("os-%d#%016x", i, i)
					heartbeatFrames = append(heartbeatFrames, must(encodeFrame(clientMessage{Heartbeat: &duty.Heartbeat{From: processID, Seq: 1,
						Candidacies: []string{duty.PresenceName(processID)}}})))
				}
				for entries = 0; st.Duties.CountPresent() < servers; entries++ {
					start := time.Now()
					var orders []duty.Order
					for _, f := range heartbeatFrames {
						var m clientMessage
						if err := json.Unmarshal(f[4:], &m); err != nil {
							b.Fatal(err)
						}
						orders = append(orders, g.HandleHeartbeat(now, *m.Heartbeat, st.Duties)...)
					}
					heartbeatFrames = nil
					orders = append(orders, g.Tick(now, st.Duties)...)
					text, err := json.Marshal(state.Command{Op: state.OpLeaseOrders, Orders: orders})
					if err != nil {
						b.Fatal(err)
					}
					var c state.Command
					if err := json.Unmarshal(text, &c); err != nil {
						b.Fatal(err)
					}
					st.Apply(c, 1)
					for _, o := range orders {
						g.HandleOrderResult(now, o, st.Duties)
					}
					longest = max(longest, time.Since(start))
					now += batchIntervalMS
				}
			}
			b.ReportMetric(float64(longest.Microseconds()), "longest-step-µs")
			b.ReportMetric(float64(entries), "entries")
		})
	}
}

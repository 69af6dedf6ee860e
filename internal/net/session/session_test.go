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

const patience = 60 * time.Second

var rules = duty.Rules{Bounds: duty.Bounds{Rate: 0.1, Margin: 50}, Renew: 300, Cool: 1000, ColdWait: 1000, Presence: 2000,
	Duties: []duty.Terms{{Name: "allotter", TTL: 2000}}}

// oneCopy is a copy whose log is agreed on at once, unless the test says that it does not lead.
type oneCopy struct {
	mu    sync.Mutex
	st    *state.State
	term  uint64
	leads bool
	other string
	index uint64

	begin   chan struct{} // no entry is agreed on before it is closed; nil: each is at once
	largest int           // orders of one entry
}

func (c *oneCopy) Leadership() (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term, c.leads
}

func (c *oneCopy) Leader() string { return c.other }

func (c *oneCopy) Propose(cmd state.Command) func() (state.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	c.largest = max(c.largest, len(cmd.Orders))
	r := c.st.Apply(cmd, c.term)
	return func() (state.Result, error) { return r, nil }
}

func (c *oneCopy) ConfirmLeadership() func() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	return func() error {
		if c.begin != nil {
			<-c.begin
		}
		return nil
	}
}

func (c *oneCopy) View(look func(*state.State, uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	look(c.st, c.index)
}

// place is a server on a port.
type place struct {
	copy   *oneCopy
	server *Server
	at     string
}

func open(t *testing.T, c *oneCopy, steady *clock.Clock) *place {
	t.Helper()
	return openFor(t, c, steady, rules, 16)
}

// openFor opens a server for so many sessions.
func openFor(t *testing.T, c *oneCopy, steady *clock.Clock, r duty.Rules, sessions int) *place {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &place{copy: c, at: ln.Addr().String(), server: NewServer(c, &duty.Grantor{Rules: r, Seed: 1}, sessions, steady, zerolog.Nop())}
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
				p.server.Serve(conn)
			}()
		}
	}()
	go p.server.Run(t.Context())
	return p
}

func join(t *testing.T, me string, copies map[string]string, steady *clock.Clock) (*Client, chan any) {
	events := make(chan any, 1000)
	c := NewClient(Options{Me: me, Copies: copies, Rules: rules, Seed: 1, Steady: steady, Log: zerolog.Nop(), On: func(e any) { events <- e }})
	go c.Run(t.Context())
	return c, events
}

// want waits for an event of a kind.
func want[T any](t *testing.T, events chan any, is func(T) bool) T {
	t.Helper()
	late := time.After(patience)
	for {
		select {
		case e := <-events:
			if v, ok := e.(T); ok && is(v) {
				return v
			}
		case <-late:
			var v T
			t.Fatalf("no %T came", v)
		}
	}
}

func leads(st *state.State) *oneCopy { return &oneCopy{st: st, term: 1, leads: true} }

func gains(g duty.Gained) bool { return g.Name == "allotter" }

// A server is sent on to the copy that leads, gains what it stands for, acts under it, and is refused under any other
// epoch.
func TestHolderActsAndForgedEpochsAreRefused(t *testing.T) {
	steady := clock.Steady()
	lead := open(t, leads(state.New()), steady)
	follow := open(t, &oneCopy{st: state.New(), term: 1, other: "lead"}, steady)
	c, events := join(t, "a#1", map[string]string{"lead": lead.at, "follow": follow.at}, steady)
	g := want(t, events, gains)
	if r, err := c.Act(t.Context(), g.Ref, state.Command{Op: state.Mark}); err != nil || r.N != 1 {
		t.Errorf("%+v %v", r, err)
	}
	forged := duty.Ref{Name: g.Name, Epoch: g.Epoch + 1}
	if _, err := c.Act(t.Context(), forged, state.Command{Op: state.Mark}); !errors.Is(err, ErrStale) || c.Fenced() != 1 {
		t.Errorf("a forged epoch: %v, %d counted", err, c.Fenced())
	}
	if fresh, err := c.Begin("0a"); !fresh || err != nil {
		t.Errorf("%v %v", fresh, err)
	}
	if fresh, err := c.Begin("0a"); fresh || err != nil {
		t.Errorf("begun twice: %v %v", fresh, err)
	}
	var d Duties
	if err := c.Read(t.Context(), ReadDuties, &d); err != nil || d.Marks["allotter"] != 1 || d.Stale["allotter"] != 1 {
		t.Errorf("%+v %v", d, err)
	}
	if err := c.Read(t.Context(), "nonsense", &d); err == nil {
		t.Error("an unknown question has an answer")
	}
	if _, err := c.Do(t.Context(), state.Command{Op: state.Ask, Key: "allotter"}); err != nil {
		t.Fatal(err)
	}
	y := want(t, events, func(duty.Yields) bool { return true })
	c.Quiet(y.Ref)
	want(t, events, func(e duty.Ended) bool { return e.Name == "allotter" && e.Cause == duty.CauseYield })
	for late := time.Now().Add(patience); ; {
		if err := c.Read(t.Context(), ReadDuties, &d); err != nil {
			t.Fatal(err)
		}
		if l := d.Table.Leases["allotter"]; l.Holder == "" || l.Epoch > y.Epoch {
			break
		}
		if time.Now().After(late) {
			t.Fatal("what was handed on is not given back")
		}
	}
	if _, err := c.Act(t.Context(), y.Ref, state.Command{Op: state.Mark}); !errors.Is(err, ErrStale) {
		t.Errorf("an act after the duty was handed on: %v", err)
	}
}

// What no client of ours would send ends its own connection and changes nothing.
func TestMalformedMessagesEndTheirConnection(t *testing.T) {
	lead := open(t, leads(state.New()), clock.Steady())
	message := func(text string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	for name, b := range map[string][]byte{
		"no JSON":                    message("{"),
		"no part":                    message("{}"),
		"nobody's beat":              message(`{"beat":{"no":1}}`),
		"a length of nothing":        {0, 0, 0, 0},
		"a huge length":              {0xff, 0xff, 0xff, 0xff},
		"the grantor's orders":       message(`{"no":1,"do":{"op":"orders","orders":[{"k":"grant","n":"allotter","h":"x","term":1}]}}`),
		"a value of the store":       message(`{"no":1,"do":{"op":"set","key":"k"}}`),
		"an effect of somebody else": message(`{"no":1,"do":{"op":"begin","key":"0a","who":"a#1","epoch":1}}`),
		"two names in one session":   append(message(`{"beat":{"from":"x#1","no":1}}`), message(`{"beat":{"from":"y#1","no":1}}`)...),
		"names without end":          message(fmt.Sprintf(`{"beat":{"from":"x#1","no":1,"stands":[%s"x"]}}`, string(repeat(`"x",`, 100)))),
		"an end in the middle":       message(`{"beat":{"from":"x#1"}}`)[:9],
	} {
		conn, err := net.Dial("tcp", lead.at)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(patience))
		conn.Write(append([]byte{store.PurposeSessions}, b...))
		if name == "an end in the middle" {
			conn.(*net.TCPConn).CloseWrite()
		}
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: the connection stands", name)
		}
		conn.Close()
	}
	lead.copy.View(func(st *state.State, _ uint64) {
		if len(st.Duties.Leases)+len(st.Values)+len(st.Effects.Effects) > 0 {
			t.Errorf("something was changed: %+v %+v %+v", st.Duties.Leases, st.Values, st.Effects.Effects)
		}
	})
}

func repeat(s string, n int) (b []byte) {
	for range n {
		b = append(b, s...)
	}
	return b
}

// Sessions past the bound are turned away, and their room is free again when one ends.
func TestSessionsAreBounded(t *testing.T) {
	lead := open(t, leads(state.New()), clock.Steady())
	var conns []net.Conn
	ask := func() error { // opens a session and has one question answered
		conn, err := net.Dial("tcp", lead.at)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(patience))
		conn.Write(append([]byte{store.PurposeSessions}, must(framed(toCopy{Read: ReadFleet, No: 1}))...))
		conns = append(conns, conn)
		var m toServer
		if err := newReader(conn, 0).Next(&m); err != nil {
			return err
		}
		if m.RetryMs > 0 {
			return &fullError{m.RetryMs}
		}
		if m.No != 1 {
			t.Fatalf("%+v", m)
		}
		return nil
	}
	for range 16 {
		if err := ask(); err != nil {
			t.Fatal(err)
		}
	}
	var full *fullError
	if err := ask(); !errors.As(err, &full) {
		t.Errorf("one more than the bound is not told when to come back: %v", err)
	} else if least, most := fullRetry*rules.Renew*0.5, fullRetry*rules.Renew*1.5; full.retryMs < least || full.retryMs > most {
		t.Errorf("it may come back in %v ms; from %v to %v are wanted", full.retryMs, least, most)
	}
	if f := lead.server.Figures(); f.Open != 16 || f.Cut != 1 {
		t.Errorf("%+v", f)
	}
	conns[0].Close()
	for late := time.Now().Add(patience); ask() != nil; {
		if time.Now().After(late) {
			t.Fatal("no room after one has ended")
		}
	}
}

// Servers that come at once, while the copy is busy with its term's first entry, are all granted their presence, in entries that
// are each bounded.
func TestServersThatComeAtOnceAreTakenInSteps(t *testing.T) {
	const fleet = 2*duty.MaxOrders + 100
	copy := leads(state.New())
	copy.begin = make(chan struct{})
	patient := rules
	patient.Renew = clock.Millis(patience) // no session is cut off for its silence while the others come
	lead := openFor(t, copy, clock.Steady(), patient, fleet)
	for i := range fleet {
		conn, err := net.Dial("tcp", lead.at)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		who := fmt.Sprintf("os-%d#1", i)
		conn.Write(append([]byte{store.PurposeSessions}, must(framed(toCopy{Heartbeat: &duty.Heartbeat{From: who, No: 1, Stands: []string{duty.PresenceOf(who)}}}))...))
		go io.Copy(io.Discard, conn)
	}
	until := func(what string, holds func() bool) {
		for late := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
			if time.Now().After(late) {
				t.Fatalf("not within %s: %s", patience, what)
			}
		}
	}
	until("all heartbeats are in", func() bool { return lead.server.Figures().Heartbeats == fleet })
	close(copy.begin)
	present := 0
	until("all are present", func() bool {
		copy.View(func(st *state.State, _ uint64) { present = max(present, st.Duties.Present()) })
		return present == fleet
	})
	copy.mu.Lock()
	defer copy.mu.Unlock()
	if copy.largest > duty.MaxOrders {
		t.Errorf("an entry with %d orders", copy.largest)
	}
}

// A server that a full copy sends away comes back no sooner than it was told, and is served once there is room.
func TestServerComesBackWhenItWasTold(t *testing.T) {
	t.Parallel()
	steady, slow := clock.Steady(), rules
	slow.Renew = 1000 // so that no session is given up as silent on a busy machine
	lead := openFor(t, leads(state.New()), steady, slow, 16)
	var conns []net.Conn
	for range 16 {
		conn, err := net.Dial("tcp", lead.at)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.Write([]byte{store.PurposeSessions})
		go func() { // a session that says nothing is cut off
			for conn.SetWriteDeadline(time.Now().Add(patience)) == nil {
				if _, err := conn.Write(must(framed(toCopy{Read: ReadFleet, No: 1}))); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		go io.Copy(io.Discard, conn)
		conns = append(conns, conn)
	}
	for late := time.Now().Add(patience); lead.server.Figures().Open < 16; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("the sessions do not open")
		}
	}
	var mu sync.Mutex
	var tries []float64
	c := NewClient(Options{Me: "a#1", Copies: map[string]string{"lead": lead.at}, Rules: slow, Seed: 1, Steady: steady, Log: zerolog.Nop(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			mu.Lock()
			tries = append(tries, steady.Now())
			mu.Unlock()
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}})
	go c.Run(t.Context())
	for late := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		mu.Lock()
		n := len(tries)
		mu.Unlock()
		if n >= 3 {
			break
		}
		if time.Now().After(late) {
			t.Fatalf("%d tries", n)
		}
	}
	mu.Lock()
	for i := 1; i < len(tries); i++ {
		if gap := tries[i] - tries[i-1]; gap < fullRetry*slow.Renew*0.5 {
			t.Errorf("tried again after %v ms", gap)
		}
	}
	mu.Unlock()
	conns[0].Close()
	for late := time.Now().Add(patience); !c.Linked(); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("not served once there is room")
		}
	}
}

// A copy that sends a server away for days, or for longer than a clock can wait, is tried again after some renewals, no sooner.
func TestRetryOfAFullCopyIsBounded(t *testing.T) {
	for _, retryMs := range []float64{1e9, 1e300} {
		t.Run(fmt.Sprint(retryMs), func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { ln.Close() })
			steady := clock.Steady()
			tries := make(chan float64, 1000)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					tries <- steady.Now()
					conn.Write(must(framed(toServer{RetryMs: retryMs})))
					go io.Copy(io.Discard, conn)
				}
			}()
			quick := rules
			quick.Renew = 200
			c := NewClient(Options{Me: "a#1", Copies: map[string]string{"a": ln.Addr().String()}, Rules: quick, Seed: 1, Steady: steady, Log: zerolog.Nop()})
			go c.Run(t.Context())
			first := <-tries
			select {
			case second := <-tries:
				if gap := second - first; gap < fullMost*quick.Renew {
					t.Errorf("tried again after %v ms", gap)
				}
			case <-time.After(patience):
				t.Fatal("not tried again")
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

// The copy that leads falls silent and another takes office with the same log: the holder finds it and keeps its duty.
func TestHolderKeepsItsDutyOverAChangeOfLeader(t *testing.T) {
	steady := clock.Steady()
	st := state.New()
	first := leads(st)
	one := open(t, first, steady)
	second := &oneCopy{st: st, term: 1, other: "one"}
	two := open(t, second, steady)
	c, events := join(t, "a#1", map[string]string{"one": one.at, "two": two.at}, steady)
	g := want(t, events, gains)
	first.mu.Lock()
	first.leads, first.other = false, "two"
	index := first.index
	first.mu.Unlock()
	second.mu.Lock()
	second.leads, second.term, second.index = true, 2, index
	second.mu.Unlock()
	want(t, events, func(Linked) bool { return true })
	want(t, events, func(h duty.Held) bool { return h.Name == "allotter" })
	if r, ok := c.May("allotter"); !ok || r != g.Ref {
		t.Errorf("held under %+v, %v; gained under %+v", r, ok, g.Ref)
	}
}

// BenchmarkFleet measures on a set clock what servers and duties cost a copy and an order server, by the messages that
// they exchange; the log's disk and the sockets are not in it.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ servers, duties int }{{12, 5}, {100, 20}, {300, 20}, {1000, 20}, {2000, 20}, {4300, 20}} {
		b.Run(fmt.Sprintf("servers=%d/duties=%d", size.servers, size.duties), func(b *testing.B) { measureFleet(b, size.servers, size.duties) })
	}
}

// BenchmarkDuties measures the same by the number of duties, for which all servers stand.
func BenchmarkDuties(b *testing.B) {
	for _, n := range []int{5, 10, 20, 40, 80} {
		b.Run(fmt.Sprintf("duties=%d", n), func(b *testing.B) { measureFleet(b, 1000, n) })
	}
}

// measureFleet plays seconds of a fleet all of whose servers stand for all duties.
func measureFleet(b *testing.B, servers, dutyCount int) {
	r := rules
	r.Duties = nil
	for i := range dutyCount {
		r.Duties = append(r.Duties, duty.Terms{Name: fmt.Sprintf("duty-%d", i), TTL: 2000})
	}
	st, now, index := state.New(), 1000.0, uint64(0)
	g := &duty.Grantor{Rules: r, Seed: 1}
	g.Lead(1, now)
	var fleet []*duty.Machine
	byName := map[string]*duty.Machine{}
	for i := range servers {
		m := duty.NewMachine(r, fmt.Sprintf("os-%d#%016x", i, i), uint64(i))
		fleet = append(fleet, m)
		byName[m.Me] = m
	}
	var entries, in, out, heartbeats int
	var ours, theirs time.Duration
	run := func() { // one second
		for end := now + 1000; now < end; now += batchEvery {
			begun := time.Now()
			var came [][]byte
			for _, m := range fleet {
				for _, a := range m.Tick(now) {
					if s, ok := a.(duty.Send); ok {
						came = append(came, must(framed(toCopy{Heartbeat: &s.Heartbeat})))
					}
				}
			}
			theirs += time.Since(begun)
			begun = time.Now()
			var orders []duty.Order
			var from []duty.Heartbeat
			for _, f := range came {
				var m toCopy
				if err := json.Unmarshal(f[4:], &m); err != nil {
					b.Fatal(err)
				}
				in += len(f)
				from = append(from, *m.Heartbeat)
				orders = append(orders, g.Take(now, *m.Heartbeat, st.Duties)...)
			}
			orders = append(orders, g.Tick(now, st.Duties)...)
			if len(orders)+len(came) > 0 {
				entries++
				index++
			}
			st.Apply(state.Command{Op: state.Orders, Orders: orders}, 1)
			for _, o := range orders {
				g.Done(now, o, st.Duties)
			}
			var told [][]byte
			for _, f := range from {
				a := g.Answer(f.From, f.No, index, st.Duties)
				told = append(told, must(framed(toServer{Reply: &a})))
				out += len(told[len(told)-1])
			}
			ours += time.Since(begun)
			begun = time.Now()
			for i, f := range told {
				var m toServer
				if err := json.Unmarshal(f[4:], &m); err != nil {
					b.Fatal(err)
				}
				byName[from[i].From].HandleReply(now, *m.Reply)
			}
			theirs += time.Since(begun)
			heartbeats += len(came)
		}
	}
	run()
	run()
	entries, in, out, heartbeats, ours, theirs = 0, 0, 0, 0, 0, 0
	for b.Loop() {
		run()
	}
	n := float64(b.N)
	b.ReportMetric(float64(entries)/n, "entries/s")
	b.ReportMetric(float64(heartbeats)/n, "heartbeats/s")
	b.ReportMetric(float64(in)/n, "bytes-in/s")
	b.ReportMetric(float64(out)/n, "bytes-out/s")
	b.ReportMetric(float64(ours.Microseconds())/n, "copy-µs/s")
	b.ReportMetric(float64(theirs.Microseconds())/n/float64(servers), "server-µs/s")
}

// BenchmarkArrivals measures at the copy that leads, on a set clock, what it takes until all servers of a fleet that comes at one
// moment are present, as after a change of leader that took too long; the log's disk and the sockets are not in it.
func BenchmarkArrivals(b *testing.B) {
	for _, servers := range []int{300, 1000, 2000, 4300} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			r := rules
			r.Duties = nil
			longest, entries := time.Duration(0), 0
			for b.Loop() {
				st, now := state.New(), 1000.0
				g := &duty.Grantor{Rules: r, Seed: 1}
				g.Lead(1, now)
				var came [][]byte
				for i := range servers {
					who := fmt.Sprintf("os-%d#%016x", i, i)
					came = append(came, must(framed(toCopy{Heartbeat: &duty.Heartbeat{From: who, No: 1, Stands: []string{duty.PresenceOf(who)}}})))
				}
				for entries = 0; st.Duties.Present() < servers; entries++ {
					begun := time.Now()
					var orders []duty.Order
					for _, f := range came {
						var m toCopy
						if err := json.Unmarshal(f[4:], &m); err != nil {
							b.Fatal(err)
						}
						orders = append(orders, g.Take(now, *m.Heartbeat, st.Duties)...)
					}
					came = nil
					orders = append(orders, g.Tick(now, st.Duties)...)
					text, err := json.Marshal(state.Command{Op: state.Orders, Orders: orders})
					if err != nil {
						b.Fatal(err)
					}
					var c state.Command
					if err := json.Unmarshal(text, &c); err != nil {
						b.Fatal(err)
					}
					st.Apply(c, 1)
					for _, o := range orders {
						g.Done(now, o, st.Duties)
					}
					longest = max(longest, time.Since(begun))
					now += batchEvery
				}
			}
			b.ReportMetric(float64(longest.Microseconds()), "longest-step-µs")
			b.ReportMetric(float64(entries), "entries")
		})
	}
}

package session

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/allot"
	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/frame"
	"puffinsaddle/internal/mailbox"
	"puffinsaddle/internal/net/meter"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/state"
)

const (
	batchEvery = 20.0 // ms; heartbeats that come within it are proven by one entry of the log
	mostDoing  = 64   // commands of one session under way; more wait in its socket
	silentFor  = 10   // a session that says nothing for so many renewals is cut off
	mostFor    = 256  // orphans told at once

	fullRetry     = 4.0 // renewals after which a full copy may be asked again, a half less or more
	maxTurnedAway = 256 // servers that are told so at once; others hear nothing
)

// Copy is the copy of the store at which a server of sessions stands.
type Copy interface {
	Office() (term uint64, leads bool)
	Leader() string
	Propose(c state.Command) func() (state.Result, error)
	Prove() func() error
	View(look func(st *state.State, index uint64))
}

// Server serves sessions at a copy. One goroutine, Run, owns the grantor; it waits for no socket and no disk.
type Server struct {
	Led func(term uint64) // called when this copy begins to grant in a term; nil: nobody asks
	// ConfigStatus answers ReadConfig; nil: this copy serves no relays.
	ConfigStatus func() distribution.Status
	// CheckChange refuses a change of records whose values make no sense, before it is written to the log; nil: none is.
	CheckChange func(c records.Change) error

	copy  Copy
	clk   *clock.Clock // steady
	log   zerolog.Logger
	g     *duty.Grantor
	most  int
	inbox *mailbox.Box[any]
	open  atomic.Int64

	turnedAway atomic.Int64 // servers that are being told that there is no room

	leads atomic.Uint64
	count counts
	bytes meter.ByteCounts

	// The owner's.
	batch      []any
	heartbeats map[*caller]*toCopy // to be taken
	asks       []question
	office     uint64 // the term in which the state is known to be whole; 0: none
	proposing  bool
	believes   bool               // the copy led at a look some time ago; the planted bug goes by that alone
	looks      int                // that found it not leading
	callers    map[string]*caller // by process: who said the latest heartbeat
	latest     map[string]uint64  // number of the latest heartbeat that was taken, by process
	needs      map[string]int64
	armed      bool
}

type counts struct {
	mu                                sync.Mutex
	Heartbeats, Entries, Answers, Cut uint64
}

// ServerFigures are counts from the start of the process.
type ServerFigures struct {
	Heartbeats uint64 `json:"heartbeats"` // taken
	Entries    uint64 `json:"entries"`    // entries of the log written for heartbeats and questions
	Answers    uint64 `json:"answers"`
	Cut        uint64 `json:"cut"` // sessions ended for what they sent, or did not
	Open       int64  `json:"open"`
	Term       uint64 `json:"term"` // in which this copy leads; 0: it does not

	Sent     uint64 `json:"sent"`     // bytes
	Received uint64 `json:"received"` // bytes
}

// caller is one session.
type caller struct {
	line *line
	who  atomic.Pointer[string] // whose it is; set by its first heartbeat
	slot chan struct{}
}

type (
	heard struct {
		from *caller
		m    toCopy
	}
	question struct {
		from *caller
		no   uint64
		what string
	}
	left     struct{ from *caller }
	proposal struct {
		term       uint64
		orders     []duty.Order
		result     state.Result
		err        error
		heartbeats map[*caller]*toCopy
		asks       []question
	}
)

// NewServer makes a server for so many sessions at once; Run has to be called for it to answer.
func NewServer(c Copy, g *duty.Grantor, most int, steady *clock.Clock, log zerolog.Logger) *Server {
	return &Server{copy: c, clk: steady, log: log, g: g, most: most, inbox: mailbox.New[any](), heartbeats: map[*caller]*toCopy{},
		callers: map[string]*caller{}, latest: map[string]uint64{}, needs: map[string]int64{}}
}

// Figures reads the counts.
func (d *Server) Figures() ServerFigures {
	d.count.mu.Lock()
	defer d.count.mu.Unlock()
	return ServerFigures{d.count.Heartbeats, d.count.Entries, d.count.Answers, d.count.Cut, d.open.Load(), d.leads.Load(),
		d.bytes.Out.Load(), d.bytes.In.Load()}
}

func (d *Server) add(n *uint64) {
	d.count.mu.Lock()
	*n++
	d.count.mu.Unlock()
}

// Serve serves one session to its end.
func (d *Server) Serve(conn net.Conn) {
	defer conn.Close()
	conn = meter.New(conn, &d.bytes)
	if d.open.Add(1) > int64(d.most) {
		d.open.Add(-1)
		d.add(&d.count.Cut)
		d.refuse(conn)
		return
	}
	defer d.open.Add(-1)
	c := &caller{line: newLine(conn), slot: make(chan struct{}, mostDoing)}
	defer close(c.line.done)
	defer d.inbox.Put(left{c})
	r := newReader(conn, clock.Duration(silentFor*d.g.RenewIntervalMS))
	for {
		var m toCopy
		err := r.Next(&m)
		if err == nil {
			err = d.take(c, m)
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, net.ErrClosed) {
				d.add(&d.count.Cut)
			}
			d.log.Debug().Err(err).Msg("session ended")
			return
		}
	}
}

// refuse tells a server for which there is no room when to come back. Its first message is read before: a close over what is
// unread would reset the connection, and the answer with it.
func (d *Server) refuse(conn net.Conn) {
	if d.turnedAway.Add(1) > maxTurnedAway {
		d.turnedAway.Add(-1)
		return
	}
	defer d.turnedAway.Add(-1)
	late := time.AfterFunc(frame.MessageTimeout, func() { conn.Close() })
	defer late.Stop()
	var first toCopy
	if newReader(conn, frame.MessageTimeout).Next(&first) != nil {
		return
	}
	frame.Send(conn, toServer{RetryMs: fullRetry * d.g.RenewIntervalMS * (0.5 + rand.Float64())}, mostMessage)
}

// take sorts one message; an error ends the session.
func (d *Server) take(c *caller, m toCopy) error {
	switch {
	case m.Heartbeat != nil:
		if err := c.is(m.Heartbeat.From); err != nil {
			return err
		}
		if len(m.Heartbeat.Candidacies)+len(m.Heartbeat.Renewals)+len(m.Heartbeat.Releases) > 4*(len(d.g.Duties)+1) {
			return fmt.Errorf("session: a heartbeat with %d names", len(m.Heartbeat.Candidacies)+len(m.Heartbeat.Renewals)+len(m.Heartbeat.Releases))
		}
		d.inbox.Put(heard{c, m})
	case m.Do != nil:
		if err := c.may(*m.Do); err != nil {
			return err
		}
		c.slot <- struct{}{}
		go func() {
			defer func() { <-c.slot }()
			d.do(c, m.No, *m.Do)
		}()
	case m.Read != "":
		d.inbox.Put(question{c, m.No, m.Read})
	default:
		return fmt.Errorf("session: a message without a part")
	}
	return nil
}

// is binds a session to one process.
func (c *caller) is(who string) error {
	if who == "" || len(who) > 128 {
		return fmt.Errorf("session: a heartbeat of nobody")
	}
	if c.who.CompareAndSwap(nil, &who); *c.who.Load() != who {
		return fmt.Errorf("session: %q speaks in the session of %q", who, *c.who.Load())
	}
	return nil
}

// may tells whether a session may have a command carried out: what comes from outside speaks for itself alone, and
// never for the grantor.
func (c *caller) may(cmd state.Command) error {
	switch cmd.Op {
	case state.OpFenced, state.OpRequestYield, state.OpFreezeDuty, state.OpUnfreezeDuty, state.OpChangeRecords:
		return nil
	case state.OpBeginEffect, state.OpEndEffects, state.OpAcknowledgeVersion:
		if who := c.who.Load(); who != nil && *who == cmd.Process {
			return nil
		}
		return fmt.Errorf("session: %s for %q, who is not in this session", cmd.Op, cmd.Process)
	}
	return fmt.Errorf("session: %q is not taken from a session", cmd.Op)
}

func (d *Server) do(c *caller, no uint64, cmd state.Command) {
	if _, leads := d.copy.Office(); !leads {
		d.elsewhere(c, no)
		return
	}
	if err := d.checkChange(cmd); err != nil {
		c.line.send(toServer{No: no, Result: &state.Result{Error: err.Error()}})
		return
	}
	r, err := d.copy.Propose(cmd)()
	m := toServer{No: no, Result: &r}
	if err != nil {
		m.Result, m.Error = nil, err.Error()
	}
	if r.Stale {
		d.log.Warn().Str("refused", r.Error).Msg("fenced")
	}
	c.line.send(m)
}

func (d *Server) checkChange(cmd state.Command) error {
	if cmd.Op != state.OpChangeRecords || cmd.Change == nil || d.CheckChange == nil {
		return nil
	}
	if err := cmd.Change.Check(); err != nil {
		return err
	}
	return d.CheckChange(*cmd.Change)
}

func (d *Server) elsewhere(c *caller, no uint64) {
	id := d.copy.Leader()
	c.line.send(toServer{No: no, Else: &id})
}

// Run answers until the context ends.
func (d *Server) Run(ctx context.Context) {
	for {
		d.arm()
		select {
		case <-ctx.Done():
			return
		case <-d.inbox.Ready:
		}
		d.step()
	}
}

func (d *Server) arm() {
	if !d.armed {
		d.armed = true
		d.clk.After(batchEvery, func() { d.inbox.Put(tick{}) })
	}
}

type tick struct{}

func (d *Server) step() {
	d.batch = d.inbox.TakeAll(d.batch)
	look := false
	for i, e := range d.batch {
		switch e := e.(type) {
		case tick:
			d.armed, look = false, true
		case heard:
			if old := d.heartbeats[e.from]; old != nil && old.Ack > e.m.Ack {
				e.m.Ack = old.Ack
			}
			if old := d.heartbeats[e.from]; old != nil {
				e.m.Heartbeat.Releases = append(e.m.Heartbeat.Releases, old.Heartbeat.Releases...) // the later heartbeat speaks for both
			}
			d.heartbeats[e.from] = &e.m
			if d.g.InjectedBug == duty.BugUnproven && d.believes {
				d.copy.View(func(st *state.State, index uint64) {
					d.answer(e.from, e.m.Heartbeat.From, e.m.Heartbeat.Seq, index, st)
				})
			}
			d.add(&d.count.Heartbeats)
		case question:
			d.asks = append(d.asks, e)
		case left:
			delete(d.heartbeats, e.from)
			d.asks = slices.DeleteFunc(d.asks, func(q question) bool { return q.from == e.from })
			if who := e.from.who.Load(); who != nil && d.callers[*who] == e.from {
				delete(d.callers, *who)
				delete(d.latest, *who)
				delete(d.needs, *who)
			}
		case proposal:
			d.confirm(e)
		}
		d.batch[i] = nil
	}
	if !look || d.proposing {
		return // once a tick, so that heartbeats share an entry
	}
	term, leads := d.copy.Office()
	switch {
	case !leads:
		d.office = 0
		d.leads.Store(0)
		if d.looks++; d.looks%10 == 0 { // the planted bug looks that seldom
			d.believes = false
		}
		for c := range d.heartbeats {
			d.elsewhere(c, 0)
		}
		for _, q := range d.asks {
			d.elsewhere(q.from, q.no)
		}
		clear(d.heartbeats)
		d.asks = nil
	case term != d.office:
		// What earlier leaders agreed on may not have reached this copy yet. Until it has, nobody is heard: a grant that
		// is not seen would count as not renewed.
		d.propose(proposal{term: term})
	default:
		d.work(term)
	}
}

// work takes the heartbeats and writes what they and the time call for.
func (d *Server) work(term uint64) {
	now := d.clk.Now() // after the heartbeats came: a holder counts from when it sent one
	f := proposal{term: term, heartbeats: d.heartbeats, asks: d.asks}
	var acks []state.Command
	d.copy.View(func(st *state.State, _ uint64) {
		for c, m := range d.heartbeats {
			b := *m.Heartbeat
			d.callers[b.From], d.latest[b.From] = c, max(d.latest[b.From], b.Seq)
			d.needs[b.From] = m.Need
			f.orders = append(f.orders, d.g.HandleHeartbeat(now, b, st.Duties)...)
			if s := st.Allocations.Shares[b.From]; s != nil && s.Cap > s.Target && s.Version == m.Ack {
				acks = append(acks, state.Command{Op: state.OpAcknowledgeAllocation, Process: b.From, Epoch: m.Ack})
			}
		}
		f.orders = append(f.orders, d.g.Tick(now, st.Duties)...)
	})
	for _, a := range acks {
		d.copy.Propose(a) // nobody waits for it: the next heartbeat says it again
	}
	if len(f.heartbeats)+len(f.asks)+len(f.orders) == 0 {
		return
	}
	d.heartbeats, d.asks = map[*caller]*toCopy{}, nil
	d.propose(f)
}

// propose writes an entry of the log and comes back with what it came to. One is under way at a time: what comes meanwhile
// shares the next.
func (d *Server) propose(f proposal) {
	d.proposing = true
	d.add(&d.count.Entries)
	if len(f.orders) > 0 {
		wait := d.copy.Propose(state.Command{Op: state.OpLeaseOrders, Orders: f.orders})
		go func() {
			f.result, f.err = wait()
			d.inbox.Put(f)
		}()
		return
	}
	wait := d.copy.Prove()
	go func() {
		f.err = wait()
		d.inbox.Put(f)
	}()
}

func (d *Server) confirm(f proposal) {
	d.proposing = false
	now := d.clk.Now()
	if f.heartbeats == nil && f.err == nil { // the term's first entry
		if term, leads := d.copy.Office(); leads && term == f.term {
			d.office, d.believes = f.term, true
			d.leads.Store(f.term)
			d.g.StartTerm(f.term, now)
			clear(d.latest)
			if d.Led != nil {
				d.Led(f.term)
			}
			d.log.Info().Uint64("term", f.term).Msg("grants duties")
		}
		return
	}
	if f.err != nil {
		d.office = 0 // whatever was agreed on after all is seen once the next entry is
		d.log.Warn().Err(f.err).Msg("not confirmed")
		return
	}
	d.copy.View(func(st *state.State, index uint64) {
		granted := map[string]bool{}
		for i, o := range f.orders {
			d.g.HandleOrderResult(now, o, st.Duties)
			ok := i < len(f.result.Refusals) && f.result.Refusals[i] == ""
			if ok {
				d.log.Info().Str("order", o.Kind).Str("duty", o.Name).Str("holder", o.Holder).Uint64("epoch", epochNow(st, o)).Msg("duty")
			}
			if ok && o.Kind == duty.Grant {
				granted[o.Holder] = true
			}
		}
		for c, m := range f.heartbeats {
			delete(granted, m.Heartbeat.From)
			d.answer(c, m.Heartbeat.From, m.Heartbeat.Seq, index, st)
		}
		for who := range granted { // its last heartbeat stood for it, and the grant was written after that came
			if c := d.callers[who]; c != nil && d.latest[who] > 0 {
				d.answer(c, who, d.latest[who], index, st)
			}
		}
		for _, q := range f.asks {
			d.reply(q, st, f.term)
		}
	})
}

func epochNow(st *state.State, o duty.Order) uint64 {
	if l := st.Duties.Leases[o.Name]; l != nil {
		return l.Epoch
	}
	return o.Epoch
}

func (d *Server) answer(c *caller, who string, no, index uint64, st *state.State) {
	told := d.g.Reply(who, no, index, st.Duties)
	m := toServer{Reply: &told, Version: st.Config.Latest().No}
	if s := st.Allocations.Shares[who]; s != nil {
		v := *s
		m.Share = &v
	}
	d.add(&d.count.Answers)
	c.line.send(m)
}

func (d *Server) reply(q question, st *state.State, term uint64) {
	var v any
	switch q.what {
	case ReadFleet:
		f := Fleet{Pool: st.Allocations.Pool}
		for _, who := range st.Allocations.Processes() {
			f.Of = append(f.Of, allot.ProcessNeed{Who: who, Need: d.needs[who], Share: *st.Allocations.Shares[who]})
		}
		v = f
	case ReadEffects:
		v = Effects{Seq: st.Effects.Seq, Kept: len(st.Effects.Effects), Orphans: st.Effects.Orphans(st.PresenceInForce, mostFor)}
	case ReadDuties:
		o := Duties{Table: st.Duties.Clone(), Marks: st.Counters, Stale: st.StaleRefusals, Words: map[string]string{}, Term: term, Lead: d.copy.Leader()}
		for who, w := range st.Config.Acknowledgements {
			o.Words[who] = fmt.Sprintf("%d taken", w.No)
			if w.Reason != "" {
				o.Words[who] = fmt.Sprintf("%d turned down: %s", w.No, w.Reason)
			}
		}
		v = o
	case ReadVersion:
		v = st.Config.Latest()
	case ReadConfig:
		s := distribution.Status{Revision: st.Records.Revision()}
		if d.ConfigStatus != nil {
			s.Regions = d.ConfigStatus().Regions
		}
		v = s
	default:
		q.from.line.send(toServer{No: q.no, Error: fmt.Sprintf("session: unknown question %q", q.what)})
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		q.from.line.send(toServer{No: q.no, Error: err.Error()})
		return
	}
	q.from.line.send(toServer{No: q.no, Body: b})
}

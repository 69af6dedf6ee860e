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
	batchEvery = 20.0 // ms; heartbeats that arrive within it are confirmed by one log entry
	mostDoing  = 64   // commands of one session in flight; further ones wait in its socket
	silentFor  = 10   // renewal intervals; a session that is silent for longer is closed
	mostFor    = 256  // orphaned effects in one reply

	fullRetry     = 4.0 // renewal intervals; retry delay sent by a replica at its session limit, with jitter of ±50 %
	maxTurnedAway = 256 // refusals being sent at once; beyond that, connections are closed without a reply
)

// Copy is the store replica in whose process a Server runs.
type Copy interface {
	Office() (term uint64, leads bool)
	Leader() string
	Propose(c state.Command) func() (state.Result, error)
	Prove() func() error
	View(look func(st *state.State, index uint64))
}

// Server serves sessions at a store replica. The goroutine of Run owns the grantor and never blocks on a socket or the disk.
type Server struct {
	OnTermStart func(term uint64) // called when this replica starts to grant duties in a term; nil: ignored
	// ConfigStatus supplies the result of ReadConfig; nil: this replica serves no relays.
	ConfigStatus func() distribution.Status
	// CheckChange rejects a change of records with invalid values before it is written to the log; nil: all are accepted.
	CheckChange func(c records.Change) error

	copy  Copy
	clk   *clock.Clock // steady
	log   zerolog.Logger
	g     *duty.Grantor
	most  int
	inbox *mailbox.Box[any]
	open  atomic.Int64

	turnedAway atomic.Int64 // refusals in progress because of the session limit

	leads atomic.Uint64
	count counts
	bytes meter.Count

	// Owned by the goroutine of Run.
	batch      []any
	heartbeats map[*caller]*toCopy // not yet processed
	asks       []question
	office     uint64 // term for which the local state is known to be complete; 0: none
	proposing  bool
	believes   bool               // the replica was the leader at an earlier check; used only by the injected bug
	looks      int                // checks that found the replica not leading
	callers    map[string]*caller // by process: the session of its latest heartbeat
	latest     map[string]uint64  // by process: number of the latest processed heartbeat
	needs      map[string]int64
	armed      bool
}

type counts struct {
	mu                                sync.Mutex
	Heartbeats, Entries, Answers, Cut uint64
}

// ServerMetrics are the metrics of a Server since the start of the process.
type ServerMetrics struct {
	Heartbeats   uint64 `json:"heartbeats"` // processed
	LogEntries   uint64 `json:"entries"`    // log entries written for heartbeats and queries
	Replies      uint64 `json:"answers"`
	Terminated   uint64 `json:"cut"` // sessions refused, or closed for an invalid message or for silence
	OpenSessions int64  `json:"open"`
	Term         uint64 `json:"term"` // term in which this replica is the leader; 0: it is not

	SentBytes     uint64 `json:"sent"`     // bytes
	ReceivedBytes uint64 `json:"received"` // bytes
}

// caller is one session.
type caller struct {
	line *line
	who  atomic.Pointer[string] // process that owns the session; set by its first heartbeat
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

// NewServer returns a server for at most the given number of concurrent sessions. It answers once Run is called.
func NewServer(c Copy, g *duty.Grantor, most int, steady *clock.Clock, log zerolog.Logger) *Server {
	return &Server{copy: c, clk: steady, log: log, g: g, most: most, inbox: mailbox.New[any](), heartbeats: map[*caller]*toCopy{},
		callers: map[string]*caller{}, latest: map[string]uint64{}, needs: map[string]int64{}}
}

// Metrics returns the current metrics.
func (d *Server) Metrics() ServerMetrics {
	d.count.mu.Lock()
	defer d.count.mu.Unlock()
	return ServerMetrics{d.count.Heartbeats, d.count.Entries, d.count.Answers, d.count.Cut, d.open.Load(), d.leads.Load(),
		d.bytes.Out.Load(), d.bytes.In.Load()}
}

func (d *Server) add(n *uint64) {
	d.count.mu.Lock()
	*n++
	d.count.mu.Unlock()
}

// Serve serves one session until it ends.
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
	r := newReader(conn, clock.Duration(silentFor*d.g.Renew))
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

// refuse sends a client the time after which it may reconnect, because the session limit is reached. It reads the client's first
// message before: closing a socket with unread data would reset the connection and discard the reply.
func (d *Server) refuse(conn net.Conn) {
	if d.turnedAway.Add(1) > maxTurnedAway {
		d.turnedAway.Add(-1)
		return
	}
	defer d.turnedAway.Add(-1)
	late := time.AfterFunc(frame.Whole, func() { conn.Close() })
	defer late.Stop()
	var first toCopy
	if newReader(conn, frame.Whole).Next(&first) != nil {
		return
	}
	frame.Send(conn, toServer{RetryMs: fullRetry * d.g.Renew * (0.5 + rand.Float64())}, mostMessage)
}

// take dispatches one message. An error ends the session.
func (d *Server) take(c *caller, m toCopy) error {
	switch {
	case m.Heartbeat != nil:
		if err := c.is(m.Heartbeat.From); err != nil {
			return err
		}
		if len(m.Heartbeat.Stands)+len(m.Heartbeat.Renews)+len(m.Heartbeat.Gives) > 4*(len(d.g.Duties)+1) {
			return fmt.Errorf("session: heartbeat has too many duty names: %d", len(m.Heartbeat.Stands)+len(m.Heartbeat.Renews)+len(m.Heartbeat.Gives))
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
		return fmt.Errorf("session: empty message")
	}
	return nil
}

// is binds the session to one process. It fails if the session is bound to another process.
func (c *caller) is(who string) error {
	if who == "" || len(who) > 128 {
		return fmt.Errorf("session: heartbeat without a valid process name")
	}
	if c.who.CompareAndSwap(nil, &who); *c.who.Load() != who {
		return fmt.Errorf("session: heartbeat of %q in the session of %q", who, *c.who.Load())
	}
	return nil
}

// may checks whether a session is authorized to run a command. A session acts only for its own process, and never for the
// grantor.
func (c *caller) may(cmd state.Command) error {
	switch cmd.Op {
	case state.Act, state.Ask, state.Freeze, state.Thaw, state.Change:
		return nil
	case state.Begin, state.End, state.AcknowledgeVersion:
		if who := c.who.Load(); who != nil && *who == cmd.Who {
			return nil
		}
		return fmt.Errorf("session: %s for %q, which does not own this session", cmd.Op, cmd.Who)
	}
	return fmt.Errorf("session: command %q is not allowed in a session", cmd.Op)
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
	if cmd.Op != state.Change || cmd.Change == nil || d.CheckChange == nil {
		return nil
	}
	if err := cmd.Change.Check(); err != nil {
		return err
	}
	return d.CheckChange(*cmd.Change)
}

// elsewhere sends a client to the leader.
func (d *Server) elsewhere(c *caller, no uint64) {
	id := d.copy.Leader()
	c.line.send(toServer{No: no, Else: &id})
}

// Run processes heartbeats and queries until the context ends.
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

// arm schedules the next tick unless one is pending.
func (d *Server) arm() {
	if !d.armed {
		d.armed = true
		d.clk.After(batchEvery, func() { d.inbox.Put(tick{}) })
	}
}

type tick struct{}

// step processes the events in the inbox and, once per tick, proposes a log entry for the heartbeats and queries received.
func (d *Server) step() {
	d.batch = d.inbox.Take(d.batch)
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
				e.m.Heartbeat.Gives = append(e.m.Heartbeat.Gives, old.Heartbeat.Gives...) // the later heartbeat replaces the earlier one and keeps its releases
			}
			d.heartbeats[e.from] = &e.m
			if d.g.Plant == duty.PlantUnproven && d.believes {
				d.copy.View(func(st *state.State, index uint64) { d.answer(e.from, e.m.Heartbeat.From, e.m.Heartbeat.No, index, st) })
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
		return // once per tick, so that heartbeats share a log entry
	}
	term, leads := d.copy.Office()
	switch {
	case !leads:
		d.office = 0
		d.leads.Store(0)
		if d.looks++; d.looks%10 == 0 { // the injected bug notices the loss of leadership late
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
		// Entries committed under earlier leaders may not be applied on this replica yet. No heartbeat is processed until they
		// are: a grant that is not visible yet would count as not renewed.
		d.propose(proposal{term: term})
	default:
		d.work(term)
	}
}

// work processes the heartbeats and proposes the orders that result from them and from the passage of time.
func (d *Server) work(term uint64) {
	now := d.clk.Now() // read after the heartbeats arrived: a holder counts its lease from when it sent its heartbeat
	f := proposal{term: term, heartbeats: d.heartbeats, asks: d.asks}
	var acks []state.Command
	d.copy.View(func(st *state.State, _ uint64) {
		for c, m := range d.heartbeats {
			b := *m.Heartbeat
			d.callers[b.From], d.latest[b.From] = c, max(d.latest[b.From], b.No)
			d.needs[b.From] = m.Need
			f.orders = append(f.orders, d.g.Take(now, b, st.Duties)...)
			if s := st.Shares.Shares[b.From]; s != nil && s.Cap > s.Want && s.Version == m.Ack {
				acks = append(acks, state.Command{Op: state.Ack, Who: b.From, Epoch: m.Ack})
			}
		}
		f.orders = append(f.orders, d.g.Tick(now, st.Duties)...)
	})
	for _, a := range acks {
		d.copy.Propose(a) // the result is not needed: the next heartbeat repeats the acknowledgement
	}
	if len(f.heartbeats)+len(f.asks)+len(f.orders) == 0 {
		return
	}
	d.heartbeats, d.asks = map[*caller]*toCopy{}, nil
	d.propose(f)
}

// propose appends a log entry and puts its result into the inbox. Only one entry is in flight at a time: heartbeats and queries
// that arrive meanwhile share the next one.
func (d *Server) propose(f proposal) {
	d.proposing = true
	d.add(&d.count.Entries)
	if len(f.orders) > 0 {
		wait := d.copy.Propose(state.Command{Op: state.Orders, Orders: f.orders})
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

// confirm handles the result of a proposal: it starts the grantor in a new term, or replies to heartbeats and queries.
func (d *Server) confirm(f proposal) {
	d.proposing = false
	now := d.clk.Now()
	if f.heartbeats == nil && f.err == nil { // the term's first entry
		if term, leads := d.copy.Office(); leads && term == f.term {
			d.office, d.believes = f.term, true
			d.leads.Store(f.term)
			d.g.Lead(f.term, now)
			clear(d.latest)
			if d.OnTermStart != nil {
				d.OnTermStart(f.term)
			}
			d.log.Info().Uint64("term", f.term).Msg("granting duties")
		}
		return
	}
	if f.err != nil {
		d.office = 0 // the entry may still be committed; the next confirmed entry makes that visible
		d.log.Warn().Err(f.err).Msg("log entry not confirmed")
		return
	}
	d.copy.View(func(st *state.State, index uint64) {
		granted := map[string]bool{}
		for i, o := range f.orders {
			d.g.Done(now, o, st.Duties)
			ok := i < len(f.result.Part) && f.result.Part[i] == ""
			if ok {
				d.log.Info().Str("order", o.Kind).Str("duty", o.Name).Str("holder", o.Holder).Uint64("epoch", epochNow(st, o)).Msg("duty")
			}
			if ok && o.Kind == duty.Grant {
				granted[o.Holder] = true
			}
		}
		for c, m := range f.heartbeats {
			delete(granted, m.Heartbeat.From)
			d.answer(c, m.Heartbeat.From, m.Heartbeat.No, index, st)
		}
		for who := range granted { // the process was a candidate in an earlier heartbeat, whose reply came before this grant
			if c := d.callers[who]; c != nil && d.latest[who] > 0 {
				d.answer(c, who, d.latest[who], index, st)
			}
		}
		for _, q := range f.asks {
			d.reply(q, st, f.term)
		}
	})
}

// epochNow returns the epoch of the lease after an order, or that of the order if there is no lease.
func epochNow(st *state.State, o duty.Order) uint64 {
	if l := st.Duties.Leases[o.Name]; l != nil {
		return l.Epoch
	}
	return o.Epoch
}

// answer replies to a heartbeat.
func (d *Server) answer(c *caller, who string, no, index uint64, st *state.State) {
	told := d.g.Answer(who, no, index, st.Duties)
	m := toServer{Reply: &told, Version: st.Config.Latest().No}
	if s := st.Shares.Shares[who]; s != nil {
		v := *s
		m.Share = &v
	}
	d.add(&d.count.Answers)
	c.line.send(m)
}

// reply answers a query from the given state.
func (d *Server) reply(q question, st *state.State, term uint64) {
	var v any
	switch q.what {
	case ReadCapacity:
		f := CapacityStatus{Pool: st.Shares.Pool}
		for _, who := range st.Shares.Whos() {
			f.Servers = append(f.Servers, allot.Need{Who: who, Need: d.needs[who], Share: *st.Shares.Shares[who]})
		}
		v = f
	case ReadEffects:
		v = EffectStatus{Seq: st.Effects.Seq, Retained: len(st.Effects.Effects), Orphans: st.Effects.Orphans(st.Live, mostFor)}
	case ReadDuties:
		o := DutyStatus{Table: st.Duties.Clone(), Marks: st.Marks, StaleCommands: st.Stale, Acknowledgements: map[string]string{}, Term: term, Leader: d.copy.Leader()}
		for who, w := range st.Config.Acknowledgements {
			o.Acknowledgements[who] = fmt.Sprintf("%d taken", w.No)
			if w.Reason != "" {
				o.Acknowledgements[who] = fmt.Sprintf("%d turned down: %s", w.No, w.Reason)
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
		q.from.line.send(toServer{No: q.no, Error: fmt.Sprintf("session: unknown query %q", q.what)})
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		q.from.line.send(toServer{No: q.no, Error: err.Error()})
		return
	}
	q.from.line.send(toServer{No: q.no, Body: b})
}

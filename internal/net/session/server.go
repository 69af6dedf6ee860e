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

	"puffinsaddle/internal/allocation"
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
	batchIntervalMS     = 20.0 // heartbeats that arrive within it are confirmed by one log entry
	maxCommandsInFlight = 64   // commands of one session in flight; further ones wait in its socket
	idleTimeoutRenewals = 10   // renewal intervals; a session that is silent for longer is closed
	maxOrphansPerReply  = 256  // orphaned effects in one reply

	limitRetryRenewals  = 4.0 // renewal intervals; retry delay sent by a replica at its session limit, with jitter of ±50 %
	maxRefusalsInFlight = 256 // refusals being sent at once; beyond that, connections are closed without a reply
)

// Replica is the store replica in whose process a Server runs.
type Replica interface {
	// Leadership returns the current term, and whether the replica believes that it is the leader in it.
	Leadership() (term uint64, isLeader bool)
	// Leader returns the ID of the leader as known to the replica; "": unknown.
	Leader() string
	// Propose appends a command to the log; the returned function waits for its result.
	Propose(c state.Command) func() (state.Result, error)
	// ConfirmLeadership returns a function that waits until it is confirmed that the replica was the leader, and had all committed
	// entries, at some time after the call.
	ConfirmLeadership() func() error
	// View calls read with the state, which must not be modified or retained, and with a log index up to which the state includes
	// all entries.
	View(read func(st *state.State, index uint64))
}

// Server serves sessions at a store replica. Run's goroutine owns the grantor and never blocks on a socket or the disk.
type Server struct {
	OnTermStart func(term uint64) // called when this replica starts to grant duties in a term; nil: ignored
	// ConfigStatus supplies the result of ReadConfig; nil: this replica serves no relays.
	ConfigStatus func() distribution.Status
	// CheckChange rejects a change of records with invalid values before it is written to the log; nil: all are accepted.
	CheckChange func(c records.Change) error

	replica      Replica
	steady       *clock.Clock
	log          zerolog.Logger
	grantor      *duty.Grantor
	maxSessions  int
	inbox        *mailbox.Box[any]
	openSessions atomic.Int64

	refusalsInFlight atomic.Int64 // refusals in progress because of the session limit

	leaderTerm atomic.Uint64
	counts     counts
	traffic    meter.ByteCounts

	// Owned by the goroutine of Run.
	batch            []any
	heartbeats       map[*session]*clientMessage // not yet processed
	queries          []queryReceived
	readyTerm        uint64 // term for which the local state is known to be complete; 0: none
	proposing        bool
	assumedLeader    bool                // the replica was the leader at an earlier check; used only by the injected bug
	notLeadingChecks int                 // checks that found the replica not leading
	sessions         map[string]*session // by process: the session of its latest heartbeat
	latestHeartbeats map[string]uint64   // by process: number of the latest processed heartbeat
	shareNeeds       map[string]int64
	tickScheduled    bool
}

type counts struct {
	mu                                          sync.Mutex
	Heartbeats, LogEntries, Replies, Terminated uint64
}

// ServerMetrics are the metrics of a Server since the start of the process.
type ServerMetrics struct {
	Heartbeats   uint64 `json:"heartbeats"` // processed
	LogEntries   uint64 `json:"entries"`    // log entries written for heartbeats and queries
	Replies      uint64 `json:"answers"`
	Terminated   uint64 `json:"cut"` // sessions refused, or closed for an invalid message or for silence
	OpenSessions int64  `json:"open"`
	Term         uint64 `json:"term"` // term in which this replica is the leader; 0: it is not

	SentBytes     uint64 `json:"sent"`
	ReceivedBytes uint64 `json:"received"`
}

// session is the server side of one client connection.
type session struct {
	writer       *messageWriter
	processID    atomic.Pointer[string] // process that owns the session; set by its first heartbeat
	commandSlots chan struct{}
}

type (
	heartbeatReceived struct {
		session *session
		message clientMessage
	}
	queryReceived struct {
		session   *session
		requestID uint64
		query     string
	}
	sessionClosed struct{ session *session }
	proposal      struct {
		term       uint64
		orders     []duty.Order
		result     state.Result
		err        error
		heartbeats map[*session]*clientMessage
		queries    []queryReceived
	}
)

// NewServer returns a server for at most the given number of concurrent sessions. It answers once Run is called.
func NewServer(replica Replica, grantor *duty.Grantor, maxSessions int, steady *clock.Clock, log zerolog.Logger) *Server {
	return &Server{replica: replica, steady: steady, log: log, grantor: grantor, maxSessions: maxSessions,
		inbox: mailbox.New[any](), heartbeats: map[*session]*clientMessage{},
		sessions: map[string]*session{}, latestHeartbeats: map[string]uint64{}, shareNeeds: map[string]int64{}}
}

// Metrics returns the current metrics.
func (srv *Server) Metrics() ServerMetrics {
	srv.counts.mu.Lock()
	defer srv.counts.mu.Unlock()
	return ServerMetrics{srv.counts.Heartbeats, srv.counts.LogEntries, srv.counts.Replies, srv.counts.Terminated,
		srv.openSessions.Load(), srv.leaderTerm.Load(), srv.traffic.Out.Load(), srv.traffic.In.Load()}
}

func (srv *Server) increment(n *uint64) {
	srv.counts.mu.Lock()
	*n++
	srv.counts.mu.Unlock()
}

// Serve serves one session until it ends.
func (srv *Server) Serve(conn net.Conn) {
	defer conn.Close()
	conn = meter.New(conn, &srv.traffic)
	if srv.openSessions.Add(1) > int64(srv.maxSessions) {
		srv.openSessions.Add(-1)
		srv.increment(&srv.counts.Terminated)
		srv.refuse(conn)
		return
	}
	defer srv.openSessions.Add(-1)
	s := &session{writer: newMessageWriter(conn), commandSlots: make(chan struct{}, maxCommandsInFlight)}
	defer close(s.writer.done)
	defer srv.inbox.Put(sessionClosed{s})
	r := newReader(conn, clock.Duration(idleTimeoutRenewals*srv.grantor.RenewIntervalMS))
	for {
		var m clientMessage
		err := r.Next(&m)
		if err == nil {
			err = srv.dispatch(s, m)
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, net.ErrClosed) {
				srv.increment(&srv.counts.Terminated)
			}
			srv.log.Debug().Err(err).Msg("session ended")
			return
		}
	}
}

// refuse sends a client the time after which it may reconnect, because the session limit is reached. It reads the client's first
// message before: closing a socket with unread data would reset the connection and discard the reply.
func (srv *Server) refuse(conn net.Conn) {
	if srv.refusalsInFlight.Add(1) > maxRefusalsInFlight {
		srv.refusalsInFlight.Add(-1)
		return
	}
	defer srv.refusalsInFlight.Add(-1)
	timer := time.AfterFunc(frame.MessageTimeout, func() { conn.Close() })
	defer timer.Stop()
	var first clientMessage
	if newReader(conn, frame.MessageTimeout).Next(&first) != nil {
		return
	}
	frame.Send(conn, serverMessage{RetryMS: limitRetryRenewals * srv.grantor.RenewIntervalMS * (0.5 + rand.Float64())}, maxMessageBytes)
}

// dispatch handles one message of a client. An error ends the session.
func (srv *Server) dispatch(s *session, m clientMessage) error {
	switch {
	case m.Heartbeat != nil:
		if err := s.bind(m.Heartbeat.From); err != nil {
			return err
		}
		if len(m.Heartbeat.Candidacies)+len(m.Heartbeat.Renewals)+len(m.Heartbeat.Releases) > 4*(len(srv.grantor.Duties)+1) {
			return fmt.Errorf("session: heartbeat has too many duty names: %d",
				len(m.Heartbeat.Candidacies)+len(m.Heartbeat.Renewals)+len(m.Heartbeat.Releases))
		}
		srv.inbox.Put(heartbeatReceived{s, m})
	case m.Command != nil:
		if err := s.authorize(*m.Command); err != nil {
			return err
		}
		s.commandSlots <- struct{}{}
		go func() {
			defer func() { <-s.commandSlots }()
			srv.execute(s, m.RequestID, *m.Command)
		}()
	case m.Query != "":
		srv.inbox.Put(queryReceived{s, m.RequestID, m.Query})
	default:
		return fmt.Errorf("session: empty message")
	}
	return nil
}

// bind binds the session to one process. It fails if the session is bound to another process.
func (s *session) bind(processID string) error {
	if processID == "" || len(processID) > 128 {
		return fmt.Errorf("session: heartbeat without a valid process name")
	}
	if s.processID.CompareAndSwap(nil, &processID); *s.processID.Load() != processID {
		return fmt.Errorf("session: heartbeat of %q in the session of %q", processID, *s.processID.Load())
	}
	return nil
}

// authorize checks whether a session is authorized to run a command. A session acts only for its own process, and never for the
// grantor.
func (s *session) authorize(cmd state.Command) error {
	switch cmd.Op {
	case state.OpFenced, state.OpRequestYield, state.OpFreezeDuty, state.OpUnfreezeDuty, state.OpChangeRecords:
		return nil
	case state.OpBeginEffect, state.OpEndEffects, state.OpAcknowledgeVersion:
		if processID := s.processID.Load(); processID != nil && *processID == cmd.Process {
			return nil
		}
		return fmt.Errorf("session: %s for %q, which does not own this session", cmd.Op, cmd.Process)
	}
	return fmt.Errorf("session: command %q is not allowed in a session", cmd.Op)
}

func (srv *Server) execute(s *session, requestID uint64, cmd state.Command) {
	if _, isLeader := srv.replica.Leadership(); !isLeader {
		srv.redirect(s, requestID)
		return
	}
	if err := srv.checkChange(cmd); err != nil {
		s.writer.send(serverMessage{RequestID: requestID, Result: &state.Result{Error: err.Error()}})
		return
	}
	r, err := srv.replica.Propose(cmd)()
	m := serverMessage{RequestID: requestID, Result: &r}
	if err != nil {
		m.Result, m.Error = nil, err.Error()
	}
	if r.Stale {
		srv.log.Warn().Str("refused", r.Error).Msg("fenced")
	}
	s.writer.send(m)
}

func (srv *Server) checkChange(cmd state.Command) error {
	if cmd.Op != state.OpChangeRecords || cmd.Change == nil || srv.CheckChange == nil {
		return nil
	}
	if err := cmd.Change.Check(); err != nil {
		return err
	}
	return srv.CheckChange(*cmd.Change)
}

// redirect sends a client to the leader.
func (srv *Server) redirect(s *session, requestID uint64) {
	leaderID := srv.replica.Leader()
	s.writer.send(serverMessage{RequestID: requestID, LeaderID: &leaderID})
}

// Run processes heartbeats and queries until the context ends.
func (srv *Server) Run(ctx context.Context) {
	for {
		srv.scheduleTick()
		select {
		case <-ctx.Done():
			return
		case <-srv.inbox.Ready:
		}
		srv.processInbox()
	}
}

// scheduleTick schedules the next tick unless one is pending.
func (srv *Server) scheduleTick() {
	if !srv.tickScheduled {
		srv.tickScheduled = true
		srv.steady.After(batchIntervalMS, func() { srv.inbox.Put(tick{}) })
	}
}

type tick struct{}

// processInbox processes the events in the inbox and, once per tick, proposes a log entry for the heartbeats and queries
// received.
func (srv *Server) processInbox() {
	srv.batch = srv.inbox.TakeAll(srv.batch)
	ticked := false
	for i, e := range srv.batch {
		switch e := e.(type) {
		case tick:
			srv.tickScheduled, ticked = false, true
		case heartbeatReceived:
			if old := srv.heartbeats[e.session]; old != nil && old.ShareAck > e.message.ShareAck {
				e.message.ShareAck = old.ShareAck
			}
			if old := srv.heartbeats[e.session]; old != nil {
				// The later heartbeat replaces the earlier one and keeps its releases.
				e.message.Heartbeat.Releases = append(e.message.Heartbeat.Releases, old.Heartbeat.Releases...)
			}
			srv.heartbeats[e.session] = &e.message
			if srv.grantor.InjectedBug == duty.BugUnproven && srv.assumedLeader {
				srv.replica.View(func(st *state.State, index uint64) {
					srv.replyToHeartbeat(e.session, e.message.Heartbeat.From, e.message.Heartbeat.Seq, index, st)
				})
			}
			srv.increment(&srv.counts.Heartbeats)
		case queryReceived:
			srv.queries = append(srv.queries, e)
		case sessionClosed:
			delete(srv.heartbeats, e.session)
			srv.queries = slices.DeleteFunc(srv.queries, func(q queryReceived) bool { return q.session == e.session })
			if processID := e.session.processID.Load(); processID != nil && srv.sessions[*processID] == e.session {
				delete(srv.sessions, *processID)
				delete(srv.latestHeartbeats, *processID)
				delete(srv.shareNeeds, *processID)
			}
		case proposal:
			srv.handleProposal(e)
		}
		srv.batch[i] = nil
	}
	if !ticked || srv.proposing {
		return // at most one log entry per tick, so that heartbeats share it
	}
	term, isLeader := srv.replica.Leadership()
	switch {
	case !isLeader:
		srv.readyTerm = 0
		srv.leaderTerm.Store(0)
		if srv.notLeadingChecks++; srv.notLeadingChecks%10 == 0 { // the injected bug notices the loss of leadership late
			srv.assumedLeader = false
		}
		for sess := range srv.heartbeats {
			srv.redirect(sess, 0)
		}
		for _, q := range srv.queries {
			srv.redirect(q.session, q.requestID)
		}
		clear(srv.heartbeats)
		srv.queries = nil
	case term != srv.readyTerm:
		// Entries committed under earlier leaders may not be applied on this replica yet. No heartbeat is processed until they
		// are: a grant that is not visible yet would count as not renewed.
		srv.propose(proposal{term: term})
	default:
		srv.processHeartbeats(term)
	}
}

// processHeartbeats processes the heartbeats and proposes the orders that result from them and from the passage of time.
func (srv *Server) processHeartbeats(term uint64) {
	now := srv.steady.Now() // read after the heartbeats arrived, because a holder counts its lease from the time it sent the heartbeat
	p := proposal{term: term, heartbeats: srv.heartbeats, queries: srv.queries}
	var acks []state.Command
	srv.replica.View(func(st *state.State, _ uint64) {
		for sess, m := range srv.heartbeats {
			heartbeat := *m.Heartbeat
			srv.sessions[heartbeat.From], srv.latestHeartbeats[heartbeat.From] = sess, max(srv.latestHeartbeats[heartbeat.From], heartbeat.Seq)
			srv.shareNeeds[heartbeat.From] = m.Need
			p.orders = append(p.orders, srv.grantor.HandleHeartbeat(now, heartbeat, st.Duties)...)
			if share := st.Allocations.Shares[heartbeat.From]; share != nil && share.Cap > share.Target && share.Version == m.ShareAck {
				acks = append(acks, state.Command{Op: state.OpAcknowledgeAllocation, Process: heartbeat.From, Epoch: m.ShareAck})
			}
		}
		p.orders = append(p.orders, srv.grantor.Tick(now, st.Duties)...)
	})
	for _, ack := range acks {
		srv.replica.Propose(ack) // the result is not needed: the next heartbeat repeats the acknowledgement
	}
	if len(p.heartbeats)+len(p.queries)+len(p.orders) == 0 {
		return
	}
	srv.heartbeats, srv.queries = map[*session]*clientMessage{}, nil
	srv.propose(p)
}

// propose appends a log entry and puts its result into the inbox. Only one entry is in flight at a time: heartbeats and queries
// that arrive meanwhile share the next one.
func (srv *Server) propose(p proposal) {
	srv.proposing = true
	srv.increment(&srv.counts.LogEntries)
	if len(p.orders) > 0 {
		wait := srv.replica.Propose(state.Command{Op: state.OpLeaseOrders, Orders: p.orders})
		go func() {
			p.result, p.err = wait()
			srv.inbox.Put(p)
		}()
		return
	}
	wait := srv.replica.ConfirmLeadership()
	go func() {
		p.err = wait()
		srv.inbox.Put(p)
	}()
}

// handleProposal handles the result of a proposal: it starts the grantor in a new term, or replies to heartbeats and queries.
func (srv *Server) handleProposal(p proposal) {
	srv.proposing = false
	now := srv.steady.Now()
	if p.heartbeats == nil && p.err == nil { // the term's first entry
		if term, isLeader := srv.replica.Leadership(); isLeader && term == p.term {
			srv.readyTerm, srv.assumedLeader = p.term, true
			srv.leaderTerm.Store(p.term)
			srv.grantor.StartTerm(p.term, now)
			clear(srv.latestHeartbeats)
			if srv.OnTermStart != nil {
				srv.OnTermStart(p.term)
			}
			srv.log.Info().Uint64("term", p.term).Msg("granting duties")
		}
		return
	}
	if p.err != nil {
		srv.readyTerm = 0 // the entry may still be committed; the next confirmed entry makes that visible
		srv.log.Warn().Err(p.err).Msg("log entry not confirmed")
		return
	}
	srv.replica.View(func(st *state.State, index uint64) {
		granted := map[string]bool{}
		for i, o := range p.orders {
			srv.grantor.HandleOrderResult(now, o, st.Duties)
			ok := i < len(p.result.Refusals) && p.result.Refusals[i] == ""
			if ok {
				srv.log.Info().Str("order", o.Kind).Str("duty", o.Name).Str("holder", o.Holder).Uint64("epoch", currentEpoch(st, o)).Msg("duty")
			}
			if ok && o.Kind == duty.Grant {
				granted[o.Holder] = true
			}
		}
		for sess, m := range p.heartbeats {
			delete(granted, m.Heartbeat.From)
			srv.replyToHeartbeat(sess, m.Heartbeat.From, m.Heartbeat.Seq, index, st)
		}
		for processID := range granted { // the process was a candidate in an earlier heartbeat, whose reply came before this grant
			if sess := srv.sessions[processID]; sess != nil && srv.latestHeartbeats[processID] > 0 {
				srv.replyToHeartbeat(sess, processID, srv.latestHeartbeats[processID], index, st)
			}
		}
		for _, q := range p.queries {
			srv.replyToQuery(q, st, p.term)
		}
	})
}

// currentEpoch returns the epoch of the lease after an order, or that of the order if there is no lease.
func currentEpoch(st *state.State, o duty.Order) uint64 {
	if l := st.Duties.Leases[o.Name]; l != nil {
		return l.Epoch
	}
	return o.Epoch
}

// replyToHeartbeat replies to a heartbeat with the lease state and the process's capacity share.
func (srv *Server) replyToHeartbeat(sess *session, processID string, heartbeatSeq, index uint64, st *state.State) {
	reply := srv.grantor.Reply(processID, heartbeatSeq, index, st.Duties)
	m := serverMessage{Reply: &reply, Version: st.Config.Latest().No}
	if share := st.Allocations.Shares[processID]; share != nil {
		shareCopy := *share
		m.Share = &shareCopy
	}
	srv.increment(&srv.counts.Replies)
	sess.writer.send(m)
}

// replyToQuery answers a query from the given state.
func (srv *Server) replyToQuery(q queryReceived, st *state.State, term uint64) {
	var result any
	switch q.query {
	case ReadCapacity:
		capacity := CapacityStatus{Pool: st.Allocations.Pool}
		for _, processID := range st.Allocations.Processes() {
			capacity.Servers = append(capacity.Servers, allocation.ProcessNeed{Who: processID, Need: srv.shareNeeds[processID],
				Share: *st.Allocations.Shares[processID]})
		}
		result = capacity
	case ReadEffects:
		result = EffectStatus{Seq: st.Effects.Seq, Retained: len(st.Effects.Effects), Orphans: st.Effects.Orphans(st.PresenceInForce, maxOrphansPerReply)}
	case ReadDuties:
		duties := DutyStatus{Table: st.Duties.Clone(), Marks: st.Counters, StaleCommands: st.StaleRefusals,
			Acknowledgements: map[string]string{}, Term: term, Leader: srv.replica.Leader()}
		for processID, ack := range st.Config.Acknowledgements {
			duties.Acknowledgements[processID] = fmt.Sprintf("%d taken", ack.No)
			if ack.Reason != "" {
				duties.Acknowledgements[processID] = fmt.Sprintf("%d turned down: %s", ack.No, ack.Reason)
			}
		}
		result = duties
	case ReadVersion:
		result = st.Config.Latest()
	case ReadConfig:
		status := distribution.Status{Revision: st.Records.Revision()}
		if srv.ConfigStatus != nil {
			status.Regions = srv.ConfigStatus().Regions
		}
		result = status
	default:
		q.session.writer.send(serverMessage{RequestID: q.requestID, Error: fmt.Sprintf("session: unknown query %q", q.query)})
		return
	}
	body, err := json.Marshal(result)
	if err != nil {
		q.session.writer.send(serverMessage{RequestID: q.requestID, Error: err.Error()})
		return
	}
	q.session.writer.send(serverMessage{RequestID: q.requestID, Body: body})
}

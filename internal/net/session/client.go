package session

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/allocation"
	"puffinsaddle/internal/backoff"
	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/frame"
	"puffinsaddle/internal/mailbox"
	"puffinsaddle/internal/publish"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store"
)

const (
	dialTimeout           = time.Second
	firstBackoffRenewals  = 0.2     // renewal intervals; bound of the first backoff
	maxBackoffRenewals    = 2.0     // renewal intervals; bound of later backoffs, so that a leader is found before the presence expires
	maxLimitRetryRenewals = 20.0    // renewal intervals; bound of the retry delay accepted from a replica at its session limit
	replyTimeoutRenewals  = 3.0     // renewal intervals without a heartbeat reply after which the client tries another replica
	outcomeBatchMS        = 50.0    // outcomes of effects that arrive within it are sent as one command
	maxOutcomesPerCommand = 256     // succeeded effects, and failed effects, in one command
	maxPendingOutcomes    = 1 << 14 // outcomes waiting to be sent; further ones are dropped
	commandTimeoutMS      = 3000.0  // after it a command or query without a reply counts as unconfirmed
)

// Options configure a Client.
type Options struct {
	ProcessID        string            // name and incarnation of this process
	ReplicaAddresses map[string]string // address of each store replica, by replica ID
	Rules            duty.Rules
	Seed             uint64
	Steady           *clock.Clock
	Log              zerolog.Logger
	InjectedBug      string // injected bug, for the lab; "": none

	// Dial opens connections. If nil, the client dials over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// OnEvent is called for each event, in order, on a dedicated goroutine. An event is an action of duty.Machine, or one of
	// ShareChanged, VersionPublished and SessionEstablished. If nil, events are discarded.
	OnEvent func(any)
	// Need returns the downstream capacity that the server could use beyond its standalone share, in thousandths of a call in
	// flight. If nil, the server reports a demand of 0.
	Need func() int64
}

type (
	// ShareChanged is the event of a changed capacity share, in thousandths of a call in flight. It is in force until the presence
	// lease ends. Client.AcknowledgeShare must be called once the server uses no more than this amount.
	ShareChanged struct {
		Amount  int64
		Version uint64
	}
	// VersionPublished is the event of a published version that is newer than any seen before.
	VersionPublished struct{ Version uint64 }
	// SessionEstablished is the event of the first heartbeat reply of a session, which shows that the replica is the leader.
	SessionEstablished struct{}
)

// Client maintains an order server's session with the current leader of the store.
type Client struct {
	options        Options
	events         *mailbox.Box[any]
	fencedCommands atomic.Uint64 // commands refused for a stale epoch

	mu                sync.Mutex
	machine           *duty.Machine
	writer            *messageWriter
	conn              net.Conn
	lastReplyAt       float64 // steady clock, ms: time of the last heartbeat reply, or of the connect
	leaderHint        string  // ID of the reported leader; "": unknown
	nextReplica       int     // counter into replicaIDs, used without a hint
	lastRequestID     uint64
	pendingReplies    map[uint64]chan serverMessage
	share             allocation.LocalShare
	acknowledgedShare uint64 // version of the share in use
	publishedVersion  uint64 // latest published version seen
	succeededEffects  []string
	failedEffects     []string
	reportScheduled   bool
	stepTimer         *clock.Timer
	established       bool // the current session has received a heartbeat reply
	replicaIDs        []string
}

// NewClient returns a client. It connects once Run is called.
func NewClient(o Options) *Client {
	m := duty.NewMachine(o.Rules, o.ProcessID, o.Seed)
	m.InjectedBug = o.InjectedBug
	if o.Dial == nil {
		d := net.Dialer{Timeout: dialTimeout}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	c := &Client{options: o, events: mailbox.New[any](), machine: m,
		pendingReplies: map[uint64]chan serverMessage{}, replicaIDs: slices.Sorted(maps.Keys(o.ReplicaAddresses))}
	if n := len(c.replicaIDs); n > 0 {
		c.nextReplica = int(o.Seed % uint64(n))
	}
	return c
}

// Run maintains a session, reconnecting with backoff, until the context ends.
func (c *Client) Run(ctx context.Context) {
	go c.dispatchEvents(ctx)
	c.mu.Lock()
	c.step()
	c.mu.Unlock()
	reconnectBackoff := backoff.New(firstBackoffRenewals*c.options.Rules.RenewIntervalMS, maxBackoffRenewals*c.options.Rules.RenewIntervalMS,
		rand.New(rand.NewPCG(c.options.Seed, 2)))
	for ctx.Err() == nil {
		var err error
		if address := c.nextAddress(); address != "" {
			err = c.connect(ctx, address)
			c.options.Log.Debug().Err(err).Str("at", address).Msg("session ended; reconnecting")
		}
		if c.takeEstablished() {
			reconnectBackoff.Reset()
		}
		wait := reconnectBackoff.Next()
		if limitErr := (*sessionLimitError)(nil); errors.As(err, &limitErr) {
			wait += limitErr.retryMS
		}
		c.sleep(ctx, wait)
	}
}

// connect connects to a replica and serves the session until it ends.
func (c *Client) connect(ctx context.Context, address string) error {
	conn, err := c.options.Dial(ctx, address)
	if err != nil {
		return err
	}
	return c.serve(ctx, conn)
}

// takeEstablished reports whether the last session received a heartbeat reply, and clears that state.
func (c *Client) takeEstablished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	established := c.established
	c.established = false
	return established
}

func (c *Client) sleep(ctx context.Context, ms float64) {
	due := make(chan struct{})
	t := c.options.Steady.After(ms, func() { close(due) })
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-due:
	}
}

func (c *Client) dispatchEvents(ctx context.Context) {
	var batch []any
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.events.Ready:
		}
		batch = c.events.TakeAll(batch)
		for _, e := range batch {
			if c.options.OnEvent != nil {
				c.options.OnEvent(e)
			}
		}
	}
}

// nextAddress returns the address of the replica to try next; "": none is configured.
func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address := c.options.ReplicaAddresses[c.leaderHint]; address != "" {
		c.leaderHint = "" // used once: the hint may be outdated
		return address
	}
	if len(c.replicaIDs) == 0 {
		return ""
	}
	c.nextReplica++
	return c.options.ReplicaAddresses[c.replicaIDs[c.nextReplica%len(c.replicaIDs)]]
}

// serve serves one connection until it ends.
func (c *Client) serve(ctx context.Context, conn net.Conn) error {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetWriteDeadline(time.Now().Add(frame.MessageTimeout))
	if _, err := conn.Write([]byte{store.PurposeSessions}); err != nil {
		return err
	}
	writer := newMessageWriter(conn)
	defer close(writer.done)
	c.mu.Lock()
	c.writer, c.conn, c.lastReplyAt, c.established = writer, conn, c.options.Steady.Now(), false
	c.machine.ExpediteHeartbeat()
	c.step()
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writer, c.conn = nil, nil
		for id, reply := range c.pendingReplies { // commands and queries sent on this connection get no reply
			delete(c.pendingReplies, id)
			close(reply)
		}
	}()
	r := newReader(conn, 0)
	for {
		var m serverMessage
		if err := r.Next(&m); err != nil {
			return err
		}
		if err := c.handleMessage(m); err != nil {
			return err
		}
	}
}

func (c *Client) handleMessage(m serverMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.LeaderID != nil {
		c.leaderHint = *m.LeaderID
		if reply := c.pendingReplies[m.RequestID]; reply != nil {
			delete(c.pendingReplies, m.RequestID)
			reply <- m
		}
		return fmt.Errorf("session: not the leader; the leader is %q", *m.LeaderID)
	}
	if m.RetryMS > 0 {
		return &sessionLimitError{min(m.RetryMS, maxLimitRetryRenewals*c.options.Rules.RenewIntervalMS)}
	}
	if m.Reply != nil {
		now := c.options.Steady.Now()
		c.lastReplyAt = now
		if !c.established {
			c.established = true
			c.events.Put(SessionEstablished{})
		}
		current := m.Reply.LogIndex >= c.machine.SeenIndex()
		c.handleActions(c.machine.HandleReply(now, *m.Reply))
		if current {
			if _, present := c.machine.ActiveGrant(now, duty.PresenceName(c.options.ProcessID)); present &&
				m.Share != nil && m.Share.Version > c.share.Version {
				c.share.Apply(*m.Share)
				c.events.Put(ShareChanged{c.share.Amount, c.share.Version})
			}
			if m.Version > c.publishedVersion {
				c.publishedVersion = m.Version
				c.events.Put(VersionPublished{m.Version})
			}
		}
		c.step()
		return nil
	}
	if reply := c.pendingReplies[m.RequestID]; reply != nil {
		delete(c.pendingReplies, m.RequestID)
		reply <- m
	} else if m.Error != "" && m.RequestID == 0 { // other replies belong to requests that timed out
		return fmt.Errorf("session: %s", m.Error)
	}
	return nil
}

// step advances the duty machine to the current time and schedules the next step. The caller holds the lock.
func (c *Client) step() {
	now := c.options.Steady.Now()
	c.handleActions(c.machine.Tick(now))
	if c.conn != nil && now > c.lastReplyAt+replyTimeoutRenewals*c.options.Rules.RenewIntervalMS {
		c.conn.Close() // the replica is stalled or unreachable; another may be the leader by now
	}
	if c.stepTimer != nil {
		c.stepTimer.Stop()
	}
	c.stepTimer = c.options.Steady.After(max(c.machine.NextTick()-now, 1), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.step()
	})
}

func (c *Client) handleActions(actions []duty.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case duty.SendHeartbeat:
			if c.writer != nil {
				need := int64(0)
				if c.options.Need != nil {
					need = c.options.Need()
				}
				c.writer.send(clientMessage{Heartbeat: &a.Heartbeat, ShareAck: c.acknowledgedShare, Need: need})
			}
		case duty.LeaseEnded:
			if a.Name == duty.PresenceName(c.options.ProcessID) {
				c.share, c.acknowledgedShare = allocation.LocalShare{}, 0
			}
			c.events.Put(a)
		default:
			c.events.Put(a)
		}
	}
}

// AcknowledgeShare acknowledges a share version: the server uses no more than the share of that version.
func (c *Client) AcknowledgeShare(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.share.Version {
		c.acknowledgedShare = version
		c.machine.ExpediteHeartbeat()
		c.step()
	}
}

// ActiveGrant reports whether an action under a duty may begin now, and under which grant. It must be called before each action.
func (c *Client) ActiveGrant(name string) (duty.Ref, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.ActiveGrant(c.options.Steady.Now(), name)
}

// LeaseEnd returns the grant of a held duty and the end of its lease on the steady clock in ms, also while the duty is being
// yielded.
func (c *Client) LeaseEnd(name string) (duty.Ref, float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.LeaseEnd(name)
}

// Presence returns the grant of this process's presence and the end of its lease on the steady clock in ms.
func (c *Client) Presence() (duty.Ref, float64, bool) {
	return c.LeaseEnd(duty.PresenceName(c.options.ProcessID))
}

// FencedCommands returns the number of commands refused for a stale epoch.
func (c *Client) FencedCommands() uint64 { return c.fencedCommands.Load() }

// Quiesced reports that no action is in progress under a grant that is being yielded.
func (c *Client) Quiesced(r duty.Ref) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleActions(c.machine.Quiesced(c.options.Steady.Now(), r))
	c.step()
}

// SetMode sets the mode of the server.
func (c *Client) SetMode(mode duty.Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleActions(c.machine.SetMode(c.options.Steady.Now(), mode))
	c.step()
}

// ReleaseAll releases all held duties, when the process ends.
func (c *Client) ReleaseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleActions(c.machine.ReleaseAll(c.options.Steady.Now()))
}

// request sends a command or query and waits for its reply. ErrNotExecuted means that it was not executed.
func (c *Client) request(ctx context.Context, m clientMessage) (serverMessage, error) {
	c.mu.Lock()
	writer := c.writer
	if writer == nil {
		c.mu.Unlock()
		return serverMessage{}, ErrNotExecuted
	}
	c.lastRequestID++
	m.RequestID = c.lastRequestID
	reply := make(chan serverMessage, 1)
	c.pendingReplies[m.RequestID] = reply
	writer.send(m)
	c.mu.Unlock()
	expired := make(chan struct{})
	t := c.options.Steady.After(commandTimeoutMS, func() { close(expired) })
	defer t.Stop()
	select {
	case response, ok := <-reply:
		if !ok {
			return response, ErrUnconfirmed
		}
		if response.LeaderID != nil {
			return response, ErrNotExecuted
		}
		if response.Error != "" {
			return response, fmt.Errorf("%w: %s", ErrUnconfirmed, response.Error)
		}
		return response, nil
	case <-expired:
	case <-ctx.Done():
	}
	c.mu.Lock()
	delete(c.pendingReplies, m.RequestID)
	c.mu.Unlock()
	return serverMessage{}, ErrUnconfirmed
}

// Do sends a command and returns its result. The command is sent once: after ErrUnconfirmed the caller has to find out whether
// it was executed.
func (c *Client) Do(ctx context.Context, cmd state.Command) (state.Result, error) {
	response, err := c.request(ctx, clientMessage{Command: &cmd})
	if err != nil {
		return state.Result{}, err
	}
	if response.Result == nil {
		return state.Result{}, ErrUnconfirmed
	}
	if response.Result.Stale {
		c.fencedCommands.Add(1)
		return *response.Result, fmt.Errorf("%w: %s", ErrStaleEpoch, response.Result.Error)
	}
	if response.Result.Error != "" {
		return *response.Result, fmt.Errorf("session: refused: %s", response.Result.Error)
	}
	return *response.Result, nil
}

// DoFenced executes commands under a duty. The store checks the fencing token (epoch) in the same log entry that applies the
// commands.
func (c *Client) DoFenced(ctx context.Context, grant duty.Ref, commands ...state.Command) (state.Result, error) {
	return c.Do(ctx, state.Command{Op: state.OpFenced, Fence: &grant, Batch: commands})
}

// Read runs a query and decodes its result. The result reflects the state at some time after the call began.
func (c *Client) Read(ctx context.Context, query string, result any) error {
	response, err := c.request(ctx, clientMessage{Query: query})
	if err != nil {
		return err
	}
	return json.Unmarshal(response.Body, result)
}

// Begin records an effect in the replicated store before its attempt, under this process's presence. Once ctx ends, it waits no
// longer; the effect may be recorded later. Begin and Ended make the client the effect log that package core writes to.
func (c *Client) Begin(ctx context.Context, id string) (bool, error) {
	presence, ok := c.ActiveGrant(duty.PresenceName(c.options.ProcessID))
	if !ok {
		return false, fmt.Errorf("%w: no presence lease in force", ErrNotExecuted)
	}
	r, err := c.Do(ctx, state.Command{Op: state.OpBeginEffect, Key: id, Process: c.options.ProcessID,
		Epoch: presence.Epoch, NoEviction: true})
	return err == nil && r.WasAbsent, err
}

// Ended records the outcome of an effect. It does not block: an outcome that is lost is resolved as unknown once this process is
// gone.
func (c *Client) Ended(id string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.succeededEffects)+len(c.failedEffects) >= maxPendingOutcomes {
		return
	}
	if ok {
		c.succeededEffects = append(c.succeededEffects, id)
	} else {
		c.failedEffects = append(c.failedEffects, id)
	}
	c.scheduleReport()
}

// scheduleReport schedules a report of the collected outcomes. The caller holds the lock.
func (c *Client) scheduleReport() {
	if !c.reportScheduled {
		c.reportScheduled = true
		c.options.Steady.After(outcomeBatchMS, func() { go c.reportOutcomes() })
	}
}

// reportOutcomes sends the collected outcomes. Unconfirmed outcomes are sent again, since recording an outcome is idempotent.
func (c *Client) reportOutcomes() {
	c.mu.Lock()
	succeeded, failed := c.succeededEffects[:min(len(c.succeededEffects), maxOutcomesPerCommand)],
		c.failedEffects[:min(len(c.failedEffects), maxOutcomesPerCommand)]
	cmd := state.Command{Op: state.OpEndEffects, Process: c.options.ProcessID, EffectIDs: slices.Clone(succeeded), FailedIDs: slices.Clone(failed)}
	c.mu.Unlock()
	_, err := c.Do(context.Background(), cmd)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportScheduled = false
	if err == nil {
		c.succeededEffects, c.failedEffects = c.succeededEffects[len(cmd.EffectIDs):], c.failedEffects[len(cmd.FailedIDs):]
	}
	if len(c.succeededEffects)+len(c.failedEffects) > 0 {
		c.scheduleReport()
	}
}

// LatestVersion returns the latest published version.
func (c *Client) LatestVersion(ctx context.Context) (v publish.Version, err error) {
	err = c.Read(ctx, ReadVersion, &v)
	return v, err
}

// Connected reports whether a session with the leader is established.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writer != nil && c.established
}

// Share returns the capacity that this process may use now beyond its standalone share, in thousandths of a call in flight.
func (c *Client) Share() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, present := c.machine.ActiveGrant(c.options.Steady.Now(), duty.PresenceName(c.options.ProcessID)); !present {
		return 0
	}
	return c.share.Amount
}

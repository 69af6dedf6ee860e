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

	"puffinsaddle/internal/allot"
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
	firstBackoffRenewals  = 0.2  // renewals within which another copy is tried after the first failure,
	maxBackoffRenewals    = 2.0  // and after the last; so a server finds the copy that leads before its presence ends
	maxLimitRetryRenewals = 20.0 // after which a copy that says that it is full is tried again, whatever it says
	replyTimeoutRenewals  = 3.0  // renewals without an answer after which another copy is tried
	outcomeBatchMS        = 50.0 // ms; ends of effects that come within it go as one command
	maxOutcomesPerCommand = 256  // of them in one
	maxPendingOutcomes    = 1 << 14
	commandTimeoutMS      = 3000.0 // ms that a command waits for its answer
)

// Options set up a client.
type Options struct {
	ProcessID        string            // name and incarnation
	ReplicaAddresses map[string]string // address of each copy, by its id
	Rules            duty.Rules
	Seed             uint64
	Steady           *clock.Clock
	Log              zerolog.Logger
	InjectedBug      string // a planted bug, for the laboratory; "": none

	// Dial opens connections; nil: over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// OnEvent is called for each event, in order, on a goroutine of its own: an action of duty.Machine, Allotted or Published.
	OnEvent func(any)
	// Need tells what the server could use beyond its part for being alone, in thousandths of a call in hand; nil: nothing.
	Need func() int64
}

type (
	// ShareChanged tells of another share; it is in force until the presence ends. Used has to be called once no more than that
	// is used.
	ShareChanged struct {
		Amount  int64
		Version uint64
	}
	// VersionPublished tells that a version is out that was not heard of before.
	VersionPublished struct{ Version uint64 }
	// SessionEstablished tells of the first answer of a session: the copy leads.
	SessionEstablished struct{}
)

// Client holds an order server's session with whichever copy leads.
type Client struct {
	options        Options
	events         *mailbox.Box[any]
	fencedCommands atomic.Uint64 // commands refused for their epoch

	mu                sync.Mutex
	machine           *duty.Machine
	writer            *messageWriter
	conn              net.Conn
	lastReplyAt       float64 // when the connection was made, or brought the last answer
	leaderHint        string  // id of the copy that is said to lead
	nextReplica       int     // of the copies' order, where there is no hint
	lastRequestID     uint64
	pendingReplies    map[uint64]chan serverMessage
	share             allot.LocalShare
	acknowledgedShare uint64 // version of the share that is in use
	publishedVersion  uint64 // published, heard of
	succeededEffects  []string
	failedEffects     []string
	reportScheduled   bool
	stepTimer         *clock.Timer
	established       bool // the present session has brought an answer
	replicaIDs        []string
}

// NewClient makes a client; Run has to be called for it to seek the copies.
func NewClient(o Options) *Client {
	m := duty.NewMachine(o.Rules, o.ProcessID, o.Seed)
	m.InjectedBug = o.InjectedBug
	if o.Dial == nil {
		d := net.Dialer{Timeout: dialTimeout}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	c := &Client{options: o, events: mailbox.New[any](), machine: m, pendingReplies: map[uint64]chan serverMessage{}, replicaIDs: slices.Sorted(maps.Keys(o.ReplicaAddresses))}
	if n := len(c.replicaIDs); n > 0 {
		c.nextReplica = int(o.Seed % uint64(n))
	}
	return c
}

// Run holds a session until the context ends.
func (c *Client) Run(ctx context.Context) {
	go c.dispatchEvents(ctx)
	c.mu.Lock()
	c.step()
	c.mu.Unlock()
	backoffs := backoff.New(firstBackoffRenewals*c.options.Rules.RenewIntervalMS, maxBackoffRenewals*c.options.Rules.RenewIntervalMS, rand.New(rand.NewPCG(c.options.Seed, 2)))
	for ctx.Err() == nil {
		var err error
		if address := c.nextAddress(); address != "" {
			err = c.connect(ctx, address)
			c.options.Log.Debug().Err(err).Str("at", address).Msg("session over")
		}
		if c.takeEstablished() {
			backoffs.Reset()
		}
		wait := backoffs.Next()
		if limitErr := (*sessionLimitError)(nil); errors.As(err, &limitErr) {
			wait += limitErr.retryMS
		}
		c.sleep(ctx, wait)
	}
}

// connect opens a session with a copy and holds it to its end.
func (c *Client) connect(ctx context.Context, address string) error {
	conn, err := c.options.Dial(ctx, address)
	if err != nil {
		return err
	}
	return c.serve(ctx, conn)
}

// takeEstablished tells whether the last session had an answer, and forgets it.
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

// nextAddress is the address of the copy to try next.
func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address := c.options.ReplicaAddresses[c.leaderHint]; address != "" {
		c.leaderHint = "" // once: it may know no better than we do
		return address
	}
	if len(c.replicaIDs) == 0 {
		return ""
	}
	c.nextReplica++
	return c.options.ReplicaAddresses[c.replicaIDs[c.nextReplica%len(c.replicaIDs)]]
}

// serve serves one connection to its end.
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
		for id, reply := range c.pendingReplies { // what was asked on it gets no answer any more
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
		return fmt.Errorf("session: %q leads", *m.LeaderID)
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
			if _, present := c.machine.ActiveGrant(now, duty.PresenceName(c.options.ProcessID)); present && m.Share != nil && m.Share.Version > c.share.Version {
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
	} else if m.Error != "" && m.RequestID == 0 { // else it answers what nobody waits for any more
		return fmt.Errorf("session: %s", m.Error)
	}
	return nil
}

// step lets the machine look at the time, and comes back when it has to again. The lock is held.
func (c *Client) step() {
	now := c.options.Steady.Now()
	c.handleActions(c.machine.Tick(now))
	if c.conn != nil && now > c.lastReplyAt+replyTimeoutRenewals*c.options.Rules.RenewIntervalMS {
		c.conn.Close() // guards against a copy that stands still, or can't be heard: another may lead by now
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
				c.share, c.acknowledgedShare = allot.LocalShare{}, 0
			}
			c.events.Put(a)
		default:
			c.events.Put(a)
		}
	}
}

// AcknowledgeShare tells that no more than the share of a version is used.
func (c *Client) AcknowledgeShare(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.share.Version {
		c.acknowledgedShare = version
		c.machine.ExpediteHeartbeat()
		c.step()
	}
}

// ActiveGrant tells whether an act under a duty may begin now, and under which epoch. It is to be asked before each.
func (c *Client) ActiveGrant(name string) (duty.Ref, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.ActiveGrant(c.options.Steady.Now(), name)
}

// LeaseEnd is the end of a holding on the steady clock, yields included.
func (c *Client) LeaseEnd(name string) (duty.Ref, float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.LeaseEnd(name)
}

// Presence is this process's own lease, and until when it is in force.
func (c *Client) Presence() (duty.Ref, float64, bool) {
	return c.LeaseEnd(duty.PresenceName(c.options.ProcessID))
}

// FencedCommands counts commands that were refused for their epoch.
func (c *Client) FencedCommands() uint64 { return c.fencedCommands.Load() }

// Quiesced tells that no act is under way under a grant that yields.
func (c *Client) Quiesced(r duty.Ref) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleActions(c.machine.Quiesced(c.options.Steady.Now(), r))
	c.step()
}

// SetMode puts the server into a mode.
func (c *Client) SetMode(mode duty.Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleActions(c.machine.SetMode(c.options.Steady.Now(), mode))
	c.step()
}

// ReleaseAll gives back all that is held, at the end of the process.
func (c *Client) ReleaseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleActions(c.machine.ReleaseAll(c.options.Steady.Now()))
}

// request sends a message that wants an answer, and waits for it. ErrNotExecuted: it was not carried out.
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

// Do has a command carried out. It is sent once: whoever gets ErrUnconfirmed has to look what came of it.
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

// DoFenced does something under a duty. The epoch goes with it, and is checked in the step in which the act takes effect.
func (c *Client) DoFenced(ctx context.Context, grant duty.Ref, commands ...state.Command) (state.Result, error) {
	return c.Do(ctx, state.Command{Op: state.OpFenced, Fence: &grant, Batch: commands})
}

// Read asks a question; the answer holds as of some time after it was asked.
func (c *Client) Read(ctx context.Context, query string, result any) error {
	response, err := c.request(ctx, clientMessage{Query: query})
	if err != nil {
		return err
	}
	return json.Unmarshal(response.Body, result)
}

// Begin records an effect with the copies before its run, under this process's presence. It is a core.EffectLog.
func (c *Client) Begin(id string) (bool, error) {
	presence, ok := c.ActiveGrant(duty.PresenceName(c.options.ProcessID))
	if !ok {
		return false, fmt.Errorf("%w: no presence is in force", ErrNotExecuted)
	}
	r, err := c.Do(context.Background(), state.Command{Op: state.OpBeginEffect, Key: id, Process: c.options.ProcessID, Epoch: presence.Epoch, NoEviction: true})
	return err == nil && r.WasAbsent, err
}

// Ended tells how an effect ended. It waits for nothing: what gets lost is settled as unknown once this process is gone.
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

func (c *Client) scheduleReport() {
	if !c.reportScheduled {
		c.reportScheduled = true
		c.options.Steady.After(outcomeBatchMS, func() { go c.reportOutcomes() })
	}
}

// reportOutcomes sends the ends on; what is not confirmed is sent again, since to book an end twice changes nothing.
func (c *Client) reportOutcomes() {
	c.mu.Lock()
	succeeded, failed := c.succeededEffects[:min(len(c.succeededEffects), maxOutcomesPerCommand)], c.failedEffects[:min(len(c.failedEffects), maxOutcomesPerCommand)]
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

// LatestVersion asks for the latest published version.
func (c *Client) LatestVersion(ctx context.Context) (v publish.Version, err error) {
	err = c.Read(ctx, ReadVersion, &v)
	return v, err
}

// Connected tells whether a session stands at a copy that leads.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writer != nil && c.established
}

// Share is what this process may use beyond its part for being alone, now.
func (c *Client) Share() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, present := c.machine.ActiveGrant(c.options.Steady.Now(), duty.PresenceName(c.options.ProcessID)); !present {
		return 0
	}
	return c.share.Amount
}

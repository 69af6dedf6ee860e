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
	dialFor    = time.Second
	firstRetry = 0.2     // renewal intervals; bound of the first backoff
	maxRetry   = 2.0     // renewal intervals; bound of the last backoff: a server finds the leader before its presence expires
	fullMost   = 20.0    // renewal intervals; longest retry delay accepted from a replica at its session limit
	answerFor  = 3.0     // renewal intervals without a heartbeat reply after which the client tries another replica
	endedEvery = 50.0    // ms; outcomes of effects that arrive within it are sent as one command
	mostEnded  = 256     // succeeded effects, and failed effects, in one command
	mostEnds   = 1 << 14 // outcomes waiting to be sent; further ones are dropped
	commandFor = 3000.0  // ms; timeout of a command or query
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
	// Allotted, Published and Linked. If nil, events are discarded.
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
	o     Options
	on    *mailbox.Box[any]
	fence atomic.Uint64 // commands refused for a stale epoch

	mu      sync.Mutex
	m       *duty.Machine
	line    *line
	conn    net.Conn
	since   float64 // steady clock, ms: time of the last heartbeat reply, or of the connect
	hint    string  // ID of the reported leader; "": unknown
	next    int     // counter into order, used without a hint
	no      uint64
	waits   map[uint64]chan toServer
	mine    allot.Mine
	used    uint64 // version of the share in use
	version uint64 // latest published version seen
	ended   []string
	failed  []string
	ending  bool
	timer   *clock.Timer
	led     bool // the current session has received a heartbeat reply
	order   []string
}

// NewClient returns a client. It connects once Run is called.
func NewClient(o Options) *Client {
	m := duty.NewMachine(o.Rules, o.ProcessID, o.Seed)
	m.Plant = o.InjectedBug
	if o.Dial == nil {
		d := net.Dialer{Timeout: dialFor}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	c := &Client{o: o, on: mailbox.New[any](), m: m, waits: map[uint64]chan toServer{}, order: slices.Sorted(maps.Keys(o.ReplicaAddresses))}
	if n := len(c.order); n > 0 {
		c.next = int(o.Seed % uint64(n))
	}
	return c
}

// Run maintains a session, reconnecting with backoff, until the context ends.
func (c *Client) Run(ctx context.Context) {
	go c.events(ctx)
	c.mu.Lock()
	c.step()
	c.mu.Unlock()
	retry := backoff.New(firstRetry*c.o.Rules.Renew, maxRetry*c.o.Rules.Renew, rand.New(rand.NewPCG(c.o.Seed, 2)))
	for ctx.Err() == nil {
		var err error
		if at := c.seek(); at != "" {
			err = c.try(ctx, at)
			c.o.Log.Debug().Err(err).Str("at", at).Msg("session ended; reconnecting")
		}
		if c.wasServed() {
			retry.Reset()
		}
		wait := retry.Next()
		if full := (*fullError)(nil); errors.As(err, &full) {
			wait += full.retryMs
		}
		c.pause(ctx, wait)
	}
}

// try connects to a replica and serves the session until it ends.
func (c *Client) try(ctx context.Context, at string) error {
	conn, err := c.o.Dial(ctx, at)
	if err != nil {
		return err
	}
	return c.hold(ctx, conn)
}

// wasServed reports whether the last session received a heartbeat reply, and clears that state.
func (c *Client) wasServed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := c.led
	c.led = false
	return served
}

func (c *Client) pause(ctx context.Context, ms float64) {
	due := make(chan struct{})
	t := c.o.Steady.After(ms, func() { close(due) })
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-due:
	}
}

func (c *Client) events(ctx context.Context) {
	var batch []any
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.on.Ready:
		}
		batch = c.on.Take(batch)
		for _, e := range batch {
			if c.o.OnEvent != nil {
				c.o.OnEvent(e)
			}
		}
	}
}

// seek returns the address of the replica to try next; "": none is configured.
func (c *Client) seek() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.o.ReplicaAddresses[c.hint]; at != "" {
		c.hint = "" // used once: the hint may be outdated
		return at
	}
	if len(c.order) == 0 {
		return ""
	}
	c.next++
	return c.o.ReplicaAddresses[c.order[c.next%len(c.order)]]
}

// hold serves one connection until it ends.
func (c *Client) hold(ctx context.Context, conn net.Conn) error {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetWriteDeadline(time.Now().Add(frame.Whole))
	if _, err := conn.Write([]byte{store.ForSessions}); err != nil {
		return err
	}
	l := newLine(conn)
	defer close(l.done)
	c.mu.Lock()
	c.line, c.conn, c.since, c.led = l, conn, c.o.Steady.Now(), false
	c.m.Hurry()
	c.step()
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.line, c.conn = nil, nil
		for no, w := range c.waits { // commands and queries sent on this connection get no reply
			delete(c.waits, no)
			close(w)
		}
	}()
	r := newReader(conn, 0)
	for {
		var m toServer
		if err := r.Next(&m); err != nil {
			return err
		}
		if err := c.hear(m); err != nil {
			return err
		}
	}
}

func (c *Client) hear(m toServer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Else != nil {
		c.hint = *m.Else
		if w := c.waits[m.No]; w != nil {
			delete(c.waits, m.No)
			w <- m
		}
		return fmt.Errorf("session: not the leader; the leader is %q", *m.Else)
	}
	if m.RetryMs > 0 {
		return &fullError{min(m.RetryMs, fullMost*c.o.Rules.Renew)}
	}
	if m.Reply != nil {
		now := c.o.Steady.Now()
		c.since = now
		if !c.led {
			c.led = true
			c.on.Put(SessionEstablished{})
		}
		current := m.Reply.Index >= c.m.Seen()
		c.do(c.m.HandleReply(now, *m.Reply))
		if current {
			if _, here := c.m.May(now, duty.PresenceOf(c.o.ProcessID)); here && m.Share != nil && m.Share.Version > c.mine.Version {
				c.mine.Take(*m.Share)
				c.on.Put(ShareChanged{c.mine.Amount, c.mine.Version})
			}
			if m.Version > c.version {
				c.version = m.Version
				c.on.Put(VersionPublished{m.Version})
			}
		}
		c.step()
		return nil
	}
	if w := c.waits[m.No]; w != nil {
		delete(c.waits, m.No)
		w <- m
	} else if m.Error != "" && m.No == 0 { // other replies belong to requests that timed out
		return fmt.Errorf("session: %s", m.Error)
	}
	return nil
}

// step advances the duty machine to the current time and schedules the next step. The caller holds the lock.
func (c *Client) step() {
	now := c.o.Steady.Now()
	c.do(c.m.Tick(now))
	if c.conn != nil && now > c.since+answerFor*c.o.Rules.Renew {
		c.conn.Close() // the replica is stalled or unreachable; another may be the leader by now
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = c.o.Steady.After(max(c.m.Next()-now, 1), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.step()
	})
}

func (c *Client) do(actions []duty.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case duty.Send:
			if c.line != nil {
				need := int64(0)
				if c.o.Need != nil {
					need = c.o.Need()
				}
				c.line.send(toCopy{Heartbeat: &a.Heartbeat, Ack: c.used, Need: need})
			}
		case duty.Ended:
			if a.Name == duty.PresenceOf(c.o.ProcessID) {
				c.mine, c.used = allot.Mine{}, 0
			}
			c.on.Put(a)
		default:
			c.on.Put(a)
		}
	}
}

// AcknowledgeShare acknowledges a share version: the server uses no more than the share of that version.
func (c *Client) AcknowledgeShare(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.mine.Version {
		c.used = version
		c.m.Hurry()
		c.step()
	}
}

// ActiveGrant reports whether an action under a duty may begin now, and under which grant. It must be called before each action.
func (c *Client) ActiveGrant(name string) (duty.Ref, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.m.May(c.o.Steady.Now(), name)
}

// LeaseEnd returns the grant of a held duty and the end of its lease on the steady clock in ms, also while the duty is being
// yielded.
func (c *Client) LeaseEnd(name string) (duty.Ref, float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.m.Until(name)
}

// Presence returns the grant of this process's presence and the end of its lease on the steady clock in ms.
func (c *Client) Presence() (duty.Ref, float64, bool) {
	return c.LeaseEnd(duty.PresenceOf(c.o.ProcessID))
}

// FencedCommands returns the number of commands refused for a stale epoch.
func (c *Client) FencedCommands() uint64 { return c.fence.Load() }

// Quiesced reports that no action is in progress under a grant that is being yielded.
func (c *Client) Quiesced(r duty.Ref) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.do(c.m.Quiet(c.o.Steady.Now(), r))
	c.step()
}

// SetMode sets the mode of the server.
func (c *Client) SetMode(mode duty.Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.do(c.m.Switch(c.o.Steady.Now(), mode))
	c.step()
}

// ReleaseAll releases all held duties, when the process ends.
func (c *Client) ReleaseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.do(c.m.Leave(c.o.Steady.Now()))
}

// ask sends a command or query and waits for its reply. ErrNotExecuted means that it was not executed.
func (c *Client) ask(ctx context.Context, m toCopy) (toServer, error) {
	c.mu.Lock()
	l := c.line
	if l == nil {
		c.mu.Unlock()
		return toServer{}, ErrNotExecuted
	}
	c.no++
	m.No = c.no
	w := make(chan toServer, 1)
	c.waits[m.No] = w
	l.send(m)
	c.mu.Unlock()
	late := make(chan struct{})
	t := c.o.Steady.After(commandFor, func() { close(late) })
	defer t.Stop()
	select {
	case got, ok := <-w:
		if !ok {
			return got, ErrUnconfirmed
		}
		if got.Else != nil {
			return got, ErrNotExecuted
		}
		if got.Error != "" {
			return got, fmt.Errorf("%w: %s", ErrUnconfirmed, got.Error)
		}
		return got, nil
	case <-late:
	case <-ctx.Done():
	}
	c.mu.Lock()
	delete(c.waits, m.No)
	c.mu.Unlock()
	return toServer{}, ErrUnconfirmed
}

// Do sends a command and returns its result. The command is sent once: after ErrUnconfirmed the caller has to find out whether
// it was executed.
func (c *Client) Do(ctx context.Context, cmd state.Command) (state.Result, error) {
	got, err := c.ask(ctx, toCopy{Do: &cmd})
	if err != nil {
		return state.Result{}, err
	}
	if got.Result == nil {
		return state.Result{}, ErrUnconfirmed
	}
	if got.Result.Stale {
		c.fence.Add(1)
		return *got.Result, fmt.Errorf("%w: %s", ErrStaleEpoch, got.Result.Error)
	}
	if got.Result.Error != "" {
		return *got.Result, fmt.Errorf("session: refused: %s", got.Result.Error)
	}
	return *got.Result, nil
}

// DoFenced executes commands under a duty. The store checks the fencing token (epoch) in the same log entry that applies the
// commands.
func (c *Client) DoFenced(ctx context.Context, under duty.Ref, do ...state.Command) (state.Result, error) {
	return c.Do(ctx, state.Command{Op: state.Act, Fence: &under, Do: do})
}

// Read runs a query and decodes its result. The result reflects the state at some time after the call began.
func (c *Client) Read(ctx context.Context, what string, into any) error {
	got, err := c.ask(ctx, toCopy{Read: what})
	if err != nil {
		return err
	}
	return json.Unmarshal(got.Body, into)
}

// Begin records an effect in the replicated store before its attempt, under this process's presence. Begin and Ended make the
// client a core.Ledger.
func (c *Client) Begin(id string) (bool, error) {
	here, ok := c.ActiveGrant(duty.PresenceOf(c.o.ProcessID))
	if !ok {
		return false, fmt.Errorf("%w: no presence lease in force", ErrNotExecuted)
	}
	r, err := c.Do(context.Background(), state.Command{Op: state.Begin, Key: id, Who: c.o.ProcessID, Epoch: here.Epoch, Keep: true})
	return err == nil && r.Fresh, err
}

// Ended records the outcome of an effect. It does not block: an outcome that is lost is resolved as unknown once this process is
// gone.
func (c *Client) Ended(id string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ended)+len(c.failed) >= mostEnds {
		return
	}
	if ok {
		c.ended = append(c.ended, id)
	} else {
		c.failed = append(c.failed, id)
	}
	c.endSoon()
}

// endSoon schedules a report of the collected outcomes. The caller holds the lock.
func (c *Client) endSoon() {
	if !c.ending {
		c.ending = true
		c.o.Steady.After(endedEvery, func() { go c.end() })
	}
}

// end sends the collected outcomes. Unconfirmed outcomes are sent again, since recording an outcome is idempotent.
func (c *Client) end() {
	c.mu.Lock()
	ok, failed := c.ended[:min(len(c.ended), mostEnded)], c.failed[:min(len(c.failed), mostEnded)]
	cmd := state.Command{Op: state.End, Who: c.o.ProcessID, IDs: slices.Clone(ok), Failed: slices.Clone(failed)}
	c.mu.Unlock()
	_, err := c.Do(context.Background(), cmd)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = false
	if err == nil {
		c.ended, c.failed = c.ended[len(cmd.IDs):], c.failed[len(cmd.Failed):]
	}
	if len(c.ended)+len(c.failed) > 0 {
		c.endSoon()
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
	return c.line != nil && c.led
}

// Share returns the capacity that this process may use now beyond its standalone share, in thousandths of a call in flight.
func (c *Client) Share() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, here := c.m.May(c.o.Steady.Now(), duty.PresenceOf(c.o.ProcessID)); !here {
		return 0
	}
	return c.mine.Amount
}

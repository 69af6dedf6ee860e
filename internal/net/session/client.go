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
	firstRetry = 0.2  // renewals within which another copy is tried after the first failure,
	maxRetry   = 2.0  // and after the last; so a server finds the copy that leads before its presence ends
	fullMost   = 20.0 // after which a copy that says that it is full is tried again, whatever it says
	answerFor  = 3.0  // renewals without an answer after which another copy is tried
	endedEvery = 50.0 // ms; ends of effects that come within it go as one command
	mostEnded  = 256  // of them in one
	mostEnds   = 1 << 14
	commandFor = 3000.0 // ms that a command waits for its answer
)

// Options set up a client.
type Options struct {
	Me     string            // name and incarnation
	Copies map[string]string // address of each copy, by its id
	Rules  duty.Rules
	Seed   uint64
	Steady *clock.Clock
	Log    zerolog.Logger
	Plant  string // a planted bug, for the laboratory; "": none

	// Dial opens connections; nil: over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// On is called for each event, in order, on a goroutine of its own: an action of duty.Machine, Allotted or Published.
	On func(any)
	// Need tells what the server could use beyond its part for being alone, in thousandths of a call in hand; nil: nothing.
	Need func() int64
}

type (
	// Allotted tells of another share; it is in force until the presence ends. Used has to be called once no more than that
	// is used.
	Allotted struct {
		Amount  int64
		Version uint64
	}
	// Published tells that a version is out that was not heard of before.
	Published struct{ No uint64 }
	// Linked tells of the first answer of a session: the copy leads.
	Linked struct{}
)

// Client holds an order server's session with whichever copy leads.
type Client struct {
	o     Options
	on    *mailbox.Box[any]
	fence atomic.Uint64 // commands refused for their epoch

	mu      sync.Mutex
	m       *duty.Machine
	line    *line
	conn    net.Conn
	since   float64 // when the connection was made, or brought the last answer
	hint    string  // id of the copy that is said to lead
	next    int     // of the copies' order, where there is no hint
	no      uint64
	waits   map[uint64]chan toServer
	mine    allot.Mine
	used    uint64 // version of the share that is in use
	version uint64 // published, heard of
	ended   []string
	failed  []string
	ending  bool
	timer   *clock.Timer
	led     bool // the present session has brought an answer
	order   []string
}

// NewClient makes a client; Run has to be called for it to seek the copies.
func NewClient(o Options) *Client {
	m := duty.NewMachine(o.Rules, o.Me, o.Seed)
	m.Plant = o.Plant
	if o.Dial == nil {
		d := net.Dialer{Timeout: dialFor}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	c := &Client{o: o, on: mailbox.New[any](), m: m, waits: map[uint64]chan toServer{}, order: slices.Sorted(maps.Keys(o.Copies))}
	if n := len(c.order); n > 0 {
		c.next = int(o.Seed % uint64(n))
	}
	return c
}

// Run holds a session until the context ends.
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
			c.o.Log.Debug().Err(err).Str("at", at).Msg("session over")
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

// try opens a session with a copy and holds it to its end.
func (c *Client) try(ctx context.Context, at string) error {
	conn, err := c.o.Dial(ctx, at)
	if err != nil {
		return err
	}
	return c.hold(ctx, conn)
}

// wasServed tells whether the last session had an answer, and forgets it.
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
			if c.o.On != nil {
				c.o.On(e)
			}
		}
	}
}

// seek is the address of the copy to try next.
func (c *Client) seek() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.o.Copies[c.hint]; at != "" {
		c.hint = "" // once: it may know no better than we do
		return at
	}
	if len(c.order) == 0 {
		return ""
	}
	c.next++
	return c.o.Copies[c.order[c.next%len(c.order)]]
}

// hold serves one connection to its end.
func (c *Client) hold(ctx context.Context, conn net.Conn) error {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetWriteDeadline(time.Now().Add(frame.Whole))
	if _, err := conn.Write([]byte{store.PurposeSessions}); err != nil {
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
		for no, w := range c.waits { // what was asked on it gets no answer any more
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
		return fmt.Errorf("session: %q leads", *m.Else)
	}
	if m.RetryMs > 0 {
		return &fullError{min(m.RetryMs, fullMost*c.o.Rules.Renew)}
	}
	if m.Reply != nil {
		now := c.o.Steady.Now()
		c.since = now
		if !c.led {
			c.led = true
			c.on.Put(Linked{})
		}
		current := m.Reply.Index >= c.m.Seen()
		c.do(c.m.HandleReply(now, *m.Reply))
		if current {
			if _, here := c.m.May(now, duty.PresenceOf(c.o.Me)); here && m.Share != nil && m.Share.Version > c.mine.Version {
				c.mine.Take(*m.Share)
				c.on.Put(Allotted{c.mine.Amount, c.mine.Version})
			}
			if m.Version > c.version {
				c.version = m.Version
				c.on.Put(Published{m.Version})
			}
		}
		c.step()
		return nil
	}
	if w := c.waits[m.No]; w != nil {
		delete(c.waits, m.No)
		w <- m
	} else if m.Error != "" && m.No == 0 { // else it answers what nobody waits for any more
		return fmt.Errorf("session: %s", m.Error)
	}
	return nil
}

// step lets the machine look at the time, and comes back when it has to again. The lock is held.
func (c *Client) step() {
	now := c.o.Steady.Now()
	c.do(c.m.Tick(now))
	if c.conn != nil && now > c.since+answerFor*c.o.Rules.Renew {
		c.conn.Close() // guards against a copy that stands still, or can't be heard: another may lead by now
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
			if a.Name == duty.PresenceOf(c.o.Me) {
				c.mine, c.used = allot.Mine{}, 0
			}
			c.on.Put(a)
		default:
			c.on.Put(a)
		}
	}
}

// Used tells that no more than the share of a version is used.
func (c *Client) Used(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.mine.Version {
		c.used = version
		c.m.Hurry()
		c.step()
	}
}

// May tells whether an act under a duty may begin now, and under which epoch. It is to be asked before each.
func (c *Client) May(name string) (duty.Ref, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.m.May(c.o.Steady.Now(), name)
}

// Holding is the end of a holding on the steady clock, yields included.
func (c *Client) Holding(name string) (duty.Ref, float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.m.Until(name)
}

// Presence is this process's own lease, and until when it is in force.
func (c *Client) Presence() (duty.Ref, float64, bool) { return c.Holding(duty.PresenceOf(c.o.Me)) }

// Fenced counts commands that were refused for their epoch.
func (c *Client) Fenced() uint64 { return c.fence.Load() }

// Quiet tells that no act is under way under a grant that yields.
func (c *Client) Quiet(r duty.Ref) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.do(c.m.Quiet(c.o.Steady.Now(), r))
	c.step()
}

// Switch puts the server into a mode.
func (c *Client) Switch(mode duty.Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.do(c.m.Switch(c.o.Steady.Now(), mode))
	c.step()
}

// Leave gives back all that is held, at the end of the process.
func (c *Client) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.do(c.m.Leave(c.o.Steady.Now()))
}

// ask sends a message that wants an answer, and waits for it. ErrNotSent: it was not carried out.
func (c *Client) ask(ctx context.Context, m toCopy) (toServer, error) {
	c.mu.Lock()
	l := c.line
	if l == nil {
		c.mu.Unlock()
		return toServer{}, ErrNotSent
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
			return got, ErrNotSent
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

// Do has a command carried out. It is sent once: whoever gets ErrUnconfirmed has to look what came of it.
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
		return *got.Result, fmt.Errorf("%w: %s", ErrStale, got.Result.Error)
	}
	if got.Result.Error != "" {
		return *got.Result, fmt.Errorf("session: refused: %s", got.Result.Error)
	}
	return *got.Result, nil
}

// Act does something under a duty. The epoch goes with it, and is checked in the step in which the act takes effect.
func (c *Client) Act(ctx context.Context, under duty.Ref, do ...state.Command) (state.Result, error) {
	return c.Do(ctx, state.Command{Op: state.Act, Fence: &under, Do: do})
}

// Read asks a question; the answer holds as of some time after it was asked.
func (c *Client) Read(ctx context.Context, what string, into any) error {
	got, err := c.ask(ctx, toCopy{Read: what})
	if err != nil {
		return err
	}
	return json.Unmarshal(got.Body, into)
}

// Begin records an effect with the copies before its run, under this process's presence. It is a core.Ledger.
func (c *Client) Begin(id string) (bool, error) {
	here, ok := c.May(duty.PresenceOf(c.o.Me))
	if !ok {
		return false, fmt.Errorf("%w: no presence is in force", ErrNotSent)
	}
	r, err := c.Do(context.Background(), state.Command{Op: state.Begin, Key: id, Who: c.o.Me, Epoch: here.Epoch, Keep: true})
	return err == nil && r.Fresh, err
}

// Ended tells how an effect ended. It waits for nothing: what gets lost is settled as unknown once this process is gone.
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

func (c *Client) endSoon() {
	if !c.ending {
		c.ending = true
		c.o.Steady.After(endedEvery, func() { go c.end() })
	}
}

// end sends the ends on; what is not confirmed is sent again, since to book an end twice changes nothing.
func (c *Client) end() {
	c.mu.Lock()
	ok, failed := c.ended[:min(len(c.ended), mostEnded)], c.failed[:min(len(c.failed), mostEnded)]
	cmd := state.Command{Op: state.End, Who: c.o.Me, IDs: slices.Clone(ok), Failed: slices.Clone(failed)}
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

// Version asks for the latest published version.
func (c *Client) Version(ctx context.Context) (v publish.Version, err error) {
	err = c.Read(ctx, ReadVersion, &v)
	return v, err
}

// Linked tells whether a session stands at a copy that leads.
func (c *Client) Linked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.line != nil && c.led
}

// Share is what this process may use beyond its part for being alone, now.
func (c *Client) Share() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, here := c.m.May(c.o.Steady.Now(), duty.PresenceOf(c.o.Me)); !here {
		return 0
	}
	return c.mine.Amount
}

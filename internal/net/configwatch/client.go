package configwatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/frame"
	"puffinsaddle/internal/net/meter"
	"puffinsaddle/internal/records"
)

// Follower is the process for which a client watches. Its methods are called one at a time, but for Report.
type Follower interface {
	// Position is how far it is.
	Position() distribution.Position
	// Follow takes the next commit; it returns once the commit is in force.
	Follow(records.Commit) error
	// Adopt takes the records of a snapshot in place of all that it has.
	Adopt(records.Header, *records.Table) error
	// Discard throws away what it has, since that was never agreed on.
	Discard(reason error)
	// KeepsRecords tells whether it holds records, or digests alone.
	KeepsRecords() bool
	// Report tells how far it is.
	Report() distribution.Report
}

// ClientOptions set up a client.
type ClientOptions struct {
	Name     string
	Relay    bool   // the follower serves others
	Region   string // of a relay
	Preamble []byte // what a connection begins with: the copies of the store take others at the same address
	Selector *distribution.Selector
	Follower Follower
	Dial     func(ctx context.Context, address string) (net.Conn, error) // nil: over TCP
	// On is called when a connection begins to be served, and with an error when it ends; nil: nobody asks.
	On     func(address string, err error)
	Steady *clock.Clock
	Log    zerolog.Logger
	Plant  string // a planted bug, for the laboratory; "": none
}

// ClientFigures are counts of a client from its start.
type ClientFigures struct {
	Received  uint64 `json:"received"` // bytes
	Sent      uint64 `json:"sent"`     // bytes
	Connected uint64 `json:"connected"`
	Snapshots uint64 `json:"snapshots"` // taken whole
	Latest    uint64 `json:"latest"`    // revision, as far as the relay knows
	Watching  string `json:"watching"`  // the relay's address; "": none serves
}

// Client watches for one process.
type Client struct {
	o ClientOptions

	bytes                        meter.ByteCounts
	connected, snapshots, latest atomic.Uint64

	mu       sync.Mutex
	watching string
	last     string // the relay that served last
}

const dialTimeout = time.Second

// NewClient makes a client; Run has to be called for it to watch.
func NewClient(o ClientOptions) *Client {
	if o.Dial == nil {
		d := net.Dialer{Timeout: dialTimeout}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	return &Client{o: o}
}

// Figures reads the counts.
func (c *Client) Figures() ClientFigures {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ClientFigures{c.bytes.In.Load(), c.bytes.Out.Load(), c.connected.Load(), c.snapshots.Load(), c.latest.Load(), c.watching}
}

// Run watches until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		relay, wait, ok := c.o.Selector.Next(c.o.Steady.Now())
		if ok {
			err := c.watch(ctx, relay)
			if r, refused := IsRefusal(err); refused {
				wait = c.o.Selector.Refused(c.o.Steady.Now(), r.RetryMs, r.Elsewhere)
			} else {
				wait = c.o.Selector.Failed()
			}
			c.o.Log.Debug().Err(err).Str("relay", relay.Address).Float64("wait_ms", wait).Msg("not watching")
		}
		c.pause(ctx, wait)
	}
}

func (c *Client) pause(ctx context.Context, ms float64) {
	due := make(chan struct{})
	t := c.o.Steady.After(ms, func() { close(due) })
	defer t.Stop()
	select {
	case <-due:
	case <-ctx.Done():
	}
}

// watch serves one connection to its end.
func (c *Client) watch(ctx context.Context, relay distribution.Relay) error {
	raw, err := c.o.Dial(ctx, relay.Address)
	if err != nil {
		return err
	}
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	conn := meter.New(raw, &c.bytes)
	if len(c.o.Preamble) > 0 {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(c.o.Preamble); err != nil {
			return err
		}
	}
	w := Watch{Name: c.o.Name, At: c.o.Follower.Position(), Relay: c.o.Relay, Region: c.o.Region}
	if err := frame.Send(conn, toFeed{Watch: &w}, maxReport); err != nil {
		return err
	}
	s := &stream{client: c, relay: relay, conn: conn, over: make(chan struct{})}
	s.lose = c.o.Plant == distribution.PlantLostChange && c.last != "" && c.last != relay.Address
	defer close(s.over)
	err = s.read()
	if s.served {
		c.setWatching("")
		if c.o.On != nil {
			c.o.On(relay.Address, err)
		}
	}
	return err
}

func (c *Client) setWatching(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = address
	if address != "" {
		c.last = address
	}
}

// stream is one connection.
type stream struct {
	client    *Client
	relay     distribution.Relay
	conn      net.Conn
	assembler *records.Assembler // of the snapshot that is coming; nil: none
	header    records.Header
	served    bool
	lose      bool // the planted bug: the next commit is counted and not carried out
	over      chan struct{}
}

func (s *stream) read() error {
	defer func() {
		if s.assembler != nil {
			s.assembler.Close()
		}
	}()
	r := frame.NewReader(s.conn, silentTimeout, maxMessage)
	for {
		content, err := r.NextBytes()
		if err != nil {
			return err
		}
		m, err := decode(content)
		if err != nil {
			return err
		}
		if m.Refused != nil {
			return m.Refused
		}
		if !s.served {
			s.begin()
		}
		if err := s.take(m); err != nil {
			return err
		}
	}
}

// begin takes note that the relay serves.
func (s *stream) begin() {
	c := s.client
	s.served = true
	c.connected.Add(1)
	keepFor := c.o.Selector.Served()
	c.setWatching(s.relay.Address)
	if c.o.On != nil {
		c.o.On(s.relay.Address, nil)
	}
	if keepFor > 0 {
		t := c.o.Steady.After(keepFor, func() { s.conn.Close() })
		go func() {
			<-s.over
			t.Stop()
		}()
	}
	go s.report()
}

// report tells now and then how far the follower is.
func (s *stream) report() {
	for {
		due := make(chan struct{})
		t := s.client.o.Steady.After(heartbeatMs, func() { close(due) })
		select {
		case <-s.over:
			t.Stop()
			return
		case <-due:
		}
		r := s.client.o.Follower.Report()
		if err := frame.Send(s.conn, toFeed{Report: &r}, maxReport); err != nil {
			s.conn.Close()
			return
		}
	}
}

func (s *stream) take(m toWatcher) error {
	c := s.client
	switch {
	case m.Commit != nil:
		return s.follow(*m.Commit)
	case m.Header != nil:
		return s.beginSnapshot(*m.Header)
	case m.Piece != nil:
		return s.addPiece(*m.Piece)
	case m.Heartbeat != nil:
		c.latest.Store(*m.Heartbeat)
		return nil
	}
	return errNoPart
}

func (s *stream) follow(commit records.Commit) error {
	f := s.client.o.Follower
	s.client.latest.Store(max(s.client.latest.Load(), commit.Revision))
	if s.assembler != nil {
		return errPiece
	}
	if skipper, ok := f.(interface{ Skip(records.Commit) error }); ok && s.lose {
		s.lose = false
		return skipper.Skip(commit)
	}
	err := f.Follow(commit)
	var order *records.OrderError
	if errors.As(err, &order) && order.Differ {
		f.Discard(err) // and the next watch begins with a snapshot
	}
	return err
}

func (s *stream) beginSnapshot(h records.Header) error {
	f := s.client.o.Follower
	if s.assembler != nil {
		return errPiece
	}
	if h.Revision < f.Position().Revision {
		// A feed that is behind its watcher sends it away, so this one knows the watcher's revision, and with other records.
		f.Discard(errOther)
	}
	a, err := records.NewAssembler(h, f.KeepsRecords())
	if err != nil {
		return err
	}
	s.assembler, s.header = a, h
	if h.Pieces == 0 {
		return s.adopt()
	}
	return nil
}

func (s *stream) addPiece(p records.Piece) error {
	if s.assembler == nil {
		return errPiece
	}
	if err := s.assembler.Add(p); err != nil {
		return err
	}
	if p.Number+1 < s.header.Pieces {
		return nil
	}
	return s.adopt()
}

func (s *stream) adopt() error {
	table, err := s.assembler.Finish()
	s.assembler.Close()
	s.assembler = nil
	if err != nil {
		return err
	}
	if err := s.client.o.Follower.Adopt(s.header, table); err != nil {
		return err
	}
	s.client.snapshots.Add(1)
	return nil
}

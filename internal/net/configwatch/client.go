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

// Follower is the configuration replica that a client keeps up to date. Its methods are called one at a time, except Report.
type Follower interface {
	// Position returns the latest position that the replica has applied.
	Position() distribution.Position
	// Follow applies the next commit. It returns once the commit is in force.
	Follow(records.Commit) error
	// Adopt replaces all records by those of a snapshot.
	Adopt(records.Header, *records.Table) error
	// Discard drops all records, because they differ from the committed ones.
	Discard(reason error)
	// KeepsRecords reports whether the replica stores the records, or only their digests.
	KeepsRecords() bool
	// Report returns the progress of the replica.
	Report() distribution.Report
}

// ClientOptions configure a Client.
type ClientOptions struct {
	Name     string
	IsRelay  bool   // the process is a relay, which serves others
	Region   string // region of a relay
	Preamble []byte // first bytes of a connection: store replicas accept other protocols at the same address
	Selector *distribution.Selector
	Replica  Follower
	Dial     func(ctx context.Context, address string) (net.Conn, error) // nil: dial over TCP
	// OnConnectionChange is called with a nil error when a feed begins to serve a connection, and with an error when that connection ends. It
	// may be nil.
	OnConnectionChange func(address string, err error)
	Steady             *clock.Clock
	Log                zerolog.Logger
	InjectedBug        string // injected bug, for the lab; "": none
}

// ClientMetrics are the metrics of a Client since its start.
type ClientMetrics struct {
	ReceivedBytes  uint64 `json:"received"` // bytes
	SentBytes      uint64 `json:"sent"`     // bytes
	Connections    uint64 `json:"connected"`
	Snapshots      uint64 `json:"snapshots"` // received completely
	LatestRevision uint64 `json:"latest"`    // latest revision reported by the relay
	RelayAddress   string `json:"watching"`  // address of the serving relay; "": none
}

// Client watches a feed on behalf of one process.
type Client struct {
	o ClientOptions

	bytes                        meter.Count
	connected, snapshots, latest atomic.Uint64

	mu       sync.Mutex
	watching string
	last     string // address of the relay that served last
}

const dialTimeout = time.Second

// NewClient returns a client. It watches once Run is called.
func NewClient(o ClientOptions) *Client {
	if o.Dial == nil {
		d := net.Dialer{Timeout: dialTimeout}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	return &Client{o: o}
}

// Metrics returns the current metrics.
func (c *Client) Metrics() ClientMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ClientMetrics{c.bytes.In.Load(), c.bytes.Out.Load(), c.connected.Load(), c.snapshots.Load(), c.latest.Load(), c.watching}
}

// Run watches, reconnecting to one relay after another, until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		relay, wait, ok := c.o.Selector.Next(c.o.Steady.Now())
		if ok {
			err := c.watch(ctx, relay)
			if r, refused := IsRefusal(err); refused {
				wait = c.o.Selector.Refused(c.o.Steady.Now(), r.RetryMS, r.AlternateAddresses)
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

// watch connects to a relay and processes its messages until the connection ends.
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
	w := Watch{Name: c.o.Name, Position: c.o.Replica.Position(), IsRelay: c.o.IsRelay, Region: c.o.Region}
	if err := frame.Send(conn, toFeed{Watch: &w}, maxReport); err != nil {
		return err
	}
	s := &stream{client: c, relay: relay, conn: conn, over: make(chan struct{})}
	s.lose = c.o.InjectedBug == distribution.PlantLostChange && c.last != "" && c.last != relay.Address
	defer close(s.over)
	err = s.read()
	if s.served {
		c.setWatching("")
		if c.o.OnConnectionChange != nil {
			c.o.OnConnectionChange(relay.Address, err)
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

// stream is the state of one connection.
type stream struct {
	client    *Client
	relay     distribution.Relay
	conn      net.Conn
	assembler *records.Assembler // of the snapshot being received; nil: none
	header    records.Header
	served    bool
	lose      bool // injected bug: the next commit is counted but not applied
	over      chan struct{}
}

// read processes messages until the connection fails or violates the protocol.
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

// begin records that the relay serves this client, and starts the periodic reports.
func (s *stream) begin() {
	c := s.client
	s.served = true
	c.connected.Add(1)
	keepFor := c.o.Selector.Served()
	c.setWatching(s.relay.Address)
	if c.o.OnConnectionChange != nil {
		c.o.OnConnectionChange(s.relay.Address, nil)
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

// report sends the progress of the replica at each heartbeat interval.
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
		r := s.client.o.Replica.Report()
		if err := frame.Send(s.conn, toFeed{Report: &r}, maxReport); err != nil {
			s.conn.Close()
			return
		}
	}
}

// take handles one message.
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
	f := s.client.o.Replica
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
		f.Discard(err) // the next watch then begins with a snapshot
	}
	return err
}

func (s *stream) beginSnapshot(h records.Header) error {
	f := s.client.o.Replica
	if s.assembler != nil {
		return errPiece
	}
	if h.Revision < f.Position().Revision {
		// A feed refuses a watcher that is ahead of it, so this feed knows the watcher's revision, with different records.
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
	if err := s.client.o.Replica.Adopt(s.header, table); err != nil {
		return err
	}
	s.client.snapshots.Add(1)
	return nil
}

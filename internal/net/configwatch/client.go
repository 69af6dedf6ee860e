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

// Replica is the process for which a client watches. Its methods are called one at a time, but for Report.
type Replica interface {
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
	IsRelay  bool   // the follower serves others
	Region   string // of a relay
	Preamble []byte // what a connection begins with: the copies of the store take others at the same address
	Selector *distribution.Selector
	Replica  Replica
	Dial     func(ctx context.Context, address string) (net.Conn, error) // nil: over TCP
	// OnConnectionChange is called when a connection begins to be served, and with an error when it ends; nil: nobody asks.
	OnConnectionChange func(address string, err error)
	Steady             *clock.Clock
	Log                zerolog.Logger
	InjectedBug        string // a planted bug, for the laboratory; "": none
}

// ClientMetrics are counts of a client from its start.
type ClientMetrics struct {
	ReceivedBytes  uint64 `json:"received"` // bytes
	SentBytes      uint64 `json:"sent"`     // bytes
	Connections    uint64 `json:"connected"`
	Snapshots      uint64 `json:"snapshots"` // taken whole
	LatestRevision uint64 `json:"latest"`    // revision, as far as the relay knows
	RelayAddress   string `json:"watching"`  // the relay's address; "": none serves
}

// Client watches for one process.
type Client struct {
	options ClientOptions

	traffic                                meter.ByteCounts
	connections, snapshots, latestRevision atomic.Uint64

	mu           sync.Mutex
	relayAddress string
	lastRelay    string // the relay that served last
}

const dialTimeout = time.Second

// NewClient makes a client; Run has to be called for it to watch.
func NewClient(o ClientOptions) *Client {
	if o.Dial == nil {
		d := net.Dialer{Timeout: dialTimeout}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	return &Client{options: o}
}

// Metrics reads the counts.
func (c *Client) Metrics() ClientMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ClientMetrics{c.traffic.In.Load(), c.traffic.Out.Load(), c.connections.Load(), c.snapshots.Load(), c.latestRevision.Load(), c.relayAddress}
}

// Run watches until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		relay, wait, ok := c.options.Selector.Next(c.options.Steady.Now())
		if ok {
			err := c.watch(ctx, relay)
			if r, refused := IsRefusal(err); refused {
				wait = c.options.Selector.Refused(c.options.Steady.Now(), r.RetryMS, r.AlternateAddresses)
			} else {
				wait = c.options.Selector.Failed()
			}
			c.options.Log.Debug().Err(err).Str("relay", relay.Address).Float64("wait_ms", wait).Msg("not watching")
		}
		c.sleep(ctx, wait)
	}
}

func (c *Client) sleep(ctx context.Context, ms float64) {
	due := make(chan struct{})
	t := c.options.Steady.After(ms, func() { close(due) })
	defer t.Stop()
	select {
	case <-due:
	case <-ctx.Done():
	}
}

// watch serves one connection to its end.
func (c *Client) watch(ctx context.Context, relay distribution.Relay) error {
	raw, err := c.options.Dial(ctx, relay.Address)
	if err != nil {
		return err
	}
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	conn := meter.New(raw, &c.traffic)
	if len(c.options.Preamble) > 0 {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(c.options.Preamble); err != nil {
			return err
		}
	}
	w := Watch{Name: c.options.Name, Position: c.options.Replica.Position(), IsRelay: c.options.IsRelay, Region: c.options.Region}
	if err := frame.Send(conn, watcherMessage{Watch: &w}, maxReportBytes); err != nil {
		return err
	}
	s := &stream{client: c, relay: relay, conn: conn, done: make(chan struct{})}
	s.skipNextCommit = c.options.InjectedBug == distribution.BugLostChange && c.lastRelay != "" && c.lastRelay != relay.Address
	defer close(s.done)
	err = s.read()
	if s.served {
		c.setRelayAddress("")
		if c.options.OnConnectionChange != nil {
			c.options.OnConnectionChange(relay.Address, err)
		}
	}
	return err
}

func (c *Client) setRelayAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayAddress = address
	if address != "" {
		c.lastRelay = address
	}
}

// stream is one connection.
type stream struct {
	client         *Client
	relay          distribution.Relay
	conn           net.Conn
	assembler      *records.Assembler // of the snapshot that is coming; nil: none
	header         records.Header
	served         bool
	skipNextCommit bool // the planted bug: the next commit is counted and not carried out
	done           chan struct{}
}

func (s *stream) read() error {
	defer func() {
		if s.assembler != nil {
			s.assembler.Close()
		}
	}()
	r := frame.NewReader(s.conn, feedIdleTimeout, maxMessageBytes)
	for {
		content, err := r.NextBytes()
		if err != nil {
			return err
		}
		m, err := decode(content)
		if err != nil {
			return err
		}
		if m.Refusal != nil {
			return m.Refusal
		}
		if !s.served {
			s.start()
		}
		if err := s.handle(m); err != nil {
			return err
		}
	}
}

// start takes note that the relay serves.
func (s *stream) start() {
	c := s.client
	s.served = true
	c.connections.Add(1)
	reconnectAfterMS := c.options.Selector.Served()
	c.setRelayAddress(s.relay.Address)
	if c.options.OnConnectionChange != nil {
		c.options.OnConnectionChange(s.relay.Address, nil)
	}
	if reconnectAfterMS > 0 {
		t := c.options.Steady.After(reconnectAfterMS, func() { s.conn.Close() })
		go func() {
			<-s.done
			t.Stop()
		}()
	}
	go s.sendReports()
}

// sendReports tells now and then how far the follower is.
func (s *stream) sendReports() {
	for {
		due := make(chan struct{})
		t := s.client.options.Steady.After(heartbeatIntervalMS, func() { close(due) })
		select {
		case <-s.done:
			t.Stop()
			return
		case <-due:
		}
		r := s.client.options.Replica.Report()
		if err := frame.Send(s.conn, watcherMessage{Report: &r}, maxReportBytes); err != nil {
			s.conn.Close()
			return
		}
	}
}

func (s *stream) handle(m feedMessage) error {
	c := s.client
	switch {
	case m.Commit != nil:
		return s.applyCommit(*m.Commit)
	case m.Header != nil:
		return s.beginSnapshot(*m.Header)
	case m.Chunk != nil:
		return s.addChunk(*m.Chunk)
	case m.Heartbeat != nil:
		c.latestRevision.Store(*m.Heartbeat)
		return nil
	}
	return errEmptyMessage
}

func (s *stream) applyCommit(commit records.Commit) error {
	replica := s.client.options.Replica
	s.client.latestRevision.Store(max(s.client.latestRevision.Load(), commit.Revision))
	if s.assembler != nil {
		return errSnapshotOrder
	}
	if skipper, ok := replica.(interface{ Skip(records.Commit) error }); ok && s.skipNextCommit {
		s.skipNextCommit = false
		return skipper.Skip(commit)
	}
	err := replica.Follow(commit)
	var order *records.SequenceError
	if errors.As(err, &order) && order.DigestMismatch {
		replica.Discard(err) // and the next watch begins with a snapshot
	}
	return err
}

func (s *stream) beginSnapshot(h records.Header) error {
	replica := s.client.options.Replica
	if s.assembler != nil {
		return errSnapshotOrder
	}
	if h.Revision < replica.Position().Revision {
		// A feed that is behind its watcher sends it away, so this one knows the watcher's revision, and with other records.
		replica.Discard(errDivergentRecords)
	}
	assembler, err := records.NewAssembler(h, replica.KeepsRecords())
	if err != nil {
		return err
	}
	s.assembler, s.header = assembler, h
	if h.ChunkCount == 0 {
		return s.adoptSnapshot()
	}
	return nil
}

func (s *stream) addChunk(p records.Chunk) error {
	if s.assembler == nil {
		return errSnapshotOrder
	}
	if err := s.assembler.Add(p); err != nil {
		return err
	}
	if p.Index+1 < s.header.ChunkCount {
		return nil
	}
	return s.adoptSnapshot()
}

func (s *stream) adoptSnapshot() error {
	table, err := s.assembler.Finish()
	s.assembler.Close()
	s.assembler = nil
	if err != nil {
		return err
	}
	if err := s.client.options.Replica.Adopt(s.header, table); err != nil {
		return err
	}
	s.client.snapshots.Add(1)
	return nil
}

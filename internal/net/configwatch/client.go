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

// Replica is the configuration replica that a client keeps up to date. Its methods are called one at a time, except Report.
type Replica interface {
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
	Replica  Replica
	Dial     func(ctx context.Context, address string) (net.Conn, error) // nil: dial over TCP
	// OnConnectionChange is called with a nil error when a feed begins to serve a connection, and with an error when that
	// connection ends. It may be nil.
	OnConnectionChange func(address string, err error)
	Steady             *clock.Clock
	Log                zerolog.Logger
	InjectedBug        string // injected bug, for the lab; "": none
}

// ClientMetrics are the metrics of a Client since its start.
type ClientMetrics struct {
	ReceivedBytes  uint64 `json:"received"`
	SentBytes      uint64 `json:"sent"`
	Connections    uint64 `json:"connected"`
	Snapshots      uint64 `json:"snapshots"` // received completely
	LatestRevision uint64 `json:"latest"`    // latest revision reported by the relay
	RelayAddress   string `json:"watching"`  // address of the serving relay; "": none
}

// Client watches a feed on behalf of one process.
type Client struct {
	options ClientOptions

	traffic                                meter.ByteCounts
	connections, snapshots, latestRevision atomic.Uint64

	mu           sync.Mutex
	relayAddress string
	lastRelay    string // address of the relay that served last
}

const dialTimeout = time.Second

// NewClient returns a client. It watches once Run is called.
func NewClient(o ClientOptions) *Client {
	if o.Dial == nil {
		d := net.Dialer{Timeout: dialTimeout}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	return &Client{options: o}
}

// Metrics returns the current metrics.
func (c *Client) Metrics() ClientMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ClientMetrics{c.traffic.In.Load(), c.traffic.Out.Load(), c.connections.Load(), c.snapshots.Load(),
		c.latestRevision.Load(), c.relayAddress}
}

// Run watches, reconnecting to one relay after another, until the context ends.
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

// watch connects to a relay and processes its messages until the connection ends.
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

// stream is the state of one connection.
type stream struct {
	client         *Client
	relay          distribution.Relay
	conn           net.Conn
	assembler      *records.Assembler // of the snapshot being received; nil: none
	header         records.Header
	served         bool
	skipNextCommit bool // injected bug: the next commit is counted but not applied
	done           chan struct{}
}

// read processes messages until the connection fails or violates the protocol.
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

// start records that the relay serves this client, and starts the periodic reports.
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

// sendReports sends the progress of the replica at each heartbeat interval.
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

// handle processes one message from the feed.
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
	var sequenceErr *records.SequenceError
	if errors.As(err, &sequenceErr) && sequenceErr.DigestMismatch {
		replica.Discard(err) // the next watch then begins with a snapshot
	}
	return err
}

func (s *stream) beginSnapshot(h records.Header) error {
	replica := s.client.options.Replica
	if s.assembler != nil {
		return errSnapshotOrder
	}
	if h.Revision < replica.Position().Revision {
		// A feed refuses a watcher that is ahead of it, so this feed knows the watcher's revision, with different records.
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

func (s *stream) addChunk(chunk records.Chunk) error {
	if s.assembler == nil {
		return errSnapshotOrder
	}
	if err := s.assembler.Add(chunk); err != nil {
		return err
	}
	if chunk.Index+1 < s.header.ChunkCount {
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

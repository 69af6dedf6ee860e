package configwatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/frame"
	"puffinsaddle/internal/net/meter"
	"puffinsaddle/internal/records"
)

// Source provides the current records, for snapshots.
type Source interface {
	// Table returns an immutable copy of the records, and its revision.
	Table() (*records.Table, uint64)
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Limits                 distribution.Limits
	Source                 Source
	SnapshotBytesPerSecond float64 // for all snapshots together
	// CheckWatch returns nil if a watcher is to be served, otherwise the reason and the addresses that may serve it. If
	// CheckWatch is nil, all watchers are served.
	CheckWatch func(Watch) *Refusal
	// AlternateAddresses lists the addresses that a refused watcher may try.
	AlternateAddresses []string
	Steady             *clock.Clock
	Log                zerolog.Logger
	Seed               uint64
	InjectedBug        string // injected bug, for the lab; "": none
}

// Metrics are the metrics of a Server since its start.
type Metrics struct {
	Watchers       int    `json:"watchers"`
	Revision       uint64 `json:"revision"`
	OldestRevision uint64 `json:"floor"` // oldest revision that is served without a snapshot
	RetainedBytes  int    `json:"held"`  // bytes of commits retained for watchers
	SentBytes      uint64 `json:"sent"`
	ReceivedBytes  uint64 `json:"received"`
	Snapshots      uint64 `json:"snapshots"` // sent completely
	Refused        uint64 `json:"refused"`
	Disconnected   uint64 `json:"cut"` // watchers disconnected for an invalid message or for not reading
}

// Server serves watchers from a feed.
type Server struct {
	options         ServerOptions
	snapshotLimiter *rate.Limiter
	buildMu         sync.Mutex // one snapshot is compressed at a time

	traffic                          meter.ByteCounts
	snapshots, refused, disconnected atomic.Uint64

	mu             sync.Mutex
	feed           *distribution.Feed
	progress       *distribution.Progress
	regions        *distribution.Regions // of the relays that watch this server
	commitTimes    distribution.CommitTimes
	changed        chan struct{}     // closed at each change of the feed
	conns          map[net.Conn]bool // connections of served watchers
	cachedSnapshot *records.Snapshot // nil: none
}

const (
	defaultSnapshotBytesPerSecond = 32 << 20
	snapshotBurstBytes            = 1 << 20
)

// NewServer returns a server with an empty feed. Reset sets its first position.
func NewServer(o ServerOptions) *Server {
	if o.SnapshotBytesPerSecond <= 0 {
		o.SnapshotBytesPerSecond = defaultSnapshotBytesPerSecond
	}
	return &Server{options: o, snapshotLimiter: rate.NewLimiter(rate.Limit(o.SnapshotBytesPerSecond), snapshotBurstBytes),
		feed: distribution.NewFeed(o.Limits, o.Seed), progress: distribution.NewProgress(), regions: distribution.NewRegions(),
		changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// Publish appends the next commit to the feed.
func (s *Server) Publish(c records.Commit) error {
	b, err := EncodeCommit(c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.feed.Advance(c, b); err != nil {
		return err
	}
	s.commitTimes.Add(c.Revision, s.options.Steady.Now())
	s.notifyWatchers()
	return nil
}

// Reset restarts the feed at a position. Watchers behind it are disconnected and reconnect from their own revision.
func (s *Server) Reset(p distribution.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feed.Reset(p)
	s.commitTimes = distribution.CommitTimes{}
	s.commitTimes.Add(p.Revision, s.options.Steady.Now()) // lower bound of the lag of watchers behind it
	s.cachedSnapshot = nil
	s.notifyWatchers()
}

// notifyWatchers wakes the goroutines that wait for a change of the feed. The caller holds the lock.
func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Position returns the latest position of the feed.
func (s *Server) Position() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feed.Position()
}

// Report returns the sum of the reports of the watchers.
func (s *Server) Report() distribution.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress.Sum(s.feed.Position().Revision)
}

// Status returns the progress of the regions whose relays watch this server now or did so before.
func (s *Server) Status() distribution.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.feed.Position().Revision
	return distribution.Status{Revision: latest, Regions: s.regions.Status(s.options.Steady.Now(), latest, &s.commitTimes)}
}

// Metrics returns the current metrics.
func (s *Server) Metrics() Metrics {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Metrics{s.feed.Watchers(), s.feed.Position().Revision, s.feed.OldestRevision(), s.feed.RetainedBytes(), s.traffic.Out.Load(), s.traffic.In.Load(),
		s.snapshots.Load(), s.refused.Load(), s.disconnected.Load()}
}

// Serve serves one watcher until its connection ends.
func (s *Server) Serve(conn net.Conn) {
	defer conn.Close()
	metered := meter.New(conn, &s.traffic)
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(sendBufferBytes)
	}
	r := frame.NewReader(metered, reportIdleTimeout, maxReportBytes)
	timer := time.AfterFunc(firstMessageTimeout, func() { conn.Close() })
	var first watcherMessage
	err := r.Next(&first)
	timer.Stop()
	if err == nil && first.Watch == nil {
		err = errNoWatch
	}
	if err == nil {
		err = first.Watch.check()
	}
	if err != nil {
		s.disconnected.Add(1)
		s.options.Log.Debug().Err(err).Msg("invalid first message of a watcher")
		return
	}
	w := *first.Watch
	admission, refusal := s.admit(w)
	if refusal != nil {
		s.refused.Add(1)
		frame.Send(metered, feedMessage{Refusal: refusal}, maxMessageBytes)
		return
	}
	s.addConn(conn)
	defer s.removeConn(w.Name, conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		s.readReports(r, w)
	}()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := s.sendCommits(ctx, metered, w, admission); err != nil && ctx.Err() == nil {
		s.disconnected.Add(1)
		s.options.Log.Info().Err(err).Str("watcher", w.Name).Msg("watcher disconnected")
	}
}

func (s *Server) admit(w Watch) (distribution.Admission, *Refusal) {
	if s.options.CheckWatch != nil {
		if r := s.options.CheckWatch(w); r != nil {
			return distribution.Admission{}, r
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.feed.Admit(w.Position)
	if a.Verdict == distribution.VerdictRefuse {
		return a, &Refusal{a.RetryDelayMS, s.options.AlternateAddresses, a.Reason}
	}
	return a, nil
}

func (s *Server) addConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
}

// DisconnectAll disconnects all watchers, for example when a store replica loses leadership.
func (s *Server) DisconnectAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *Server) removeConn(name string, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.feed.Leave()
	s.progress.Drop(name)
	s.regions.MarkDisconnected(name)
}

// readReports receives the watcher's reports until the connection ends. It counts a watcher that violates the protocol.
func (s *Server) readReports(r *frame.Reader, w Watch) {
	for {
		var m watcherMessage
		if err := r.Next(&m); err != nil {
			return
		}
		if m.Report == nil {
			s.disconnected.Add(1)
			s.options.Log.Warn().Err(errSecondWatch).Str("watcher", w.Name).Msg("watcher disconnected")
			return
		}
		s.recordReport(w, *m.Report)
	}
}

func (s *Server) recordReport(w Watch, r distribution.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress.Put(w.Name, r)
	if w.IsRelay {
		s.regions.Put(s.options.Steady.Now(), w.Name, w.Region, r)
	}
}

// sendCommits sends the commits that the watcher lacks, after a snapshot if needed, and heartbeats when there are none.
func (s *Server) sendCommits(ctx context.Context, conn net.Conn, w Watch, a distribution.Admission) error {
	revision := w.Position.Revision
	if a.Verdict == distribution.VerdictSnapshot {
		var err error
		if revision, err = s.sendSnapshot(ctx, conn); err != nil {
			return err
		}
	}
	for {
		s.mu.Lock()
		frames, through, err := s.feed.FramesAfter(revision, maxBatchBytes)
		latest, changed := s.feed.Position().Revision, s.changed
		s.mu.Unlock()
		if err != nil {
			return err
		}
		if len(frames) > 0 {
			if err := writeFrames(conn, frames); err != nil {
				return err
			}
			revision = through
			continue
		}
		if err := s.waitForChange(ctx, conn, latest, changed); err != nil {
			return err
		}
	}
}

// waitForChange waits for a change of the feed, for at most the heartbeat interval, after which it sends a heartbeat.
func (s *Server) waitForChange(ctx context.Context, conn net.Conn, latest uint64, changed <-chan struct{}) error {
	due := make(chan struct{})
	t := s.options.Steady.After(heartbeatIntervalMS, func() { close(due) })
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-due:
		return frame.Send(conn, feedMessage{Heartbeat: &latest}, maxMessageBytes)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func writeFrames(conn net.Conn, frames [][]byte) error {
	var batch []byte
	for _, f := range frames {
		batch = append(batch, f...)
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(batch)
	return err
}

// sendSnapshot sends a snapshot within the rate limit shared by all snapshots, and returns its revision.
func (s *Server) sendSnapshot(ctx context.Context, conn net.Conn) (uint64, error) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.feed.SnapshotDone()
	}()
	snapshot, err := s.sharedSnapshot()
	if err != nil {
		return 0, err
	}
	if err := frame.Send(conn, feedMessage{Header: &snapshot.Header}, maxMessageBytes); err != nil {
		return 0, err
	}
	for i := range snapshot.Chunks {
		chunk := &snapshot.Chunks[i]
		if err := s.snapshotLimiter.WaitN(ctx, min(len(chunk.Data), snapshotBurstBytes)); err != nil {
			return 0, err
		}
		if err := frame.Send(conn, feedMessage{Chunk: chunk}, maxMessageBytes); err != nil {
			return 0, err
		}
	}
	s.snapshots.Add(1)
	return snapshot.Revision, nil
}

// sharedSnapshot returns the snapshot that all watchers share. It builds a new one if the feed no longer retains the commits
// after it.
func (s *Server) sharedSnapshot() (*records.Snapshot, error) {
	s.buildMu.Lock()
	defer s.buildMu.Unlock()
	s.mu.Lock()
	cached, oldest := s.cachedSnapshot, s.feed.OldestRevision()
	s.mu.Unlock()
	if cached != nil && cached.Revision >= oldest {
		return cached, nil
	}
	table, revision := s.options.Source.Table()
	if s.options.InjectedBug == distribution.BugSnapshotRevision {
		revision++ // injected bug: the revision of the next change, which the table lacks
	}
	fresh, err := records.NewSnapshot(table, revision)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cachedSnapshot = fresh
	return fresh, nil
}

// IsRefusal reports whether an error is the refusal of a watcher rather than a failed connection, and returns the refusal.
func IsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	return r, errors.As(err, &r)
}

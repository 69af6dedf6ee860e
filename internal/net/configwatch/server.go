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

// Source has the records as of now, for snapshots.
type Source interface {
	// Table is a copy of the records that nobody changes, and its revision.
	Table() (*records.Table, uint64)
}

// ServerOptions set up a Server.
type ServerOptions struct {
	Limits                 distribution.Limits
	Source                 Source
	SnapshotBytesPerSecond float64 // a second, for all snapshots together
	// CheckWatch tells whether a watcher is served at all, and else why not and who may serve it; nil: all are.
	CheckWatch func(Watch) *Refusal
	// AlternateAddresses lists the addresses of others that a watcher that is refused may try.
	AlternateAddresses []string
	Steady             *clock.Clock
	Log                zerolog.Logger
	Seed               uint64
	InjectedBug        string // a planted bug, for the laboratory; "": none
}

// Metrics are counts of a server from its start.
type Metrics struct {
	Watchers       int    `json:"watchers"`
	Revision       uint64 `json:"revision"`
	OldestRevision uint64 `json:"floor"`     // the earliest revision that is served without a snapshot
	RetainedBytes  int    `json:"held"`      // bytes of commits held for watchers
	SentBytes      uint64 `json:"sent"`      // bytes
	ReceivedBytes  uint64 `json:"received"`  // bytes
	Snapshots      uint64 `json:"snapshots"` // sent whole
	Refused        uint64 `json:"refused"`
	Disconnected   uint64 `json:"cut"` // watchers that were ended for what they sent, or did not read
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
	regions        *distribution.Regions // of relays that watch here
	revisionAges   distribution.CommitTimes
	changed        chan struct{}     // closed at each change of the feed
	conns          map[net.Conn]bool // of watchers that are served
	cachedSnapshot *records.Snapshot // nil: none
}

const (
	defaultSnapshotBytesPerSecond = 32 << 20
	snapshotBurstBytes            = 1 << 20
)

// NewServer makes a server whose feed is empty; Reset sets where it begins.
func NewServer(o ServerOptions) *Server {
	if o.SnapshotBytesPerSecond <= 0 {
		o.SnapshotBytesPerSecond = defaultSnapshotBytesPerSecond
	}
	return &Server{options: o, snapshotLimiter: rate.NewLimiter(rate.Limit(o.SnapshotBytesPerSecond), snapshotBurstBytes), feed: distribution.NewFeed(o.Limits, o.Seed),
		progress: distribution.NewProgress(), regions: distribution.NewRegions(), changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// Publish serves the next commit.
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
	s.revisionAges.Add(c.Revision, s.options.Steady.Now())
	s.notifyWatchers()
	return nil
}

// Reset begins anew at a position. Watchers that are behind it are cut off, and begin again from their revision.
func (s *Server) Reset(p distribution.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feed.Reset(p)
	s.revisionAges = distribution.CommitTimes{}
	s.revisionAges.Add(p.Revision, s.options.Steady.Now()) // whoever is behind it has been so for that long at least
	s.cachedSnapshot = nil
	s.notifyWatchers()
}

func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Position is the latest position that is served.
func (s *Server) Position() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feed.Position()
}

// Report sums what the watchers reported.
func (s *Server) Report() distribution.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress.Sum(s.feed.Position().Revision)
}

// Status tells how far the regions of the relays are that watch here, or did.
func (s *Server) Status() distribution.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.feed.Position().Revision
	return distribution.Status{Revision: latest, Regions: s.regions.Status(s.options.Steady.Now(), latest, &s.revisionAges)}
}

// Metrics reads the counts.
func (s *Server) Metrics() Metrics {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Metrics{s.feed.Watchers(), s.feed.Position().Revision, s.feed.OldestRevision(), s.feed.RetainedBytes(), s.traffic.Out.Load(), s.traffic.In.Load(),
		s.snapshots.Load(), s.refused.Load(), s.disconnected.Load()}
}

// Serve serves one watcher to its end.
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
		s.options.Log.Debug().Err(err).Msg("watch ended before it began")
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
		s.options.Log.Info().Err(err).Str("watcher", w.Name).Msg("watcher cut off")
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

// DisconnectAll ends all watchers, as where a copy no longer leads.
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

// readReports takes the watcher's reports until its connection ends. A connection that is ended for what it sent is counted.
func (s *Server) readReports(r *frame.Reader, w Watch) {
	for {
		var m watcherMessage
		if err := r.Next(&m); err != nil {
			return
		}
		if m.Report == nil {
			s.disconnected.Add(1)
			s.options.Log.Warn().Err(errSecondWatch).Str("watcher", w.Name).Msg("watcher cut off")
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

// sendCommits sends what the watcher lacks, and a heartbeat where there is nothing.
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

// waitForChange waits for a change, with heartbeats.
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

// sendSnapshot sends a snapshot, no faster than all snapshots together may go, and tells its revision.
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
		p := &snapshot.Chunks[i]
		if err := s.snapshotLimiter.WaitN(ctx, min(len(p.Data), snapshotBurstBytes)); err != nil {
			return 0, err
		}
		if err := frame.Send(conn, feedMessage{Chunk: p}, maxMessageBytes); err != nil {
			return 0, err
		}
	}
	s.snapshots.Add(1)
	return snapshot.Revision, nil
}

// sharedSnapshot is the one that all watchers share, made anew where the feed no longer has what comes after it.
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
		revision++ // of the next change, which the table does not have
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

// IsRefusal tells a watcher that was sent away from one whose connection failed.
func IsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	return r, errors.As(err, &r)
}

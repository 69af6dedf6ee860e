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
	Limits        distribution.Limits
	Source        Source
	SnapshotBytes float64 // a second, for all snapshots together
	// Serves tells whether a watcher is served at all, and else why not and who may serve it; nil: all are.
	Serves func(Watch) *Refused
	// Elsewhere lists the addresses of others that a watcher that is refused may try.
	Elsewhere []string
	Steady    *clock.Clock
	Log       zerolog.Logger
	Seed      uint64
	Plant     string // a planted bug, for the laboratory; "": none
}

// Figures are counts of a server from its start.
type Figures struct {
	Watchers  int    `json:"watchers"`
	Revision  uint64 `json:"revision"`
	Floor     uint64 `json:"floor"`     // the earliest revision that is served without a snapshot
	Held      int    `json:"held"`      // bytes of commits held for watchers
	Sent      uint64 `json:"sent"`      // bytes
	Received  uint64 `json:"received"`  // bytes
	Snapshots uint64 `json:"snapshots"` // sent whole
	Refused   uint64 `json:"refused"`
	Cut       uint64 `json:"cut"` // watchers that were ended for what they sent, or did not read
}

// Server serves watchers from a feed.
type Server struct {
	o     ServerOptions
	pace  *rate.Limiter
	build sync.Mutex // one snapshot is compressed at a time

	bytes                   meter.ByteCounts
	snapshots, refused, cut atomic.Uint64

	mu       sync.Mutex
	feed     *distribution.Feed
	progress *distribution.Progress
	regions  *distribution.Regions // of relays that watch here
	ages     distribution.Ages
	changed  chan struct{}     // closed at each change of the feed
	conns    map[net.Conn]bool // of watchers that are served
	cached   *records.Snapshot // nil: none
}

const (
	defaultSnapshotBytes = 32 << 20
	snapshotBurst        = 1 << 20
)

// NewServer makes a server whose feed is empty; Reset sets where it begins.
func NewServer(o ServerOptions) *Server {
	if o.SnapshotBytes <= 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	return &Server{o: o, pace: rate.NewLimiter(rate.Limit(o.SnapshotBytes), snapshotBurst), feed: distribution.NewFeed(o.Limits, o.Seed),
		progress: distribution.NewProgress(), regions: distribution.NewRegions(), changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// Publish serves the next commit.
func (s *Server) Publish(c records.Commit) error {
	b, err := Encode(c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.feed.Advance(c, b); err != nil {
		return err
	}
	s.ages.Add(c.Revision, s.o.Steady.Now())
	s.wake()
	return nil
}

// Reset begins anew at a position. Watchers that are behind it are cut off, and begin again from their revision.
func (s *Server) Reset(p distribution.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feed.Reset(p)
	s.ages = distribution.Ages{}
	s.ages.Add(p.Revision, s.o.Steady.Now()) // whoever is behind it has been so for that long at least
	s.cached = nil
	s.wake()
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// At is the latest position that is served.
func (s *Server) At() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feed.At()
}

// Report sums what the watchers reported.
func (s *Server) Report() distribution.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress.Sum(s.feed.At().Revision)
}

// Status tells how far the regions of the relays are that watch here, or did.
func (s *Server) Status() distribution.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.feed.At().Revision
	return distribution.Status{Revision: latest, Regions: s.regions.Status(s.o.Steady.Now(), latest, &s.ages)}
}

// Figures reads the counts.
func (s *Server) Figures() Figures {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Figures{s.feed.Watchers(), s.feed.At().Revision, s.feed.Floor(), s.feed.Held(), s.bytes.Out.Load(), s.bytes.In.Load(),
		s.snapshots.Load(), s.refused.Load(), s.cut.Load()}
}

// Serve serves one watcher to its end.
func (s *Server) Serve(conn net.Conn) {
	defer conn.Close()
	counted := meter.New(conn, &s.bytes)
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(sendBuffer)
	}
	r := frame.NewReader(counted, reportTimeout, maxReport)
	late := time.AfterFunc(helloTimeout, func() { conn.Close() })
	var first toFeed
	err := r.Next(&first)
	late.Stop()
	if err == nil && first.Watch == nil {
		err = errNotYet
	}
	if err == nil {
		err = first.Watch.check()
	}
	if err != nil {
		s.cut.Add(1)
		s.o.Log.Debug().Err(err).Msg("watch ended before it began")
		return
	}
	w := *first.Watch
	admission, refused := s.admit(w)
	if refused != nil {
		s.refused.Add(1)
		frame.Send(counted, toWatcher{Refused: refused}, maxMessage)
		return
	}
	s.enter(conn)
	defer s.leave(w.Name, conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		s.read(r, w)
	}()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := s.write(ctx, counted, w, admission); err != nil && ctx.Err() == nil {
		s.cut.Add(1)
		s.o.Log.Info().Err(err).Str("watcher", w.Name).Msg("watcher cut off")
	}
}

func (s *Server) admit(w Watch) (distribution.Admission, *Refused) {
	if s.o.Serves != nil {
		if r := s.o.Serves(w); r != nil {
			return distribution.Admission{}, r
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.feed.Admit(w.At)
	if a.Verdict == distribution.Refuse {
		return a, &Refused{a.RetryMs, s.o.Elsewhere, a.Reason}
	}
	return a, nil
}

func (s *Server) enter(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
}

// DropAll ends all watchers, as where a copy no longer leads.
func (s *Server) DropAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *Server) leave(name string, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.feed.Leave()
	s.progress.Drop(name)
	s.regions.Left(name)
}

// read takes the watcher's reports until its connection ends. A connection that is ended for what it sent is counted.
func (s *Server) read(r *frame.Reader, w Watch) {
	for {
		var m toFeed
		if err := r.Next(&m); err != nil {
			return
		}
		if m.Report == nil {
			s.cut.Add(1)
			s.o.Log.Warn().Err(errAgain).Str("watcher", w.Name).Msg("watcher cut off")
			return
		}
		s.heard(w, *m.Report)
	}
}

func (s *Server) heard(w Watch, r distribution.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress.Put(w.Name, r)
	if w.Relay {
		s.regions.Put(s.o.Steady.Now(), w.Name, w.Region, r)
	}
}

// write sends what the watcher lacks, and a heartbeat where there is nothing.
func (s *Server) write(ctx context.Context, conn net.Conn, w Watch, a distribution.Admission) error {
	revision := w.At.Revision
	if a.Verdict == distribution.Snapshot {
		var err error
		if revision, err = s.sendSnapshot(ctx, conn); err != nil {
			return err
		}
	}
	for {
		s.mu.Lock()
		frames, through, err := s.feed.Next(revision, batchBytes)
		latest, changed := s.feed.At().Revision, s.changed
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
		if err := s.wait(ctx, conn, latest, changed); err != nil {
			return err
		}
	}
}

// wait waits for a change, with heartbeats.
func (s *Server) wait(ctx context.Context, conn net.Conn, latest uint64, changed <-chan struct{}) error {
	due := make(chan struct{})
	t := s.o.Steady.After(heartbeatMs, func() { close(due) })
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-due:
		return frame.Send(conn, toWatcher{Heartbeat: &latest}, maxMessage)
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
	snapshot, err := s.snapshot()
	if err != nil {
		return 0, err
	}
	if err := frame.Send(conn, toWatcher{Header: &snapshot.Header}, maxMessage); err != nil {
		return 0, err
	}
	for i := range snapshot.Content {
		p := &snapshot.Content[i]
		if err := s.pace.WaitN(ctx, min(len(p.Data), snapshotBurst)); err != nil {
			return 0, err
		}
		if err := frame.Send(conn, toWatcher{Piece: p}, maxMessage); err != nil {
			return 0, err
		}
	}
	s.snapshots.Add(1)
	return snapshot.Revision, nil
}

// snapshot is the one that all watchers share, made anew where the feed no longer has what comes after it.
func (s *Server) snapshot() (*records.Snapshot, error) {
	s.build.Lock()
	defer s.build.Unlock()
	s.mu.Lock()
	cached, floor := s.cached, s.feed.Floor()
	s.mu.Unlock()
	if cached != nil && cached.Revision >= floor {
		return cached, nil
	}
	table, revision := s.o.Source.Table()
	if s.o.Plant == distribution.PlantSnapshotRevision {
		revision++ // of the next change, which the table does not have
	}
	fresh, err := records.NewSnapshot(table, revision)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cached = fresh
	return fresh, nil
}

// IsRefusal tells a watcher that was sent away from one whose connection failed.
func IsRefusal(err error) (*Refused, bool) {
	var r *Refused
	return r, errors.As(err, &r)
}

// Package distribution decides how records get from the copies of the store to the order servers: which watcher is served from
// where, who is sent away and until when, which relay a server turns to, and what is reported back. It is free of I/O: the
// clock's time comes in, in milliseconds.
//
// A Feed is the side that serves watchers, at the copy that leads and at relays. A Selector is a watcher's choice of where to
// watch. Progress gathers what the watchers report. docs/distribution.md has the argument.
package distribution

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"puffinsaddle/internal/records"
)

// Errors of a feed.
var (
	ErrNotRetained = errors.New("distribution: the watcher fell behind what is held")
	ErrOutOfOrder  = errors.New("distribution: a commit out of order")
)

// Limits bound what a feed holds and whom it serves.
type Limits struct {
	Commits   int // held for watchers
	Bytes     int // of them
	Watchers  int // served at once
	Snapshots int // sent at once
}

// DefaultLimits are those of a relay.
var DefaultLimits = Limits{Commits: 8192, Bytes: 16 << 20, Watchers: 1024, Snapshots: 4}

// Verdict is what becomes of a watch.
type Verdict int

// Verdicts.
const (
	VerdictStream   Verdict = iota // the commits behind its revision
	VerdictSnapshot                // a snapshot first
	VerdictRefuse                  // nothing for now
)

// Position is how far a watcher is.
type Position struct {
	Revision uint64         `json:"revision"`
	Digest   records.Digest `json:"digest"`
}

// Admission is the answer to a watch.
type Admission struct {
	Verdict      Verdict
	RetryDelayMS float64 // with Refuse: when to come back
	Reason       string  // with Refuse
}

const (
	fullRetryMS          = 2000.0 // a full feed is not asked again before
	feedBehindRetryMS    = 500.0  // nor one that is behind its watcher
	snapshotLimitRetryMS = 1000.0 // nor one that sends as many snapshots as it may
)

// retainedCommit is one commit as it is sent.
type retainedCommit struct {
	frame       []byte
	digestAfter records.Digest
}

// Feed serves watchers from a window of the latest commits. Its memory is bounded by its limits, whatever its watchers do: a
// watcher that is behind the window has to begin again from its revision.
type Feed struct {
	limits Limits
	rng    *rand.Rand

	newest        Position // the latest
	windowStart   Position // before the first of the window
	window        []retainedCommit
	windowBytes   int
	watcherCount  int // watchers
	snapshotCount int // snapshots
}

// NewFeed is a feed that holds nothing.
func NewFeed(l Limits, seed uint64) *Feed {
	return &Feed{limits: l, rng: rand.New(rand.NewPCG(seed, 3))}
}

// Position is the latest position.
func (f *Feed) Position() Position { return f.newest }

// OldestRevision is the earliest revision from which a watcher can be served without a snapshot.
func (f *Feed) OldestRevision() uint64 { return f.windowStart.Revision }

// RetainedBytes is the bytes of the window, and Watchers and Snapshots who is served.
func (f *Feed) RetainedBytes() int { return f.windowBytes }

// Watchers counts the watchers that were admitted and have not left.
func (f *Feed) Watchers() int { return f.watcherCount }

// Snapshots counts those that are being sent.
func (f *Feed) Snapshots() int { return f.snapshotCount }

// Reset begins anew at a position, as after a snapshot.
func (f *Feed) Reset(p Position) {
	f.newest, f.windowStart, f.window, f.windowBytes = p, p, nil, 0
}

// Advance adds the next commit in the form in which it is sent.
func (f *Feed) Advance(c records.Commit, frame []byte) error {
	if c.Revision != f.newest.Revision+1 || c.Before != f.newest.Digest {
		return fmt.Errorf("%w: %d behind %d", ErrOutOfOrder, c.Revision, f.newest.Revision)
	}
	f.newest = Position{c.Revision, c.After}
	f.window = append(f.window, retainedCommit{frame, c.After})
	f.windowBytes += len(frame)
	evicted := 0
	for len(f.window)-evicted > f.limits.Commits || f.windowBytes > f.limits.Bytes && len(f.window)-evicted > 1 {
		f.windowBytes -= len(f.window[evicted].frame)
		f.windowStart = Position{f.windowStart.Revision + 1, f.window[evicted].digestAfter}
		f.window[evicted] = retainedCommit{}
		evicted++
	}
	f.window = f.window[evicted:]
	return nil
}

// Admit decides on a watch. A watcher that was admitted has to be taken out with Leave, and a snapshot that was allowed with
// SnapshotDone.
func (f *Feed) Admit(from Position) Admission {
	switch {
	case f.watcherCount >= f.limits.Watchers:
		return f.refuse(fullRetryMS, "full")
	case from.Revision > f.newest.Revision:
		return f.refuse(feedBehindRetryMS, "behind the watcher")
	case !f.inWindow(from) && f.snapshotCount >= f.limits.Snapshots:
		return f.refuse(snapshotLimitRetryMS, "sends as many snapshots as it may")
	}
	f.watcherCount++
	if f.inWindow(from) {
		return Admission{Verdict: VerdictStream}
	}
	f.snapshotCount++
	return Admission{Verdict: VerdictSnapshot}
}

// refuse spreads those who come back over a span.
func (f *Feed) refuse(meanDelayMS float64, reason string) Admission {
	return Admission{Verdict: VerdictRefuse, RetryDelayMS: meanDelayMS * (0.5 + f.rng.Float64()), Reason: reason}
}

// inWindow tells whether a position is on the way of this feed's records, and within the window. A watcher with other records at
// the same revision holds what was never agreed on, and begins with a snapshot.
func (f *Feed) inWindow(p Position) bool {
	switch {
	case p.Revision == f.windowStart.Revision:
		return p.Digest == f.windowStart.Digest
	case p.Revision < f.windowStart.Revision || p.Revision > f.newest.Revision:
		return false
	}
	return f.window[p.Revision-f.windowStart.Revision-1].digestAfter == p.Digest
}

// Leave takes a watcher out.
func (f *Feed) Leave() { f.watcherCount-- }

// SnapshotDone makes room for another snapshot.
func (f *Feed) SnapshotDone() { f.snapshotCount-- }

// FramesAfter lists the frames behind a revision, of so many bytes at most but one at least, and the revision of the last.
func (f *Feed) FramesAfter(revision uint64, maxBytes int) (frames [][]byte, through uint64, err error) {
	if revision < f.windowStart.Revision {
		return nil, revision, fmt.Errorf("%w: %d, and %d is the earliest", ErrNotRetained, revision, f.windowStart.Revision)
	}
	total := 0
	for through = revision; through < f.newest.Revision; through++ {
		frame := f.window[through-f.windowStart.Revision].frame
		if total += len(frame); total > maxBytes && len(frames) > 0 {
			break
		}
		frames = append(frames, frame)
	}
	return frames, through, nil
}

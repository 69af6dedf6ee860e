// Package distribution implements the logic that distributes configuration records from the store replicas to the order
// servers: which commits or snapshot a watcher is sent, which watchers are refused and when they may retry, which relay a server
// connects to, and how progress is reported back. It does no I/O; the current time is passed in, in milliseconds.
//
// A Feed serves watchers, at the store leader and at relays. A Selector chooses the relay that a watcher connects to. Progress
// aggregates the reports of watchers. The design and its correctness argument are in docs/distribution.md.
package distribution

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"puffinsaddle/internal/records"
)

// Errors returned by a Feed.
var (
	ErrNotRetained = errors.New("distribution: watcher is behind the oldest retained revision")
	ErrOutOfOrder  = errors.New("distribution: commit out of order")
)

// Limits bound the memory of a feed and the number of its watchers.
type Limits struct {
	Commits   int // retained for watchers
	Bytes     int // total size of the retained commits
	Watchers  int // served concurrently
	Snapshots int // sent concurrently
}

// DefaultLimits are the limits of a relay.
var DefaultLimits = Limits{Commits: 8192, Bytes: 16 << 20, Watchers: 1024, Snapshots: 4}

// Verdict is the decision on a watch request.
type Verdict int

// Verdicts on a watch request.
const (
	VerdictStream   Verdict = iota // send the commits after the watcher's revision
	VerdictSnapshot                // send a snapshot, then the commits after it
	VerdictRefuse                  // do not serve; the watcher may retry later
)

// Position is a revision of the records and the digest of the records at that revision.
type Position struct {
	Revision uint64         `json:"revision"`
	Digest   records.Digest `json:"digest"`
}

// Admission is the response to a watch request.
type Admission struct {
	Verdict      Verdict
	RetryDelayMS float64 // with VerdictRefuse: delay before the watcher retries
	Reason       string  // with VerdictRefuse
}

// Mean delays before a refused watcher retries.
const (
	fullRetryMS          = 2000.0 // the feed serves its maximum of watchers
	feedBehindRetryMS    = 500.0  // the feed is behind the watcher
	snapshotLimitRetryMS = 1000.0 // the feed sends its maximum of snapshots
)

// retainedCommit is a retained commit in its encoded form.
type retainedCommit struct {
	frame       []byte
	digestAfter records.Digest
}

// Feed serves watchers from a window of the latest commits. Its limits bound its memory even if watchers read slowly: a watcher
// that falls behind the window must send a new watch request with its revision.
type Feed struct {
	limits Limits
	rng    *rand.Rand

	newest        Position // of the newest commit
	windowStart   Position // before the first commit of the window
	window        []retainedCommit
	windowBytes   int
	watcherCount  int // admitted watchers
	snapshotCount int // snapshots being sent
}

// NewFeed returns an empty feed.
func NewFeed(l Limits, seed uint64) *Feed {
	return &Feed{limits: l, rng: rand.New(rand.NewPCG(seed, 3))}
}

// Position returns the position of the newest commit.
func (f *Feed) Position() Position { return f.newest }

// OldestRevision returns the oldest revision from which a watcher can be served without a snapshot.
func (f *Feed) OldestRevision() uint64 { return f.windowStart.Revision }

// RetainedBytes returns the size of the retained commits in bytes.
func (f *Feed) RetainedBytes() int { return f.windowBytes }

// Watchers returns the number of admitted watchers.
func (f *Feed) Watchers() int { return f.watcherCount }

// Snapshots returns the number of snapshots being sent.
func (f *Feed) Snapshots() int { return f.snapshotCount }

// Reset empties the window and restarts the feed at a position, for example after a snapshot.
func (f *Feed) Reset(p Position) {
	f.newest, f.windowStart, f.window, f.windowBytes = p, p, nil, 0
}

// Advance adds the next commit together with its encoded frame.
func (f *Feed) Advance(c records.Commit, frame []byte) error {
	if c.Revision != f.newest.Revision+1 || c.Before != f.newest.Digest {
		return fmt.Errorf("%w: revision %d after %d", ErrOutOfOrder, c.Revision, f.newest.Revision)
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

// Admit decides on a watch request. An admitted watcher must be removed with Leave, and an admitted snapshot must be ended with
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

// refuse jitters the retry delay between 0.5 and 1.5 times its mean, so that refused watchers do not return all at once.
func (f *Feed) refuse(meanDelayMS float64, reason string) Admission {
	return Admission{Verdict: VerdictRefuse, RetryDelayMS: meanDelayMS * (0.5 + f.rng.Float64()), Reason: reason}
}

// inWindow reports whether a position is within the window and in the history of this feed's records. A watcher whose digest
// differs at the same revision has records that were never committed, and must start with a snapshot.
func (f *Feed) inWindow(p Position) bool {
	switch {
	case p.Revision == f.windowStart.Revision:
		return p.Digest == f.windowStart.Digest
	case p.Revision < f.windowStart.Revision || p.Revision > f.newest.Revision:
		return false
	}
	return f.window[p.Revision-f.windowStart.Revision-1].digestAfter == p.Digest
}

// Leave removes an admitted watcher.
func (f *Feed) Leave() { f.watcherCount-- }

// SnapshotDone ends an admitted snapshot, so that another can be sent.
func (f *Feed) SnapshotDone() { f.snapshotCount-- }

// FramesAfter returns the frames after a revision, and the revision of the last. It returns at most maxBytes, but at least one
// frame if there is any.
func (f *Feed) FramesAfter(revision uint64, maxBytes int) (frames [][]byte, through uint64, err error) {
	if revision < f.windowStart.Revision {
		return nil, revision, fmt.Errorf("%w: revision %d, oldest is %d", ErrNotRetained, revision, f.windowStart.Revision)
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

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
	ErrFellBehind = errors.New("distribution: watcher is behind the oldest retained revision")
	ErrOrder      = errors.New("distribution: commit out of order")
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
	RetryDelayMS float64 // with Refuse: delay before the watcher retries
	Reason       string  // with Refuse
}

// Mean delays before a refused watcher retries.
const (
	fullRetryMs     = 2000.0 // the feed serves its maximum of watchers
	behindRetryMs   = 500.0  // the feed is behind the watcher
	snapshotRetryMs = 1000.0 // the feed sends its maximum of snapshots
)

// held is a retained commit in its encoded form.
type held struct {
	frame []byte
	after records.Digest
}

// Feed serves watchers from a window of the latest commits. Its limits bound its memory however slowly its watchers read: a
// watcher that falls behind the window must watch again from its revision.
type Feed struct {
	limits Limits
	rng    *rand.Rand

	at      Position // of the newest commit
	floor   Position // before the first commit of the window
	window  []held
	bytes   int
	serving int // admitted watchers
	sending int // snapshots being sent
}

// NewFeed returns an empty feed.
func NewFeed(l Limits, seed uint64) *Feed {
	return &Feed{limits: l, rng: rand.New(rand.NewPCG(seed, 3))}
}

// Position returns the position of the newest commit.
func (f *Feed) Position() Position { return f.at }

// OldestRevision returns the oldest revision from which a watcher can be served without a snapshot.
func (f *Feed) OldestRevision() uint64 { return f.floor.Revision }

// RetainedBytes returns the size of the retained commits in bytes.
func (f *Feed) RetainedBytes() int { return f.bytes }

// Watchers returns the number of admitted watchers.
func (f *Feed) Watchers() int { return f.serving }

// Snapshots returns the number of snapshots being sent.
func (f *Feed) Snapshots() int { return f.sending }

// Reset empties the window and restarts the feed at a position, for example after a snapshot.
func (f *Feed) Reset(p Position) {
	f.at, f.floor, f.window, f.bytes = p, p, nil, 0
}

// Advance adds the next commit together with its encoded frame.
func (f *Feed) Advance(c records.Commit, frame []byte) error {
	if c.Revision != f.at.Revision+1 || c.Before != f.at.Digest {
		return fmt.Errorf("%w: revision %d after %d", ErrOrder, c.Revision, f.at.Revision)
	}
	f.at = Position{c.Revision, c.After}
	f.window = append(f.window, held{frame, c.After})
	f.bytes += len(frame)
	drop := 0
	for len(f.window)-drop > f.limits.Commits || f.bytes > f.limits.Bytes && len(f.window)-drop > 1 {
		f.bytes -= len(f.window[drop].frame)
		f.floor = Position{f.floor.Revision + 1, f.window[drop].after}
		f.window[drop] = held{}
		drop++
	}
	f.window = f.window[drop:]
	return nil
}

// Admit decides on a watch request. An admitted watcher must be removed with Leave, and an admitted snapshot must be ended with
// SnapshotDone.
func (f *Feed) Admit(from Position) Admission {
	switch {
	case f.serving >= f.limits.Watchers:
		return f.refuse(fullRetryMs, "full")
	case from.Revision > f.at.Revision:
		return f.refuse(behindRetryMs, "behind the watcher")
	case !f.knows(from) && f.sending >= f.limits.Snapshots:
		return f.refuse(snapshotRetryMs, "sends as many snapshots as it may")
	}
	f.serving++
	if f.knows(from) {
		return Admission{Verdict: VerdictStream}
	}
	f.sending++
	return Admission{Verdict: VerdictSnapshot}
}

// refuse jitters the retry delay between 0.5 and 1.5 times its mean, so that refused watchers do not return all at once.
func (f *Feed) refuse(ms float64, reason string) Admission {
	return Admission{Verdict: VerdictRefuse, RetryDelayMS: ms * (0.5 + f.rng.Float64()), Reason: reason}
}

// knows reports whether a position is within the window and in the history of this feed's records. A watcher whose digest
// differs at the same revision has records that were never committed, and must start with a snapshot.
func (f *Feed) knows(p Position) bool {
	switch {
	case p.Revision == f.floor.Revision:
		return p.Digest == f.floor.Digest
	case p.Revision < f.floor.Revision || p.Revision > f.at.Revision:
		return false
	}
	return f.window[p.Revision-f.floor.Revision-1].after == p.Digest
}

// Leave removes an admitted watcher.
func (f *Feed) Leave() { f.serving-- }

// SnapshotDone ends an admitted snapshot, so that another can be sent.
func (f *Feed) SnapshotDone() { f.sending-- }

// FramesAfter returns the frames after a revision, and the revision of the last. It returns at most maxBytes, but at least one frame if
// there is any.
func (f *Feed) FramesAfter(revision uint64, maxBytes int) (frames [][]byte, through uint64, err error) {
	if revision < f.floor.Revision {
		return nil, revision, fmt.Errorf("%w: revision %d, oldest is %d", ErrFellBehind, revision, f.floor.Revision)
	}
	bytes := 0
	for through = revision; through < f.at.Revision; through++ {
		frame := f.window[through-f.floor.Revision].frame
		if bytes += len(frame); bytes > maxBytes && len(frames) > 0 {
			break
		}
		frames = append(frames, frame)
	}
	return frames, through, nil
}

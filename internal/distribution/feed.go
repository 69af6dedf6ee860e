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
	ErrFellBehind = errors.New("distribution: the watcher fell behind what is held")
	ErrOrder      = errors.New("distribution: a commit out of order")
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
	Stream   Verdict = iota // the commits behind its revision
	Snapshot                // a snapshot first
	Refuse                  // nothing for now
)

// Position is how far a watcher is.
type Position struct {
	Revision uint64         `json:"revision"`
	Digest   records.Digest `json:"digest"`
}

// Admission is the answer to a watch.
type Admission struct {
	Verdict Verdict
	RetryMs float64 // with Refuse: when to come back
	Reason  string  // with Refuse
}

const (
	fullRetryMs     = 2000.0 // a full feed is not asked again before
	behindRetryMs   = 500.0  // nor one that is behind its watcher
	snapshotRetryMs = 1000.0 // nor one that sends as many snapshots as it may
)

// held is one commit as it is sent.
type held struct {
	frame []byte
	after records.Digest
}

// Feed serves watchers from a window of the latest commits. Its memory is bounded by its limits, whatever its watchers do: a
// watcher that is behind the window has to begin again from its revision.
type Feed struct {
	limits Limits
	rng    *rand.Rand

	at      Position // the latest
	floor   Position // before the first of the window
	window  []held
	bytes   int
	serving int // watchers
	sending int // snapshots
}

// NewFeed is a feed that holds nothing.
func NewFeed(l Limits, seed uint64) *Feed {
	return &Feed{limits: l, rng: rand.New(rand.NewPCG(seed, 3))}
}

// At is the latest position.
func (f *Feed) At() Position { return f.at }

// Floor is the earliest revision from which a watcher can be served without a snapshot.
func (f *Feed) Floor() uint64 { return f.floor.Revision }

// Held is the bytes of the window, and Watchers and Snapshots who is served.
func (f *Feed) Held() int { return f.bytes }

// Watchers counts the watchers that were admitted and have not left.
func (f *Feed) Watchers() int { return f.serving }

// Snapshots counts those that are being sent.
func (f *Feed) Snapshots() int { return f.sending }

// Reset begins anew at a position, as after a snapshot.
func (f *Feed) Reset(p Position) {
	f.at, f.floor, f.window, f.bytes = p, p, nil, 0
}

// Advance adds the next commit in the form in which it is sent.
func (f *Feed) Advance(c records.Commit, frame []byte) error {
	if c.Revision != f.at.Revision+1 || c.Before != f.at.Digest {
		return fmt.Errorf("%w: %d behind %d", ErrOrder, c.Revision, f.at.Revision)
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

// Admit decides on a watch. A watcher that was admitted has to be taken out with Leave, and a snapshot that was allowed with
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
		return Admission{Verdict: Stream}
	}
	f.sending++
	return Admission{Verdict: Snapshot}
}

// refuse spreads those who come back over a span.
func (f *Feed) refuse(ms float64, reason string) Admission {
	return Admission{Verdict: Refuse, RetryMs: ms * (0.5 + f.rng.Float64()), Reason: reason}
}

// knows tells whether a position is on the way of this feed's records, and within the window. A watcher with other records at
// the same revision holds what was never agreed on, and begins with a snapshot.
func (f *Feed) knows(p Position) bool {
	switch {
	case p.Revision == f.floor.Revision:
		return p.Digest == f.floor.Digest
	case p.Revision < f.floor.Revision || p.Revision > f.at.Revision:
		return false
	}
	return f.window[p.Revision-f.floor.Revision-1].after == p.Digest
}

// Leave takes a watcher out.
func (f *Feed) Leave() { f.serving-- }

// SnapshotDone makes room for another snapshot.
func (f *Feed) SnapshotDone() { f.sending-- }

// Next lists the frames behind a revision, of so many bytes at most but one at least, and the revision of the last.
func (f *Feed) Next(revision uint64, maxBytes int) (frames [][]byte, through uint64, err error) {
	if revision < f.floor.Revision {
		return nil, revision, fmt.Errorf("%w: %d, and %d is the earliest", ErrFellBehind, revision, f.floor.Revision)
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

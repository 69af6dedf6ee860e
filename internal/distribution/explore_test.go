package distribution

import (
	"errors"
	"fmt"
	"testing"

	"puffinsaddle/internal/records"
)

// The exploration plays every order of steps of a copy that leads, two relays and a watcher: changes are agreed on, relays take
// them, fall behind and start again with their file or without, and the watcher connects, is sent to, hears, and loses its
// connection with what was under way. Windows are as short as they may be, so that snapshots and watchers that fall behind come
// about within few steps.
const (
	modelCommits        = 4
	modelRelays         = 2
	leaderWindowCommits = 2
	relayWindowCommits  = 1
)

// stepKind is a kind of step.
type stepKind int

const (
	stepCommit            stepKind = iota // the next change is agreed on
	stepAdvanceRelay                      // a relay takes the next commit, or a snapshot
	stepRestartRelay                      // a relay starts again from its file
	stepRestartRelayEmpty                 // a relay starts again with nothing
	stepConnect                           // the watcher connects to a relay
	stepSend                              // the relay sends what it has next
	stepReceive                           // the watcher takes the first message that is under way
	stepDisconnect                        // the connection ends, and what is under way is lost
)

// step is one step, of one relay where its kind is of relays.
type step struct {
	kind  stepKind
	relay int
}

// message is what a relay sent: a commit, or a snapshot as of a position.
type message struct {
	commit   *records.Commit
	snapshot *Position
}

// model is the whole of it. The changes are the same in each.
type model struct {
	commits   []records.Commit
	positions []Position // at each revision

	leader    *Feed
	relays    [modelRelays]*Feed
	snapshots [modelRelays]*Position // that is shared by a relay's watchers; nil: none was made

	watcher        records.DigestFollower
	connectedRelay int // the relay to which the watcher is connected; -1: none
	sentRevision   uint64
	inFlight       []message

	injectedBug string
}

// committedChanges are the changes of all models.
func committedChanges(t *testing.T) (commits []records.Commit, positions []Position) {
	t.Helper()
	set := records.NewSet(records.DefaultLimits)
	positions = append(positions, Position{})
	for i := range modelCommits {
		put := records.Put{Key: records.Key{Kind: records.Tenant, Name: "t"}, Value: fmt.Append(nil, i)}
		c, err := set.Apply(records.Change{Puts: []records.Put{put}})
		if err != nil {
			t.Fatal(err)
		}
		commits = append(commits, c)
		positions = append(positions, Position{c.Revision, c.After})
	}
	return commits, positions
}

func newModel(commits []records.Commit, positions []Position, injectedBug string) *model {
	m := &model{commits: commits, positions: positions, connectedRelay: -1, injectedBug: injectedBug}
	m.leader = NewFeed(Limits{Commits: leaderWindowCommits, Bytes: 1 << 10, Watchers: modelRelays, Snapshots: modelRelays}, 1)
	for i := range m.relays {
		m.relays[i] = NewFeed(Limits{Commits: relayWindowCommits, Bytes: 1 << 10, Watchers: 1, Snapshots: 1}, uint64(i))
	}
	return m
}

// execute carries a step out; false: it can't be taken now. An error is a broken invariant.
func (m *model) execute(s step) (bool, error) {
	switch s.kind {
	case stepCommit:
		n := m.leader.Position().Revision
		if n == modelCommits {
			return false, nil
		}
		return true, m.leader.Advance(m.commits[n], []byte{byte(n)})
	case stepAdvanceRelay:
		return m.advanceRelay(s.relay)
	case stepRestartRelay, stepRestartRelayEmpty:
		if m.connectedRelay == s.relay {
			m.disconnect()
		}
		p := Position{}
		if s.kind == stepRestartRelay {
			p = m.relays[s.relay].Position()
		}
		m.relays[s.relay].Reset(p)
		m.snapshots[s.relay] = nil
	case stepConnect:
		return m.connect(s.relay), nil
	case stepSend:
		return m.send()
	case stepReceive:
		return m.receive()
	case stepDisconnect:
		if m.connectedRelay < 0 {
			return false, nil
		}
		m.disconnect()
	}
	return true, nil
}

// advanceRelay has a relay take what it lacks next.
func (m *model) advanceRelay(i int) (bool, error) {
	relay := m.relays[i]
	p := relay.Position()
	if p.Revision >= m.leader.Position().Revision {
		return false, nil
	}
	if !m.leader.inWindow(p) {
		relay.Reset(m.leader.Position())
		return true, nil
	}
	frames, _, err := m.leader.FramesAfter(p.Revision, 1)
	if err != nil {
		return true, err
	}
	return true, relay.Advance(m.commits[frames[0][0]], frames[0])
}

func (m *model) connect(i int) bool {
	if m.connectedRelay >= 0 {
		return false
	}
	a := m.relays[i].Admit(Position(m.watcher))
	switch a.Verdict {
	case VerdictRefuse:
		return false
	case VerdictStream:
		m.sentRevision = m.watcher.Revision
	case VerdictSnapshot:
		s := m.sharedSnapshot(i)
		m.inFlight = append(m.inFlight, message{snapshot: &s})
		m.sentRevision = s.Revision
		m.relays[i].SnapshotDone()
	}
	m.connectedRelay = i
	return true
}

// sharedSnapshot is the one that a relay has, made anew where the relay no longer has what comes after it.
func (m *model) sharedSnapshot(i int) Position {
	if s := m.snapshots[i]; s != nil && s.Revision >= m.relays[i].OldestRevision() {
		return *s
	}
	s := m.relays[i].Position()
	if m.injectedBug == BugSnapshotRevision && s.Revision < m.leader.Position().Revision {
		s.Revision++
	}
	m.snapshots[i] = &s
	return s
}

func (m *model) send() (bool, error) {
	if m.connectedRelay < 0 {
		return false, nil
	}
	frames, through, err := m.relays[m.connectedRelay].FramesAfter(m.sentRevision, 1)
	if errors.Is(err, ErrNotRetained) {
		m.disconnect() // a watcher that reads too slowly
		return true, nil
	}
	if err != nil || len(frames) == 0 {
		return false, err
	}
	m.inFlight = append(m.inFlight, message{commit: &m.commits[frames[0][0]]})
	m.sentRevision = through
	return true, nil
}

func (m *model) receive() (bool, error) {
	if len(m.inFlight) == 0 {
		return false, nil
	}
	first := m.inFlight[0]
	m.inFlight = m.inFlight[1:]
	before := m.watcher.Revision
	if first.snapshot != nil {
		m.watcher = records.DigestFollower(*first.snapshot)
	} else if err := m.watcher.ApplyCommit(*first.commit); err != nil {
		return true, fmt.Errorf("the watcher does not take a commit: %w", err)
	}
	if m.watcher.Revision < before {
		return true, fmt.Errorf("the watcher goes back from %d to %d", before, m.watcher.Revision)
	}
	return true, m.checkWatcher()
}

func (m *model) disconnect() {
	m.relays[m.connectedRelay].Leave()
	m.connectedRelay, m.inFlight = -1, nil
}

// checkWatcher holds the watcher against what was agreed on.
func (m *model) checkWatcher() error {
	p := Position(m.watcher)
	switch {
	case p.Revision > m.leader.Position().Revision:
		return fmt.Errorf("the watcher is at %d, and %d is agreed on", p.Revision, m.leader.Position().Revision)
	case p != m.positions[p.Revision]:
		return fmt.Errorf("the watcher has other records at %d than were agreed on", p.Revision)
	}
	return nil
}

// key tells models apart.
func (m *model) key() string {
	key := fmt.Sprint(m.leader.Position().Revision, m.watcher.Revision, m.connectedRelay, m.sentRevision)
	for i, r := range m.relays {
		key += fmt.Sprint("|", r.Position().Revision, r.OldestRevision())
		if m.snapshots[i] != nil {
			key += fmt.Sprint("s", m.snapshots[i].Revision)
		}
	}
	for _, msg := range m.inFlight {
		if msg.snapshot != nil {
			key += fmt.Sprint("|s", msg.snapshot.Revision)
		} else {
			key += fmt.Sprint("|c", msg.commit.Revision)
		}
	}
	return key
}

// converge lets everything go well from here: the watcher has to come level with what is agreed on.
func (m *model) converge() error {
	for range 4 * modelCommits {
		for i := range m.relays {
			if _, err := m.execute(step{stepAdvanceRelay, i}); err != nil {
				return err
			}
		}
		m.execute(step{stepConnect, 0})
		m.execute(step{stepConnect, 1})
		for _, kind := range []stepKind{stepSend, stepReceive} {
			if _, err := m.execute(step{kind: kind}); err != nil {
				return err
			}
		}
	}
	if m.watcher.Revision != m.leader.Position().Revision {
		return fmt.Errorf("the watcher stays at %d of %d", m.watcher.Revision, m.leader.Position().Revision)
	}
	return m.checkWatcher()
}

// allSteps are the steps that there are, taken or not.
func allSteps() (steps []step) {
	for _, kind := range []stepKind{stepCommit, stepSend, stepReceive, stepDisconnect} {
		steps = append(steps, step{kind: kind})
	}
	for _, kind := range []stepKind{stepAdvanceRelay, stepRestartRelay, stepRestartRelayEmpty, stepConnect} {
		for i := range modelRelays {
			steps = append(steps, step{kind, i})
		}
	}
	return steps
}

// explore plays every order of steps until no model comes that was not met before, and settles from each of them. It tells how many
// there were, and the first way that broke an invariant.
func explore(t *testing.T, injectedBug string) (states int, violation error) {
	commits, positions := committedChanges(t)
	replay := func(path []step) *model {
		m := newModel(commits, positions, injectedBug)
		for _, s := range path {
			m.execute(s)
		}
		return m
	}
	seen := map[string]bool{replay(nil).key(): true}
	frontier := [][]step{nil}
	for len(frontier) > 0 {
		var next [][]step
		for _, path := range frontier {
			for _, s := range allSteps() {
				m := replay(path)
				executed, err := m.execute(s)
				extended := append(append([]step(nil), path...), s)
				if err != nil {
					return states, fmt.Errorf("%v: %w", extended, err)
				}
				if key := m.key(); !executed || seen[key] {
					continue
				} else {
					seen[key] = true
				}
				states++
				next = append(next, extended)
				if err := m.converge(); err != nil {
					return states, fmt.Errorf("%v, then nothing but good: %w", extended, err)
				}
			}
		}
		frontier = next
	}
	return states, nil
}

// No order of steps skips, doubles or reorders a commit for the watcher, puts into force what was not agreed on, or leaves it
// where it can't come level again.
func TestExplorationFindsNoViolation(t *testing.T) {
	states, err := explore(t, "")
	if err != nil {
		t.Fatal(err)
	}
	if states < 1000 {
		t.Errorf("%d models only", states)
	}
	t.Logf("%d models", states)
}

// The exploration finds a snapshot that is taken for a revision that it has not.
func TestExplorationFindsSnapshotRevisionBug(t *testing.T) {
	if _, err := explore(t, BugSnapshotRevision); err == nil {
		t.Error("it is not found")
	}
}

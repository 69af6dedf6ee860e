package distribution

import (
	"errors"
	"fmt"
	"testing"

	"puffinsaddle/internal/records"
)

// The exploration executes every order of steps of a model of the store leader, two relays and a watcher: changes are committed,
// relays receive them, fall behind and restart with or without their file, and the watcher connects, receives messages, and loses
// its connection together with the messages in flight. The windows are as short as possible, so that snapshots and watchers that
// fall behind occur within few steps.
const (
	modelCommits        = 4
	modelRelays         = 2
	leaderWindowCommits = 2
	relayWindowCommits  = 1
)

// stepKind is the kind of a step.
type stepKind int

const (
	stepCommit            stepKind = iota // the next change is committed
	stepAdvanceRelay                      // a relay receives the next commit, or a snapshot
	stepRestartRelay                      // a relay restarts from its file
	stepRestartRelayEmpty                 // a relay restarts without a file
	stepConnect                           // the watcher connects to a relay
	stepSend                              // the relay sends the next commit
	stepReceive                           // the watcher receives the first message in flight
	stepDisconnect                        // the connection ends, and the messages in flight are lost
)

// step is one step of the model; relay is set for the kinds that concern one relay.
type step struct {
	kind  stepKind
	relay int
}

// message is a message from a relay: a commit, or a snapshot at a position.
type message struct {
	commit   *records.Commit
	snapshot *Position
}

// model is the state of the modelled system. All models have the same commits.
type model struct {
	commits   []records.Commit
	positions []Position // by revision

	leader    *Feed
	relays    [modelRelays]*Feed
	snapshots [modelRelays]*Position // shared by the watchers of a relay; nil: not yet built

	watcher        records.DigestFollower
	connectedRelay int // relay that the watcher is connected to; -1: none
	sentRevision   uint64
	inFlight       []message

	injectedBug string
}

// committedChanges returns the commits of all models and the positions by revision.
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

// execute executes a step. It returns false if the step is not possible in this state, and an error if an invariant is violated.
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

// advanceRelay delivers to a relay the next commit that it lacks, or a snapshot.
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

// sharedSnapshot returns the relay's snapshot. It is rebuilt if the relay no longer retains the commits after it.
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
		m.disconnect() // the watcher has read too slowly
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
		return true, fmt.Errorf("the watcher rejects a commit: %w", err)
	}
	if m.watcher.Revision < before {
		return true, fmt.Errorf("the watcher goes back from revision %d to %d", before, m.watcher.Revision)
	}
	return true, m.checkWatcher()
}

func (m *model) disconnect() {
	m.relays[m.connectedRelay].Leave()
	m.connectedRelay, m.inFlight = -1, nil
}

// checkWatcher compares the watcher's position with the committed ones.
func (m *model) checkWatcher() error {
	p := Position(m.watcher)
	switch {
	case p.Revision > m.leader.Position().Revision:
		return fmt.Errorf("the watcher is at revision %d, but only %d is committed", p.Revision, m.leader.Position().Revision)
	case p != m.positions[p.Revision]:
		return fmt.Errorf("the watcher's records at revision %d differ from the committed ones", p.Revision)
	}
	return nil
}

// key returns a string that identifies the state of the model.
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

// converge continues without faults: the watcher must reach the latest committed revision.
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
		return fmt.Errorf("the watcher does not get past revision %d of %d", m.watcher.Revision, m.leader.Position().Revision)
	}
	return m.checkWatcher()
}

// allSteps returns all steps, possible in a given state or not.
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

// explore visits every reachable state, breadth first, and checks from each that the watcher converges without further faults. It
// returns the number of states, and the first sequence of steps that violates an invariant.
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
					return states, fmt.Errorf("%v, then without faults: %w", extended, err)
				}
			}
		}
		frontier = next
	}
	return states, nil
}

// No order of steps skips, duplicates or reorders a commit for the watcher, delivers records that were not committed, or leaves the
// watcher unable to catch up.
func TestExplorationFindsNoViolation(t *testing.T) {
	states, err := explore(t, "")
	if err != nil {
		t.Fatal(err)
	}
	if states < 1000 {
		t.Errorf("only %d states explored, want at least 1000", states)
	}
	t.Logf("%d states", states)
}

// The exploration finds a snapshot that is labelled with a revision that it does not contain.
func TestExplorationFindsSnapshotRevisionBug(t *testing.T) {
	if _, err := explore(t, BugSnapshotRevision); err == nil {
		t.Error("the injected bug is not found")
	}
}

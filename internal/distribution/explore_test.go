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
	exploreChanges = 4
	exploreRelays  = 2
	leaderWindow   = 2
	relayWindow    = 1
)

// stepKind is the kind of a step.
type stepKind int

const (
	stepChange  stepKind = iota // the next change is committed
	stepRelay                   // a relay receives the next commit, or a snapshot
	stepRestart                 // a relay restarts from its file
	stepEmpty                   // a relay restarts without a file
	stepConnect                 // the watcher connects to a relay
	stepSend                    // the relay sends the next commit
	stepHear                    // the watcher receives the first message in flight
	stepCut                     // the connection ends, and the messages in flight are lost
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

	leader   *Feed
	relays   [exploreRelays]*Feed
	snapshot [exploreRelays]*Position // shared by the watchers of a relay; nil: not yet built

	watcher  records.Marker
	at       int // relay that the watcher is connected to; -1: none
	sent     uint64
	underWay []message

	plant string
}

// agreedChanges returns the commits of all models and the positions by revision.
func agreedChanges(t *testing.T) (commits []records.Commit, positions []Position) {
	t.Helper()
	set := records.NewSet(records.DefaultLimits)
	positions = append(positions, Position{})
	for i := range exploreChanges {
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

func newModel(commits []records.Commit, positions []Position, plant string) *model {
	m := &model{commits: commits, positions: positions, at: -1, plant: plant}
	m.leader = NewFeed(Limits{Commits: leaderWindow, Bytes: 1 << 10, Watchers: exploreRelays, Snapshots: exploreRelays}, 1)
	for i := range m.relays {
		m.relays[i] = NewFeed(Limits{Commits: relayWindow, Bytes: 1 << 10, Watchers: 1, Snapshots: 1}, uint64(i))
	}
	return m
}

// play executes a step. It returns false if the step is not possible in this state, and an error if an invariant is violated.
func (m *model) play(s step) (bool, error) {
	switch s.kind {
	case stepChange:
		n := m.leader.Position().Revision
		if n == exploreChanges {
			return false, nil
		}
		return true, m.leader.Advance(m.commits[n], []byte{byte(n)})
	case stepRelay:
		return m.advance(s.relay)
	case stepRestart, stepEmpty:
		if m.at == s.relay {
			m.cut()
		}
		p := Position{}
		if s.kind == stepRestart {
			p = m.relays[s.relay].Position()
		}
		m.relays[s.relay].Reset(p)
		m.snapshot[s.relay] = nil
	case stepConnect:
		return m.connect(s.relay), nil
	case stepSend:
		return m.send()
	case stepHear:
		return m.hear()
	case stepCut:
		if m.at < 0 {
			return false, nil
		}
		m.cut()
	}
	return true, nil
}

// advance delivers to a relay the next commit that it lacks, or a snapshot.
func (m *model) advance(i int) (bool, error) {
	relay := m.relays[i]
	p := relay.Position()
	if p.Revision >= m.leader.Position().Revision {
		return false, nil
	}
	if !m.leader.knows(p) {
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
	if m.at >= 0 {
		return false
	}
	a := m.relays[i].Admit(Position(m.watcher))
	switch a.Verdict {
	case VerdictRefuse:
		return false
	case VerdictStream:
		m.sent = m.watcher.Revision
	case VerdictSnapshot:
		s := m.sharedSnapshot(i)
		m.underWay = append(m.underWay, message{snapshot: &s})
		m.sent = s.Revision
		m.relays[i].SnapshotDone()
	}
	m.at = i
	return true
}

// sharedSnapshot returns the relay's snapshot. It is rebuilt if the relay no longer retains the commits after it.
func (m *model) sharedSnapshot(i int) Position {
	if s := m.snapshot[i]; s != nil && s.Revision >= m.relays[i].OldestRevision() {
		return *s
	}
	s := m.relays[i].Position()
	if m.plant == BugSnapshotRevision && s.Revision < m.leader.Position().Revision {
		s.Revision++
	}
	m.snapshot[i] = &s
	return s
}

func (m *model) send() (bool, error) {
	if m.at < 0 {
		return false, nil
	}
	frames, through, err := m.relays[m.at].FramesAfter(m.sent, 1)
	if errors.Is(err, ErrFellBehind) {
		m.cut() // the watcher has read too slowly
		return true, nil
	}
	if err != nil || len(frames) == 0 {
		return false, err
	}
	m.underWay = append(m.underWay, message{commit: &m.commits[frames[0][0]]})
	m.sent = through
	return true, nil
}

func (m *model) hear() (bool, error) {
	if len(m.underWay) == 0 {
		return false, nil
	}
	first := m.underWay[0]
	m.underWay = m.underWay[1:]
	before := m.watcher.Revision
	if first.snapshot != nil {
		m.watcher = records.Marker(*first.snapshot)
	} else if err := m.watcher.Follow(*first.commit); err != nil {
		return true, fmt.Errorf("the watcher rejects a commit: %w", err)
	}
	if m.watcher.Revision < before {
		return true, fmt.Errorf("the watcher goes back from revision %d to %d", before, m.watcher.Revision)
	}
	return true, m.check()
}

func (m *model) cut() {
	m.relays[m.at].Leave()
	m.at, m.underWay = -1, nil
}

// check compares the watcher's position with the committed ones.
func (m *model) check() error {
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
	key := fmt.Sprint(m.leader.Position().Revision, m.watcher.Revision, m.at, m.sent)
	for i, r := range m.relays {
		key += fmt.Sprint("|", r.Position().Revision, r.OldestRevision())
		if m.snapshot[i] != nil {
			key += fmt.Sprint("s", m.snapshot[i].Revision)
		}
	}
	for _, u := range m.underWay {
		if u.snapshot != nil {
			key += fmt.Sprint("|s", u.snapshot.Revision)
		} else {
			key += fmt.Sprint("|c", u.commit.Revision)
		}
	}
	return key
}

// settle continues without faults: the watcher must reach the latest committed revision.
func (m *model) settle() error {
	for range 4 * exploreChanges {
		for i := range m.relays {
			if _, err := m.play(step{stepRelay, i}); err != nil {
				return err
			}
		}
		m.play(step{stepConnect, 0})
		m.play(step{stepConnect, 1})
		for _, kind := range []stepKind{stepSend, stepHear} {
			if _, err := m.play(step{kind: kind}); err != nil {
				return err
			}
		}
	}
	if m.watcher.Revision != m.leader.Position().Revision {
		return fmt.Errorf("the watcher does not get past revision %d of %d", m.watcher.Revision, m.leader.Position().Revision)
	}
	return m.check()
}

// allSteps returns all steps, possible in a given state or not.
func allSteps() (all []step) {
	for _, kind := range []stepKind{stepChange, stepSend, stepHear, stepCut} {
		all = append(all, step{kind: kind})
	}
	for _, kind := range []stepKind{stepRelay, stepRestart, stepEmpty, stepConnect} {
		for i := range exploreRelays {
			all = append(all, step{kind, i})
		}
	}
	return all
}

// explore visits every reachable state, breadth first, and checks from each that the watcher converges without further faults. It
// returns the number of states, and the first sequence of steps that violates an invariant.
func explore(t *testing.T, plant string) (models int, broken error) {
	commits, positions := agreedChanges(t)
	replay := func(way []step) *model {
		m := newModel(commits, positions, plant)
		for _, s := range way {
			m.play(s)
		}
		return m
	}
	seen := map[string]bool{replay(nil).key(): true}
	level := [][]step{nil}
	for len(level) > 0 {
		var next [][]step
		for _, way := range level {
			for _, s := range allSteps() {
				m := replay(way)
				taken, err := m.play(s)
				longer := append(append([]step(nil), way...), s)
				if err != nil {
					return models, fmt.Errorf("%v: %w", longer, err)
				}
				if key := m.key(); !taken || seen[key] {
					continue
				} else {
					seen[key] = true
				}
				models++
				next = append(next, longer)
				if err := m.settle(); err != nil {
					return models, fmt.Errorf("%v, then without faults: %w", longer, err)
				}
			}
		}
		level = next
	}
	return models, nil
}

// No order of steps skips, duplicates or reorders a commit for the watcher, delivers records that were not committed, or leaves the
// watcher unable to catch up.
func TestEveryOrderOfSteps(t *testing.T) {
	models, err := explore(t, "")
	if err != nil {
		t.Fatal(err)
	}
	if models < 1000 {
		t.Errorf("only %d states explored, want at least 1000", models)
	}
	t.Logf("%d states", models)
}

// The exploration finds a snapshot that is labelled with a revision that it does not contain.
func TestExplorationFindsAPlantedBug(t *testing.T) {
	if _, err := explore(t, BugSnapshotRevision); err == nil {
		t.Error("the injected bug is not found")
	}
}

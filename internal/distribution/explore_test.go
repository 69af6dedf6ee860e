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
	exploreChanges = 4
	exploreRelays  = 2
	leaderWindow   = 2
	relayWindow    = 1
)

// stepKind is a kind of step.
type stepKind int

const (
	stepChange  stepKind = iota // the next change is agreed on
	stepRelay                   // a relay takes the next commit, or a snapshot
	stepRestart                 // a relay starts again from its file
	stepEmpty                   // a relay starts again with nothing
	stepConnect                 // the watcher connects to a relay
	stepSend                    // the relay sends what it has next
	stepHear                    // the watcher takes the first message that is under way
	stepCut                     // the connection ends, and what is under way is lost
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

	leader   *Feed
	relays   [exploreRelays]*Feed
	snapshot [exploreRelays]*Position // that is shared by a relay's watchers; nil: none was made

	watcher  records.DigestFollower
	at       int // the relay to which the watcher is connected; -1: none
	sent     uint64
	underWay []message

	plant string
}

// agreedChanges are the changes of all models.
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

// play carries a step out; false: it can't be taken now. An error is a broken invariant.
func (m *model) play(s step) (bool, error) {
	switch s.kind {
	case stepChange:
		n := m.leader.At().Revision
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
			p = m.relays[s.relay].At()
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

// advance has a relay take what it lacks next.
func (m *model) advance(i int) (bool, error) {
	relay := m.relays[i]
	p := relay.At()
	if p.Revision >= m.leader.At().Revision {
		return false, nil
	}
	if !m.leader.knows(p) {
		relay.Reset(m.leader.At())
		return true, nil
	}
	frames, _, err := m.leader.Next(p.Revision, 1)
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
	case Refuse:
		return false
	case Stream:
		m.sent = m.watcher.Revision
	case Snapshot:
		s := m.sharedSnapshot(i)
		m.underWay = append(m.underWay, message{snapshot: &s})
		m.sent = s.Revision
		m.relays[i].SnapshotDone()
	}
	m.at = i
	return true
}

// sharedSnapshot is the one that a relay has, made anew where the relay no longer has what comes after it.
func (m *model) sharedSnapshot(i int) Position {
	if s := m.snapshot[i]; s != nil && s.Revision >= m.relays[i].Floor() {
		return *s
	}
	s := m.relays[i].At()
	if m.plant == PlantSnapshotRevision && s.Revision < m.leader.At().Revision {
		s.Revision++
	}
	m.snapshot[i] = &s
	return s
}

func (m *model) send() (bool, error) {
	if m.at < 0 {
		return false, nil
	}
	frames, through, err := m.relays[m.at].Next(m.sent, 1)
	if errors.Is(err, ErrFellBehind) {
		m.cut() // a watcher that reads too slowly
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
		m.watcher = records.DigestFollower(*first.snapshot)
	} else if err := m.watcher.ApplyCommit(*first.commit); err != nil {
		return true, fmt.Errorf("the watcher does not take a commit: %w", err)
	}
	if m.watcher.Revision < before {
		return true, fmt.Errorf("the watcher goes back from %d to %d", before, m.watcher.Revision)
	}
	return true, m.check()
}

func (m *model) cut() {
	m.relays[m.at].Leave()
	m.at, m.underWay = -1, nil
}

// check holds the watcher against what was agreed on.
func (m *model) check() error {
	p := Position(m.watcher)
	switch {
	case p.Revision > m.leader.At().Revision:
		return fmt.Errorf("the watcher is at %d, and %d is agreed on", p.Revision, m.leader.At().Revision)
	case p != m.positions[p.Revision]:
		return fmt.Errorf("the watcher has other records at %d than were agreed on", p.Revision)
	}
	return nil
}

// key tells models apart.
func (m *model) key() string {
	key := fmt.Sprint(m.leader.At().Revision, m.watcher.Revision, m.at, m.sent)
	for i, r := range m.relays {
		key += fmt.Sprint("|", r.At().Revision, r.Floor())
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

// settle lets everything go well from here: the watcher has to come level with what is agreed on.
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
	if m.watcher.Revision != m.leader.At().Revision {
		return fmt.Errorf("the watcher stays at %d of %d", m.watcher.Revision, m.leader.At().Revision)
	}
	return m.check()
}

// allSteps are the steps that there are, taken or not.
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

// explore plays every order of steps until no model comes that was not met before, and settles from each of them. It tells how many
// there were, and the first way that broke an invariant.
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
					return models, fmt.Errorf("%v, then nothing but good: %w", longer, err)
				}
			}
		}
		level = next
	}
	return models, nil
}

// No order of steps skips, doubles or reorders a commit for the watcher, puts into force what was not agreed on, or leaves it
// where it can't come level again.
func TestEveryOrderOfSteps(t *testing.T) {
	models, err := explore(t, "")
	if err != nil {
		t.Fatal(err)
	}
	if models < 1000 {
		t.Errorf("%d models only", models)
	}
	t.Logf("%d models", models)
}

// The exploration finds a snapshot that is taken for a revision that it has not.
func TestExplorationFindsAPlantedBug(t *testing.T) {
	if _, err := explore(t, PlantSnapshotRevision); err == nil {
		t.Error("it is not found")
	}
}

package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"puffinsaddle/internal/store/disk"
)

// site is a set of nodes on ports of the system's choice.
type site struct {
	t     *testing.T
	peers map[string]string
	dirs  map[string]string
	up    map[string]*Store

	compare float64
}

var sites atomic.Int32

func newSite(t *testing.T, ids ...string) *site {
	s := &site{t: t, peers: map[string]string{}, dirs: map[string]string{}, up: map[string]*Store{}}
	// An address of its own: a port that a node leaves for a moment must not be given to some other connection.
	host := fmt.Sprintf("127.%d.%d.%d", 32+os.Getpid()%64, os.Getpid()/64%250+1, sites.Add(1))
	var open []net.Listener
	for _, id := range ids {
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, ln)
		s.peers[id], s.dirs[id] = ln.Addr().String(), t.TempDir()
	}
	for _, ln := range open {
		ln.Close()
	}
	t.Cleanup(func() {
		for _, n := range s.up {
			n.Close()
		}
	})
	return s
}

func (s *site) start(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		n, err := Open(Options{ID: id, Listen: s.peers[id], Dir: s.dirs[id], Peers: maps.Clone(s.peers), CompareMs: s.compare})
		if err != nil {
			s.t.Fatal(err)
		}
		s.up[id] = n
	}
}

func (s *site) stop(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		if err := s.up[id].Close(); err != nil {
			s.t.Fatal(err)
		}
		delete(s.up, id)
	}
}

// is waits until a node's status is as wanted.
func (s *site) is(id, what string, want func(Status) bool) Status {
	s.t.Helper()
	late := time.Now().Add(patience)
	for {
		st := s.up[id].Status()
		if want(st) {
			return st
		}
		if time.Now().After(late) {
			for other, n := range s.up {
				s.t.Logf("%s: %+v", other, n.Status())
			}
			s.t.Fatalf("%s: %+v; %s", id, st, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func votes(st Status) bool { return st.Phase == PhaseRuns && st.Votes && st.Leader != "" }

// all waits until all nodes vote.
func (s *site) all(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		s.is(id, "want its vote", votes)
	}
}

func (s *site) write(id, key string) {
	s.t.Helper()
	set(s.t, s.up[id], key, "v")
}

// has waits until a node has a key.
func (s *site) has(id string, keys ...string) {
	s.t.Helper()
	for _, k := range keys {
		want(s.t, s.up[id], k, "v")
	}
}

func (s *site) copy(id, to string) {
	s.t.Helper()
	if err := os.CopyFS(to, os.DirFS(s.dirs[id])); err != nil {
		s.t.Fatal(err)
	}
}

// put puts a copy of a folder in the place of a node's own.
func (s *site) put(id, from string) {
	s.t.Helper()
	if err := os.RemoveAll(s.dirs[id]); err != nil {
		s.t.Fatal(err)
	}
	if err := os.CopyFS(s.dirs[id], os.DirFS(from)); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) aside(id string) []string {
	got, _ := filepath.Glob(filepath.Join(s.dirs[id], "aside-*"))
	return got
}

func TestNewSetBeginsOnceAllAreThere(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b")
	s.is("a", "want it to wait for c", func(st Status) bool { return strings.Contains(st.Why, "1 of 2") && st.Phase == PhaseSeeks })
	if err := s.up["a"].Set("k", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("a write before there is a set: %v", err)
	}
	s.start("c")
	s.all("a", "b", "c")
	s.write("a", "k")
	for _, id := range []string{"a", "b", "c"} {
		s.has(id, "k")
		if st := s.up[id].Status(); st.Mark.JoinIndex != 0 || len(s.aside(id)) > 0 {
			t.Errorf("%s joined anew: %+v", id, st)
		}
	}
	st, err := Ask(t.Context(), s.peers["b"])
	if err != nil || st.ID != "b" || len(st.Members) != 3 || !st.Members[0].Alive {
		t.Errorf("%+v %v", st, err)
	}
	s.stop("b")
	s.start("b") // a plain restart
	s.all("b")
	if got := s.aside("b"); len(got) > 0 {
		t.Errorf("set aside after a plain restart: %q", got)
	}
}

// A folder that forgot something, whatever it is, has no vote until its copy has all of it again; what it held is kept.
func TestCopyWithoutItsPastJoinsAnew(t *testing.T) {
	for name, spoil := range map[string]func(t *testing.T, s *site, old string){
		"older":   func(_ *testing.T, s *site, old string) { s.put("c", old) },
		"emptied": func(_ *testing.T, s *site, _ string) { s.put("c", t.TempDir()) },
		"another's": func(_ *testing.T, s *site, _ string) {
			s.stop("b")
			s.put("c", s.dirs["b"])
			s.start("b")
		},
		"spoilt": func(t *testing.T, s *site, _ string) {
			path := filepath.Join(s.dirs["c"], disk.File)
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			// An entry's text, and what is left of it in pages that are not in use any more.
			b = bytes.ReplaceAll(b, []byte("after-3"), []byte("after-7"))
			if err := os.WriteFile(path, b, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"cut short": func(t *testing.T, s *site, _ string) {
			if err := os.Truncate(filepath.Join(s.dirs["c"], disk.File), 9000); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, "a", "b", "c")
			s.start("a", "b", "c")
			s.all("a", "b", "c")
			s.write("a", "before")
			s.has("c", "before")
			old := filepath.Join(t.TempDir(), "old")
			s.stop("c")
			s.copy("c", old)
			s.start("c")
			s.all("c")
			var keys []string
			for i := range 5 {
				keys = append(keys, fmt.Sprint("after-", i))
				s.write("a", keys[i])
			}
			s.has("c", keys...)
			s.stop("c")
			spoil(t, s, old)
			s.start("c")
			st := s.is("c", "want it back with its vote", func(st Status) bool { return votes(st) && st.Mark.JoinIndex > 0 })
			if st.Mark.OpenCount != 1 || len(s.aside("c")) == 0 {
				t.Errorf("%+v, set aside %q", st, s.aside("c"))
			}
			s.has("c", append(keys, "before")...)
			s.stop("a") // c is needed for a majority now, and has its vote
			s.write("c", "with c")
			s.has("b", "with c")
			s.stop("c")
			s.start("c") // a plain restart of a copy that once joined anew
			s.all("c")
			s.write("c", "again")
		})
	}
}

// All restart at once, one of them with an older folder: what was agreed on without it is not undone.
func TestAllRestartAtOnceOneWithAnOlderFolder(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	s.stop("c")
	old := filepath.Join(t.TempDir(), "old")
	s.copy("c", old)
	s.start("c")
	s.all("c")
	s.write("a", "k")
	s.has("c", "k")
	s.stop("a", "b", "c")
	s.put("c", old)
	s.start("c", "a") // b stays away: a and c are a majority, and c lacks what it had
	s.is("c", "want it to ask", func(st Status) bool { return st.Phase == PhaseAsks && strings.Contains(st.Why, "a: the folder of c") })
	if st := s.up["c"].Status(); st.Votes {
		t.Errorf("%+v", st)
	}
	s.start("b")
	s.is("c", "want it back", func(st Status) bool { return votes(st) && st.Mark.JoinIndex > 0 })
	s.has("c", "k")
}

// Two of three copies are gone for good. Operators begin the set anew with the third; what comes back of the others, newer or
// older, has to join anew.
func TestOperatorsBeginTheSetAnew(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	s.write("a", "k")
	for _, id := range []string{"a", "b", "c"} {
		s.has(id, "k")
	}
	s.stop("a")
	s.write("b", "only b and c")
	s.has("c", "only b and c")
	s.stop("b", "c")
	o := Options{ID: "a", Dir: s.dirs["a"], Peers: maps.Clone(s.peers)}
	r, err := Resolve(o)
	if err != nil || r.Mark.ClusterGeneration != 1 {
		t.Fatalf("%+v %v", r, err)
	}
	s.start("a")
	s.all("a") // alone
	s.write("a", "anew")
	s.start("b", "c") // they hold more, and are a majority of what was
	for _, id := range []string{"b", "c"} {
		s.is(id, "want it joined anew", func(st Status) bool { return votes(st) && st.Mark.JoinIndex > 0 && st.Mark.ClusterGeneration == 1 })
		s.has(id, "k", "anew")
		if _, there := s.up[id].Get("only b and c"); there {
			t.Errorf("%s has what was given up", id)
		}
	}
	s.stop("b")
	s.stop("a")
	s.start("b") // a plain set again, in which one alone can do nothing
	s.all("b")
	s.stop("c")
	if err := s.up["b"].Set("x", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("one of three: %v", err)
	}
	s.start("a")
	s.all("a")
	s.write("a", "y")
	s.has("b", "y")
	s.stop("a", "b")
	for want, o := range map[string]Options{
		"not among":       {ID: "z", Dir: s.dirs["a"], Peers: s.peers},
		"no such file":    {ID: "a", Dir: t.TempDir(), Peers: s.peers},
		"open in another": {ID: "c", Dir: s.dirs["c"], Peers: s.peers},
	} {
		if want == "open in another" {
			s.start("c")
		}
		if _, err := Resolve(o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// A backup is one point; it begins a new set, whose nodes have nothing to do with those of the old one, also where an old folder
// comes to one of them.
func TestBackupBeginsASetOfItsOwn(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	s.write("a", "before")
	path := filepath.Join(t.TempDir(), "backup")
	h, err := Save(t.Context(), s.peers, path)
	if err != nil {
		t.Fatal(err)
	}
	s.write("a", "after")
	if _, err := Save(t.Context(), s.peers, path); err == nil || !strings.Contains(err.Error(), "there already") {
		t.Errorf("written over: %v", err)
	}
	n := newSite(t, "a", "b", "c")
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	spoilt := bytes.Clone(whole)
	spoilt[len(spoilt)-9] ^= 1
	other := bytes.Replace(whole, []byte(h.SHA256[:8]), []byte("00000000"), 1)
	for name, b := range map[string][]byte{"empty": nil, "cut short": whole[:len(whole)-5], "a spoilt bit": spoilt, "another's digest": other,
		"another kind": []byte("{}\n"), "an unknown key": bytes.Replace(whole, []byte(`"format"`), []byte(`"formal"`), 1),
		"a later format": bytes.Replace(whole, []byte(`"format":1`), []byte(`"format":2`), 1), "no line": bytes.Repeat([]byte("x"), 1<<16)} {
		o := Options{ID: "a", Dir: filepath.Join(t.TempDir(), "new"), Peers: n.peers}
		if _, err := Restore(o, bytes.NewReader(b)); !errors.Is(err, ErrBackup) {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := os.Stat(o.Dir); err == nil {
			t.Errorf("%s: a folder was made", name)
		}
	}
	o := Options{ID: "a", Dir: n.dirs["a"], Peers: n.peers}
	if _, err := Restore(o, bytes.NewReader(whole)); err != nil {
		t.Fatal(err)
	}
	if _, err := Restore(o, bytes.NewReader(whole)); err == nil || !strings.Contains(err.Error(), "holds a copy already") {
		t.Errorf("restored over a copy: %v", err)
	}
	s.stop("c")
	n.put("c", s.dirs["c"]) // of the old set
	n.start("a", "b", "c")
	n.all("a", "b")
	n.has("b", "before")
	if _, there := n.up["b"].Get("after"); there {
		t.Error("more than the backup held")
	}
	st := n.is("c", "want it kept out", func(st Status) bool { return strings.Contains(st.Why, "belongs to set "+h.Name) })
	if st.Phase != PhaseSeeks || len(n.aside("c")) > 0 {
		t.Errorf("%+v", st)
	}
	if a, b := n.up["a"].Status().Mark.ClusterName, n.up["b"].Status().Mark.ClusterName; a != b || a == h.Name {
		t.Errorf("sets %q, %q; the old one is %q", a, b, h.Name)
	}
	n.write("b", "anew")
	n.has("a", "anew")
}

// A bit of what a copy holds in memory is spoilt, of a follower and of the leader: the copies find which one differs, and it is
// built anew.
func TestCopyThatDiffersIsBuiltAnew(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.compare = 1
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	for i := range 40 {
		for {
			fresh, err := s.up["a"].Begin(fmt.Sprint("e", i))
			if err == nil && !fresh {
				t.Fatal("begun before")
			}
			if err == nil {
				break
			}
			if !errors.Is(err, ErrNoQuorum) {
				t.Fatal(err)
			}
		}
	}
	s.write("a", "k")
	for _, id := range []string{"a", "b", "c"} {
		s.has(id, "k")
	}
	for round, leads := range []bool{false, true} {
		odd := ""
		for id, n := range s.up {
			if n.Status().Leads == leads {
				odd = id
			}
		}
		if odd == "" {
			t.Fatal("nobody leads")
		}
		before := s.up[odd].Status().Mark.JoinIndex
		if s.up[odd].Spoil(uint64(round+3)) == "" {
			t.Fatal("nothing was spoilt")
		}
		s.is(odd, "want it joined anew", func(st Status) bool { return votes(st) && st.Mark.JoinIndex > before })
		s.has(odd, "k")
		s.all("a", "b", "c")
	}
	for id, n := range s.up {
		if fresh, err := n.Begin("e7"); fresh || err != nil {
			t.Errorf("%s: an effect begins twice: %v %v", id, fresh, err)
		}
		if n.Status().Halted {
			t.Errorf("%s is halted", id)
		}
	}
}

// Three copies with three states: nobody can tell which is right, so no effect begins any more; all else goes on.
func TestNoEffectBeginsWhereNoMajorityHasOneState(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.compare = 1
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	s.write("a", "k")
	lead := s.up[s.up["a"].Status().Leader]
	if _, err := lead.Begin("e"); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b", "c"} {
		s.has(id, "k")
	}
	for _, n := range s.up { // held, so that no two compare in between
		n.machine.mu.Lock()
	}
	for i, id := range []string{"a", "b", "c"} {
		s.up[id].machine.state.Values["k"] = []byte{byte(i)}
	}
	for _, n := range s.up {
		n.machine.mu.Unlock()
	}
	s.is(lead.o.ID, "want it halted", func(st Status) bool { return st.Halted })
	if _, err := lead.Begin("f"); !errors.Is(err, ErrDiffer) {
		t.Errorf("an effect begins: %v", err)
	}
	if err := lead.Set("other", []byte("v")); err != nil {
		t.Errorf("all else stops: %v", err)
	}
}

// A disk that fails stops its copy and no more; what was acknowledged is with the others.
func TestFullDiskStopsItsCopyAlone(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	s.write("a", "k")
	leader := s.up["a"].Status().Leader
	s.up[leader].failed(errors.New("no space left on device"))
	st := s.is(leader, "want it stopped", func(st Status) bool { return st.Phase == PhaseStopped })
	if !strings.Contains(st.Why, "no space left") {
		t.Errorf("%+v", st)
	}
	for id := range s.peers {
		if id != leader {
			s.write(id, "after "+id)
			s.has(id, "k")
		}
	}
	if err := s.up[leader].Set("x", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("a write at the copy that stopped: %v", err)
	}
}

// A second process under an id that is alive waits, whatever folder it has, and gets neither vote nor folder.
func TestSecondProcessOfAnIDWaits(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	s.write("a", "k")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers := maps.Clone(s.peers)
	peers["c"] = ln.Addr().String()
	twin, err := Open(Options{ID: "c", Listener: ln, Dir: t.TempDir(), Peers: peers})
	if err != nil {
		t.Fatal(err)
	}
	defer twin.Close()
	s.up["twin"] = twin
	s.is("twin", "want it to be told", func(st Status) bool { return strings.Contains(st.Why, "of c is alive") && st.Phase == PhaseSeeks })
	delete(s.up, "twin")
	s.stop("c")
	s.up["twin"] = twin
	s.is("twin", "want it to be told of the other address", func(st Status) bool { return strings.Contains(st.Why, "c is at") })
	delete(s.up, "twin")
	s.start("c")
	s.all("c")
}

// A copy without a vote gives none and asks for none.
func TestGateKeepsTheVoteBack(t *testing.T) {
	node := func(set string, vote bool) (*gate, *lane) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := newLayer(ln, nil, nil)
		n := l.open(set)
		go l.run()
		g := newGate(raft.NewNetworkTransport(n, 1, patience, io.Discard), func() bool { return vote })
		t.Cleanup(func() { g.Close(); l.Close() })
		return g, n
	}
	voter, _ := node("set", true)
	stranger, _ := node("another set", true)
	learner, lane := node("set", false)
	at := raft.ServerAddress(lane.Addr().String())
	if err := voter.RequestVote("l", at, &raft.RequestVoteRequest{Term: 1}, &raft.RequestVoteResponse{}); err == nil || !strings.Contains(err.Error(), errNoVote.Error()) {
		t.Errorf("a vote was asked for: %v", err)
	}
	if err := voter.RequestPreVote("l", at, &raft.RequestPreVoteRequest{Term: 1}, &raft.RequestPreVoteResponse{}); err == nil || !strings.Contains(err.Error(), errNoVote.Error()) {
		t.Errorf("it was asked whether there would be one: %v", err)
	}
	if err := learner.RequestVote("v", at, &raft.RequestVoteRequest{Term: 1}, &raft.RequestVoteResponse{}); !errors.Is(err, errNoVote) {
		t.Errorf("it asks for a vote: %v", err)
	}
	go func() {
		rpc := <-learner.Consumer()
		rpc.Respond(&raft.AppendEntriesResponse{Success: true, LastLog: 7}, nil)
	}()
	var got raft.AppendEntriesResponse
	if err := voter.AppendEntries("l", at, &raft.AppendEntriesRequest{Term: 1}, &got); err != nil || got.LastLog != 7 {
		t.Errorf("entries do not get through: %+v %v", got, err)
	}
	if err := stranger.AppendEntries("l", at, &raft.AppendEntriesRequest{Term: 9}, &got); err == nil {
		t.Error("entries of another set get through")
	}
}

// What no copy of ours would say ends its own connection and is not remembered.
func TestMalformedClaimsAreNotHeard(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	message := func(text string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	for name, b := range map[string][]byte{
		"no JSON":               message("{"),
		"a huge length":         {0xff, 0xff, 0xff, 0xff},
		"nobody's":              message("{}"),
		"an unknown id's":       message(`{"id":"z","folder":"f","life":1}`),
		"its own":               message(`{"id":"a","folder":"f","life":1}`),
		"a name without end":    message(`{"id":"b","folder":"` + strings.Repeat("f", 100) + `"}`),
		"an end in the middle":  message(`{"id":"b"}`)[:7],
		"an unknown purpose":    nil,
		"two ids in one breath": append(message(`{"id":"b","addr":"x","folder":"f","proc":"p"}`), message(`{"id":"c","addr":"x","folder":"f","proc":"p"}`)...),
	} {
		conn, err := net.Dial("tcp", s.peers["a"])
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(patience))
		purpose := byte(forClaims)
		if b == nil {
			purpose = 'z'
		}
		conn.Write(append([]byte{purpose}, b...))
		conn.(*net.TCPConn).CloseWrite()
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: the connection stands", name)
		}
		conn.Close()
	}
	n := s.up["a"]
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.witness.Directories) != 2 || n.witness.Directories["b"].DirectoryID == "f" || n.witness.Directories["c"].DirectoryID == "f" {
		t.Errorf("%+v", n.witness.Directories)
	}
}

// Who connects to a node and stalls, before it says what for or in the middle of that, is cut off.
func TestConnectionsThatStallAreEnded(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	for name, b := range map[string][]byte{"says nothing": nil, "raft's, in its set's name": {forRaft, 16, 'x'}, "a claim's, in its length": {forClaims, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", s.peers["a"])
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(patience))
			conn.Write(b)
			if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection stands")
			}
		})
	}
}

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

// testCluster is a set of nodes on ports of the system's choice.
type testCluster struct {
	t     *testing.T
	peers map[string]string
	dirs  map[string]string
	nodes map[string]*Store

	compareIntervalMS float64
}

var testClusters atomic.Int32

func newTestCluster(t *testing.T, ids ...string) *testCluster {
	s := &testCluster{t: t, peers: map[string]string{}, dirs: map[string]string{}, nodes: map[string]*Store{}}
	// An address of its own: a port that a node leaves for a moment must not be given to some other connection.
	host := fmt.Sprintf("127.%d.%d.%d", 32+os.Getpid()%64, os.Getpid()/64%250+1, testClusters.Add(1))
	var listeners []net.Listener
	for _, id := range ids {
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, ln)
		s.peers[id], s.dirs[id] = ln.Addr().String(), t.TempDir()
	}
	for _, ln := range listeners {
		ln.Close()
	}
	t.Cleanup(func() {
		for _, n := range s.nodes {
			n.Close()
		}
	})
	return s
}

func (s *testCluster) start(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		n, err := Open(Options{ID: id, Listen: s.peers[id], Dir: s.dirs[id], Peers: maps.Clone(s.peers), CompareIntervalMS: s.compareIntervalMS})
		if err != nil {
			s.t.Fatal(err)
		}
		s.nodes[id] = n
	}
}

func (s *testCluster) stop(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		if err := s.nodes[id].Close(); err != nil {
			s.t.Fatal(err)
		}
		delete(s.nodes, id)
	}
}

// waitStatus waits until a node's status is as wanted.
func (s *testCluster) waitStatus(id, what string, want func(Status) bool) Status {
	s.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for {
		st := s.nodes[id].Status()
		if want(st) {
			return st
		}
		if time.Now().After(deadline) {
			for other, n := range s.nodes {
				s.t.Logf("%s: %+v", other, n.Status())
			}
			s.t.Fatalf("%s: %+v; %s", id, st, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func isVoter(st Status) bool { return st.Phase == PhaseRunning && st.Voter && st.Leader != "" }

// waitVoters waits until all nodes vote.
func (s *testCluster) waitVoters(ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		s.waitStatus(id, "want its vote", isVoter)
	}
}

func (s *testCluster) write(id, key string) {
	s.t.Helper()
	setValue(s.t, s.nodes[id], key, "v")
}

// waitValues waits until a node has a key.
func (s *testCluster) waitValues(id string, keys ...string) {
	s.t.Helper()
	for _, k := range keys {
		waitValue(s.t, s.nodes[id], k, "v")
	}
}

func (s *testCluster) copyDirectory(id, to string) {
	s.t.Helper()
	if err := os.CopyFS(to, os.DirFS(s.dirs[id])); err != nil {
		s.t.Fatal(err)
	}
}

// replaceDirectory puts a copy of a folder in the place of a node's own.
func (s *testCluster) replaceDirectory(id, from string) {
	s.t.Helper()
	if err := os.RemoveAll(s.dirs[id]); err != nil {
		s.t.Fatal(err)
	}
	if err := os.CopyFS(s.dirs[id], os.DirFS(from)); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testCluster) quarantined(id string) []string {
	got, _ := filepath.Glob(filepath.Join(s.dirs[id], "aside-*"))
	return got
}

func TestClusterBootstrapsOnceAllPeersRespond(t *testing.T) {
	s := newTestCluster(t, "a", "b", "c")
	s.start("a", "b")
	s.waitStatus("a", "want it to wait for c", func(st Status) bool { return strings.Contains(st.Reason, "1 of 2") && st.Phase == PhaseVerifying })
	if err := s.nodes["a"].Set("k", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("a write before there is a set: %v", err)
	}
	s.start("c")
	s.waitVoters("a", "b", "c")
	s.write("a", "k")
	for _, id := range []string{"a", "b", "c"} {
		s.waitValues(id, "k")
		if st := s.nodes[id].Status(); st.Directory.JoinIndex != 0 || len(s.quarantined(id)) > 0 {
			t.Errorf("%s joined anew: %+v", id, st)
		}
	}
	st, err := QueryStatus(t.Context(), s.peers["b"])
	if err != nil || st.ID != "b" || len(st.Members) != 3 || !st.Members[0].Alive {
		t.Errorf("%+v %v", st, err)
	}
	s.stop("b")
	s.start("b") // a plain restart
	s.waitVoters("b")
	if got := s.quarantined("b"); len(got) > 0 {
		t.Errorf("set aside after a plain restart: %q", got)
	}
}

// A folder that forgot something, whatever it is, has no vote until its copy has all of it again; what it held is kept.
func TestReplicaWithLostStateRejoins(t *testing.T) {
	for name, loseState := range map[string]func(t *testing.T, s *testCluster, outdated string){
		"older":   func(_ *testing.T, s *testCluster, outdated string) { s.replaceDirectory("c", outdated) },
		"emptied": func(_ *testing.T, s *testCluster, _ string) { s.replaceDirectory("c", t.TempDir()) },
		"another's": func(_ *testing.T, s *testCluster, _ string) {
			s.stop("b")
			s.replaceDirectory("c", s.dirs["b"])
			s.start("b")
		},
		"spoilt": func(t *testing.T, s *testCluster, _ string) {
			path := filepath.Join(s.dirs["c"], disk.FileName)
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
		"cut short": func(t *testing.T, s *testCluster, _ string) {
			if err := os.Truncate(filepath.Join(s.dirs["c"], disk.FileName), 9000); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, "a", "b", "c")
			s.start("a", "b", "c")
			s.waitVoters("a", "b", "c")
			s.write("a", "before")
			s.waitValues("c", "before")
			outdated := filepath.Join(t.TempDir(), "old")
			s.stop("c")
			s.copyDirectory("c", outdated)
			s.start("c")
			s.waitVoters("c")
			var keys []string
			for i := range 5 {
				keys = append(keys, fmt.Sprint("after-", i))
				s.write("a", keys[i])
			}
			s.waitValues("c", keys...)
			s.stop("c")
			loseState(t, s, outdated)
			s.start("c")
			st := s.waitStatus("c", "want it back with its vote", func(st Status) bool { return isVoter(st) && st.Directory.JoinIndex > 0 })
			if st.Directory.OpenCount != 1 || len(s.quarantined("c")) == 0 {
				t.Errorf("%+v, set aside %q", st, s.quarantined("c"))
			}
			s.waitValues("c", append(keys, "before")...)
			s.stop("a") // c is needed for a majority now, and has its vote
			s.write("c", "with c")
			s.waitValues("b", "with c")
			s.stop("c")
			s.start("c") // a plain restart of a copy that once joined anew
			s.waitVoters("c")
			s.write("c", "again")
		})
	}
}

// All restart at once, one of them with an older folder: what was agreed on without it is not undone.
func TestRestartWithOutdatedDirectoryKeepsCommittedWrites(t *testing.T) {
	s := newTestCluster(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.waitVoters("a", "b", "c")
	s.stop("c")
	outdated := filepath.Join(t.TempDir(), "old")
	s.copyDirectory("c", outdated)
	s.start("c")
	s.waitVoters("c")
	s.write("a", "k")
	s.waitValues("c", "k")
	s.stop("a", "b", "c")
	s.replaceDirectory("c", outdated)
	s.start("c", "a") // b stays away: a and c are a majority, and c lacks what it had
	s.waitStatus("c", "want it to ask", func(st Status) bool {
		return st.Phase == PhaseRejoining && strings.Contains(st.Reason, "a: the folder of c")
	})
	if st := s.nodes["c"].Status(); st.Voter {
		t.Errorf("%+v", st)
	}
	s.start("b")
	s.waitStatus("c", "want it back", func(st Status) bool { return isVoter(st) && st.Directory.JoinIndex > 0 })
	s.waitValues("c", "k")
}

// Two of three copies are gone for good. Operators begin the set anew with the third; what comes back of the others, newer or
// older, has to join anew.
func TestRecoverClusterAfterLostMajority(t *testing.T) {
	s := newTestCluster(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.waitVoters("a", "b", "c")
	s.write("a", "k")
	for _, id := range []string{"a", "b", "c"} {
		s.waitValues(id, "k")
	}
	s.stop("a")
	s.write("b", "only b and c")
	s.waitValues("c", "only b and c")
	s.stop("b", "c")
	o := Options{ID: "a", Dir: s.dirs["a"], Peers: maps.Clone(s.peers)}
	r, err := RecoverCluster(o)
	if err != nil || r.Directory.ClusterGeneration != 1 {
		t.Fatalf("%+v %v", r, err)
	}
	s.start("a")
	s.waitVoters("a") // alone
	s.write("a", "anew")
	s.start("b", "c") // they hold more, and are a majority of what was
	for _, id := range []string{"b", "c"} {
		s.waitStatus(id, "want it joined anew", func(st Status) bool {
			return isVoter(st) && st.Directory.JoinIndex > 0 && st.Directory.ClusterGeneration == 1
		})
		s.waitValues(id, "k", "anew")
		if _, there := s.nodes[id].Get("only b and c"); there {
			t.Errorf("%s has what was given up", id)
		}
	}
	s.stop("b")
	s.stop("a")
	s.start("b") // a plain set again, in which one alone can do nothing
	s.waitVoters("b")
	s.stop("c")
	if err := s.nodes["b"].Set("x", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("one of three: %v", err)
	}
	s.start("a")
	s.waitVoters("a")
	s.write("a", "y")
	s.waitValues("b", "y")
	s.stop("a", "b")
	for want, o := range map[string]Options{
		"not among":       {ID: "z", Dir: s.dirs["a"], Peers: s.peers},
		"no such file":    {ID: "a", Dir: t.TempDir(), Peers: s.peers},
		"open in another": {ID: "c", Dir: s.dirs["c"], Peers: s.peers},
	} {
		if want == "open in another" {
			s.start("c")
		}
		if _, err := RecoverCluster(o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// A backup is one point; it begins a new set, whose nodes have nothing to do with those of the old one, also where an old folder
// comes to one of them.
func TestRestoredBackupFormsSeparateCluster(t *testing.T) {
	s := newTestCluster(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.waitVoters("a", "b", "c")
	s.write("a", "before")
	path := filepath.Join(t.TempDir(), "backup")
	h, err := SaveBackup(t.Context(), s.peers, path)
	if err != nil {
		t.Fatal(err)
	}
	s.write("a", "after")
	if _, err := SaveBackup(t.Context(), s.peers, path); err == nil || !strings.Contains(err.Error(), "there already") {
		t.Errorf("written over: %v", err)
	}
	restored := newTestCluster(t, "a", "b", "c")
	backup, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	corrupt := bytes.Clone(backup)
	corrupt[len(corrupt)-9] ^= 1
	wrongDigest := bytes.Replace(backup, []byte(h.SHA256[:8]), []byte("00000000"), 1)
	for name, b := range map[string][]byte{"empty": nil, "cut short": backup[:len(backup)-5], "a spoilt bit": corrupt, "another's digest": wrongDigest,
		"another kind": []byte("{}\n"), "an unknown key": bytes.Replace(backup, []byte(`"format"`), []byte(`"formal"`), 1),
		"a later format": bytes.Replace(backup, []byte(`"format":1`), []byte(`"format":2`), 1), "no line": bytes.Repeat([]byte("x"), 1<<16)} {
		o := Options{ID: "a", Dir: filepath.Join(t.TempDir(), "new"), Peers: restored.peers}
		if _, err := RestoreBackup(o, bytes.NewReader(b)); !errors.Is(err, ErrInvalidBackup) {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := os.Stat(o.Dir); err == nil {
			t.Errorf("%s: a folder was made", name)
		}
	}
	o := Options{ID: "a", Dir: restored.dirs["a"], Peers: restored.peers}
	if _, err := RestoreBackup(o, bytes.NewReader(backup)); err != nil {
		t.Fatal(err)
	}
	if _, err := RestoreBackup(o, bytes.NewReader(backup)); err == nil || !strings.Contains(err.Error(), "holds a copy already") {
		t.Errorf("restored over a copy: %v", err)
	}
	s.stop("c")
	restored.replaceDirectory("c", s.dirs["c"]) // of the old set
	restored.start("a", "b", "c")
	restored.waitVoters("a", "b")
	restored.waitValues("b", "before")
	if _, there := restored.nodes["b"].Get("after"); there {
		t.Error("more than the backup held")
	}
	st := restored.waitStatus("c", "want it kept out", func(st Status) bool { return strings.Contains(st.Reason, "belongs to set "+h.ClusterName) })
	if st.Phase != PhaseVerifying || len(restored.quarantined("c")) > 0 {
		t.Errorf("%+v", st)
	}
	if a, b := restored.nodes["a"].Status().Directory.ClusterName, restored.nodes["b"].Status().Directory.ClusterName; a != b || a == h.ClusterName {
		t.Errorf("sets %q, %q; the old one is %q", a, b, h.ClusterName)
	}
	restored.write("b", "anew")
	restored.waitValues("a", "anew")
}

// A bit of what a copy holds in memory is spoilt, of a follower and of the leader: the copies find which one differs, and it is
// built anew.
func TestDivergedReplicaIsRebuilt(t *testing.T) {
	s := newTestCluster(t, "a", "b", "c")
	s.compareIntervalMS = 1
	s.start("a", "b", "c")
	s.waitVoters("a", "b", "c")
	for i := range 40 {
		for {
			fresh, err := s.nodes["a"].Begin(fmt.Sprint("e", i))
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
		s.waitValues(id, "k")
	}
	for round, leads := range []bool{false, true} {
		target := ""
		for id, n := range s.nodes {
			if n.Status().IsLeader == leads {
				target = id
			}
		}
		if target == "" {
			t.Fatal("nobody leads")
		}
		before := s.nodes[target].Status().Directory.JoinIndex
		if s.nodes[target].CorruptMemory(uint64(round+3)) == "" {
			t.Fatal("nothing was spoilt")
		}
		s.waitStatus(target, "want it joined anew", func(st Status) bool { return isVoter(st) && st.Directory.JoinIndex > before })
		s.waitValues(target, "k")
		s.waitVoters("a", "b", "c")
	}
	for id, n := range s.nodes {
		if fresh, err := n.Begin("e7"); fresh || err != nil {
			t.Errorf("%s: an effect begins twice: %v %v", id, fresh, err)
		}
		if n.Status().Halted {
			t.Errorf("%s is halted", id)
		}
	}
}

// Three copies with three states: nobody can tell which is right, so no effect begins any more; all else goes on.
func TestNoEffectBeginsWithoutMajorityState(t *testing.T) {
	s := newTestCluster(t, "a", "b", "c")
	s.compareIntervalMS = 1
	s.start("a", "b", "c")
	s.waitVoters("a", "b", "c")
	s.write("a", "k")
	leader := s.nodes[s.nodes["a"].Status().Leader]
	if _, err := leader.Begin("e"); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b", "c"} {
		s.waitValues(id, "k")
	}
	for _, n := range s.nodes { // held, so that no two compare in between
		n.fsm.mu.Lock()
	}
	for i, id := range []string{"a", "b", "c"} {
		s.nodes[id].fsm.state.Values["k"] = []byte{byte(i)}
	}
	for _, n := range s.nodes {
		n.fsm.mu.Unlock()
	}
	s.waitStatus(leader.o.ID, "want it halted", func(st Status) bool { return st.Halted })
	if _, err := leader.Begin("f"); !errors.Is(err, ErrReplicasDiverged) {
		t.Errorf("an effect begins: %v", err)
	}
	if err := leader.Set("other", []byte("v")); err != nil {
		t.Errorf("all else stops: %v", err)
	}
}

// A disk that fails stops its copy and no more; what was acknowledged is with the others.
func TestFullDiskStopsOnlyItsReplica(t *testing.T) {
	s := newTestCluster(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.waitVoters("a", "b", "c")
	s.write("a", "k")
	leader := s.nodes["a"].Status().Leader
	s.nodes[leader].diskFailed(errors.New("no space left on device"))
	st := s.waitStatus(leader, "want it stopped", func(st Status) bool { return st.Phase == PhaseStopped })
	if !strings.Contains(st.Reason, "no space left") {
		t.Errorf("%+v", st)
	}
	for id := range s.peers {
		if id != leader {
			s.write(id, "after "+id)
			s.waitValues(id, "k")
		}
	}
	if err := s.nodes[leader].Set("x", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("a write at the copy that stopped: %v", err)
	}
}

// A second process under an id that is alive waits, whatever folder it has, and gets neither vote nor folder.
func TestDuplicateProcessWaits(t *testing.T) {
	s := newTestCluster(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.waitVoters("a", "b", "c")
	s.write("a", "k")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers := maps.Clone(s.peers)
	peers["c"] = ln.Addr().String()
	duplicate, err := Open(Options{ID: "c", Listener: ln, Dir: t.TempDir(), Peers: peers})
	if err != nil {
		t.Fatal(err)
	}
	defer duplicate.Close()
	s.nodes["twin"] = duplicate
	s.waitStatus("twin", "want it to be told", func(st Status) bool {
		return strings.Contains(st.Reason, "of c is alive") && st.Phase == PhaseVerifying
	})
	delete(s.nodes, "twin")
	s.stop("c")
	s.nodes["twin"] = duplicate
	s.waitStatus("twin", "want it to be told of the other address", func(st Status) bool { return strings.Contains(st.Reason, "c is at") })
	delete(s.nodes, "twin")
	s.start("c")
	s.waitVoters("c")
}

// A copy without a vote gives none and asks for none.
func TestVoteFilterBlocksVotingRPCs(t *testing.T) {
	node := func(clusterName string, voter bool) (*voteFilter, *raftLayer) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := newMultiplexer(ln, nil, nil)
		n := l.openRaftLayer(clusterName)
		go l.run()
		g := newVoteFilter(raft.NewNetworkTransport(n, 1, testTimeout, io.Discard), func() bool { return voter })
		t.Cleanup(func() { g.Close(); l.Close() })
		return g, n
	}
	voter, _ := node("set", true)
	otherCluster, _ := node("another set", true)
	learner, raftLayer := node("set", false)
	at := raft.ServerAddress(raftLayer.Addr().String())
	if err := voter.RequestVote("l", at, &raft.RequestVoteRequest{Term: 1}, &raft.RequestVoteResponse{}); err == nil || !strings.Contains(err.Error(), errNotVoter.Error()) {
		t.Errorf("a vote was asked for: %v", err)
	}
	if err := voter.RequestPreVote("l", at, &raft.RequestPreVoteRequest{Term: 1}, &raft.RequestPreVoteResponse{}); err == nil || !strings.Contains(err.Error(), errNotVoter.Error()) {
		t.Errorf("it was asked whether there would be one: %v", err)
	}
	if err := learner.RequestVote("v", at, &raft.RequestVoteRequest{Term: 1}, &raft.RequestVoteResponse{}); !errors.Is(err, errNotVoter) {
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
	if err := otherCluster.AppendEntries("l", at, &raft.AppendEntriesRequest{Term: 9}, &got); err == nil {
		t.Error("entries of another set get through")
	}
}

// What no copy of ours would say ends its own connection and is not remembered.
func TestMalformedClaimsAreRejected(t *testing.T) {
	s := newTestCluster(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.waitVoters("a", "b", "c")
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
		conn.SetDeadline(time.Now().Add(testTimeout))
		purpose := byte(purposeClaims)
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
	n := s.nodes["a"]
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.verifier.Directories) != 2 || n.verifier.Directories["b"].DirectoryID == "f" || n.verifier.Directories["c"].DirectoryID == "f" {
		t.Errorf("%+v", n.verifier.Directories)
	}
}

// Who connects to a node and stalls, before it says what for or in the middle of that, is cut off.
func TestStalledConnectionsAreClosed(t *testing.T) {
	s := newTestCluster(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.waitVoters("a", "b", "c")
	for name, b := range map[string][]byte{"says nothing": nil, "raft's, in its set's name": {purposeRaft, 16, 'x'}, "a claim's, in its length": {purposeClaims, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", s.peers["a"])
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			conn.Write(b)
			if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection stands")
			}
		})
	}
}

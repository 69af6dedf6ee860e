package store

import (
	"bytes"
	"context"
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

// testCluster is a cluster of replicas on free ports.
type testCluster struct {
	t        *testing.T
	peers    map[string]string
	dirs     map[string]string
	replicas map[string]*Store

	compareIntervalMS float64
}

var testClusters atomic.Int32

func newTestCluster(t *testing.T, ids ...string) *testCluster {
	c := &testCluster{t: t, peers: map[string]string{}, dirs: map[string]string{}, replicas: map[string]*Store{}}
	// Each cluster has a loopback address of its own: a port that a stopped replica releases must not be taken by another connection.
	host := fmt.Sprintf("127.%d.%d.%d", 32+os.Getpid()%64, os.Getpid()/64%250+1, testClusters.Add(1))
	var listeners []net.Listener
	for _, id := range ids {
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, ln)
		c.peers[id], c.dirs[id] = ln.Addr().String(), t.TempDir()
	}
	for _, ln := range listeners {
		ln.Close()
	}
	t.Cleanup(func() {
		for _, n := range c.replicas {
			n.Close()
		}
	})
	return c
}

func (c *testCluster) start(ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		n, err := Open(Options{ID: id, Listen: c.peers[id], Dir: c.dirs[id], Peers: maps.Clone(c.peers), CompareIntervalMS: c.compareIntervalMS})
		if err != nil {
			c.t.Fatal(err)
		}
		c.replicas[id] = n
	}
}

func (c *testCluster) stop(ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		if err := c.replicas[id].Close(); err != nil {
			c.t.Fatal(err)
		}
		delete(c.replicas, id)
	}
}

// waitStatus waits until a replica's status satisfies want.
func (c *testCluster) waitStatus(id, what string, want func(Status) bool) Status {
	c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for {
		st := c.replicas[id].Status()
		if want(st) {
			return st
		}
		if time.Now().After(deadline) {
			for other, n := range c.replicas {
				c.t.Logf("%s: %+v", other, n.Status())
			}
			c.t.Fatalf("%s: %+v; %s", id, st, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func isVoter(st Status) bool { return st.Phase == PhaseRunning && st.Voter && st.Leader != "" }

// waitVoters waits until all of these replicas are voters.
func (c *testCluster) waitVoters(ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		c.waitStatus(id, "want it to be a voter", isVoter)
	}
}

func (c *testCluster) write(id, key string) {
	c.t.Helper()
	setValue(c.t, c.replicas[id], key, "v")
}

// waitValues waits until a replica has all of these keys.
func (c *testCluster) waitValues(id string, keys ...string) {
	c.t.Helper()
	for _, k := range keys {
		waitValue(c.t, c.replicas[id], k, "v")
	}
}

// copyDirectory copies a replica's data directory.
func (c *testCluster) copyDirectory(id, to string) {
	c.t.Helper()
	if err := os.CopyFS(to, os.DirFS(c.dirs[id])); err != nil {
		c.t.Fatal(err)
	}
}

// replaceDirectory replaces a replica's data directory by a copy of another.
func (c *testCluster) replaceDirectory(id, from string) {
	c.t.Helper()
	if err := os.RemoveAll(c.dirs[id]); err != nil {
		c.t.Fatal(err)
	}
	if err := os.CopyFS(c.dirs[id], os.DirFS(from)); err != nil {
		c.t.Fatal(err)
	}
}

// quarantined lists a replica's quarantine directories.
func (c *testCluster) quarantined(id string) []string {
	got, _ := filepath.Glob(filepath.Join(c.dirs[id], "aside-*"))
	return got
}

func TestClusterBootstrapsOnceAllPeersRespond(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("a", "b")
	cluster.waitStatus("a", "want it to wait for c", func(st Status) bool { return strings.Contains(st.Reason, "1 of 2") && st.Phase == PhaseVerifying })
	if err := cluster.replicas["a"].Set("k", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("write before the cluster is bootstrapped: %v", err)
	}
	cluster.start("c")
	cluster.waitVoters("a", "b", "c")
	cluster.write("a", "k")
	for _, id := range []string{"a", "b", "c"} {
		cluster.waitValues(id, "k")
		if st := cluster.replicas[id].Status(); st.Directory.JoinIndex != 0 || len(cluster.quarantined(id)) > 0 {
			t.Errorf("%s rejoined: %+v", id, st)
		}
	}
	st, err := QueryStatus(t.Context(), cluster.peers["b"])
	if err != nil || st.ID != "b" || len(st.Members) != 3 || !st.Members[0].Alive {
		t.Errorf("%+v %v", st, err)
	}
	cluster.stop("b")
	cluster.start("b") // an ordinary restart
	cluster.waitVoters("b")
	if got := cluster.quarantined("b"); len(got) > 0 {
		t.Errorf("quarantined after an ordinary restart: %q", got)
	}
}

// A replica whose data directory has lost state in any way must not vote until it has caught up again, and its old directory must
// be quarantined.
func TestReplicaWithLostStateRejoins(t *testing.T) {
	for name, loseState := range map[string]func(t *testing.T, cluster *testCluster, outdated string){
		"older":   func(_ *testing.T, cluster *testCluster, outdated string) { cluster.replaceDirectory("c", outdated) },
		"emptied": func(_ *testing.T, cluster *testCluster, _ string) { cluster.replaceDirectory("c", t.TempDir()) },
		"of another replica": func(_ *testing.T, cluster *testCluster, _ string) {
			cluster.stop("b")
			cluster.replaceDirectory("c", cluster.dirs["b"])
			cluster.start("b")
		},
		"corrupt": func(t *testing.T, cluster *testCluster, _ string) {
			path := filepath.Join(cluster.dirs["c"], disk.FileName)
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			// The data of an entry, and its remains in unused pages.
			b = bytes.ReplaceAll(b, []byte("after-3"), []byte("after-7"))
			if err := os.WriteFile(path, b, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"truncated": func(t *testing.T, cluster *testCluster, _ string) {
			if err := os.Truncate(filepath.Join(cluster.dirs["c"], disk.FileName), 9000); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t, "a", "b", "c")
			cluster.start("a", "b", "c")
			cluster.waitVoters("a", "b", "c")
			cluster.write("a", "before")
			cluster.waitValues("c", "before")
			outdated := filepath.Join(t.TempDir(), "old")
			cluster.stop("c")
			cluster.copyDirectory("c", outdated)
			cluster.start("c")
			cluster.waitVoters("c")
			var keys []string
			for i := range 5 {
				keys = append(keys, fmt.Sprint("after-", i))
				cluster.write("a", keys[i])
			}
			cluster.waitValues("c", keys...)
			cluster.stop("c")
			loseState(t, cluster, outdated)
			cluster.start("c")
			st := cluster.waitStatus("c", "want it to be a voter again", func(st Status) bool { return isVoter(st) && st.Directory.JoinIndex > 0 })
			if st.Directory.OpenCount != 1 || len(cluster.quarantined("c")) == 0 {
				t.Errorf("%+v, quarantined %q", st, cluster.quarantined("c"))
			}
			cluster.waitValues("c", append(keys, "before")...)
			cluster.stop("a") // c is needed for a majority now, and is a voter
			cluster.write("c", "with c")
			cluster.waitValues("b", "with c")
			cluster.stop("c")
			cluster.start("c") // an ordinary restart of a replica that has rejoined once
			cluster.waitVoters("c")
			cluster.write("c", "again")
		})
	}
}

// All replicas restart at once, one of them with an outdated directory: committed writes that it lacks must not be lost.
func TestRestartWithOutdatedDirectoryKeepsCommittedWrites(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("a", "b", "c")
	cluster.waitVoters("a", "b", "c")
	cluster.stop("c")
	outdated := filepath.Join(t.TempDir(), "old")
	cluster.copyDirectory("c", outdated)
	cluster.start("c")
	cluster.waitVoters("c")
	cluster.write("a", "k")
	cluster.waitValues("c", "k")
	cluster.stop("a", "b", "c")
	cluster.replaceDirectory("c", outdated)
	cluster.start("c", "a") // without b: a and c are a majority, but c has lost a committed write
	cluster.waitStatus("c", "want it to request to rejoin", func(st Status) bool {
		return st.Phase == PhaseRejoining && strings.Contains(st.Reason, "a: the data directory of c")
	})
	if st := cluster.replicas["c"].Status(); st.Voter {
		t.Errorf("%+v", st)
	}
	cluster.start("b")
	cluster.waitStatus("c", "want it to be a voter again after rejoining", func(st Status) bool { return isVoter(st) && st.Directory.JoinIndex > 0 })
	cluster.waitValues("c", "k")
}

// Two of three replicas are permanently lost and operators recover the cluster from the third. When the others return, they have
// to rejoin, whether their logs are longer or not.
func TestRecoverClusterAfterLostMajority(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("a", "b", "c")
	cluster.waitVoters("a", "b", "c")
	cluster.write("a", "k")
	for _, id := range []string{"a", "b", "c"} {
		cluster.waitValues(id, "k")
	}
	cluster.stop("a")
	cluster.write("b", "only b and c")
	cluster.waitValues("c", "only b and c")
	cluster.stop("b", "c")
	o := Options{ID: "a", Dir: cluster.dirs["a"], Peers: maps.Clone(cluster.peers)}
	r, err := RecoverCluster(o)
	if err != nil || r.Directory.ClusterGeneration != 1 {
		t.Fatalf("%+v %v", r, err)
	}
	cluster.start("a")
	cluster.waitVoters("a") // the only voter
	cluster.write("a", "anew")
	cluster.start("b", "c") // they have more entries, and were a majority of the old cluster
	for _, id := range []string{"b", "c"} {
		cluster.waitStatus(id, "want it to be a voter again after rejoining", func(st Status) bool {
			return isVoter(st) && st.Directory.JoinIndex > 0 && st.Directory.ClusterGeneration == 1
		})
		cluster.waitValues(id, "k", "anew")
		if _, there := cluster.replicas[id].Get("only b and c"); there {
			t.Errorf("%s has an entry that the recovery discarded", id)
		}
	}
	cluster.stop("b")
	cluster.stop("a")
	cluster.start("b") // an ordinary cluster again, in which a single replica has no quorum
	cluster.waitVoters("b")
	cluster.stop("c")
	if err := cluster.replicas["b"].Set("x", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("write on one of three: %v", err)
	}
	cluster.start("a")
	cluster.waitVoters("a")
	cluster.write("a", "y")
	cluster.waitValues("b", "y")
	cluster.stop("a", "b")
	for want, o := range map[string]Options{
		"not among":       {ID: "z", Dir: cluster.dirs["a"], Peers: cluster.peers},
		"no such file":    {ID: "a", Dir: t.TempDir(), Peers: cluster.peers},
		"open in another": {ID: "c", Dir: cluster.dirs["c"], Peers: cluster.peers},
	} {
		if want == "open in another" {
			cluster.start("c")
		}
		if _, err := RecoverCluster(o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// A backup holds the state at one log index. A cluster restored from it is separate from the old one: a replica with a directory of
// the old cluster must not join it.
func TestRestoredBackupFormsSeparateCluster(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("a", "b", "c")
	cluster.waitVoters("a", "b", "c")
	cluster.write("a", "before")
	path := filepath.Join(t.TempDir(), "backup")
	h, err := SaveBackup(t.Context(), cluster.peers, path)
	if err != nil {
		t.Fatal(err)
	}
	cluster.write("a", "after")
	if _, err := SaveBackup(t.Context(), cluster.peers, path); err == nil || !strings.Contains(err.Error(), "exists already") {
		t.Errorf("existing backup overwritten: %v", err)
	}
	restored := newTestCluster(t, "a", "b", "c")
	backup, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	corrupt := bytes.Clone(backup)
	corrupt[len(corrupt)-9] ^= 1
	wrongDigest := bytes.Replace(backup, []byte(h.SHA256[:8]), []byte("00000000"), 1)
	for name, b := range map[string][]byte{"empty": nil, "truncated": backup[:len(backup)-5], "flipped bit": corrupt, "wrong digest": wrongDigest,
		"wrong kind": []byte("{}\n"), "unknown header key": bytes.Replace(backup, []byte(`"format"`), []byte(`"formal"`), 1),
		"later format": bytes.Replace(backup, []byte(`"format":1`), []byte(`"format":2`), 1), "no end of the header": bytes.Repeat([]byte("x"), 1<<16)} {
		o := Options{ID: "a", Dir: filepath.Join(t.TempDir(), "new"), Peers: restored.peers}
		if _, err := RestoreBackup(o, bytes.NewReader(b)); !errors.Is(err, ErrInvalidBackup) {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := os.Stat(o.Dir); err == nil {
			t.Errorf("%s: a directory was created", name)
		}
	}
	o := Options{ID: "a", Dir: restored.dirs["a"], Peers: restored.peers}
	if _, err := RestoreBackup(o, bytes.NewReader(backup)); err != nil {
		t.Fatal(err)
	}
	if _, err := RestoreBackup(o, bytes.NewReader(backup)); err == nil || !strings.Contains(err.Error(), "holds a replica already") {
		t.Errorf("restored over an existing replica: %v", err)
	}
	cluster.stop("c")
	restored.replaceDirectory("c", cluster.dirs["c"]) // of the old cluster
	restored.start("a", "b", "c")
	restored.waitVoters("a", "b")
	restored.waitValues("b", "before")
	if _, there := restored.replicas["b"].Get("after"); there {
		t.Error("the restored cluster has a write made after the backup")
	}
	st := restored.waitStatus("c", "want it to be rejected", func(st Status) bool { return strings.Contains(st.Reason, "belongs to cluster "+h.ClusterName) })
	if st.Phase != PhaseVerifying || len(restored.quarantined("c")) > 0 {
		t.Errorf("%+v", st)
	}
	if a, b := restored.replicas["a"].Status().Directory.ClusterName, restored.replicas["b"].Status().Directory.ClusterName; a != b || a == h.ClusterName {
		t.Errorf("clusters %q, %q; the old one is %q", a, b, h.ClusterName)
	}
	restored.write("b", "anew")
	restored.waitValues("a", "anew")
}

// A bit flips in the memory of a replica, once of a follower and once of the leader. The comparison of digests must identify that
// replica, and it is rebuilt from the others.
func TestDivergedReplicaIsRebuilt(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.compareIntervalMS = 1
	cluster.start("a", "b", "c")
	cluster.waitVoters("a", "b", "c")
	for i := range 40 {
		for {
			fresh, err := cluster.replicas["a"].Begin(context.Background(), fmt.Sprint("e", i))
			if err == nil && !fresh {
				t.Fatal("the effect is already begun")
			}
			if err == nil {
				break
			}
			if !errors.Is(err, ErrNoQuorum) {
				t.Fatal(err)
			}
		}
	}
	cluster.write("a", "k")
	for _, id := range []string{"a", "b", "c"} {
		cluster.waitValues(id, "k")
	}
	for round, leads := range []bool{false, true} {
		target := ""
		for id, n := range cluster.replicas {
			if n.Status().IsLeader == leads {
				target = id
			}
		}
		if target == "" {
			t.Fatal("no replica with the wanted role")
		}
		before := cluster.replicas[target].Status().Directory.JoinIndex
		if cluster.replicas[target].CorruptMemory(uint64(round+3)) == "" {
			t.Fatal("no effect to corrupt")
		}
		cluster.waitStatus(target, "want it to be a voter again after rejoining", func(st Status) bool { return isVoter(st) && st.Directory.JoinIndex > before })
		cluster.waitValues(target, "k")
		cluster.waitVoters("a", "b", "c")
	}
	for id, n := range cluster.replicas {
		if fresh, err := n.Begin(context.Background(), "e7"); fresh || err != nil {
			t.Errorf("%s: effect begun twice: %v %v", id, fresh, err)
		}
		if n.Status().Halted {
			t.Errorf("%s has halted effects", id)
		}
	}
}

// Three replicas have three different states, so the correct one can't be determined: no effect may begin, other writes continue.
func TestNoEffectBeginsWithoutMajorityState(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.compareIntervalMS = 1
	cluster.start("a", "b", "c")
	cluster.waitVoters("a", "b", "c")
	cluster.write("a", "k")
	leader := cluster.replicas[cluster.replicas["a"].Status().Leader]
	if _, err := leader.Begin(context.Background(), "e"); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b", "c"} {
		cluster.waitValues(id, "k")
	}
	for _, n := range cluster.replicas { // locked, so that no digest is computed until all states differ
		n.fsm.mu.Lock()
	}
	for i, id := range []string{"a", "b", "c"} {
		cluster.replicas[id].fsm.state.Values["k"] = []byte{byte(i)}
	}
	for _, n := range cluster.replicas {
		n.fsm.mu.Unlock()
	}
	cluster.waitStatus(leader.o.ID, "want it to halt effects", func(st Status) bool { return st.Halted })
	if _, err := leader.Begin(context.Background(), "f"); !errors.Is(err, ErrReplicasDiverged) {
		t.Errorf("effect begun without a majority state: %v", err)
	}
	if err := leader.Set("other", []byte("v")); err != nil {
		t.Errorf("other write refused: %v", err)
	}
}

// A failed disk must stop only its own replica; acknowledged writes are kept by the others.
func TestFullDiskStopsOnlyItsReplica(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("a", "b", "c")
	cluster.waitVoters("a", "b", "c")
	cluster.write("a", "k")
	leader := cluster.replicas["a"].Status().Leader
	cluster.replicas[leader].diskFailed(errors.New("no space left on device"))
	st := cluster.waitStatus(leader, "want it to stop", func(st Status) bool { return st.Phase == PhaseStopped })
	if !strings.Contains(st.Reason, "no space left") {
		t.Errorf("%+v", st)
	}
	for id := range cluster.peers {
		if id != leader {
			cluster.write(id, "after "+id)
			cluster.waitValues(id, "k")
		}
	}
	if err := cluster.replicas[leader].Set("x", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("write on the stopped replica: %v", err)
	}
}

// A second process with the id of a live replica must wait, whatever its directory, and must not participate.
func TestDuplicateProcessWaits(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("a", "b", "c")
	cluster.waitVoters("a", "b", "c")
	cluster.write("a", "k")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers := maps.Clone(cluster.peers)
	peers["c"] = ln.Addr().String()
	duplicate, err := Open(Options{ID: "c", Listener: ln, Dir: t.TempDir(), Peers: peers})
	if err != nil {
		t.Fatal(err)
	}
	defer duplicate.Close()
	cluster.replicas["duplicate"] = duplicate
	cluster.waitStatus("duplicate", "want it to be rejected as a duplicate", func(st Status) bool {
		return strings.Contains(st.Reason, "of replica c is alive") && st.Phase == PhaseVerifying
	})
	delete(cluster.replicas, "duplicate")
	cluster.stop("c")
	cluster.replicas["duplicate"] = duplicate
	cluster.waitStatus("duplicate", "want it to be rejected for its address", func(st Status) bool { return strings.Contains(st.Reason, "the address of c is") })
	delete(cluster.replicas, "duplicate")
	cluster.start("c")
	cluster.waitVoters("c")
}

// A non-voter must neither grant nor request votes, and entries of another cluster must not reach it.
func TestVoteFilterBlocksVotingRPCs(t *testing.T) {
	startTransport := func(clusterName string, voter bool) (*voteFilter, *raftLayer) {
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
	voter, _ := startTransport("cluster", true)
	otherCluster, _ := startTransport("another cluster", true)
	learner, raftLayer := startTransport("cluster", false)
	address := raft.ServerAddress(raftLayer.Addr().String())
	if err := voter.RequestVote("l", address, &raft.RequestVoteRequest{Term: 1}, &raft.RequestVoteResponse{}); err == nil || !strings.Contains(err.Error(), errNotVoter.Error()) {
		t.Errorf("vote request to a non-voter: %v", err)
	}
	if err := voter.RequestPreVote("l", address, &raft.RequestPreVoteRequest{Term: 1}, &raft.RequestPreVoteResponse{}); err == nil || !strings.Contains(err.Error(), errNotVoter.Error()) {
		t.Errorf("pre-vote request to a non-voter: %v", err)
	}
	if err := learner.RequestVote("v", address, &raft.RequestVoteRequest{Term: 1}, &raft.RequestVoteResponse{}); !errors.Is(err, errNotVoter) {
		t.Errorf("vote request of a non-voter: %v", err)
	}
	go func() {
		rpc := <-learner.Consumer()
		rpc.Respond(&raft.AppendEntriesResponse{Success: true, LastLog: 7}, nil)
	}()
	var got raft.AppendEntriesResponse
	if err := voter.AppendEntries("l", address, &raft.AppendEntriesRequest{Term: 1}, &got); err != nil || got.LastLog != 7 {
		t.Errorf("entries to a non-voter: %+v %v", got, err)
	}
	if err := otherCluster.AppendEntries("l", address, &raft.AppendEntriesRequest{Term: 9}, &got); err == nil {
		t.Error("entries of another cluster were accepted")
	}
}

// Claims that no replica of this cluster would send must close their connection and must not be recorded.
func TestMalformedClaimsAreRejected(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("a", "b", "c")
	cluster.waitVoters("a", "b", "c")
	message := func(text string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	for name, b := range map[string][]byte{
		"invalid JSON":              message("{"),
		"huge length":               {0xff, 0xff, 0xff, 0xff},
		"no id":                     message("{}"),
		"unknown id":                message(`{"id":"z","folder":"f","life":1}`),
		"id of the receiver":        message(`{"id":"a","folder":"f","life":1}`),
		"oversized directory id":    message(`{"id":"b","folder":"` + strings.Repeat("f", 100) + `"}`),
		"truncated message":         message(`{"id":"b"}`)[:7],
		"unknown purpose":           nil,
		"two ids on one connection": append(message(`{"id":"b","addr":"x","folder":"f","proc":"p"}`), message(`{"id":"c","addr":"x","folder":"f","proc":"p"}`)...),
	} {
		conn, err := net.Dial("tcp", cluster.peers["a"])
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
			t.Errorf("%s: the connection stays open", name)
		}
		conn.Close()
	}
	n := cluster.replicas["a"]
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.verifier.Directories) != 2 || n.verifier.Directories["b"].DirectoryID == "f" || n.verifier.Directories["c"].DirectoryID == "f" {
		t.Errorf("%+v", n.verifier.Directories)
	}
}

// Connections that stall before or while they state their purpose must be closed.
func TestStalledConnectionsAreClosed(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("a", "b", "c")
	cluster.waitVoters("a", "b", "c")
	for name, b := range map[string][]byte{"no purpose": nil, "raft, within the cluster name": {purposeRaft, 16, 'x'}, "claim, within its length": {purposeClaims, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", cluster.peers["a"])
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			conn.Write(b)
			if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection stays open")
			}
		})
	}
}

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

// site is a cluster of nodes on free ports.
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
	// Each cluster has a loopback address of its own: a port that a stopped node releases must not be taken by another connection.
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
		n, err := Open(Options{ID: id, Listen: s.peers[id], Dir: s.dirs[id], Peers: maps.Clone(s.peers), CompareIntervalMS: s.compare})
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

// is waits until a node's status satisfies want.
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

func votes(st Status) bool { return st.Phase == PhaseRunning && st.Voter && st.Leader != "" }

// all waits until all of these nodes are voters.
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

// has waits until a node has all of these keys.
func (s *site) has(id string, keys ...string) {
	s.t.Helper()
	for _, k := range keys {
		want(s.t, s.up[id], k, "v")
	}
}

// copy copies a node's data directory.
func (s *site) copy(id, to string) {
	s.t.Helper()
	if err := os.CopyFS(to, os.DirFS(s.dirs[id])); err != nil {
		s.t.Fatal(err)
	}
}

// put replaces a node's data directory by a copy of another.
func (s *site) put(id, from string) {
	s.t.Helper()
	if err := os.RemoveAll(s.dirs[id]); err != nil {
		s.t.Fatal(err)
	}
	if err := os.CopyFS(s.dirs[id], os.DirFS(from)); err != nil {
		s.t.Fatal(err)
	}
}

// aside lists a node's quarantine directories.
func (s *site) aside(id string) []string {
	got, _ := filepath.Glob(filepath.Join(s.dirs[id], "aside-*"))
	return got
}

func TestNewSetBeginsOnceAllAreThere(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b")
	s.is("a", "want it to wait for c", func(st Status) bool { return strings.Contains(st.Reason, "1 of 2") && st.Phase == PhaseVerifying })
	if err := s.up["a"].Set("k", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("write before the cluster is bootstrapped: %v", err)
	}
	s.start("c")
	s.all("a", "b", "c")
	s.write("a", "k")
	for _, id := range []string{"a", "b", "c"} {
		s.has(id, "k")
		if st := s.up[id].Status(); st.Directory.Joined != 0 || len(s.aside(id)) > 0 {
			t.Errorf("%s rejoined: %+v", id, st)
		}
	}
	st, err := QueryStatus(t.Context(), s.peers["b"])
	if err != nil || st.ID != "b" || len(st.Members) != 3 || !st.Members[0].Alive {
		t.Errorf("%+v %v", st, err)
	}
	s.stop("b")
	s.start("b") // an ordinary restart
	s.all("b")
	if got := s.aside("b"); len(got) > 0 {
		t.Errorf("quarantined after an ordinary restart: %q", got)
	}
}

// A replica whose data directory has lost state in any way must not vote until it has caught up again, and its old directory must
// be quarantined.
func TestCopyWithoutItsPastJoinsAnew(t *testing.T) {
	for name, spoil := range map[string]func(t *testing.T, s *site, old string){
		"older":   func(_ *testing.T, s *site, old string) { s.put("c", old) },
		"emptied": func(_ *testing.T, s *site, _ string) { s.put("c", t.TempDir()) },
		"of another replica": func(_ *testing.T, s *site, _ string) {
			s.stop("b")
			s.put("c", s.dirs["b"])
			s.start("b")
		},
		"corrupt": func(t *testing.T, s *site, _ string) {
			path := filepath.Join(s.dirs["c"], disk.File)
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
		"truncated": func(t *testing.T, s *site, _ string) {
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
			st := s.is("c", "want it to be a voter again", func(st Status) bool { return votes(st) && st.Directory.Joined > 0 })
			if st.Directory.Life != 1 || len(s.aside("c")) == 0 {
				t.Errorf("%+v, quarantined %q", st, s.aside("c"))
			}
			s.has("c", append(keys, "before")...)
			s.stop("a") // c is needed for a majority now, and is a voter
			s.write("c", "with c")
			s.has("b", "with c")
			s.stop("c")
			s.start("c") // an ordinary restart of a replica that has rejoined once
			s.all("c")
			s.write("c", "again")
		})
	}
}

// All replicas restart at once, one of them with an outdated directory: committed writes that it lacks must not be lost.
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
	s.start("c", "a") // without b: a and c are a majority, but c has lost a committed write
	s.is("c", "want it to request to rejoin", func(st Status) bool {
		return st.Phase == PhaseRejoining && strings.Contains(st.Reason, "a: the folder of c")
	})
	if st := s.up["c"].Status(); st.Voter {
		t.Errorf("%+v", st)
	}
	s.start("b")
	s.is("c", "want it to be a voter again after rejoining", func(st Status) bool { return votes(st) && st.Directory.Joined > 0 })
	s.has("c", "k")
}

// Two of three replicas are permanently lost and operators recover the cluster from the third. When the others return, they have
// to rejoin, whether their logs are longer or not.
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
	r, err := RecoverCluster(o)
	if err != nil || r.Directory.Set != 1 {
		t.Fatalf("%+v %v", r, err)
	}
	s.start("a")
	s.all("a") // alone
	s.write("a", "anew")
	s.start("b", "c") // they have more entries, and were a majority of the old cluster
	for _, id := range []string{"b", "c"} {
		s.is(id, "want it to be a voter again after rejoining", func(st Status) bool { return votes(st) && st.Directory.Joined > 0 && st.Directory.Set == 1 })
		s.has(id, "k", "anew")
		if _, there := s.up[id].Get("only b and c"); there {
			t.Errorf("%s has an entry that the recovery discarded", id)
		}
	}
	s.stop("b")
	s.stop("a")
	s.start("b") // an ordinary cluster again, in which a single replica has no quorum
	s.all("b")
	s.stop("c")
	if err := s.up["b"].Set("x", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("write on one of three: %v", err)
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
		if _, err := RecoverCluster(o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// A backup holds the state at one log index. A cluster restored from it is separate from the old one: a node with a directory of
// the old cluster must not join it.
func TestBackupBeginsASetOfItsOwn(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	s.write("a", "before")
	path := filepath.Join(t.TempDir(), "backup")
	h, err := SaveBackup(t.Context(), s.peers, path)
	if err != nil {
		t.Fatal(err)
	}
	s.write("a", "after")
	if _, err := SaveBackup(t.Context(), s.peers, path); err == nil || !strings.Contains(err.Error(), "exists already") {
		t.Errorf("existing backup overwritten: %v", err)
	}
	n := newSite(t, "a", "b", "c")
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	spoilt := bytes.Clone(whole)
	spoilt[len(spoilt)-9] ^= 1
	other := bytes.Replace(whole, []byte(h.SHA256[:8]), []byte("00000000"), 1)
	for name, b := range map[string][]byte{"empty": nil, "truncated": whole[:len(whole)-5], "flipped bit": spoilt, "wrong digest": other,
		"wrong kind": []byte("{}\n"), "unknown header key": bytes.Replace(whole, []byte(`"format"`), []byte(`"formal"`), 1),
		"later format": bytes.Replace(whole, []byte(`"format":1`), []byte(`"format":2`), 1), "no end of the header": bytes.Repeat([]byte("x"), 1<<16)} {
		o := Options{ID: "a", Dir: filepath.Join(t.TempDir(), "new"), Peers: n.peers}
		if _, err := RestoreBackup(o, bytes.NewReader(b)); !errors.Is(err, ErrInvalidBackup) {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := os.Stat(o.Dir); err == nil {
			t.Errorf("%s: a directory was created", name)
		}
	}
	o := Options{ID: "a", Dir: n.dirs["a"], Peers: n.peers}
	if _, err := RestoreBackup(o, bytes.NewReader(whole)); err != nil {
		t.Fatal(err)
	}
	if _, err := RestoreBackup(o, bytes.NewReader(whole)); err == nil || !strings.Contains(err.Error(), "holds a replica already") {
		t.Errorf("restored over an existing replica: %v", err)
	}
	s.stop("c")
	n.put("c", s.dirs["c"]) // of the old cluster
	n.start("a", "b", "c")
	n.all("a", "b")
	n.has("b", "before")
	if _, there := n.up["b"].Get("after"); there {
		t.Error("the restored cluster has a write made after the backup")
	}
	st := n.is("c", "want it to be rejected", func(st Status) bool { return strings.Contains(st.Reason, "belongs to set "+h.ClusterName) })
	if st.Phase != PhaseVerifying || len(n.aside("c")) > 0 {
		t.Errorf("%+v", st)
	}
	if a, b := n.up["a"].Status().Directory.Name, n.up["b"].Status().Directory.Name; a != b || a == h.ClusterName {
		t.Errorf("clusters %q, %q; the old one is %q", a, b, h.ClusterName)
	}
	n.write("b", "anew")
	n.has("a", "anew")
}

// A bit flips in the memory of a replica, once of a follower and once of the leader. The comparison of digests must identify that
// replica, and it is rebuilt from the others.
func TestCopyThatDiffersIsBuiltAnew(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.compare = 1
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	for i := range 40 {
		for {
			fresh, err := s.up["a"].Begin(fmt.Sprint("e", i))
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
	s.write("a", "k")
	for _, id := range []string{"a", "b", "c"} {
		s.has(id, "k")
	}
	for round, leads := range []bool{false, true} {
		odd := ""
		for id, n := range s.up {
			if n.Status().IsLeader == leads {
				odd = id
			}
		}
		if odd == "" {
			t.Fatal("no replica with the wanted role")
		}
		before := s.up[odd].Status().Directory.Joined
		if s.up[odd].CorruptMemory(uint64(round+3)) == "" {
			t.Fatal("no effect to corrupt")
		}
		s.is(odd, "want it to be a voter again after rejoining", func(st Status) bool { return votes(st) && st.Directory.Joined > before })
		s.has(odd, "k")
		s.all("a", "b", "c")
	}
	for id, n := range s.up {
		if fresh, err := n.Begin("e7"); fresh || err != nil {
			t.Errorf("%s: effect begun twice: %v %v", id, fresh, err)
		}
		if n.Status().Halted {
			t.Errorf("%s has halted effects", id)
		}
	}
}

// Three replicas have three different states, so the correct one can't be determined: no effect may begin, other writes continue.
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
	for _, n := range s.up { // locked, so that no digest is computed until all states differ
		n.machine.mu.Lock()
	}
	for i, id := range []string{"a", "b", "c"} {
		s.up[id].machine.state.Values["k"] = []byte{byte(i)}
	}
	for _, n := range s.up {
		n.machine.mu.Unlock()
	}
	s.is(lead.o.ID, "want it to halt effects", func(st Status) bool { return st.Halted })
	if _, err := lead.Begin("f"); !errors.Is(err, ErrDiffer) {
		t.Errorf("effect begun without a majority state: %v", err)
	}
	if err := lead.Set("other", []byte("v")); err != nil {
		t.Errorf("other write refused: %v", err)
	}
}

// A failed disk must stop only its own replica; acknowledged writes are kept by the others.
func TestFullDiskStopsItsCopyAlone(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	s.write("a", "k")
	leader := s.up["a"].Status().Leader
	s.up[leader].failed(errors.New("no space left on device"))
	st := s.is(leader, "want it to stop", func(st Status) bool { return st.Phase == PhaseStopped })
	if !strings.Contains(st.Reason, "no space left") {
		t.Errorf("%+v", st)
	}
	for id := range s.peers {
		if id != leader {
			s.write(id, "after "+id)
			s.has(id, "k")
		}
	}
	if err := s.up[leader].Set("x", nil); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("write on the stopped replica: %v", err)
	}
}

// A second process with the id of a live replica must wait, whatever its directory, and must not participate.
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
	s.is("twin", "want it to be rejected as a duplicate", func(st Status) bool {
		return strings.Contains(st.Reason, "of c is alive") && st.Phase == PhaseVerifying
	})
	delete(s.up, "twin")
	s.stop("c")
	s.up["twin"] = twin
	s.is("twin", "want it to be rejected for its address", func(st Status) bool { return strings.Contains(st.Reason, "c is at") })
	delete(s.up, "twin")
	s.start("c")
	s.all("c")
}

// A non-voter must neither grant nor request votes, and entries of another cluster must not reach it.
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
		t.Errorf("vote request to a non-voter: %v", err)
	}
	if err := voter.RequestPreVote("l", at, &raft.RequestPreVoteRequest{Term: 1}, &raft.RequestPreVoteResponse{}); err == nil || !strings.Contains(err.Error(), errNoVote.Error()) {
		t.Errorf("pre-vote request to a non-voter: %v", err)
	}
	if err := learner.RequestVote("v", at, &raft.RequestVoteRequest{Term: 1}, &raft.RequestVoteResponse{}); !errors.Is(err, errNoVote) {
		t.Errorf("vote request of a non-voter: %v", err)
	}
	go func() {
		rpc := <-learner.Consumer()
		rpc.Respond(&raft.AppendEntriesResponse{Success: true, LastLog: 7}, nil)
	}()
	var got raft.AppendEntriesResponse
	if err := voter.AppendEntries("l", at, &raft.AppendEntriesRequest{Term: 1}, &got); err != nil || got.LastLog != 7 {
		t.Errorf("entries to a non-voter: %+v %v", got, err)
	}
	if err := stranger.AppendEntries("l", at, &raft.AppendEntriesRequest{Term: 9}, &got); err == nil {
		t.Error("entries of another cluster were accepted")
	}
}

// Claims that no replica of this cluster would send must close their connection and must not be recorded.
func TestMalformedClaimsAreNotHeard(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
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
			t.Errorf("%s: the connection stays open", name)
		}
		conn.Close()
	}
	n := s.up["a"]
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.witness.Marks) != 2 || n.witness.Marks["b"].Folder == "f" || n.witness.Marks["c"].Folder == "f" {
		t.Errorf("%+v", n.witness.Marks)
	}
}

// Connections that stall before or while they state their purpose must be closed.
func TestConnectionsThatStallAreEnded(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	s.start("a", "b", "c")
	s.all("a", "b", "c")
	for name, b := range map[string][]byte{"no purpose": nil, "raft, within the cluster name": {forRaft, 16, 'x'}, "claim, within its length": {forClaims, 0, 0}} {
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
				t.Error("the connection stays open")
			}
		})
	}
}

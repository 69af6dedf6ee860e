package configwatch_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/net/configwatch"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/replica"
)

const testTimeout = 30 * time.Second // a hanging test fails after it; no test measures time against it

// feed is a server and the records that it serves.
type feed struct {
	t      testing.TB
	mu     sync.Mutex
	set    *records.Set
	server *configwatch.Server
	ln     net.Listener
}

func (f *feed) Table() (*records.Table, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set.Table().Clone(), f.set.Revision()
}

func startFeed(t *testing.T, limits distribution.Limits, modify ...func(*configwatch.ServerOptions)) *feed {
	t.Helper()
	f := &feed{t: t, set: records.NewSet(records.DefaultLimits)}
	o := configwatch.ServerOptions{Limits: limits, Source: f, Steady: clock.Monotonic(), Log: zerolog.Nop()}
	for _, c := range modify {
		c(&o)
	}
	f.server = configwatch.NewServer(o)
	var err error
	if f.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.ln.Close()
		f.server.DisconnectAll()
	})
	go func() {
		for {
			conn, err := f.ln.Accept()
			if err != nil {
				return
			}
			go f.server.Serve(conn)
		}
	}()
	return f
}

func (f *feed) address() string { return f.ln.Addr().String() }

// commit changes some records and publishes the commit.
func (f *feed) commit(names ...string) records.Commit {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var c records.Change
	for _, name := range names {
		c.Puts = append(c.Puts, records.Put{Key: records.Key{Kind: records.Setting, Name: name},
			Value: []byte(fmt.Sprint(f.set.Revision(), strings.Repeat("x", len(name)*40)))})
	}
	commit, err := f.set.Apply(c)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := f.server.Publish(commit); err != nil {
		f.t.Fatal(err)
	}
	return commit
}

func (f *feed) digest() records.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set.Digest()
}

// watcher is a configuration replica and its client.
type watcher struct {
	*replica.Replica
	client  *configwatch.Client
	commits chan uint64
	stop    context.CancelFunc
	done    chan struct{}
}

func startWatcher(t *testing.T, path string, relays []distribution.Relay, modify ...func(*configwatch.ClientOptions)) *watcher {
	t.Helper()
	w := &watcher{commits: make(chan uint64, 100000), done: make(chan struct{})}
	w.Replica = replica.Open(replica.Options{Name: "server", Path: path, Log: zerolog.Nop(),
		OnCommit: func(c records.Commit) { w.commits <- c.Revision }})
	o := configwatch.ClientOptions{Name: "server", Replica: w.Replica, Steady: clock.Monotonic(), Log: zerolog.Nop(),
		Selector: distribution.NewSelector(relays, distribution.Locality{Zone: "z"}, 1)}
	for _, c := range modify {
		c(&o)
	}
	w.client = configwatch.NewClient(o)
	ctx, stop := context.WithCancel(t.Context())
	w.stop = func() {
		stop()
		<-w.done
		w.Close()
	}
	go func() {
		defer close(w.done)
		w.client.Run(ctx)
	}()
	t.Cleanup(w.stop)
	return w
}

// relaysOf returns relay entries for the feeds.
func relaysOf(feeds ...*feed) (relays []distribution.Relay) {
	for _, f := range feeds {
		relays = append(relays, distribution.Relay{Name: f.address(), Address: f.address(), Zone: "z"})
	}
	return relays
}

func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", testTimeout, condition)
		}
	}
}

// waitUntilCurrent waits until the watcher has the records of the feed.
func (w *watcher) waitUntilCurrent(t *testing.T, f *feed) {
	t.Helper()
	waitUntil(t, "the watcher has the records of the feed", func() bool {
		p := w.Position()
		return p.Revision == f.server.Position().Revision && p.Digest == f.digest()
	})
}

// waitForSnapshot waits until the client has counted one snapshot, which happens after the records are in place.
func (w *watcher) waitForSnapshot(t *testing.T) {
	t.Helper()
	waitUntil(t, "one snapshot is counted", func() bool { return w.client.Metrics().Snapshots == 1 })
}

// A watcher receives each commit once and in order, even if its feed fails: it continues at another feed from its own revision.
func TestWatchContinuesAtAnotherFeed(t *testing.T) {
	a, b := startFeed(t, distribution.DefaultLimits), startFeed(t, distribution.DefaultLimits)
	commitBoth := func(names ...string) {
		a.commit(names...)
		b.commit(names...)
	}
	commitBoth("one", "two")
	w := startWatcher(t, "", relaysOf(a, b))
	for i := range 50 {
		commitBoth(fmt.Sprint("n", i%5))
	}
	w.waitUntilCurrent(t, b)
	first, second := a, b
	if w.client.Metrics().RelayAddress == b.address() {
		first, second = b, a
	}
	first.ln.Close()
	first.server.DisconnectAll()
	for i := range 50 {
		commitBoth(fmt.Sprint("n", i%5))
	}
	w.waitUntilCurrent(t, second)
	for want := uint64(1); want <= 101; want++ {
		if got := <-w.commits; got != want {
			t.Fatalf("got commit %d, want %d", got, want)
		}
	}
	if n := w.client.Metrics().Snapshots; n != 0 {
		t.Errorf("%d snapshots were sent, want 0", n)
	}
}

// A restarted server receives only the commits that it missed. A corrupt records file is discarded and replaced by a snapshot; a
// truncated one does not keep the server from catching up.
func TestRestartFetchesOnlyMissedCommits(t *testing.T) {
	f := startFeed(t, distribution.Limits{Commits: 30, Bytes: 1 << 20, Watchers: 10, Snapshots: 2})
	for i := range 100 {
		f.commit(fmt.Sprint("n", i))
	}
	path := filepath.Join(t.TempDir(), "records")
	w := startWatcher(t, path, relaysOf(f))
	w.waitUntilCurrent(t, f)
	w.waitForSnapshot(t)
	f.commit("behind-the-snapshot")
	w.waitUntilCurrent(t, f)
	w.stop()
	for i := range 20 {
		f.commit(fmt.Sprint("missed", i))
	}
	w = startWatcher(t, path, relaysOf(f))
	w.waitUntilCurrent(t, f)
	if metrics := w.client.Metrics(); metrics.Snapshots != 0 || len(w.commits) != 20 {
		t.Errorf("%d snapshots and %d commits for a server that missed 20 commits", metrics.Snapshots, len(w.commits))
	}
	w.stop()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[len(b)/2] ^= 4
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	w = startWatcher(t, path, relaysOf(f))
	w.waitUntilCurrent(t, f)
	w.waitForSnapshot(t)
	w.stop()
	if b, err = os.ReadFile(path); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, b[:len(b)-3], 0o600); err != nil { // as a crash during a write would
		t.Fatal(err)
	}
	f.commit("later")
	w = startWatcher(t, path, relaysOf(f))
	w.waitUntilCurrent(t, f)
}

// A watcher whose records differ from the committed ones at the same revision discards them and takes a snapshot.
func TestDivergentRecordsAreReplaced(t *testing.T) {
	a, b := startFeed(t, distribution.DefaultLimits), startFeed(t, distribution.DefaultLimits)
	for range 5 {
		a.commit("of-a")
		b.commit("of-b")
	}
	path := filepath.Join(t.TempDir(), "records")
	w := startWatcher(t, path, relaysOf(a))
	w.waitUntilCurrent(t, a)
	w.stop()
	w = startWatcher(t, path, relaysOf(b))
	w.waitUntilCurrent(t, b)
	w.waitForSnapshot(t)
}

// Divergent records are also replaced if the feed's snapshot is older than the watcher's revision; the watcher must not end up
// without records.
func TestDivergentRecordsAreReplacedByOlderSnapshot(t *testing.T) {
	limits := distribution.Limits{Commits: 10, Bytes: 1 << 20, Watchers: 10, Snapshots: 2}
	a, b := startFeed(t, distribution.DefaultLimits), startFeed(t, limits)
	for range 23 {
		a.commit("of-a")
	}
	for range 20 {
		b.commit("of-b")
	}
	startWatcher(t, "", relaysOf(b)).waitUntilCurrent(t, b) // builds the snapshot at revision 20
	for range 5 {
		b.commit("of-b")
	}
	path := filepath.Join(t.TempDir(), "records")
	w := startWatcher(t, path, relaysOf(a))
	w.waitUntilCurrent(t, a)
	w.stop()
	w = startWatcher(t, path, relaysOf(b))
	w.waitUntilCurrent(t, b)
	w.waitForSnapshot(t)
}

// A feed at its watcher limit refuses a watcher and names another address, where the watcher continues.
func TestRefusedWatcherTriesAlternateAddress(t *testing.T) {
	other := startFeed(t, distribution.DefaultLimits)
	full := startFeed(t, distribution.Limits{Commits: 10, Bytes: 1 << 20, Watchers: 0, Snapshots: 1},
		func(o *configwatch.ServerOptions) { o.AlternateAddresses = []string{other.address()} })
	other.commit("x")
	relays := []distribution.Relay{{Name: "full", Address: full.address(), Zone: "z"},
		{Name: "other", Address: other.address(), Zone: "y"}}
	w := startWatcher(t, "", relays)
	w.waitUntilCurrent(t, other)
	if full.server.Metrics().Refused == 0 {
		t.Error("the feed at its limit refused no watcher")
	}
}

// A watcher that does not read is disconnected, and the bytes that the feed retains for it stay within the limit.
func TestSlowWatcherIsDisconnected(t *testing.T) {
	limits := distribution.Limits{Commits: 50, Bytes: 1 << 20, Watchers: 10, Snapshots: 2}
	f := startFeed(t, limits)
	conn, err := net.Dial("tcp", f.address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	conn.Write(frameMessage(t, `{"watch":{"name":"slow","at":{"revision":0,"digest":"00000000000000000000000000000000"}}}`))
	waitUntil(t, "the slow watcher is served", func() bool { return f.server.Metrics().Watchers == 1 })
	w := startWatcher(t, "", relaysOf(f))
	large := strings.Repeat("n", 128)
	waitUntil(t, "the slow watcher is disconnected", func() bool {
		f.commit(large, large[:100], large[:99], large[:98])
		if retained := f.server.Metrics().RetainedBytes; retained > limits.Bytes {
			t.Fatalf("%d bytes retained, limit %d", retained, limits.Bytes)
		}
		w.waitUntilCurrent(t, f) // the other watcher is still served
		return f.server.Metrics().Watchers == 1
	})
	if f.server.Metrics().Disconnected == 0 {
		t.Error("the disconnected watcher was not counted")
	}
}

func frameMessage(t *testing.T, text string) []byte {
	t.Helper()
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

// A watcher that violates the protocol loses its connection; other watchers are unaffected.
func TestMalformedWatchClosesConnection(t *testing.T) {
	f := startFeed(t, distribution.DefaultLimits)
	f.commit("x")
	w := startWatcher(t, "", relaysOf(f))
	w.waitUntilCurrent(t, f)
	const validWatch = `{"watch":{"name":"x","at":{"revision":1,"digest":"%s"}}}`
	firstMessage := string(frameMessage(t, fmt.Sprintf(validWatch, f.digest())))
	for name, text := range map[string]string{
		"invalid JSON":        string(frameMessage(t, "{")),
		"empty message":       string(frameMessage(t, "{}")),
		"report before watch": string(frameMessage(t, `{"report":{"servers":1}}`)),
		"missing name":        string(frameMessage(t, `{"watch":{"at":{}}}`)),
		"invalid digest":      string(frameMessage(t, `{"watch":{"name":"x","at":{"revision":1,"digest":"zz"}}}`)),
		"length of zero":      "\x00\x00\x00\x00",
		"excessive length":    "\xff\xff\xff\xff",
		"second watch":        firstMessage + firstMessage,
		"oversized report":    firstMessage + "\x00\x10\x00\x00",
		"noise":               firstMessage + strings.Repeat("\xfe", 4000),
		"truncated message":   firstMessage[:9],
		"negative revision":   string(frameMessage(t, `{"watch":{"name":"x","at":{"revision":-1}}}`)),
	} {
		conn, err := net.Dial("tcp", f.address())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		conn.Write([]byte(text))
		if name == "truncated message" {
			conn.(*net.TCPConn).CloseWrite()
		}
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: the connection was not closed", name)
		}
		conn.Close()
	}
	waitUntil(t, "only the valid watcher remains", func() bool { return f.server.Metrics().Watchers == 1 })
	f.commit("y")
	w.waitUntilCurrent(t, f)
}

// startScriptedFeed accepts connections and sends the given bytes on each; n is the number of the connection.
func startScriptedFeed(t *testing.T, bytes func(n int) []byte) (address string, ended *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	ended = &atomic.Int64{}
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				conn.Write(bytes(n))
				io.Copy(io.Discard, conn) // until the client has closed it
				ended.Add(1)
			}()
		}
	}()
	return ln.Addr().String(), ended
}

// A watcher closes its connection to a feed that violates the protocol and keeps its records unchanged.
func TestWatcherLeavesMalformedFeed(t *testing.T) {
	set := records.NewSet(records.DefaultLimits)
	var commits []string
	for i := range 3 {
		c, err := set.Apply(records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprint(i)}}}})
		if err != nil {
			t.Fatal(err)
		}
		b, err := configwatch.EncodeCommit(c)
		if err != nil {
			t.Fatal(err)
		}
		commits = append(commits, string(b))
	}
	const prefixBytes = 4 // bytes of the length prefix of a message
	first := commits[0][prefixBytes:]
	header := string(frameMessage(t, `{"header":{"revision":9,"digest":"00000000000000000000000000000000","records":5,"pieces":1}}`))
	for name, text := range map[string]string{
		"invalid JSON":         string(frameMessage(t, "[1")),
		"empty message":        string(frameMessage(t, "{}")),
		"excessive length":     "\x7f\xff\xff\xff",
		"missing commit":       commits[0] + commits[2],
		"repeated commit":      commits[0] + commits[0],
		"chunk before header":  string(frameMessage(t, `{"piece":{"number":0,"data":"AA=="}}`)),
		"corrupt chunk":        header + string(frameMessage(t, `{"piece":{"number":0,"data":"AAAA"}}`)),
		"truncated commit":     string(frameMessage(t, first[:len(first)-1])),
		"trailing bytes":       string(frameMessage(t, first+"\x00")),
		"unknown encoding":     string(frameMessage(t, "\x02"+first[1:])),
		"commit as JSON":       string(frameMessage(t, `{"commit":{"revision":1}}`)),
		"missing commit body":  string(frameMessage(t, first[:1])),
		"second header":        header + header,
		"commit in a snapshot": header + commits[0],
		"excessive records":    string(frameMessage(t, `{"header":{"revision":9,"records":999999999999,"pieces":1}}`)),
		"no records promised":  string(frameMessage(t, `{"header":{"revision":9,"records":0,"pieces":1}}`)),
	} {
		t.Run(name, func(t *testing.T) {
			address, ended := startScriptedFeed(t, func(int) []byte { return []byte(text) })
			w := startWatcher(t, "", []distribution.Relay{{Name: "bad", Address: address, Zone: "z"}})
			waitUntil(t, "the connection is closed", func() bool { return ended.Load() > 0 })
			if p := w.Position(); p.Revision > 1 || w.RecordCount() > 1 {
				t.Errorf("the watcher advanced to %+v", p)
			}
		})
	}
}

// The feed sums the reports of its watchers, with the reasons of rejected records.
func TestReportsIncludeRejectedRecords(t *testing.T) {
	f := startFeed(t, distribution.DefaultLimits)
	w := &watcher{}
	w.Replica = replica.Open(replica.Options{Name: "picky", Log: zerolog.Nop(), CheckRecord: func(p records.Put) error {
		if p.Name == "bad" {
			return errors.New("value rejected")
		}
		return nil
	}})
	w.client = configwatch.NewClient(configwatch.ClientOptions{Name: "picky", Replica: w.Replica,
		Steady: clock.Monotonic(), Log: zerolog.Nop(), Selector: distribution.NewSelector(relaysOf(f), distribution.Locality{}, 1)})
	go w.client.Run(t.Context())
	f.commit("good")
	f.commit("bad")
	waitUntil(t, "the rejection is reported", func() bool {
		r := f.server.Report()
		return r.Servers == 1 && r.LowestRevision == 2 && r.ServersRejecting == 1 && len(r.Rejections) == 1 && r.Rejections[0].Key == "setting/bad" &&
			r.Rejections[0].Reason == "value rejected" && r.Rejections[0].Revision == 2
	})
	f.mu.Lock()
	commit, err := f.set.Apply(records.Change{Deletes: []records.Key{{Kind: records.Setting, Name: "bad"}}})
	f.mu.Unlock()
	if err = errors.Join(err, f.server.Publish(commit)); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "no rejection is reported any more", func() bool { r := f.server.Report(); return r.LowestRevision == 3 && r.ServersRejecting == 0 })
}

// BenchmarkFanOut measures the cost of a commit at a feed for several numbers of watchers.
func BenchmarkFanOut(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("watchers=%d", n), func(b *testing.B) {
			f := &feed{t: b, set: records.NewSet(records.DefaultLimits)}
			limits := distribution.DefaultLimits
			f.server = configwatch.NewServer(configwatch.ServerOptions{Limits: limits, Source: f, Steady: clock.Monotonic(), Log: zerolog.Nop()})
			var received sync.WaitGroup
			for i := range n {
				clientConn, serverConn := net.Pipe()
				b.Cleanup(func() { clientConn.Close() })
				go f.server.Serve(serverConn)
				go func() {
					text := fmt.Sprintf(`{"watch":{"name":"w%d","at":{"revision":0,"digest":"00000000000000000000000000000000"}}}`, i)
					clientConn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
					buf := make([]byte, 4)
					for {
						if _, err := io.ReadFull(clientConn, buf); err != nil {
							return
						}
						body := make([]byte, binary.BigEndian.Uint32(buf))
						if _, err := io.ReadFull(clientConn, body); err != nil {
							return
						}
						if body[0] != '{' { // a commit; the other messages are JSON
							received.Done()
						}
					}
				}()
			}
			for f.server.Metrics().Watchers < n {
				time.Sleep(time.Millisecond)
			}
			i := 0
			for b.Loop() {
				received.Add(n)
				i++
				f.commit(fmt.Sprint("n", i%100))
				received.Wait()
			}
		})
	}
}

// All snapshots together stay within the configured rate, regardless of the number of watchers.
func TestSnapshotsAreRateLimited(t *testing.T) {
	const bytesPerSecond, burst, watchers = 4 << 20, 1 << 20, 3
	f := startFeed(t, distribution.Limits{Commits: 1, Bytes: 1 << 20, Watchers: 8, Snapshots: 4},
		func(o *configwatch.ServerOptions) { o.SnapshotBytesPerSecond = bytesPerSecond })
	random := rand.NewChaCha8([32]byte{1})
	for i := range 40 { // values that cannot be compressed
		value := make([]byte, records.MaxSettingBytes)
		random.Read(value)
		f.mu.Lock()
		commit, err := f.set.Apply(records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Setting, Name: fmt.Sprint(i)},
			Value: value}}})
		f.mu.Unlock()
		if err = errors.Join(err, f.server.Publish(commit)); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now()
	var all []*watcher
	for range watchers {
		all = append(all, startWatcher(t, "", relaysOf(f)))
	}
	for _, w := range all {
		w.waitUntilCurrent(t, f)
	}
	minDuration := time.Duration(float64(watchers*40*records.MaxSettingBytes-burst) / bytesPerSecond * float64(time.Second))
	if took := time.Since(start); took < minDuration {
		t.Errorf("%d snapshots took %s, want at least %s", watchers, took, minDuration)
	}
	if n := f.server.Metrics().Snapshots; n < watchers {
		t.Errorf("%d snapshots were sent, want one per watcher", n)
	}
}

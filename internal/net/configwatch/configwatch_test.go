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

const patience = 30 * time.Second // a hanging test fails after it; no test measures time against it

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

func openFeed(t *testing.T, limits distribution.Limits, change ...func(*configwatch.ServerOptions)) *feed {
	t.Helper()
	f := &feed{t: t, set: records.NewSet(records.DefaultLimits)}
	o := configwatch.ServerOptions{Limits: limits, Source: f, Steady: clock.Steady(), Log: zerolog.Nop()}
	for _, c := range change {
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

func (f *feed) at() string { return f.ln.Addr().String() }

// commit changes some records and publishes the commit.
func (f *feed) commit(names ...string) records.Commit {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var c records.Change
	for _, name := range names {
		c.Puts = append(c.Puts, records.Put{Key: records.Key{Kind: records.Setting, Name: name}, Value: []byte(fmt.Sprint(f.set.Revision(), strings.Repeat("x", len(name)*40)))})
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

// watching is a configuration replica and its client.
type watching struct {
	*replica.Replica
	client  *configwatch.Client
	commits chan uint64
	stop    context.CancelFunc
	done    chan struct{}
}

func watch(t *testing.T, path string, relays []distribution.Relay, change ...func(*configwatch.ClientOptions)) *watching {
	t.Helper()
	w := &watching{commits: make(chan uint64, 100000), done: make(chan struct{})}
	w.Replica = replica.Open(replica.Options{Name: "server", Path: path, Log: zerolog.Nop(), Committed: func(c records.Commit) { w.commits <- c.Revision }})
	o := configwatch.ClientOptions{Name: "server", Replica: w.Replica, Steady: clock.Steady(), Log: zerolog.Nop(),
		Selector: distribution.NewSelector(relays, distribution.Place{Zone: "z"}, 1)}
	for _, c := range change {
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

// to returns relay entries for the feeds.
func to(feeds ...*feed) (relays []distribution.Relay) {
	for _, f := range feeds {
		relays = append(relays, distribution.Relay{Name: f.at(), Address: f.at(), Zone: "z"})
	}
	return relays
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for late := time.Now().Add(patience); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(late) {
			t.Fatalf("condition not met within %s: %s", patience, what)
		}
	}
}

// level waits until the watcher has the records of the feed.
func (w *watching) level(t *testing.T, f *feed) {
	t.Helper()
	until(t, "the watcher has the records of the feed", func() bool {
		p := w.Position()
		return p.Revision == f.server.Position().Revision && p.Digest == f.digest()
	})
}

// tookSnapshot waits until the client has counted one snapshot, which happens after the records are in place.
func (w *watching) tookSnapshot(t *testing.T) {
	t.Helper()
	until(t, "one snapshot is counted", func() bool { return w.client.Metrics().Snapshots == 1 })
}

// A watcher receives each commit once and in order, also when its feed ends: it continues at another feed from its own revision.
func TestWatchGoesOnAtAnotherFeed(t *testing.T) {
	a, b := openFeed(t, distribution.DefaultLimits), openFeed(t, distribution.DefaultLimits)
	both := func(names ...string) {
		a.commit(names...)
		b.commit(names...)
	}
	both("one", "two")
	w := watch(t, "", to(a, b))
	for i := range 50 {
		both(fmt.Sprint("n", i%5))
	}
	w.level(t, b)
	first, second := a, b
	if w.client.Metrics().RelayAddress == b.at() {
		first, second = b, a
	}
	first.ln.Close()
	first.server.DisconnectAll()
	for i := range 50 {
		both(fmt.Sprint("n", i%5))
	}
	w.level(t, second)
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
func TestRestartAsksForWhatItMissed(t *testing.T) {
	f := openFeed(t, distribution.Limits{Commits: 30, Bytes: 1 << 20, Watchers: 10, Snapshots: 2})
	for i := range 100 {
		f.commit(fmt.Sprint("n", i))
	}
	path := filepath.Join(t.TempDir(), "records")
	w := watch(t, path, to(f))
	w.level(t, f)
	w.tookSnapshot(t)
	f.commit("behind-the-snapshot")
	w.level(t, f)
	w.stop()
	for i := range 20 {
		f.commit(fmt.Sprint("missed", i))
	}
	w = watch(t, path, to(f))
	w.level(t, f)
	if n := w.client.Metrics(); n.Snapshots != 0 || len(w.commits) != 20 {
		t.Errorf("%d snapshots and %d commits for a server that missed 20 commits", n.Snapshots, len(w.commits))
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
	w = watch(t, path, to(f))
	w.level(t, f)
	w.tookSnapshot(t)
	w.stop()
	if b, err = os.ReadFile(path); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, b[:len(b)-3], 0o600); err != nil { // as a crash during a write would
		t.Fatal(err)
	}
	f.commit("later")
	w = watch(t, path, to(f))
	w.level(t, f)
}

// A watcher whose records differ from the committed ones at the same revision discards them and takes a snapshot.
func TestOtherRecordsAreThrownAway(t *testing.T) {
	a, b := openFeed(t, distribution.DefaultLimits), openFeed(t, distribution.DefaultLimits)
	for range 5 {
		a.commit("of-a")
		b.commit("of-b")
	}
	path := filepath.Join(t.TempDir(), "records")
	w := watch(t, path, to(a))
	w.level(t, a)
	w.stop()
	w = watch(t, path, to(b))
	w.level(t, b)
	w.tookSnapshot(t)
}

// The same if the feed's snapshot is older than the watcher's revision: the watcher must not end up without records.
func TestOtherRecordsAreThrownAwayForAnOlderSnapshot(t *testing.T) {
	limits := distribution.Limits{Commits: 10, Bytes: 1 << 20, Watchers: 10, Snapshots: 2}
	a, b := openFeed(t, distribution.DefaultLimits), openFeed(t, limits)
	for range 23 {
		a.commit("of-a")
	}
	for range 20 {
		b.commit("of-b")
	}
	watch(t, "", to(b)).level(t, b) // builds the snapshot at revision 20
	for range 5 {
		b.commit("of-b")
	}
	path := filepath.Join(t.TempDir(), "records")
	w := watch(t, path, to(a))
	w.level(t, a)
	w.stop()
	w = watch(t, path, to(b))
	w.level(t, b)
	w.tookSnapshot(t)
}

// A feed at its watcher limit refuses a watcher and names another address, where the watcher continues.
func TestRefusedWatchersGoElsewhere(t *testing.T) {
	other := openFeed(t, distribution.DefaultLimits)
	full := openFeed(t, distribution.Limits{Commits: 10, Bytes: 1 << 20, Watchers: 0, Snapshots: 1}, func(o *configwatch.ServerOptions) { o.AlternateAddresses = []string{other.at()} })
	other.commit("x")
	relays := []distribution.Relay{{Name: "full", Address: full.at(), Zone: "z"}, {Name: "other", Address: other.at(), Zone: "y"}}
	w := watch(t, "", relays)
	w.level(t, other)
	if full.server.Metrics().Refused == 0 {
		t.Error("the feed at its limit refused no watcher")
	}
}

// A watcher that does not read is disconnected, and the bytes that the feed retains for it stay within the limit.
func TestSlowWatcherIsCutOff(t *testing.T) {
	limits := distribution.Limits{Commits: 50, Bytes: 1 << 20, Watchers: 10, Snapshots: 2}
	f := openFeed(t, limits)
	conn, err := net.Dial("tcp", f.at())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	conn.Write(message(t, `{"watch":{"name":"slow","at":{"revision":0,"digest":"00000000000000000000000000000000"}}}`))
	until(t, "the slow watcher is served", func() bool { return f.server.Metrics().Watchers == 1 })
	w := watch(t, "", to(f))
	large := strings.Repeat("n", 128)
	until(t, "the slow watcher is disconnected", func() bool {
		f.commit(large, large[:100], large[:99], large[:98])
		if held := f.server.Metrics().RetainedBytes; held > limits.Bytes {
			t.Fatalf("%d bytes retained, limit %d", held, limits.Bytes)
		}
		w.level(t, f) // the other watcher is still served
		return f.server.Metrics().Watchers == 1
	})
	if f.server.Metrics().Disconnected == 0 {
		t.Error("the disconnected watcher was not counted")
	}
}

func message(t *testing.T, text string) []byte {
	t.Helper()
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

// A watcher that violates the protocol loses its connection; other watchers are unaffected.
func TestMalformedWatchesEndTheirConnection(t *testing.T) {
	f := openFeed(t, distribution.DefaultLimits)
	f.commit("x")
	w := watch(t, "", to(f))
	w.level(t, f)
	const good = `{"watch":{"name":"x","at":{"revision":1,"digest":"%s"}}}`
	hello := string(message(t, fmt.Sprintf(good, f.digest())))
	for name, text := range map[string]string{
		"invalid JSON":        string(message(t, "{")),
		"empty message":       string(message(t, "{}")),
		"report before watch": string(message(t, `{"report":{"servers":1}}`)),
		"missing name":        string(message(t, `{"watch":{"at":{}}}`)),
		"invalid digest":      string(message(t, `{"watch":{"name":"x","at":{"revision":1,"digest":"zz"}}}`)),
		"length of zero":      "\x00\x00\x00\x00",
		"excessive length":    "\xff\xff\xff\xff",
		"second watch":        hello + hello,
		"oversized report":    hello + "\x00\x10\x00\x00",
		"noise":               hello + strings.Repeat("\xfe", 4000),
		"truncated message":   hello[:9],
		"negative revision":   string(message(t, `{"watch":{"name":"x","at":{"revision":-1}}}`)),
	} {
		conn, err := net.Dial("tcp", f.at())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(patience))
		conn.Write([]byte(text))
		if name == "truncated message" {
			conn.(*net.TCPConn).CloseWrite()
		}
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: the connection was not closed", name)
		}
		conn.Close()
	}
	until(t, "only the valid watcher remains", func() bool { return f.server.Metrics().Watchers == 1 })
	f.commit("y")
	w.level(t, f)
}

// scripted accepts connections and sends the given bytes on each; n is the number of the connection.
func scripted(t *testing.T, bytes func(n int) []byte) (address string, ended *atomic.Int64) {
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
func TestMalformedFeedsAreLeft(t *testing.T) {
	set := records.NewSet(records.DefaultLimits)
	var commits []string
	for i := range 3 {
		c, err := set.Apply(records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprint(i)}}}})
		if err != nil {
			t.Fatal(err)
		}
		b, err := configwatch.Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		commits = append(commits, string(b))
	}
	const head = 4 // bytes of the length prefix of a message
	first := commits[0][head:]
	header := string(message(t, `{"header":{"revision":9,"digest":"00000000000000000000000000000000","records":5,"pieces":1}}`))
	for name, text := range map[string]string{
		"invalid JSON":         string(message(t, "[1")),
		"empty message":        string(message(t, "{}")),
		"excessive length":     "\x7f\xff\xff\xff",
		"missing commit":       commits[0] + commits[2],
		"repeated commit":      commits[0] + commits[0],
		"chunk before header":  string(message(t, `{"piece":{"number":0,"data":"AA=="}}`)),
		"corrupt chunk":        header + string(message(t, `{"piece":{"number":0,"data":"AAAA"}}`)),
		"truncated commit":     string(message(t, first[:len(first)-1])),
		"trailing bytes":       string(message(t, first+"\x00")),
		"unknown encoding":     string(message(t, "\x02"+first[1:])),
		"commit as JSON":       string(message(t, `{"commit":{"revision":1}}`)),
		"missing commit body":  string(message(t, first[:1])),
		"second header":        header + header,
		"commit in a snapshot": header + commits[0],
		"excessive records":    string(message(t, `{"header":{"revision":9,"records":999999999999,"pieces":1}}`)),
		"no records promised":  string(message(t, `{"header":{"revision":9,"records":0,"pieces":1}}`)),
	} {
		t.Run(name, func(t *testing.T) {
			at, ended := scripted(t, func(int) []byte { return []byte(text) })
			w := watch(t, "", []distribution.Relay{{Name: "bad", Address: at, Zone: "z"}})
			until(t, "the connection is closed", func() bool { return ended.Load() > 0 })
			if p := w.Position(); p.Revision > 1 || w.Records() > 1 {
				t.Errorf("the watcher advanced to %+v", p)
			}
		})
	}
}

// The feed sums the reports of its watchers, with the reasons of rejected records.
func TestReportsTellWhatWasTurnedDown(t *testing.T) {
	f := openFeed(t, distribution.DefaultLimits)
	w := &watching{}
	w.Replica = replica.Open(replica.Options{Name: "picky", Log: zerolog.Nop(), Check: func(p records.Put) error {
		if p.Name == "bad" {
			return errors.New("value rejected")
		}
		return nil
	}})
	w.client = configwatch.NewClient(configwatch.ClientOptions{Name: "picky", Replica: w.Replica, Steady: clock.Steady(), Log: zerolog.Nop(),
		Selector: distribution.NewSelector(to(f), distribution.Place{}, 1)})
	go w.client.Run(t.Context())
	f.commit("good")
	f.commit("bad")
	until(t, "the rejection is reported", func() bool {
		r := f.server.Report()
		return r.Servers == 1 && r.Lowest == 2 && r.Rejecting == 1 && len(r.Rejections) == 1 && r.Rejections[0].Key == "setting/bad" &&
			r.Rejections[0].Reason == "value rejected" && r.Rejections[0].Revision == 2
	})
	f.mu.Lock()
	commit, err := f.set.Apply(records.Change{Deletes: []records.Key{{Kind: records.Setting, Name: "bad"}}})
	f.mu.Unlock()
	if err = errors.Join(err, f.server.Publish(commit)); err != nil {
		t.Fatal(err)
	}
	until(t, "no rejection is reported any more", func() bool { r := f.server.Report(); return r.Lowest == 3 && r.Rejecting == 0 })
}

// BenchmarkFanOut measures the cost of a commit at a feed for several numbers of watchers.
func BenchmarkFanOut(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("watchers=%d", n), func(b *testing.B) {
			f := &feed{t: b, set: records.NewSet(records.DefaultLimits)}
			limits := distribution.DefaultLimits
			f.server = configwatch.NewServer(configwatch.ServerOptions{Limits: limits, Source: f, Steady: clock.Steady(), Log: zerolog.Nop()})
			var got sync.WaitGroup
			for i := range n {
				here, there := net.Pipe()
				b.Cleanup(func() { here.Close() })
				go f.server.Serve(there)
				go func() {
					text := fmt.Sprintf(`{"watch":{"name":"w%d","at":{"revision":0,"digest":"00000000000000000000000000000000"}}}`, i)
					here.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
					buf := make([]byte, 4)
					for {
						if _, err := io.ReadFull(here, buf); err != nil {
							return
						}
						body := make([]byte, binary.BigEndian.Uint32(buf))
						if _, err := io.ReadFull(here, body); err != nil {
							return
						}
						if body[0] != '{' { // a commit; the other messages are JSON
							got.Done()
						}
					}
				}()
			}
			for f.server.Metrics().Watchers < n {
				time.Sleep(time.Millisecond)
			}
			i := 0
			for b.Loop() {
				got.Add(n)
				i++
				f.commit(fmt.Sprint("n", i%100))
				got.Wait()
			}
		})
	}
}

// All snapshots together stay within the configured rate, regardless of the number of watchers.
func TestSnapshotsAreThrottled(t *testing.T) {
	const bytesASecond, burst, watchers = 4 << 20, 1 << 20, 3
	f := openFeed(t, distribution.Limits{Commits: 1, Bytes: 1 << 20, Watchers: 8, Snapshots: 4}, func(o *configwatch.ServerOptions) { o.SnapshotBytesPerSecond = bytesASecond })
	random := rand.NewChaCha8([32]byte{1})
	for i := range 40 { // values that cannot be compressed
		value := make([]byte, records.MaxSetting)
		random.Read(value)
		f.mu.Lock()
		commit, err := f.set.Apply(records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Setting, Name: fmt.Sprint(i)}, Value: value}}})
		f.mu.Unlock()
		if err = errors.Join(err, f.server.Publish(commit)); err != nil {
			t.Fatal(err)
		}
	}
	began := time.Now()
	var all []*watching
	for range watchers {
		all = append(all, watch(t, "", to(f)))
	}
	for _, w := range all {
		w.level(t, f)
	}
	least := time.Duration(float64(watchers*40*records.MaxSetting-burst) / bytesASecond * float64(time.Second))
	if took := time.Since(began); took < least {
		t.Errorf("%d snapshots took %s, want at least %s", watchers, took, least)
	}
	if n := f.server.Metrics().Snapshots; n < watchers {
		t.Errorf("%d snapshots were sent, want at least %d", n, watchers)
	}
}

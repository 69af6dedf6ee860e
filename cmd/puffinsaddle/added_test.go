package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// openLoopClient sends requests at fixed times over one connection, and measures each response time from the intended time.
type openLoopClient struct {
	conn      net.Conn
	firstAt   time.Time // intended time of the first request
	interval  time.Duration
	histogram *hdrhistogram.Histogram
	mu        *sync.Mutex
	failed    *atomic.Int64
}

// send sends n requests, each at its intended time.
func (l *openLoopClient) send(n, connection int) {
	for i := range n {
		time.Sleep(time.Until(l.firstAt.Add(time.Duration(i) * l.interval)))
		tag := fmt.Sprint(i + 1)
		fields := fmt.Sprintf("id=%016x,at=%d,from=%d,kb=10,rank=0.5", l.firstAt.UnixNano()+int64(connection)<<20+int64(i), time.Now().UnixMilli(), connection)
		fmt.Fprintf(l.conn, "*5\r\n$3\r\nREQ\r\n$%d\r\n%s\r\n$4\r\nbook\r\n$%d\r\n%s\r\n$1\r\nx\r\n", len(tag), tag, len(fields), fields)
	}
}

// read reads n responses: RESP arrays of bulk strings.
func (l *openLoopClient) read(n int) {
	r := bufio.NewReader(l.conn)
	for range n {
		var words, size int
		if _, err := fmt.Fscanf(r, "*%d\r\n", &words); err != nil {
			l.failed.Add(1)
			return
		}
		var all []string
		for range words {
			if _, err := fmt.Fscanf(r, "$%d\r\n", &size); err != nil {
				l.failed.Add(1)
				return
			}
			b := make([]byte, size+2)
			if _, err := io.ReadFull(r, b); err != nil {
				l.failed.Add(1)
				return
			}
			all = append(all, string(b[:size]))
		}
		var tag int
		fmt.Sscan(all[0], &tag)
		if len(all) < 2 || all[1] != "done" {
			l.failed.Add(1)
			continue
		}
		took := time.Since(l.firstAt.Add(time.Duration(tag-1) * l.interval))
		l.mu.Lock()
		l.histogram.RecordValue(took.Microseconds())
		l.mu.Unlock()
	}
}

// BenchmarkAdded measures the latency that the program adds to a request whose work takes no time: from the intended time of
// the request to its response, with a fake executor on the same machine. The load is open: requests do not wait for responses.
func BenchmarkAdded(b *testing.B) {
	const connections, span = 8, 3 * time.Second
	for _, rate := range []int{250, 500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("load=%d", rate), func(b *testing.B) {
			members, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { members.Close() })
			c := newServerProcess(b)
			c.writeConfig(startRunningExecutor(b, 0), members.LocalAddr().String(), 1024)
			c.start(1024)
			c.waitUntil("it is ready", c.ready)
			hist := hdrhistogram.New(1, 60e6, 3)
			var mu sync.Mutex
			var failed atomic.Int64
			for b.Loop() {
				var wait sync.WaitGroup
				begin := time.Now().Add(50 * time.Millisecond)
				for i := range connections {
					conn, err := net.Dial("tcp", c.listen)
					if err != nil {
						b.Fatal(err)
					}
					interval := time.Second * connections / time.Duration(rate)
					l := &openLoopClient{conn: conn, firstAt: begin.Add(interval * time.Duration(i) / connections), interval: interval, histogram: hist, mu: &mu, failed: &failed}
					n := int(span / interval)
					wait.Go(func() { l.send(n, i) })
					wait.Go(func() {
						l.read(n)
						conn.Close()
					})
				}
				wait.Wait()
			}
			b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-µs")
			b.ReportMetric(float64(failed.Load()), "not-served")
		})
	}
}

package net_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/uwsgi"
)

const (
	benchmarkSubjects    = 60
	benchmarkReadsPerSec = 300 // 5 of each subject
	benchmarkReadWaitMS  = 10000
)

// BenchmarkSharedReads measures the share of reads that get the result of another one's run, and the mean time to an answer. Reads
// of a number of subjects come at random times, and a uwsgi server works on each for the same time.
func BenchmarkSharedReads(b *testing.B) {
	for _, work := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond} {
		b.Run(work.String(), func(b *testing.B) { benchmarkSharedReads(b, work) })
	}
}

func benchmarkSharedReads(b *testing.B, work time.Duration) {
	var runs, served atomic.Int64
	address := startUWSGIServer(b, func(conn net.Conn, _ map[string]string, _ string) {
		runs.Add(1)
		time.Sleep(work)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
	})
	clk := clock.System()
	runner := uwsgi.NewRunner(config.UWSGI{Servers: []string{address}, MaxResultBytes: 4096}, clk, zerolog.Nop())
	c := core.New(clk, zerolog.Nop(), settings, 1, runner, nil, nil)
	c.RunnerStarted(false)
	go c.Run()
	defer c.Stop()

	var totalMicros atomic.Int64
	var open sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 1))
	b.ResetTimer()
	next := time.Now()
	for i := range b.N {
		next = next.Add(time.Duration(random.ExpFloat64() / benchmarkReadsPerSec * float64(time.Second)))
		time.Sleep(time.Until(next))
		open.Add(1)
		sentAt := time.Now()
		q := &core.Request{ID: id(i + 1), Class: "tank-level", ArrivedAt: clk.Now(), WaitMS: benchmarkReadWaitMS, KB: 1,
			Key: fmt.Sprint(random.IntN(benchmarkSubjects))}
		c.Open(q, func(o core.Outcome) {
			if o.Verdict == core.Served {
				served.Add(1)
			}
			totalMicros.Add(time.Since(sentAt).Microseconds())
			open.Done()
		})
	}
	open.Wait()
	b.StopTimer()
	if served.Load() != int64(b.N) {
		b.Errorf("%d of %d reads were served", served.Load(), b.N)
	}
	b.ReportMetric(1-float64(runs.Load())/float64(b.N), "shared/read")
	b.ReportMetric(float64(totalMicros.Load())/1000/float64(b.N), "ms/read")
}

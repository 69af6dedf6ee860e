package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The vault of these tests survives vaultSurvives calls in the mean of a period. The order server is the only one, so that this is
// its share.
const (
	vaultSurvives = 6.66
	vaultLinger   = 200 * time.Millisecond // for which a call that was given up stays in its hands
	vaultSample   = 5 * time.Millisecond   // between two counts of the calls in hand

	minServedShare = 0.9 // of the calls that are served without a disruption
	playsOfLoad    = 3   // with each load, since few calls are served in one
)

// timing is the vault's period, and the load before and after a disruption.
type timing struct{ period, before, after time.Duration }

var (
	shortPeriod = timing{2 * time.Second, 3 * time.Second, 4 * time.Second}
	longPeriod  = timing{5 * time.Second, 5 * time.Second, 8 * time.Second}
)

const replacedConfig = `{"name":"n1","listen":%q,"operator":%q,"executor":%q,"vault":%q,"members":%q,"stop_ms":3200,
"limits":{"cores":1,"memory_mb":96,"sockets":1024},
"settings":{"classes":[{"name":"book","aim":1700000000,"deadline":5000000000,"worth":4.0,"idempotency":"unsafe"}],
"extra":{"nCores":6,"heapKb":10998.0,"runMemFactor":4.0,"downstream":"shared","callsOut":%g,"callsOver":%d,"linger":%d,
"callsByClass":[true],"classSkipWorth":[0]},"limits":{},"rules":{"fallMultiple":8.0},"tick":4000000}}`

// countingVault takes a fixed time for each call and keeps the highest mean of the calls in its hands.
type countingVault struct {
	address string
	period  time.Duration
	latency time.Duration
	ended   chan struct{}

	mu     sync.Mutex
	inHand int
	served int
	peak   float64
}

func newCountingVault(t *testing.T, period, latency time.Duration) *countingVault {
	t.Helper()
	v := &countingVault{period: period, latency: latency, ended: make(chan struct{})}
	t.Cleanup(func() { close(v.ended) })
	v.address = serveConnections(t, v.serve)
	go v.sample()
	return v
}

// sample computes the mean of the calls in hand until the test ends.
func (v *countingVault) sample() {
	samples, sum := make([]int, v.period/vaultSample), 0
	began := time.Now()
	for i := 0; ; i++ {
		select {
		case <-v.ended:
			return
		case <-time.After(time.Until(began.Add(time.Duration(i+1) * vaultSample))):
		}
		v.mu.Lock()
		sum += v.inHand - samples[i%len(samples)]
		samples[i%len(samples)] = v.inHand
		v.peak = max(v.peak, float64(sum)/float64(len(samples)))
		v.mu.Unlock()
	}
}

// serve serves the only call of a connection.
func (v *countingVault) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	request, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	io.Copy(io.Discard, request.Body)
	v.add(1)
	conn.SetReadDeadline(time.Now().Add(v.latency))
	if _, err := r.Peek(1); err == io.EOF || !os.IsTimeout(err) {
		time.Sleep(vaultLinger)
		v.add(-1)
		return
	}
	v.add(-1)
	v.mu.Lock()
	v.served++
	v.mu.Unlock()
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

func (v *countingVault) add(calls int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inHand += calls
}

func (v *countingVault) result() (peak float64, served int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.peak, v.served
}

// startCallingExecutor starts a fake executor whose attempts make one call each.
func startCallingExecutor(t *testing.T) string {
	t.Helper()
	return serveConnections(t, serveCallingExecutor)
}

// serveCallingExecutor is the fake executor's side of a link.
func serveCallingExecutor(conn net.Conn) {
	defer conn.Close()
	r, n := bufio.NewReader(conn), 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		var size int
		switch words[0] {
		case "JOIN":
			io.WriteString(conn, "WELCOME steady 100000\r\n")
		case "METER":
			fmt.Fprintf(conn, "METERS %s 0.1 0 0.1 1\r\n", words[1])
		case "EXEC":
			fmt.Sscan(words[3], &size)
			r.Discard(size + 2)
			n++
			fmt.Fprintf(conn, "CALLOUT %d %s 1\r\nc\r\n", n, words[1])
		case "RETURN":
			fmt.Sscan(words[2], &size)
			r.Discard(size + 2)
			n++
			fmt.Fprintf(conn, "EXIT %d %s success 1 2\r\nok\r\n", n, words[1])
		}
	}
}

// replacedServer is an order server whose processes replace each other under load.
type replacedServer struct {
	t         *testing.T
	timing    timing
	vault     *countingVault
	listen    string
	private   string
	members   string
	callsOut  float64
	processes []*serverProcess
}

func newReplacedServer(t *testing.T, times timing, latency time.Duration) *replacedServer {
	return &replacedServer{t: t, timing: times, vault: newCountingVault(t, times.period, latency), listen: freePort(t), private: t.TempDir(),
		members: fakeMembers(t).LocalAddr().String(), callsOut: vaultSurvives}
}

// start starts a further process and waits until it is ready.
func (s *replacedServer) start() *serverProcess {
	s.t.Helper()
	p := newServerProcess(s.t)
	p.listen, p.env = s.listen, []string{"TMPDIR=" + s.private}
	s.writeConfig(p, startCallingExecutor(s.t))
	p.start(1024)
	p.waitUntil("it is ready", p.ready)
	s.processes = append(s.processes, p)
	return p
}

// writeConfig writes the configuration file of a process.
func (s *replacedServer) writeConfig(p *serverProcess, executor string) {
	s.t.Helper()
	file := fmt.Sprintf(replacedConfig, p.listen, p.operator, executor, s.vault.address, s.members, s.callsOut,
		s.timing.period.Nanoseconds(), vaultLinger.Nanoseconds())
	if err := os.WriteFile(p.path, []byte(file), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// signal sends a signal to a process.
func (s *replacedServer) signal(p *serverProcess, sig syscall.Signal) {
	s.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// load sends bookings at a fixed rate, each on a connection of its own, until the returned function is called.
func (s *replacedServer) load(gap time.Duration) (stop func()) {
	stopped, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		var all sync.WaitGroup
		defer all.Wait()
		ticker := time.NewTicker(gap)
		defer ticker.Stop()
		for id := 1; ; id++ {
			select {
			case <-stopped:
				return
			case <-ticker.C:
				all.Go(func() { isServed(s.listen, id) })
			}
		}
	}()
	return func() {
		close(stopped)
		<-done
	}
}

// play sends load and lets disrupt change the processes. It returns the highest mean of the calls in the vault's hands, and the
// calls that it served.
func (s *replacedServer) play(gap time.Duration, disrupt func(*replacedServer, *serverProcess)) (peak float64, served int) {
	s.t.Helper()
	first := s.start()
	stop := s.load(gap)
	time.Sleep(s.timing.before)
	if disrupt != nil {
		disrupt(s, first)
	}
	time.Sleep(s.timing.after)
	peak, served = s.vault.result()
	stop()
	return peak, served
}

// replace replaces a process as the platform does.
func replace(s *replacedServer, old *serverProcess) {
	s.start()
	s.signal(old, syscall.SIGTERM)
}

// replacedLoads are the loads of the tests: how long the vault takes for a call, and the time between two bookings.
var replacedLoads = []struct{ latency, gap time.Duration }{
	{150 * time.Millisecond, 25 * time.Millisecond},
	{400 * time.Millisecond, 25 * time.Millisecond},
	{900 * time.Millisecond, 25 * time.Millisecond},
	{400 * time.Millisecond, 12 * time.Millisecond},
}

// While a process is replaced under load, both processes together stay within the calls that the vault survives. Guards against each
// process using the whole share by itself.
func TestReplacementKeepsCallsOfServer(t *testing.T) {
	for _, load := range replacedLoads {
		for range playsOfLoad {
			t.Run(fmt.Sprintf("%s every %s", load.latency, load.gap), func(t *testing.T) {
				t.Parallel()
				peak, _ := newReplacedServer(t, shortPeriod, load.latency).play(load.gap, replace)
				checkPeak(t, peak)
			})
		}
	}
}

// During and after a replacement under load, nine in ten of the calls are served that are served without one. Guards against a process
// that makes no calls until those of the other one are out of the period.
func TestReplacementServesCallsOfServer(t *testing.T) {
	undisturbed, replaced := make([]atomic.Int64, len(replacedLoads)), make([]atomic.Int64, len(replacedLoads))
	t.Run("plays", func(t *testing.T) {
		for i, load := range replacedLoads {
			for range playsOfLoad {
				t.Run(fmt.Sprintf("%s every %s", load.latency, load.gap), func(t *testing.T) {
					t.Parallel()
					_, served := newReplacedServer(t, longPeriod, load.latency).play(load.gap, nil)
					undisturbed[i].Add(int64(served))
				})
				t.Run(fmt.Sprintf("%s every %s, replaced", load.latency, load.gap), func(t *testing.T) {
					t.Parallel()
					peak, served := newReplacedServer(t, longPeriod, load.latency).play(load.gap, replace)
					replaced[i].Add(int64(served))
					checkPeak(t, peak)
				})
			}
		}
	})
	for i, load := range replacedLoads {
		served, without := replaced[i].Load(), undisturbed[i].Load()
		t.Logf("calls of %s every %s: served %d, without a replacement %d", load.latency, load.gap, served, without)
		if float64(served) < minServedShare*float64(without) {
			t.Errorf("calls of %s every %s: served %d, without a replacement %d", load.latency, load.gap, served, without)
		}
	}
}

// checkPeak fails if the vault had more calls in its hands than it survives.
func checkPeak(t *testing.T, peak float64) {
	t.Helper()
	t.Logf("highest mean %.2f", peak)
	if peak > vaultSurvives {
		t.Errorf("the vault had %.2f calls in the mean, it survives %.2f", peak, vaultSurvives)
	}
}

// The same limit when processes are killed, stopped or replaced twice in the overlap, and when new settings lower it.
func TestDisturbedReplacementKeepsCallsOfServer(t *testing.T) {
	for name, disrupt := range map[string]func(*replacedServer, *serverProcess){
		"old process killed": func(s *replacedServer, old *serverProcess) {
			replace(s, old)
			time.Sleep(200 * time.Millisecond)
			s.signal(old, syscall.SIGKILL)
		},
		"new process killed": func(s *replacedServer, old *serverProcess) {
			successor := s.start()
			time.Sleep(800 * time.Millisecond)
			s.signal(successor, syscall.SIGKILL)
		},
		"old process stopped for a while": func(s *replacedServer, old *serverProcess) {
			replace(s, old)
			s.signal(old, syscall.SIGSTOP)
			time.Sleep(time.Second)
			s.signal(old, syscall.SIGCONT)
		},
		"new process stopped for a while": func(s *replacedServer, old *serverProcess) {
			successor := s.start()
			s.signal(old, syscall.SIGTERM)
			time.Sleep(300 * time.Millisecond)
			s.signal(successor, syscall.SIGSTOP)
			time.Sleep(time.Second)
			s.signal(successor, syscall.SIGCONT)
		},
		"replaced twice": func(s *replacedServer, old *serverProcess) {
			second := s.start()
			s.signal(old, syscall.SIGTERM)
			time.Sleep(300 * time.Millisecond)
			s.start()
			s.signal(second, syscall.SIGTERM)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peak, served := newReplacedServer(t, shortPeriod, 400*time.Millisecond).play(25*time.Millisecond, disrupt)
			t.Logf("%d calls served", served)
			checkPeak(t, peak)
		})
	}
}

package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/trace"
)

const (
	soakSeedsEnv    = "PUFFINSADDLE_SOAK_SEEDS"  // seeds to play, such as 1-60 or 7
	soakBinaryEnv   = "PUFFINSADDLE_SOAK_BINARY" // a program to test instead of this tree's
	defaultSeeds    = "1-18"
	readyTimeout    = 30 * time.Second // a start may take this long, by the deployment page
	crossingMS      = 50.0             // a request that crosses the end of its connection within this is sent once more, by the protocol
	ruleToleranceMS = 50.0             // time limits of the rules are longer by this, by the protocol
	drainGraceMS    = 1000.0           // rules.drainGrace of the lab's settings
	exitTimeout     = 5 * time.Second  // for the system to end a killed process
	afterKillMS     = 200.0            // clients go on for this long

	lastAnswersBeforeMS = 100.0 // from the module's last answers to the kill
)

// drainKind selects what disturbs a run.
type drainKind string

const (
	plainRun    drainKind = "plain"
	crowdRun    drainKind = "crowd"    // many clients
	busyRun     drainKind = "busy"     // busy processes beside the server
	stoppedRun  drainKind = "stopped"  // the process is stopped for a while shortly before the kill
	replacedRun drainKind = "replaced" // a second process takes over the sockets
	gatewayRun  drainKind = "gateways" // uwsgi gateways beside the routers
	earlyRun    drainKind = "early"    // SIGTERM before WELCOME
)

// drainKinds is the cycle of kinds by seed. Runs with a stopped process are the most sensitive, so half of them are.
var drainKinds = []drainKind{stoppedRun, plainRun, stoppedRun, replacedRun, stoppedRun, gatewayRun, stoppedRun, busyRun, stoppedRun, crowdRun, stoppedRun, replacedRun, earlyRun}

// plannedSignal is a signal at a time after the first SIGTERM.
type plannedSignal struct {
	signal  syscall.Signal
	afterMS float64
}

// drainPlan is the schedule of one run. The seed determines it.
type drainPlan struct {
	seed          uint64
	kind          drainKind
	stopMS        float64 // from SIGTERM to the kill
	serveMS       float64 // from the start of the load to SIGTERM
	routers       int
	gateways      int
	intervalMS    float64 // mean interval between two requests of a client
	neverEnds     float64 // fraction of the runs that never end
	earlyReload   bool    // SIGHUP before WELCOME
	signals       []plannedSignal
	pauseBeforeMS float64 // when the process is stopped, before the kill; 0: never
	pauseMS       float64
	busyProcesses int
}

func newDrainPlan(seed uint64) drainPlan {
	rng := rand.New(rand.NewPCG(seed, 31))
	p := drainPlan{seed: seed, kind: drainKinds[seed%uint64(len(drainKinds))], stopMS: 600 + rng.Float64()*2600, serveMS: 100 + rng.Float64()*400,
		routers: 2 + rng.IntN(19), intervalMS: 4 + rng.Float64()*40, earlyReload: rng.IntN(2) == 0}
	if rng.IntN(2) == 0 {
		p.neverEnds = 0.4
	}
	for range rng.IntN(4) {
		p.signals = append(p.signals, plannedSignal{[]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[rng.IntN(2)], rng.Float64() * p.stopMS})
	}
	slices.SortFunc(p.signals, func(a, b plannedSignal) int { return int(a.afterMS - b.afterMS) })
	pauseBeforeMS, pauseMS := rng.Float64()*300, 30+rng.Float64()*30
	if rng.IntN(2) == 0 {
		pauseBeforeMS = 25 + pauseBeforeMS/4 // around the last answers and the end
	}
	switch p.kind {
	case stoppedRun:
		p.pauseBeforeMS, p.pauseMS, p.neverEnds = pauseBeforeMS, pauseMS, 0.4
	case crowdRun:
		p.routers, p.intervalMS = 100, 100
	case busyRun:
		p.busyProcesses = 2 * runtime.NumCPU()
		if rng.IntN(4) == 0 {
			p.busyProcesses = 8 * runtime.NumCPU()
		}
	case gatewayRun:
		p.gateways = 4
	}
	return p
}

// newLastAnswersPlan returns a plan in which the process is stopped for 52 to 60 ms from 58 to 66 ms before the kill. It goes
// on just before the kill, if at all.
func newLastAnswersPlan(seed uint64) drainPlan {
	rng := rand.New(rand.NewPCG(seed, 32))
	p := newDrainPlan(seed)
	p.kind, p.neverEnds, p.busyProcesses, p.gateways = stoppedRun, 0.4, 0, 0
	p.stopMS = 700 + rng.Float64()*500
	p.pauseBeforeMS, p.pauseMS = 58+rng.Float64()*8, 52+rng.Float64()*8
	return p
}

// newBeforeLastAnswersPlan is newLastAnswersPlan with a stop that begins 4 ms before to 4 ms after the module's last answers.
func newBeforeLastAnswersPlan(seed uint64) drainPlan {
	p := newLastAnswersPlan(seed)
	p.pauseBeforeMS += lastAnswersBeforeMS - 62
	return p
}

// drainProcess is one process of the program under test.
type drainProcess struct {
	cmd      *exec.Cmd
	logPath  string
	operator string
	executor *fakeExecutor
	exited   chan struct{}
}

// drainRun is one run in progress.
type drainRun struct {
	t       *testing.T
	plan    drainPlan
	binary  string
	dir     string
	router  string // address for routers
	gateway string // address for gateways
	vault   *fakeVault
	clk     *clock.Clock
	clients *soakClients
	welcome chan struct{} // closed when executors may send WELCOME

	mu   sync.Mutex
	runs map[string]int // by request id
}

// drainResult is what one run counted.
type drainResult struct {
	requests, crossed, lost, twice, ranTwice, ranRefused, ranLate, owed, killed int
	lastMomentsMS                                                               []float64 // of crossed requests: time from sending to the end
	faults                                                                      []string
}

func (r *drainResult) fault(format string, a ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, a...))
}

// newExecutor starts a fake executor that counts runs and holds WELCOME back until the run permits it.
func (r *drainRun) newExecutor() *fakeExecutor {
	x, err := newFakeExecutor("soak", func(trace.Event) {}, func() (bool, float64) { <-r.welcome; return false, 1000 })
	if err != nil {
		r.t.Fatal(err)
	}
	x.onRun = func(id string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[id]++
	}
	x.neverEnds = func(id string) bool {
		n, _ := strconv.ParseUint(id, 16, 64)
		return float64(n%1000) < r.plan.neverEnds*1000
	}
	r.t.Cleanup(func() { x.ln.Close() })
	return x
}

// start starts a process of the program with an executor of its own.
func (r *drainRun) start(number int) *drainProcess {
	p := &drainProcess{executor: r.newExecutor(), exited: make(chan struct{})}
	var err error
	if p.operator, err = freeAddress("127.0.0.1"); err != nil {
		r.t.Fatal(err)
	}
	path := filepath.Join(r.dir, fmt.Sprintf("config%d.json", number))
	file := PlatformFile{Name: "soak", Listen: r.router, Executor: p.executor.ln.Addr().String(), Vault: r.vault.ln.Addr().String(), OperatorAddress: p.operator,
		Seed: r.plan.seed, Servers: 1, VaultSlots: r.vault.slots, MemoryMB: 192, Sockets: 1024, StopTimeoutMS: r.plan.stopMS}
	if err := file.Write(path); err != nil {
		r.t.Fatal(err)
	}
	p.cmd = exec.Command(r.binary)
	p.cmd.Env = []string{"RELAY_CONFIG=" + path, "TMPDIR=" + r.dir}
	if r.plan.gateways > 0 {
		operator := filepath.Join(r.dir, "operator.yaml")
		if err := os.WriteFile(operator, fmt.Appendf(nil, "uwsgi: {listen: %q, read_ms: 500}\n", r.gateway), 0o600); err != nil {
			r.t.Fatal(err)
		}
		p.cmd.Env = append(p.cmd.Env, "PUFFINSADDLE_OPERATOR="+operator)
	}
	p.logPath = filepath.Join(r.dir, fmt.Sprintf("log%d", number))
	log, err := os.Create(p.logPath)
	if err != nil {
		r.t.Fatal(err)
	}
	defer log.Close()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	r.t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

// waitReady waits until the process is ready and reports whether it is in time.
func (p *drainProcess) waitReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		response, err := client.Get("http://" + p.operator + "/-/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// sleepUntil waits until a time in Unix milliseconds.
func (r *drainRun) sleepUntil(atMS float64) { time.Sleep(clock.Duration(atMS - r.clk.Now())) }

// drain sends the signals of the plan to a process, stops it as planned and kills it, all while clients go on. It returns when
// SIGTERM was sent and how long the process was stopped, as intervals.
func (r *drainRun) drain(p *drainProcess) (termMS, killMS float64, paused [2]float64) {
	termMS = r.clk.Now()
	p.cmd.Process.Signal(syscall.SIGTERM)
	killMS = termMS + r.plan.stopMS
	var wait sync.WaitGroup
	wait.Go(func() {
		for _, s := range r.plan.signals {
			r.sleepUntil(termMS + s.afterMS)
			p.cmd.Process.Signal(s.signal)
		}
	})
	if r.plan.pauseMS > 0 {
		pauseAtMS := killMS - r.plan.pauseBeforeMS
		wait.Go(func() {
			r.sleepUntil(pauseAtMS)
			paused[0] = r.clk.Now()
			p.cmd.Process.Signal(syscall.SIGSTOP)
			r.sleepUntil(paused[0] + r.plan.pauseMS)
			p.cmd.Process.Signal(syscall.SIGCONT)
			paused[1] = r.clk.Now()
		})
	}
	select {
	case <-p.exited:
	case <-time.After(clock.Duration(killMS - r.clk.Now())):
		killMS = r.clk.Now()
		p.cmd.Process.Kill()
	}
	select {
	case <-p.exited:
	case <-time.After(exitTimeout):
		r.t.Fatal("the process did not end")
	}
	wait.Wait()
	return termMS, killMS, paused
}

// startBusyProcesses starts processes that use the processor until the test ends.
func startBusyProcesses(t *testing.T, n int) (stop func()) {
	var all []*exec.Cmd
	for range n {
		cmd := exec.Command("sh", "-c", "while :; do :; done")
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		all = append(all, cmd)
	}
	return sync.OnceFunc(func() {
		for _, cmd := range all {
			cmd.Process.Kill()
			cmd.Wait()
		}
	})
}

// playDrain plays the run of one seed.
func playDrain(t *testing.T, binary string, plan drainPlan) (result drainResult) {
	dir, err := os.MkdirTemp("", "soak") // short, since it holds a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	r := &drainRun{t: t, plan: plan, binary: binary, dir: dir, clk: clock.System(), clients: newSoakClients(plan.seed), welcome: make(chan struct{}),
		runs: map[string]int{}}
	if r.vault, err = newFakeVault(100); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.vault.ln.Close() })
	for _, address := range []*string{&r.router, &r.gateway} {
		if *address, err = freeAddress(fmt.Sprintf("127.78.%d.1", os.Getpid()%250+1)); err != nil {
			t.Fatal(err)
		}
	}
	stopBusy := startBusyProcesses(t, plan.busyProcesses)
	defer stopBusy()
	first := r.start(1)
	if plan.kind == earlyRun || plan.earlyReload {
		r.waitForLog(first, "serving operators")
		first.cmd.Process.Signal(syscall.SIGHUP)
	}
	if plan.kind == earlyRun {
		r.drain(first)
		r.checkExit(&result, first)
		return result
	}
	close(r.welcome)
	if !first.waitReady() {
		result.fault("the start took over %s", readyTimeout)
		return result
	}
	for i := range plan.routers {
		r.clients.wait.Go(func() { r.clients.runRouter(r.router, i, plan.intervalMS, i%3 == 0) })
	}
	for i := range plan.gateways {
		r.clients.wait.Go(func() { r.clients.runGateway(r.gateway, 1000+i, plan.intervalMS) })
	}
	processes := []*drainProcess{first}
	if plan.kind == replacedRun {
		second := r.start(2)
		if !second.waitReady() {
			result.fault("the start of the second process took over %s", readyTimeout)
			return result
		}
		r.waitForLog(first, "a successor serves")
		processes = append(processes, second)
	}
	var paused [2]float64
	var termMS, killMS float64
	for _, p := range processes {
		time.Sleep(clock.Duration(plan.serveMS))
		termMS, killMS, paused = r.drain(p)
		r.checkExit(&result, p)
	}
	r.sleepUntil(killMS + afterKillMS)
	close(r.clients.stop)
	r.clients.wait.Wait()
	r.check(&result, termMS, paused)
	return result
}

// logText returns what the process has logged.
func (p *drainProcess) logText() string {
	b, _ := os.ReadFile(p.logPath)
	return string(b)
}

// waitForLog waits for a text in the log of a process.
func (r *drainRun) waitForLog(p *drainProcess, text string) {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(2 * time.Millisecond) {
		if strings.Contains(p.logText(), text) {
			return
		}
		if time.Now().After(deadline) {
			r.t.Fatalf("the log has no %q within %s: %s", text, readyTimeout, p.logText())
		}
	}
}

// leavingLine is the log line of a process that ends by itself.
type leavingLine struct {
	Message string `json:"message"`
	Owed    int    `json:"owed"`
}

// checkExit checks how a process ended.
func (r *drainRun) checkExit(result *drainResult, p *drainProcess) {
	status := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	switch {
	case status.Signaled() && status.Signal() == syscall.SIGKILL:
		result.killed++
	case status.ExitStatus() != 0:
		result.fault("exit status %v: %s", p.cmd.ProcessState, p.logText())
	}
	for _, line := range strings.Split(p.logText(), "\n") {
		var l leavingLine
		if json.Unmarshal([]byte(line), &l) == nil && strings.HasPrefix(l.Message, "leaving") && l.Owed > 0 {
			result.owed += l.Owed
			result.fault("%s", line)
		}
	}
}

// check counts the requests by how they ended.
func (r *drainRun) check(result *drainResult, termMS float64, paused [2]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.clients.unknownTags; n > 0 {
		result.twice += n
		result.fault("%d answers to tags that were never sent", n)
	}
	for _, q := range r.clients.requests {
		if q.sentMS == 0 {
			continue // never sent in full
		}
		result.requests++
		runs := r.runs[q.id]
		leftMS := q.endMS - q.sentMS - max(min(paused[1], q.endMS)-max(paused[0], q.sentMS), 0)
		switch {
		case len(q.answers) > 1:
			result.twice++
			result.fault("%s was answered twice: %q", q.id, q.answers)
		case len(q.answers) == 0 && q.afterClosing && leftMS < crossingMS:
			result.crossed++
			result.lastMomentsMS = append(result.lastMomentsMS, leftMS)
		case len(q.answers) == 0:
			result.lost++
			result.fault("%s got no answer: sent %.1f ms before the end of its connection (%.1f ms without the stop), after closing: %t, runs: %d",
				q.id, q.endMS-q.sentMS, leftMS, q.afterClosing, runs)
		case q.answers[0] == "later" && runs > 0:
			result.ranRefused++
			result.fault("%s was refused and ran", q.id)
		}
		if runs > 1 {
			result.ranTwice++
			result.fault("%s ran %d times", q.id, runs)
		}
		if runs > 0 && q.sentMS > termMS+drainGraceMS+ruleToleranceMS {
			result.ranLate++
			result.fault("%s ran, though sent %.1f ms after the notice", q.id, q.sentMS-termMS)
		}
	}
}

// soakSeeds returns the seeds to play.
func soakSeeds() (seeds []uint64, err error) {
	text := os.Getenv(soakSeedsEnv)
	if text == "" {
		text = defaultSeeds
	}
	from, to, isRange := strings.Cut(text, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	last, lastErr := first, error(nil)
	if isRange {
		last, lastErr = strconv.ParseUint(to, 10, 64)
	}
	if err := errors.Join(err, lastErr); err != nil {
		return nil, err
	}
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// soakProgram returns the program to test, which it builds unless one is given.
func soakProgram(t *testing.T) string {
	if binary := os.Getenv(soakBinaryEnv); binary != "" {
		return binary
	}
	binary := filepath.Join(t.TempDir(), "puffinsaddle")
	if out, err := exec.Command("go", "build", "-o", binary, "puffinsaddle/cmd/puffinsaddle").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// Guards against requests without exactly one answer, and other broken rules of the protocol, while a process is drained or
// replaced. Clients send until the kill, which comes as early as the platform may send it.
func TestDrainSoak(t *testing.T) { playSoak(t, newDrainPlan) }

// Guards against requests that get no answer because the process is stopped when the module's last answers are due and goes
// on just before the kill.
func TestDrainSoakStoppedAtLastAnswers(t *testing.T) { playSoak(t, newLastAnswersPlan) }

// Guards against requests that get no answer because the process is stopped for up to 60 ms as the module's last answers are
// due.
func TestDrainSoakStoppedBeforeLastAnswers(t *testing.T) { playSoak(t, newBeforeLastAnswersPlan) }

// playSoak plays the plans of all seeds and fails the test if a run has a fault.
func playSoak(t *testing.T, newPlan func(seed uint64) drainPlan) {
	seeds, err := soakSeeds()
	if err != nil {
		t.Fatalf("%s: %v", soakSeedsEnv, err)
	}
	binary := soakProgram(t)
	results := map[drainKind][]drainResult{}
	failed := map[drainKind]int{}
	for _, seed := range seeds {
		plan := newPlan(seed)
		result := playDrain(t, binary, plan) // one after another: a run beside others would disturb them
		results[plan.kind] = append(results[plan.kind], result)
		if len(result.faults) == 0 {
			continue
		}
		failed[plan.kind]++
		shown := result.faults[:min(len(result.faults), 5)]
		t.Errorf("%d faults in a %s run: %s\nplan: %+v\nto play it again: %s=%d go test -count=1 -run '^%s$' ./internal/lab",
			len(result.faults), plan.kind, strings.Join(shown, "\n  "), plan, soakSeedsEnv, seed, t.Name())
	}
	t.Log("\n" + soakTable(results, failed))
}

// soakTable formats the counts by kind of run.
func soakTable(results map[drainKind][]drainResult, failed map[drainKind]int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| kind | runs | failed | requests | lost | twice | ran twice | ran refused | ran late | owed | killed | crossed the end (ms before it, at most) |\n")
	fmt.Fprintf(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	kinds := slices.Clone(drainKinds)
	slices.Sort(kinds)
	for _, kind := range slices.Compact(kinds) {
		var sum drainResult
		longestMS := 0.0
		for _, r := range results[kind] {
			sum.requests += r.requests
			sum.lost += r.lost
			sum.twice += r.twice
			sum.ranTwice += r.ranTwice
			sum.ranRefused += r.ranRefused
			sum.ranLate += r.ranLate
			sum.owed += r.owed
			sum.killed += r.killed
			sum.crossed += r.crossed
			for _, ms := range r.lastMomentsMS {
				longestMS = max(longestMS, ms)
			}
		}
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d (%.1f) |\n", kind, len(results[kind]), failed[kind],
			sum.requests, sum.lost, sum.twice, sum.ranTwice, sum.ranRefused, sum.ranLate, sum.owed, sum.killed, sum.crossed, longestMS)
	}
	return b.String()
}

// Guards against a soak that counts a fault as allowed, or an allowed case as a fault.
func TestDrainCheckFindsEachFault(t *testing.T) {
	const sentMS, endMS = 10_000.0, 11_000.0
	for _, c := range []struct {
		name    string
		request soakRequest
		runs    int
		termMS  float64
		paused  [2]float64
		want    drainResult
	}{
		{name: "served", request: soakRequest{answers: []string{"done"}}, runs: 1},
		{name: "refused", request: soakRequest{answers: []string{"later"}}},
		{name: "lost", request: soakRequest{}, want: drainResult{lost: 1}},
		{name: "lost after closing", request: soakRequest{afterClosing: true}, want: drainResult{lost: 1}},
		{name: "lost in the last moments, before closing", request: soakRequest{sentMS: endMS - 1}, want: drainResult{lost: 1}},
		{name: "crossed the end", request: soakRequest{afterClosing: true, sentMS: endMS - crossingMS + 1}, want: drainResult{crossed: 1}},
		{name: "just too early to have crossed the end", request: soakRequest{afterClosing: true, sentMS: endMS - crossingMS}, want: drainResult{lost: 1}},
		{name: "sent to a stopped process", request: soakRequest{afterClosing: true, sentMS: endMS - 80}, paused: [2]float64{endMS - 90, endMS - 10}, want: drainResult{crossed: 1}},
		{name: "sent long before a stop", request: soakRequest{afterClosing: true}, paused: [2]float64{endMS - 90, endMS - 10}, want: drainResult{lost: 1}},
		{name: "answered twice", request: soakRequest{answers: []string{"done", "error"}}, runs: 1, want: drainResult{twice: 1}},
		{name: "run twice", request: soakRequest{answers: []string{"done"}}, runs: 2, want: drainResult{ranTwice: 1}},
		{name: "run and refused", request: soakRequest{answers: []string{"later"}}, runs: 1, want: drainResult{ranRefused: 1}},
		{name: "run after the grace", request: soakRequest{answers: []string{"done"}}, runs: 1, termMS: sentMS - drainGraceMS - ruleToleranceMS - 1, want: drainResult{ranLate: 1}},
		{name: "run at the end of the grace", request: soakRequest{answers: []string{"done"}}, runs: 1, termMS: sentMS - drainGraceMS - ruleToleranceMS},
	} {
		q := c.request
		q.id, q.endMS = "a", endMS
		if q.sentMS == 0 {
			q.sentMS = sentMS
		}
		if c.termMS == 0 {
			c.termMS = sentMS
		}
		r := &drainRun{clients: &soakClients{requests: []*soakRequest{&q}}, runs: map[string]int{q.id: c.runs}}
		var got drainResult
		r.check(&got, c.termMS, c.paused)
		wantFaults := c.want.lost + c.want.twice + c.want.ranTwice + c.want.ranRefused + c.want.ranLate
		if len(got.faults) != wantFaults {
			t.Errorf("%s: faults %q, want %d", c.name, got.faults, wantFaults)
		}
		got.faults, got.lastMomentsMS, c.want.requests = nil, nil, 1
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: counted %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against a soak that does not see that a gateway gets more than one response.
func TestGatewayReadsAllResponses(t *testing.T) {
	const done, refused = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for input, want := range map[string][]string{
		"":                      nil,
		done[:20]:               nil,
		done[:len(done)-1]:      nil,
		done:                    {"done"},
		refused:                 {"later"},
		done + done:             {"done", "done"},
		done + refused:          {"done", "later"},
		refused + done[:20]:     {"later", "incomplete"},
		done + "bytes after it": {"done", "incomplete"},
	} {
		if got := readResponses(strings.NewReader(input)); !slices.Equal(got, want) {
			t.Errorf("%q: answers %q, want %q", input, got, want)
		}
	}
}

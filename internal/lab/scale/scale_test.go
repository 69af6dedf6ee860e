package scale

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/trace"
)

func TestFaultScheduleIsDeterministic(t *testing.T) {
	a, b := faultSchedule(7), faultSchedule(7)
	if !reflect.DeepEqual(a, b) || len(a) != len(faultKinds) {
		t.Errorf("the schedules differ or are incomplete: %d and %d faults", len(a), len(b))
	}
	if reflect.DeepEqual(a, faultSchedule(8)) {
		t.Error("another seed gives the same schedule")
	}
	for i, f := range a {
		if f.At < 0 || f.At+f.For > 1 || i > 0 && f.At < a[i-1].At+a[i-1].For {
			t.Errorf("fault outside the phase or overlapping: %+v", f)
		}
	}
}

// Invalid flags must be rejected with the reason before any process starts.
func TestInvalidFlagsAreRejected(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for reason, change := range map[string]func(c *Cmd){
		"sizes must rise":              func(c *Cmd) { c.Servers = []int{300, 300} },
		"at most":                      func(c *Cmd) { c.Servers = []int{300, 30000} },
		"are fewer than":               func(c *Cmd) { c.Servers = []int{0} },
		"names no fleet size":          func(c *Cmd) { c.Servers = nil },
		"--plant: unknown bug":         func(c *Cmd) { c.Plant = "no-such-bug" },
		"--for must":                   func(c *Cmd) { c.For = 0 },
		"--regions must":               func(c *Cmd) { c.Regions = 30 },
		"--real must":                  func(c *Cmd) { c.Real = 0 },
		"--routes and --tenants":       func(c *Cmd) { c.Tenants = 0 },
		"processes would be started":   func(c *Cmd) { c.Zones = 200 },
		"half of the machine's memory": func(c *Cmd) { c.Tenants, c.Real = 2000000, 100 },
		"--out:":                       func(c *Cmd) { c.Out = filepath.Join(file, "below") },
	} {
		c := Cmd{Servers: []int{300, 1000}, For: time.Second, Out: filepath.Join(t.TempDir(), "out"), Zones: 23, Regions: 6, Real: 6, Routes: 1000, Tenants: 1000, Sessions: true}
		change(&c)
		if err := c.Run(&bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("error must contain %q: %v", reason, err)
		}
	}
}

// violationsIn returns the violations in the trace of one server, where the store committed three revisions.
func violationsIn(t *testing.T, events ...trace.Event) []string {
	t.Helper()
	out := t.TempDir()
	write := func(name string, all []trace.Event) {
		var b []byte
		for _, e := range all {
			text, err := json.Marshal(e)
			if err != nil {
				t.Fatal(err)
			}
			b = append(append(b, text...), '\n')
		}
		if err := os.MkdirAll(filepath.Join(out, "traces"), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(out, "traces", name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("c1.1.trace", []trace.Event{{At: 10, What: trace.CommitAgreed, N: 1, Text: "d1"}, {At: 20, What: trace.CommitAgreed, N: 2, Text: "d2"}, {At: 30, What: trace.CommitAgreed, N: 3, Text: "d3"}})
	for i := range events {
		events[i].Who = "z01-h1"
	}
	write("hollow-z01.0.trace", events)
	return checkTraces(&outcome{setup: Setup{Out: out}, points: make([]Point, 1), sizeSpans: []span{{0, 100}}}).violations
}

// The checker must find each kind of violation, and none in a correct trace.
func TestCheckerFindsViolations(t *testing.T) {
	force := func(at float64, from, to uint64, digest string) trace.Event {
		return trace.Event{At: at, What: trace.CommitsInForce, Index: from, N: to, Text: digest}
	}
	install := func(at float64, n uint64, digest string) trace.Event {
		return trace.Event{At: at, What: trace.RecordsInstalled, N: n, Text: digest}
	}
	if v := violationsIn(t, install(5, 0, ""), force(12, 1, 1, "d1"), force(31, 2, 3, "d3"), trace.Event{At: 32, What: trace.RevisionReported, N: 3}); len(v) > 0 {
		t.Errorf("violations in a correct trace: %v", v)
	}
	for want, events := range map[string][]trace.Event{
		"skipped":                 {force(12, 1, 1, "d1"), force(31, 3, 3, "d3")},
		"doubled or out of order": {force(12, 1, 1, "d1"), force(21, 1, 2, "d2"), force(31, 3, 3, "d3")},
		"never committed":         {force(12, 1, 1, "d1"), force(31, 2, 3, "d3"), force(41, 4, 4, "d4")},
		"the committed digest is": {force(12, 1, 1, "d1"), force(31, 2, 3, "dx")},
		"before it was committed": {force(12, 1, 1, "d1"), force(25, 2, 3, "d3")},
		"reported revision":       {force(12, 1, 1, "d1"), {At: 25, What: trace.RevisionReported, N: 3}, force(31, 2, 3, "d3")},
		"installed a snapshot of revision 3 with digest": {install(31, 3, "d2")},
		"ended at revision": {force(12, 1, 1, "d1")},
	} {
		found := violationsIn(t, events...)
		if len(found) == 0 || !strings.Contains(strings.Join(found, "\n"), want) {
			t.Errorf("violations must contain %q: %v", want, found)
		}
	}
}

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "puffinsaddle")
	if out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/puffinsaddle").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// smallRunArgs returns the arguments of a small run.
func smallRunArgs(t *testing.T, args ...string) []string {
	return append([]string{"lab", "scale", "--servers", "20", "--zones", "4", "--regions", "2", "--real", "2", "--routes", "300", "--tenants", "900", "--for", "4s", "--out", t.TempDir()}, args...)
}

// runningProcesses returns the ids of the processes that run a program.
func runningProcesses(t *testing.T, binary string) (pids []string) {
	t.Helper()
	links, err := filepath.Glob("/proc/[0-9]*/exe")
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == binary {
			pids = append(pids, filepath.Base(filepath.Dir(link)))
		}
	}
	return pids
}

// An interrupt must end the run, which prints the reason, and every process that the run started.
func TestInterruptEndsAllProcesses(t *testing.T) {
	const runTimeout = 2 * time.Minute
	binary := buildProgram(t)
	cmd := exec.Command(binary, smallRunArgs(t, "--for", "60s")...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	var errs bytes.Buffer
	cmd.Stderr = &errs
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killTimer := time.AfterFunc(runTimeout, func() { cmd.Process.Kill() })
	defer killTimer.Stop()
	started := false
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if strings.Contains(lines.Text(), "have them from snapshots") {
			started = true
			if n := len(runningProcesses(t, binary)); n < 10 {
				t.Errorf("%d processes are running, want at least 10", n)
			}
			cmd.Process.Signal(os.Interrupt)
		}
	}
	err = cmd.Wait()
	var exit *exec.ExitError
	if !started || !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(errs.String(), "ended before its time") {
		t.Errorf("started %v; exit %v; %s", started, err, errs.String())
	}
	if left := runningProcesses(t, binary); len(left) > 0 {
		t.Errorf("processes still running: %v", left)
	}
}

// executeSmallRun executes a small run and returns its exit status, its result and its output.
func executeSmallRun(t *testing.T, binary string, args ...string) (status int, r Result, text string) {
	t.Helper()
	cmd := exec.Command(binary, smallRunArgs(t, args...)...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	json.Unmarshal([]byte(lines[len(lines)-1]), &r)
	return cmd.ProcessState.ExitCode(), r, string(out)
}

// A small run with every kind of fault must have no violations, and each injected bug must be found.
func TestSmallRunFindsOnlyInjectedBugs(t *testing.T) {
	binary := buildProgram(t)
	t.Run("none", func(t *testing.T) {
		t.Parallel()
		status, r, text := executeSmallRun(t, binary)
		if status != 0 || r.Violations != 0 || len(r.Points) != 1 {
			t.Fatalf("status %d:\n%s", status, text)
		}
		if p := r.Points[0]; p.Faults != len(faultKinds) || p.Changes < 100 || p.InForceP50 <= 0 || p.LeaderConfigBytes <= 0 || p.ServerMemory <= 0 {
			t.Errorf("%+v", p)
		}
	})
	for bug, wantText := range map[string]string{
		distribution.BugLostChange:       "skipped",
		distribution.BugEarlyReport:      "reported revision",
		distribution.BugSnapshotRevision: "installed a snapshot",
	} {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			status, r, text := executeSmallRun(t, binary, "--plant", bug)
			if status != 1 || r.Violations == 0 || !strings.Contains(text, wantText) {
				t.Errorf("status %d:\n%s", status, text)
			}
		})
	}
}

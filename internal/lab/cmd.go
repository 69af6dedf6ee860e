// Package lab is the fault-injection harness: it starts many processes of the program, connected by links that can be cut,
// delayed, throttled and reset, stalls and kills the processes, and checks the invariants on the traces that they write.
package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"puffinsaddle/internal/config"
)

// ErrInvariantViolated is returned when an invariant was violated; the output names it.
var ErrInvariantViolated = errors.New("lab: an invariant was violated")

// UsageError reports invalid flags of a command.
type UsageError struct{ Text string }

func (e *UsageError) Error() string { return "lab: " + e.Text }

// Cmd holds the lab's commands.
type Cmd struct {
	Duties DutiesCmd `cmd:"" help:"Duties that one order server holds at a time, under faults."`
}

// DutiesCmd is the command that runs order servers that hold duties while faults are injected. Its flags and the JSON of the
// last line of its output are a stable interface.
type DutiesCmd struct {
	Seed       uint64        `default:"1" help:"One seed gives one schedule."`
	For        time.Duration `default:"60s" help:"How long the load runs."`
	Copies     int           `default:"3" help:"Copies of the store."`
	Servers    int           `default:"12" help:"Order servers, those with a copy included."`
	Out        string        `default:"lab-out" help:"A folder for logs, traces and the report."`
	Plant      string        `help:"A bug to plant."`
	Scenario   string        `default:"all" help:"Which faults."`
	Load       float64       `default:"60" help:"Requests a second."`
	Slots      int           `default:"0" help:"Of the vault; 0: one and a half a server, and two for each that may be beside itself."`
	Static     bool          `help:"No allotter: each server has an equal share."`
	OtherBuild string        `name:"other-build" help:"Another build of the program, played with the same seed beside this one."`
	List       bool          `help:"Name the scenarios and the bugs that can be planted."`
}

// Result is printed as JSON in the last line of the output. Fields whose names end in MS are in ms.
type Result struct {
	Seed                uint64              `json:"seed"`
	Violations          int                 `json:"violations"`
	Commands            int                 `json:"acts"`
	StaleRefused        int                 `json:"stale_refused"`
	Handovers           int                 `json:"handovers"`
	GapP50MS            float64             `json:"gap_ms_p50"`
	GapMaxMS            float64             `json:"gap_ms_max"`
	Gaps                map[string]GapStats `json:"gaps"` // by the reason why the preceding lease ended, and whether another leader was elected
	ExcessiveGaps       int                 `json:"gaps_over_terms"`
	Faults              int                 `json:"faults"`
	Effects             int                 `json:"effects"`
	EffectsTwice        int                 `json:"effects_twice"`
	Worth               float64             `json:"worth"`
	Served              Served              `json:"served"`
	Calls               int                 `json:"calls"`
	MaxConcurrentCalls  int                 `json:"calls_most"`
	MeanConcurrentCalls float64             `json:"calls_mean"`
	TTLMS               float64             `json:"ttl_ms"`
	Diverged            int                 `json:"divergence_found"`
	Rejoined            int                 `json:"joined_anew"`
	CatchUpMaxMS        float64             `json:"catch_up_ms_max"`
}

// GapStats summarizes the gaps of one kind.
type GapStats struct {
	Count int     `json:"n"`
	P50MS float64 `json:"p50"`
	MaxMS float64 `json:"max"`
}

// Run runs the scenario, writes the report page and prints the result.
func (c *DutiesCmd) Run(out io.Writer) error {
	if c.List {
		fmt.Fprintln(out, "scenarios:")
		for _, s := range Scenarios {
			fmt.Fprintf(out, "  %-8s %s\n", s.Name, s.Text)
		}
		fmt.Fprintln(out, "plants:")
		for _, p := range config.InjectedBugs {
			fmt.Fprintln(out, "  "+p)
		}
		return nil
	}
	setup, err := c.setup()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var pages []Page
	for i, binary := range []string{setup.Binary, c.OtherBuild} {
		if binary == "" {
			continue
		}
		s := setup
		s.Binary, s.Out = binary, filepath.Join(setup.Out, []string{"run", "other"}[i])
		fmt.Fprintf(out, "seed %d, faults: %s\n", s.Seed, ListKinds(Schedule(s.Seed, s.Scenario, s.Seconds)))
		o, err := Execute(ctx, s)
		if err != nil {
			return err
		}
		f := Check(o)
		pages = append(pages, Page{Title: []string{"this build", "the other build"}[i], Setup: s, Outcome: o, Findings: f, Result: newResult(s, o, f)})
	}
	file, err := os.Create(filepath.Join(setup.Out, "report.html"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := Report(file, pages); err != nil {
		return err
	}
	fmt.Fprintln(out, "report:", file.Name())
	p := pages[0]
	for _, v := range p.Findings.Violations {
		fmt.Fprintf(out, "broken: %s: %s", v.Rule, v.Text)
		for _, e := range v.Trace {
			b, err := json.Marshal(e)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, " | %s", b)
		}
		fmt.Fprintln(out)
	}
	b, err := json.Marshal(p.Result)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, string(b))
	if len(p.Findings.Violations) > 0 {
		return ErrInvariantViolated
	}
	return nil
}

// setup validates the flags and returns the setup of the run.
func (c *DutiesCmd) setup() (Setup, error) {
	s, ok := findScenario(c.Scenario)
	binary, err := os.Executable()
	if err != nil {
		return Setup{}, err
	}
	if c.Slots == 0 {
		c.Slots = c.Servers*3/2 + 2
	}
	out, err := filepath.Abs(c.Out)
	switch {
	case err != nil:
		return Setup{}, err
	case !ok:
		return Setup{}, &UsageError{fmt.Sprintf("--scenario: unknown scenario %q; --list names them", c.Scenario)}
	case c.Plant != "" && !slices.Contains(config.InjectedBugs, c.Plant):
		return Setup{}, &UsageError{fmt.Sprintf("--plant: unknown bug %q; known bugs are %s", c.Plant, strings.Join(config.InjectedBugs, ", "))}
	case c.Copies != 3 && c.Copies != 5 && c.Copies != 7:
		return Setup{}, &UsageError{fmt.Sprintf("--copies must be 3, 5 or 7, not %d", c.Copies)}
	case c.Servers < c.Copies || c.Servers > 100:
		return Setup{}, &UsageError{fmt.Sprintf("--servers must be from --copies to 100, not %d", c.Servers)}
	case c.For < 5*time.Second || c.For > time.Hour:
		return Setup{}, &UsageError{fmt.Sprintf("--for must be from 5s to 1h, not %s", c.For)}
	case !(c.Load >= 0) || c.Load > 2000:
		return Setup{}, &UsageError{fmt.Sprintf("--load must be from 0 to 2000, not %v", c.Load)}
	case c.Slots*1000 < aloneMilli*(c.Servers+2):
		return Setup{}, &UsageError{fmt.Sprintf("--slots must be %d or more for %d servers", int(math.Ceil(aloneMilli*float64(c.Servers+2)/1000)), c.Servers)}
	}
	return Setup{Binary: binary, Out: out, Seed: c.Seed, Seconds: c.For.Seconds(), Replicas: c.Copies, Servers: c.Servers, Scenario: s, InjectedBug: c.Plant,
		RequestsPerSecond: max(c.Load, 0.1), NoAllotter: c.Static, VaultSlots: c.Slots}, nil
}

// newResult summarizes a run.
func newResult(s Setup, o *Outcome, f *Findings) Result {
	r := Result{Seed: s.Seed, Violations: len(f.Violations), Commands: f.Commands, StaleRefused: f.StaleRefused, Handovers: f.Handovers, Faults: len(o.Faults),
		Effects: f.Effects, EffectsTwice: f.EffectsTwice, Worth: o.Served.Worth, Served: o.Served, Calls: o.Vault.Calls, MaxConcurrentCalls: o.Vault.MaxInFlight,
		MeanConcurrentCalls: o.Vault.MeanInFlight, TTLMS: ttlMS, Gaps: map[string]GapStats{}, Diverged: f.Diverged, Rejoined: f.Rejoined, CatchUpMaxMS: maximum(f.CatchUpMS)}
	gapsByCause := map[string][]float64{}
	var allMS []float64
	for _, g := range f.Gaps {
		allMS = append(allMS, g.LengthMS())
		cause := g.Cause
		if g.NewLeaderAt > 0 {
			cause += ", and another copy took office"
		}
		gapsByCause[cause] = append(gapsByCause[cause], g.LengthMS())
		if g.Excessive() {
			r.ExcessiveGaps++
		}
	}
	r.GapP50MS, r.GapMaxMS = median(allMS), maximum(allMS)
	for cause, ms := range gapsByCause {
		r.Gaps[cause] = GapStats{len(ms), median(ms), maximum(ms)}
	}
	return r
}

// median returns the median rounded to an integer, or 0 for an empty slice.
func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Sorted(slices.Values(v))
	return math.Round(v[len(v)/2])
}

// maximum returns the maximum rounded to an integer, or 0 for an empty slice.
func maximum(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return math.Round(slices.Max(v))
}

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

// UsageError is an error in the flags of a command.
type UsageError struct{ Text string }

func (w *UsageError) Error() string { return "lab: " + w.Text }

// Cmd holds the lab's commands.
type Cmd struct {
	Duties DutiesCmd `cmd:"" help:"Duties that one order server holds at a time, under faults."`
}

// DutiesCmd runs order servers that hold duties while faults are injected. Its flags and the JSON of its last output line are
// stable.
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

// Result is the last line of the output. Durations are in ms, calls in calls at once.
type Result struct {
	Seed         uint64         `json:"seed"`
	Violations   int            `json:"violations"`
	Acts         int            `json:"acts"`
	Stale        int            `json:"stale_refused"`
	Handovers    int            `json:"handovers"`
	GapP50       float64        `json:"gap_ms_p50"`
	GapMax       float64        `json:"gap_ms_max"`
	Gaps         map[string]Sum `json:"gaps"` // by why the preceding lease ended, and whether another leader was elected
	GapsOver     int            `json:"gaps_over_terms"`
	Faults       int            `json:"faults"`
	Effects      int            `json:"effects"`
	EffectsTwice int            `json:"effects_twice"`
	Worth        float64        `json:"worth"`
	Served       Served         `json:"served"`
	Calls        int            `json:"calls"`
	CallsMost    int            `json:"calls_most"`
	CallsMean    float64        `json:"calls_mean"`
	TTL          float64        `json:"ttl_ms"`
	Differed     int            `json:"divergence_found"`
	Anew         int            `json:"joined_anew"`
	CatchUpMax   float64        `json:"catch_up_ms_max"`
}

// Sum summarizes the gaps of one kind. P50 and Max are in ms.
type Sum struct {
	N   int     `json:"n"`
	P50 float64 `json:"p50"`
	Max float64 `json:"max"`
}

// Run runs the scenario, writes the report page and prints the result.
func (c *DutiesCmd) Run(out io.Writer) error {
	if c.List {
		fmt.Fprintln(out, "scenarios:")
		for _, s := range Scenarios {
			fmt.Fprintf(out, "  %-8s %s\n", s.Name, s.Text)
		}
		fmt.Fprintln(out, "plants:")
		for _, p := range config.Plants {
			fmt.Fprintln(out, "  "+p)
		}
		return nil
	}
	set, err := c.setup()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var pages []Page
	for i, binary := range []string{set.Binary, c.OtherBuild} {
		if binary == "" {
			continue
		}
		s := set
		s.Binary, s.Out = binary, filepath.Join(set.Out, []string{"run", "other"}[i])
		fmt.Fprintf(out, "seed %d, faults: %s\n", s.Seed, Kinds(Schedule(s.Seed, s.Scenario, s.Seconds)))
		o, err := Play(ctx, s)
		if err != nil {
			return err
		}
		f := Check(o)
		pages = append(pages, Page{Title: []string{"this build", "the other build"}[i], Setup: s, Outcome: o, Found: f, Result: result(s, o, f)})
	}
	file, err := os.Create(filepath.Join(set.Out, "report.html"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := Report(file, pages); err != nil {
		return err
	}
	fmt.Fprintln(out, "report:", file.Name())
	p := pages[0]
	for _, v := range p.Found.Violations {
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
	if len(p.Found.Violations) > 0 {
		return ErrInvariantViolated
	}
	return nil
}

func (c *DutiesCmd) setup() (Setup, error) {
	s, known := scenario(c.Scenario)
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
	case !known:
		return Setup{}, &UsageError{fmt.Sprintf("no scenario %q; --list names them", c.Scenario)}
	case c.Plant != "" && !slices.Contains(config.Plants, c.Plant):
		return Setup{}, &UsageError{fmt.Sprintf("no bug %q to inject; there are %s", c.Plant, strings.Join(config.Plants, ", "))}
	case c.Copies != 3 && c.Copies != 5 && c.Copies != 7:
		return Setup{}, &UsageError{fmt.Sprintf("--copies must be 3, 5 or 7, not %d", c.Copies)}
	case c.Servers < c.Copies || c.Servers > 100:
		return Setup{}, &UsageError{fmt.Sprintf("--servers must be from --copies to 100, not %d", c.Servers)}
	case c.For < 5*time.Second || c.For > time.Hour:
		return Setup{}, &UsageError{fmt.Sprintf("--for must be from 5s to 1h, not %s", c.For)}
	case !(c.Load >= 0) || c.Load > 2000:
		return Setup{}, &UsageError{fmt.Sprintf("--load must be from 0 to 2000, not %v", c.Load)}
	case c.Slots*1000 < alone*(c.Servers+2):
		return Setup{}, &UsageError{fmt.Sprintf("--slots must be %d or more for %d servers", int(math.Ceil(alone*float64(c.Servers+2)/1000)), c.Servers)}
	}
	return Setup{Binary: binary, Out: out, Seed: c.Seed, Seconds: c.For.Seconds(), Copies: c.Copies, Servers: c.Servers, Scenario: s, Plant: c.Plant,
		Load: max(c.Load, 0.1), Static: c.Static, Slots: c.Slots}, nil
}

func result(s Setup, o *Outcome, f *Found) Result {
	r := Result{Seed: s.Seed, Violations: len(f.Violations), Acts: f.Acts, Stale: f.Stale, Handovers: f.Handovers, Faults: len(o.Faults),
		Effects: f.Effects, EffectsTwice: f.EffectTwice, Worth: o.Served.Worth, Served: o.Served, Calls: o.Vault.Calls, CallsMost: o.Vault.Most,
		CallsMean: o.Vault.Mean, TTL: ttl, Gaps: map[string]Sum{}, Differed: f.Differed, Anew: f.Anew, CatchUpMax: most(f.CatchUp)}
	by := map[string][]float64{}
	var all []float64
	for _, g := range f.Gaps {
		all = append(all, g.Ms())
		why := g.After
		if g.Office > 0 {
			why += ", and another copy took office"
		}
		by[why] = append(by[why], g.Ms())
		if g.Over() {
			r.GapsOver++
		}
	}
	r.GapP50, r.GapMax = middle(all), most(all)
	for why, ms := range by {
		r.Gaps[why] = Sum{len(ms), middle(ms), most(ms)}
	}
	return r
}

func middle(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Sorted(slices.Values(v))
	return math.Round(v[len(v)/2])
}

func most(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return math.Round(slices.Max(v))
}

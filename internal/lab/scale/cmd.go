// Package scale plays the distribution of configuration at the size of a large fleet: real copies of the store, relays and some
// order servers beside hollow ones, spread over regions and zones, with faults between them, and a checker over what all of
// them wrote down. docs/lab.md has its figures and their units.
package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/lab"
)

// Cmd plays the scale run. Its flags and the JSON of its last line are kept stable.
type Cmd struct {
	Seed     uint64        `default:"1" help:"One seed gives one schedule of faults and changes."`
	Servers  []int         `default:"300,1000,4300" help:"Order servers that follow the configuration, real ones included; rising."`
	For      time.Duration `default:"20s" help:"How long each of the three phases of a size lasts."`
	Out      string        `default:"scale-out" help:"A folder for logs, traces and the report."`
	Plant    string        `help:"A bug to plant."`
	List     bool          `help:"Name the faults and the bugs that can be planted."`
	Zones    int           `default:"23" help:"Zones, each with one relay."`
	Regions  int           `default:"6" help:"Regions, over which the zones are spread."`
	Real     int           `default:"6" help:"Real order servers among the servers."`
	Routes   int           `default:"77000" help:"Routes in the store and in each real process."`
	Tenants  int           `default:"400000" help:"Tenants, likewise."`
	Sessions bool          `default:"true" negatable:"" help:"Play the phase with sessions; without, the faults come without them too."`
	Today    bool          `help:"Publish a file the way it is done without relays too, and measure that beside."`
}

// Setup is a checked command.
type Setup struct {
	Cmd
	Binary string
	Out    string
}

// Result is the last line of the output.
type Result struct {
	Seed       uint64  `json:"seed"`
	Violations int     `json:"violations"`
	Points     []Point `json:"points"`
}

// Point is one size. Parts of a core, bytes a second and milliseconds; what is said of a server holds for one hollow server,
// but for its memory, which is the most of a real one.
type Point struct {
	Servers            int     `json:"servers"`
	Hollow             int     `json:"hollow"`
	Processes          int     `json:"processes"`
	LeaderConfigBytes  float64 `json:"leader_config_bytes_s"`
	LeaderSessionBytes float64 `json:"leader_session_bytes_s"`
	LeaderConfigCPU    float64 `json:"leader_config_cpu"`
	LeaderSessionCPU   float64 `json:"leader_session_cpu"`
	RelayBytes         float64 `json:"relay_bytes_s"` // of the one that sends most
	RelayCPU           float64 `json:"relay_cpu"`     // of the one that takes most
	ServerBytes        float64 `json:"server_bytes_s"`
	ServerCPU          float64 `json:"server_cpu"`
	ServerMemory       int64   `json:"server_memory_bytes"`
	Changes            int     `json:"changes"`
	InForceP50         float64 `json:"in_force_ms_p50"`
	InForceP99         float64 `json:"in_force_ms_p99"`
	InForceMax         float64 `json:"in_force_ms_max"`
	Faults             int     `json:"faults"`
	CatchUpMax         float64 `json:"catch_up_ms_max"`

	// Beyond the interface that is kept stable.
	RelayMemory     int64   `json:"relay_memory_bytes"`  // the most
	LeaderMemory    int64   `json:"leader_memory_bytes"` // at the end of the size
	ServerConfigCPU float64 `json:"server_config_cpu"`   // without sessions
	ServerConfig    float64 `json:"server_config_bytes_s"`
	BurstMax        float64 `json:"burst_in_force_ms_max"` // of the changes of both bursts
	TodayBytes      float64 `json:"today_leader_bytes_s,omitempty"`
	TodayCPU        float64 `json:"today_leader_cpu,omitempty"`
	TodayEntries    float64 `json:"today_log_entries_s,omitempty"`
}

const (
	maxProcesses  = 300
	maxServers    = 16384
	minFor        = time.Second
	maxFor        = 10 * time.Minute
	maxRecords    = 1 << 21
	memoryDivisor = 2 // the run takes this part of the machine's memory at most
)

// Run plays.
func (c *Cmd) Run(out io.Writer) error {
	if c.List {
		fmt.Fprintln(out, "faults:")
		for _, f := range faultKinds {
			fmt.Fprintf(out, "  %-13s %s\n", f.kind, f.text)
		}
		fmt.Fprintln(out, "plants:")
		for _, p := range distribution.Plants {
			fmt.Fprintln(out, "  "+p)
		}
		return nil
	}
	set, err := c.setup()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o, err := play(ctx, set, out)
	if err != nil {
		return err
	}
	found := check(o)
	for i := range o.points {
		found.fill(&o.points[i], i)
	}
	r := Result{Seed: set.Seed, Violations: len(found.violations), Points: o.points}
	path := filepath.Join(set.Out, "report.html")
	if err := writeReport(path, set, r, o, found); err != nil {
		return err
	}
	fmt.Fprintln(out, "report:", path)
	const shown = 20
	for _, v := range found.violations[:min(len(found.violations), shown)] {
		fmt.Fprintln(out, "broken:", v)
	}
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, string(b))
	if len(found.violations) > 0 {
		return lab.ErrInvariantViolated
	}
	return nil
}

func wrong(format string, a ...any) error { return &lab.UsageError{Text: fmt.Sprintf(format, a...)} }

// setup checks the command before anything is started.
func (c *Cmd) setup() (Setup, error) {
	s := Setup{Cmd: *c}
	var err error
	if s.Binary, err = os.Executable(); err != nil {
		return s, err
	}
	if s.Out, err = filepath.Abs(c.Out); err != nil {
		return s, err
	}
	switch {
	case len(c.Servers) == 0:
		return s, wrong("--servers names no size")
	case c.Plant != "" && !slices.Contains(distribution.Plants, c.Plant):
		return s, wrong("no plant %q; there are %s", c.Plant, strings.Join(distribution.Plants, ", "))
	case c.For < minFor || c.For > maxFor:
		return s, wrong("--for must be from %s to %s, not %s", minFor, maxFor, c.For)
	case c.Regions < 2 || c.Regions > c.Zones:
		return s, wrong("--regions must be from 2 to --zones, not %d", c.Regions)
	case c.Real < 1:
		return s, wrong("--real must be 1 or more, not %d", c.Real)
	case c.Routes < 1 || c.Tenants < 1 || c.Routes+c.Tenants > maxRecords:
		return s, wrong("--routes and --tenants must be 1 or more, and %d at most together, not %d and %d", maxRecords, c.Routes, c.Tenants)
	}
	for i, n := range c.Servers {
		switch {
		case n < c.Real+c.Zones:
			return s, wrong("--servers: %d are fewer than %d real ones and a hollow one in each of %d zones", n, c.Real, c.Zones)
		case n > maxServers:
			return s, wrong("--servers: %d, %d at most", n, maxServers)
		case i > 0 && n <= c.Servers[i-1]:
			return s, wrong("--servers: %d does not rise above %d", n, c.Servers[i-1])
		}
	}
	if err := s.fits(); err != nil {
		return s, err
	}
	return s, writable(s.Out)
}

// processes of the run at its largest.
func (s Setup) processes() int { return copies + 2*s.Zones + s.Real + 1 }

// memoryNeed estimates what the run takes at its largest, in bytes, from what was measured (docs/CAPACITY.md).
func (s Setup) memoryNeed() int64 {
	const (
		program     = 40 << 20 // of a process without records
		hollow      = 160 << 10
		routeBytes  = 190
		tenantBytes = 110
		ofCopy      = 8 // times the records: the log, its form in JSON, what was not collected yet
		ofRelay     = 3
		ofServer    = 3
	)
	of := int64(s.Routes)*routeBytes + int64(s.Tenants)*tenantBytes
	largest := int64(s.Servers[len(s.Servers)-1])
	return int64(s.processes())*program + largest*hollow + of*int64(copies*ofCopy+s.Zones*ofRelay+s.Real*ofServer)
}

// fits refuses a run that would take more of the machine than it may.
func (s Setup) fits() error {
	if n := s.processes(); n > maxProcesses {
		return wrong("%d processes would be started, %d at most", n, maxProcesses)
	}
	total, err := machineMemory()
	if err != nil {
		return err
	}
	if need := s.memoryNeed(); need > total/memoryDivisor {
		return wrong("the run would take about %d MB, and half of the machine's memory is %d MB", need>>20, total/memoryDivisor>>20)
	}
	return nil
}

func writable(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return wrong("--out: %v", err)
	}
	f, err := os.CreateTemp(dir, ".probe")
	if err != nil {
		return wrong("--out: %v", err)
	}
	return errors.Join(f.Close(), os.Remove(f.Name()))
}

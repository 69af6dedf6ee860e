// Package scale tests the distribution of configuration at the size of a large fleet. It runs real store replicas, relays and
// some order servers together with simulated servers ("hollow" in commands, flags and files), spread over regions and zones,
// injects faults between them, and checks the traces of all of them. docs/lab.md describes the reported metrics and their
// units.
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

// Cmd is the command that runs the scale test. Its flags and the JSON of the last line of its output are a stable interface.
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

// Setup is a validated command with absolute paths.
type Setup struct {
	Cmd
	Binary string
	Out    string
}

// Result is printed as JSON in the last line of the output.
type Result struct {
	Seed       uint64  `json:"seed"`
	Violations int     `json:"violations"`
	Points     []Point `json:"points"`
}

// Point holds the measurements of one fleet size. CPU is in cores, bytes are per second, times are in milliseconds. The Server
// fields are means of the simulated servers, except for ServerMemory, which is the maximum of the real order servers.
type Point struct {
	Servers            int     `json:"servers"`
	Hollow             int     `json:"hollow"`
	Processes          int     `json:"processes"`
	LeaderConfigBytes  float64 `json:"leader_config_bytes_s"`
	LeaderSessionBytes float64 `json:"leader_session_bytes_s"`
	LeaderConfigCPU    float64 `json:"leader_config_cpu"`
	LeaderSessionCPU   float64 `json:"leader_session_cpu"`
	RelayBytes         float64 `json:"relay_bytes_s"` // maximum of all relays
	RelayCPU           float64 `json:"relay_cpu"`     // maximum of all relays
	ServerBytes        float64 `json:"server_bytes_s"`
	ServerCPU          float64 `json:"server_cpu"`
	ServerMemory       int64   `json:"server_memory_bytes"`
	Changes            int     `json:"changes"`
	InForceP50         float64 `json:"in_force_ms_p50"`
	InForceP99         float64 `json:"in_force_ms_p99"`
	InForceMax         float64 `json:"in_force_ms_max"`
	Faults             int     `json:"faults"`
	CatchUpMax         float64 `json:"catch_up_ms_max"`

	// The fields from here on are not part of the stable interface.
	RelayMemory     int64   `json:"relay_memory_bytes"`  // maximum of all relays
	LeaderMemory    int64   `json:"leader_memory_bytes"` // maximum of the store replicas, at the end of the size
	ServerConfigCPU float64 `json:"server_config_cpu"`   // measured before the sessions open
	ServerConfig    float64 `json:"server_config_bytes_s"`
	BurstMax        float64 `json:"burst_in_force_ms_max"`          // maximum over the changes of all bursts
	TodayBytes      float64 `json:"today_leader_bytes_s,omitempty"` // Today fields: cost of publishing whole files without relays
	TodayCPU        float64 `json:"today_leader_cpu,omitempty"`
	TodayEntries    float64 `json:"today_log_entries_s,omitempty"`
}

const (
	maxProcesses     = 300   // started by a run
	maxServers       = 16384 // of a size
	minPhaseDuration = time.Second
	maxPhaseDuration = 10 * time.Minute
	maxRecordCount   = 1 << 21 // routes and tenants
	memoryDivisor    = 2       // a run may take the machine's memory divided by this
)

// Run lists the faults and the injected bugs, or runs the scale test, checks the traces and writes the report.
func (c *Cmd) Run(out io.Writer) error {
	if c.List {
		fmt.Fprintln(out, "faults:")
		for _, f := range faultKinds {
			fmt.Fprintf(out, "  %-13s %s\n", f.kind, f.text)
		}
		fmt.Fprintln(out, "plants:")
		for _, p := range distribution.InjectedBugs {
			fmt.Fprintln(out, "  "+p)
		}
		return nil
	}
	setup, err := c.validate()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	runOutcome, err := execute(ctx, setup, out)
	if err != nil {
		return err
	}
	found := checkTraces(runOutcome)
	for i := range runOutcome.points {
		found.fillPoint(&runOutcome.points[i], i)
	}
	r := Result{Seed: setup.Seed, Violations: len(found.violations), Points: runOutcome.points}
	path := filepath.Join(setup.Out, "report.html")
	if err := writeReport(path, setup, r, runOutcome, found); err != nil {
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

// usageError returns an error of wrong usage.
func usageError(format string, a ...any) error {
	return &lab.UsageError{Text: fmt.Sprintf(format, a...)}
}

// validate validates the command before any process is started.
func (c *Cmd) validate() (Setup, error) {
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
		return s, usageError("--servers names no fleet size")
	case c.Plant != "" && !slices.Contains(distribution.InjectedBugs, c.Plant):
		return s, usageError("--plant: unknown bug %q; known bugs are %s", c.Plant, strings.Join(distribution.InjectedBugs, ", "))
	case c.For < minPhaseDuration || c.For > maxPhaseDuration:
		return s, usageError("--for must be from %s to %s, not %s", minPhaseDuration, maxPhaseDuration, c.For)
	case c.Regions < 2 || c.Regions > c.Zones:
		return s, usageError("--regions must be from 2 to --zones, not %d", c.Regions)
	case c.Real < 1:
		return s, usageError("--real must be 1 or more, not %d", c.Real)
	case c.Routes < 1 || c.Tenants < 1 || c.Routes+c.Tenants > maxRecordCount:
		return s, usageError("--routes and --tenants must be 1 or more, and %d at most together, not %d and %d", maxRecordCount, c.Routes, c.Tenants)
	}
	for i, n := range c.Servers {
		switch {
		case n < c.Real+c.Zones:
			return s, usageError("--servers: %d are fewer than %d real servers and a simulated one in each of %d zones", n, c.Real, c.Zones)
		case n > maxServers:
			return s, usageError("--servers: %d is too large, %d at most", n, maxServers)
		case i > 0 && n <= c.Servers[i-1]:
			return s, usageError("--servers: %d is not greater than %d; sizes must rise", n, c.Servers[i-1])
		}
	}
	if err := s.checkResources(); err != nil {
		return s, err
	}
	return s, checkWritable(s.Out)
}

// processCount returns the number of processes at the largest size: store replicas, a relay and a process of simulated servers
// for each zone, real order servers, and the harness itself.
func (s Setup) processCount() int { return replicaCount + 2*s.Zones + s.Real + 1 }

// estimatedMemory estimates the memory of all processes at the largest size, in bytes. docs/CAPACITY.md has the measurements
// behind it.
func (s Setup) estimatedMemory() int64 {
	const (
		processBytes         = 40 << 20  // bytes of a process without records
		simulatedServerBytes = 160 << 10 // bytes of a simulated server
		routeBytes           = 190
		tenantBytes          = 110
		storeReplicaFactor   = 8 // memory as a multiple of the records: the log, its JSON, uncollected garbage
		relayFactor          = 3 // likewise
		serverFactor         = 3 // likewise
	)
	recordBytes := int64(s.Routes)*routeBytes + int64(s.Tenants)*tenantBytes
	largestSize := int64(s.Servers[len(s.Servers)-1])
	return int64(s.processCount())*processBytes + largestSize*simulatedServerBytes + recordBytes*int64(replicaCount*storeReplicaFactor+s.Zones*relayFactor+s.Real*serverFactor)
}

// checkResources rejects a run that would exceed the limit of processes or of memory.
func (s Setup) checkResources() error {
	if n := s.processCount(); n > maxProcesses {
		return usageError("%d processes would be started, %d at most", n, maxProcesses)
	}
	total, err := machineMemory()
	if err != nil {
		return err
	}
	if estimate := s.estimatedMemory(); estimate > total/memoryDivisor {
		return usageError("the run would take about %d MB, but half of the machine's memory is %d MB", estimate>>20, total/memoryDivisor>>20)
	}
	return nil
}

// checkWritable creates the directory and checks that files can be written to it.
func checkWritable(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return usageError("--out: %v", err)
	}
	f, err := os.CreateTemp(dir, ".probe")
	if err != nil {
		return usageError("--out: %v", err)
	}
	return errors.Join(f.Close(), os.Remove(f.Name()))
}

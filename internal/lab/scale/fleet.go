package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/lab"
)

const (
	replicaCount      = 3      // store replicas
	replicaCores      = 3.0    // of one store replica: with one core, 4,300 sessions that open at once prevent a stable leader
	electionTimeoutMS = 1000.0 // with 500 ms, heartbeats arrive too late because all processes of the run share the machine
	renewIntervalMS   = 500.0  // interval at which sessions renew their presence
	presenceTTLMS     = 3000.0 // time to live of a session's presence
	maxClockDrift     = 0.1    // assumed maximum drift between clocks, as a fraction
	marginMS          = 50.0   // safety margin of leases
	dutyTTLMS         = 3000.0 // ms
	unallocatedCalls  = 0.001  // downstream calls in flight that a server may have without an allocation
)

// sessionRules returns the rules of sessions of servers that are not candidates for any duty.
func sessionRules(renewMS, presenceMS float64) duty.Rules {
	return duty.Rules{ClockBounds: duty.ClockBounds{MaxDrift: maxClockDrift, MarginMS: marginMS}, RenewIntervalMS: renewMS, PresenceTTLMS: presenceMS}
}

// zoneLink is a network link between two zones.
type zoneLink struct {
	link     *lab.Link
	from, to string // zones
}

// fleet holds all processes of a run and the links between them.
type fleet struct {
	Setup
	spawner        *spawner
	zones          []string
	regions        map[string]string // region by zone
	storeReplicas  []*process
	relays         []*process
	servers        []*process        // real order servers without a store replica
	simulators     []*process        // processes of simulated servers, one for each zone
	storeAddresses map[string]string // address by store replica
	relayAddresses map[string]string // address by relay
	links          []zoneLink
	fakeExecutors  []*lab.FakeExecutor
	largestSize    int // the largest size, in servers

	mu              sync.Mutex
	unexpectedExits []string // messages
}

// loopback is a loopback address derived from the process id. Outgoing connections use 127.0.0.1 as their source, so their
// ephemeral ports don't collide with the ports that are picked here.
var loopback = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()/250%128, os.Getpid()%250+1)

// usedAddresses holds the addresses that were picked, because the system may offer a closed port again before its process
// listens on it.
var usedAddresses sync.Map

// freeAddress returns an address with an unused TCP port.
func freeAddress() (string, error) {
	for {
		ln, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		ln.Close()
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address, nil
		}
	}
}

// newFleet assigns addresses, opens links and clears directories. It starts no process.
func newFleet(s Setup) (*fleet, error) {
	f := &fleet{Setup: s, regions: map[string]string{}, storeAddresses: map[string]string{}, relayAddresses: map[string]string{}, largestSize: s.Servers[len(s.Servers)-1]}
	for i := range s.Zones {
		zone := fmt.Sprintf("z%02d", i+1)
		f.zones = append(f.zones, zone)
		f.regions[zone] = fmt.Sprintf("r%d", i%s.Regions+1)
	}
	for _, name := range []string{"traces", "p"} {
		if err := os.RemoveAll(filepath.Join(s.Out, name)); err != nil {
			return nil, err
		}
		if err := os.MkdirAll(filepath.Join(s.Out, name), 0o755); err != nil {
			return nil, err
		}
	}
	setups := []func() error{f.setUpStoreReplicas, f.setUpRelays, f.setUpServers}
	for _, setUp := range setups {
		if err := setUp(); err != nil {
			f.close()
			return nil, err
		}
	}
	f.spawner = newSpawner()
	return f, nil
}

// newProcess returns a process with an empty directory and an address for its metrics.
func (f *fleet) newProcess(name, zone string) (*process, error) {
	p := &process{name: name, zone: zone, dir: filepath.Join(f.Out, "p", name), onUnexpectedExit: f.addUnexpectedExit}
	if err := os.RemoveAll(p.dir); err != nil {
		return nil, err
	}
	var err error
	p.metricsAddress, err = freeAddress()
	return p, err
}

// addUnexpectedExit records that a process exited unexpectedly.
func (f *fleet) addUnexpectedExit(p *process, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unexpectedExits = append(f.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
}

// listUnexpectedExits returns the unexpected exits so far.
func (f *fleet) listUnexpectedExits() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.unexpectedExits...)
}

// connect opens a link to an address in another zone and returns the link's address.
func (f *fleet) connect(from, to, address string) (string, error) {
	l, err := lab.NewLink()
	if err != nil {
		return "", err
	}
	l.SetTarget(address)
	f.links = append(f.links, zoneLink{l, from, to})
	return l.Addr(), nil
}

// connectAll opens a link to each address and returns the links' addresses by the same ids.
func (f *fleet) connectAll(from string, addresses map[string]string, zoneOf func(id string) string) (map[string]string, error) {
	out := map[string]string{}
	for id, address := range addresses {
		var err error
		if out[id], err = f.connect(from, zoneOf(id), address); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// zoneOfReplica returns the zone of a store replica.
func (f *fleet) zoneOfReplica(id string) string {
	for _, p := range f.storeReplicas {
		if p.name == id {
			return p.zone
		}
	}
	return ""
}

// yamlMap is a section of a YAML file.
type yamlMap = map[string]any

// tracePath returns the path of the trace of the process's current incarnation.
func (f *fleet) tracePath(p *process) string {
	return filepath.Join(f.Out, "traces", fmt.Sprintf("%s.%d.trace", p.name, p.incarnation))
}

// dutiesSection returns the section "duties" of an order server's operator file.
func (f *fleet) dutiesSection(replicas map[string]string, publishes bool) yamlMap {
	maxSessions := 2*f.largestSize + 64
	section := yamlMap{"copies": replicas, "sessions": 2*f.largestSize + 64, "renew_ms": renewIntervalMS, "presence_ms": presenceTTLMS, "clock_rate": maxClockDrift, "margin_ms": marginMS,
		"list":  []yamlMap{{"name": "allotter", "ttl_ms": dutyTTLMS}, {"name": "settler", "ttl_ms": dutyTTLMS}},
		"allot": yamlMap{"whole": float64(maxSessions) * unallocatedCalls * 2, "alone": unallocatedCalls, "servers": maxSessions}}
	if f.Today && publishes {
		section["list"] = append(section["list"].([]yamlMap), yamlMap{"name": "publisher", "ttl_ms": dutyTTLMS})
		section["publish"] = yamlMap{"manifest": filepath.Join(f.Out, publishedDir, manifestName), "every_ms": 200}
	}
	return section
}

// writeServerFiles writes the platform's file and the operator's file of an order server.
func (f *fleet) writeServerFiles(p *process, listen, executor string, operator yamlMap) error {
	platform := lab.PlatformFile{Name: p.name, Listen: listen, Executor: executor, Vault: executor, OperatorAddress: p.metricsAddress, Seed: f.Seed*1000 + uint64(p.incarnation),
		Servers: f.largestSize, VaultSlots: f.largestSize, MemoryMB: 192, Sockets: 1024}
	if _, ok := operator["store"]; ok {
		platform.MemoryMB, platform.Cores = 1536, replicaCores
	}
	if err := platform.Write(filepath.Join(p.dir, "config.json")); err != nil {
		return err
	}
	operator["lab"] = yamlMap{"trace": f.tracePath(p), "plant": f.Plant}
	return writeYAML(filepath.Join(p.dir, "operator.yaml"), operator)
}

// writeYAML writes a value to a file as YAML.
func writeYAML(path string, v any) error {
	b, err := yaml.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}

const labEnv = "PUFFINSADDLE_LAB=1" // allows the settings of the lab in an operator's file

// orderServerEnv returns the environment of an order server.
func orderServerEnv(p *process) []string {
	return []string{labEnv, "RELAY_CONFIG=" + filepath.Join(p.dir, "config.json"), "PUFFINSADDLE_OPERATOR=" + filepath.Join(p.dir, "operator.yaml")}
}

// setUpOrderServer assigns an order server its address and a fake executor. operator returns the content of its operator's
// file, which is written before each start.
func (f *fleet) setUpOrderServer(p *process, operator func() yamlMap) error {
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	executor, err := lab.NewFakeExecutor(p.name)
	if err != nil {
		return err
	}
	f.fakeExecutors = append(f.fakeExecutors, executor)
	p.env = orderServerEnv(p)
	p.writeFiles = func(p *process) error { return f.writeServerFiles(p, listen, executor.Addr(), operator()) }
	return nil
}

// setUpStoreReplicas sets up the order servers with a store replica, each in a region of its own if there are enough regions.
func (f *fleet) setUpStoreReplicas() error {
	for i := range replicaCount {
		p, err := f.newProcess(fmt.Sprintf("c%d", i+1), f.zones[i%len(f.zones)])
		if err != nil {
			return err
		}
		if f.storeAddresses[p.name], err = freeAddress(); err != nil {
			return err
		}
		f.storeReplicas = append(f.storeReplicas, p)
	}
	for _, p := range f.storeReplicas {
		via := map[string]string{}
		for _, other := range f.storeReplicas {
			if other == p {
				continue
			}
			var err error
			if via[other.name], err = f.connect(p.zone, other.zone, f.storeAddresses[other.name]); err != nil {
				return err
			}
		}
		reachable := map[string]string{p.name: f.storeAddresses[p.name]}
		for id, address := range via {
			reachable[id] = address
		}
		err := f.setUpOrderServer(p, func() yamlMap {
			return yamlMap{"duties": f.dutiesSection(reachable, true),
				"store": yamlMap{"id": p.name, "listen": f.storeAddresses[p.name], "election_ms": electionTimeoutMS, "dir": filepath.Join(p.dir, "store"), "peers": f.storeAddresses, "via": via}}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// setUpRelays sets up one relay in each zone.
func (f *fleet) setUpRelays() error {
	for _, zone := range f.zones {
		p, err := f.newProcess("relay-"+zone, zone)
		if err != nil {
			return err
		}
		if f.relayAddresses[p.name], err = freeAddress(); err != nil {
			return err
		}
		f.relays = append(f.relays, p)
	}
	for _, p := range f.relays {
		reachable, err := f.connectAll(p.zone, f.storeAddresses, f.zoneOfReplica)
		if err != nil {
			return err
		}
		var elsewhere []string
		for _, other := range f.relays {
			if other != p && f.regions[other.zone] == f.regions[p.zone] {
				elsewhere = append(elsewhere, other.name)
			}
		}
		p.args = []string{"relay"}
		p.env = []string{labEnv, "PUFFINSADDLE_OPERATOR=" + filepath.Join(p.dir, "operator.yaml")}
		p.writeFiles = func(p *process) error {
			return writeYAML(filepath.Join(p.dir, "operator.yaml"), yamlMap{
				"relay": yamlMap{"name": p.name, "region": f.regions[p.zone], "listen": f.relayAddresses[p.name], "figures": p.metricsAddress, "copies": reachable, "elsewhere": elsewhere,
					"path": filepath.Join(p.dir, "records"), "watchers": f.largestSize + 64, "snapshots": 4, "memory_mb": 256},
				"lab": yamlMap{"trace": f.tracePath(p), "plant": f.Plant}})
		}
	}
	return nil
}

// relayList returns the relays as a server's settings name them. through, if any, returns the address at which the server
// reaches a relay.
func (f *fleet) relayList(through func(p *process) (string, error)) (list []distribution.Relay, err error) {
	for _, p := range f.relays {
		address := f.relayAddresses[p.name]
		if through != nil {
			if address, err = through(p); err != nil {
				return nil, err
			}
		}
		list = append(list, distribution.Relay{Name: p.name, Address: address, Zone: p.zone, Region: f.regions[p.zone]})
	}
	return list, nil
}

// setUpServers sets up the real order servers, beginning with zones that have no store replica.
func (f *fleet) setUpServers() error {
	for i := range f.Real {
		zone := f.zones[(replicaCount+i)%len(f.zones)]
		p, err := f.newProcess(fmt.Sprintf("s%02d", i+1), zone)
		if err != nil {
			return err
		}
		reachable, err := f.connectAll(zone, f.storeAddresses, f.zoneOfReplica)
		if err != nil {
			return err
		}
		relays, err := f.relayList(func(r *process) (string, error) { return f.connect(zone, r.zone, f.relayAddresses[r.name]) })
		if err != nil {
			return err
		}
		err = f.setUpOrderServer(p, func() yamlMap {
			return yamlMap{"duties": f.dutiesSection(reachable, false),
				"distribution": yamlMap{"zone": zone, "region": f.regions[zone], "relays": relays, "path": filepath.Join(p.dir, "records")}}
		})
		if err != nil {
			return err
		}
		f.servers = append(f.servers, p)
	}
	return nil
}

// setUpSimulators sets up the simulated servers of one size, in one process for each zone. They start with the records as of
// the position, except for one in each process that starts without records.
func (f *fleet) setUpSimulators(point, count int, position distribution.Position) error {
	f.simulators = nil
	relays, err := f.relayList(nil)
	if err != nil {
		return err
	}
	zoneOf := map[string]string{}
	for _, r := range f.relays {
		zoneOf[f.relayAddresses[r.name]] = r.zone
	}
	for _, c := range f.storeReplicas {
		zoneOf[f.storeAddresses[c.name]] = c.zone
	}
	for i, zone := range f.zones {
		p, err := f.newProcess(fmt.Sprintf("hollow-%s-%d", zone, point), zone)
		if err != nil {
			return err
		}
		n := count / len(f.zones)
		if i < count%len(f.zones) {
			n++
		}
		config := simulatorConfig{Zone: zone, Region: f.regions[zone], Count: n, Seed: f.Seed*100 + uint64(i), Relays: relays, StoreReplicas: f.storeAddresses, ZoneOf: zoneOf,
			Position: position, WithoutRecords: 1, TracePath: filepath.Join(f.Out, "traces", fmt.Sprintf("hollow-%s.%d.trace", zone, point)), InjectedBug: f.Plant,
			RenewIntervalMS: renewIntervalMS, PresenceTTLMS: presenceTTLMS, WholeVersions: f.Today}
		p.args = []string{"lab", "hollow", "--config", filepath.Join(p.dir, "hollow.json")}
		p.writeFiles = func(p *process) error {
			b, err := json.Marshal(config)
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(p.dir, "hollow.json"), b, 0o644)
		}
		f.simulators = append(f.simulators, p)
	}
	return nil
}

// startAll starts the processes one after the other.
func (f *fleet) startAll(all []*process) error {
	for _, p := range all {
		if err := p.start(f.spawner, f.Binary); err != nil {
			return fmt.Errorf("scale: %s: %w", p.name, err)
		}
	}
	return nil
}

// sendCommandToAll sends a command to all processes of simulated servers and waits for their responses.
func (f *fleet) sendCommandToAll(command simulatorCommand) error {
	var running sync.WaitGroup
	errs := make([]error, len(f.simulators))
	for i, h := range f.simulators {
		running.Add(1)
		go func() {
			defer running.Done()
			_, errs[i] = h.sendCommand(command)
		}()
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// cut partitions zones from all others, for real and simulated servers. heal ends the partition.
func (f *fleet) cut(zones []string) error {
	inside := map[string]bool{}
	for _, z := range zones {
		inside[z] = true
	}
	for _, b := range f.links {
		if inside[b.from] != inside[b.to] {
			b.link.Cut(lab.BothDirections)
		}
	}
	return f.sendCommandToAll(simulatorCommand{Kind: commandCut, Zones: zones})
}

// heal removes all partitions.
func (f *fleet) heal() error {
	for _, b := range f.links {
		b.link.Heal()
	}
	return f.sendCommandToAll(simulatorCommand{Kind: commandCut})
}

// leader returns the store replica that reports the highest term as leader, or nil if none reports to be leader.
func (f *fleet) leader() *process {
	var leader *process
	term := uint64(0)
	for _, p := range f.storeReplicas {
		var metrics serverMetrics
		if readMetrics(p.metricsAddress, &metrics) == nil && metrics.Duties != nil && metrics.Duties.Sessions != nil && metrics.Duties.Sessions.Term > term {
			leader, term = p, metrics.Duties.Sessions.Term
		}
	}
	return leader
}

// endAll ends processes concurrently and waits for them.
func endAll(all []*process, sig syscall.Signal) {
	var running sync.WaitGroup
	for _, p := range all {
		running.Add(1)
		go func() {
			defer running.Done()
			p.end(sig)
		}()
	}
	running.Wait()
}

// stop ends all processes, those that depend on others first, so that each can finish its trace.
func (f *fleet) stop() {
	endAll(f.simulators, syscall.SIGTERM)
	endAll(f.servers, syscall.SIGTERM)
	endAll(f.relays, syscall.SIGTERM)
	endAll(f.storeReplicas, syscall.SIGTERM)
}

// close ends all processes and releases links, fake executors and the spawner.
func (f *fleet) close() {
	f.stop()
	for _, b := range f.links {
		b.link.Close()
	}
	for _, s := range f.fakeExecutors {
		s.Close()
	}
	if f.spawner != nil {
		f.spawner.close()
	}
}

// waitFor polls a condition until it holds. Its error includes the state that the condition last returned.
func waitFor(timeout time.Duration, description string, condition func() (bool, string)) error {
	deadline := time.Now().Add(timeout)
	for {
		ok, state := condition()
		if ok {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("scale: timed out after %s: %s: %s", timeout, description, state)
		}
		time.Sleep(pollInterval)
	}
}

const pollInterval = 100 * time.Millisecond

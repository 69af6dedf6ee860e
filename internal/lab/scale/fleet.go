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
	copies     = 3
	copyCores  = 3.0    // of one copy: with one, 4,300 sessions that open at once keep every copy from holding office
	electionMs = 1000.0 // with half of that, every process of the run beside them keeps copies from being heard in time
	renewMs    = 500.0
	presenceMs = 3000.0
	clockRate  = 0.1
	marginMs   = 50.0
	dutyTTL    = 3000.0
	aloneUnits = 0.001 // calls in hand that a server may have below without a share
)

// terms are the terms of sessions of servers that stand for no duty.
func terms(renew, presence float64) duty.Rules {
	return duty.Rules{ClockBounds: duty.ClockBounds{MaxDrift: clockRate, MarginMS: marginMs}, RenewIntervalMS: renew, PresenceTTLMS: presence}
}

// boundary is a link between two places.
type boundary struct {
	link     *lab.Link
	from, to string // zones
}

// fleet is all processes of a run.
type fleet struct {
	Setup
	spawner *spawner
	zones   []string
	regions map[string]string // of each zone
	copies  []*process
	relays  []*process
	servers []*process // real ones that follow the configuration
	hollows []*process // one a zone
	stores  map[string]string
	at      map[string]string // address of each relay
	links   []boundary
	stands  []*lab.FakeExecutor
	largest int

	mu    sync.Mutex
	crash []string
}

// loopback is an address of this run's own: connections that are made come from 127.0.0.1, and so take none of its ports.
var loopback = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()/250%128, os.Getpid()%250+1)

// handedOut are the addresses that were picked: the system may give one that is free again a second time.
var handedOut sync.Map

// freeAddress picks an address that is free now.
func freeAddress() (string, error) {
	for {
		ln, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		ln.Close()
		if _, again := handedOut.LoadOrStore(address, true); !again {
			return address, nil
		}
	}
}

// newFleet lays addresses, links and folders out; nothing is started.
func newFleet(s Setup) (*fleet, error) {
	f := &fleet{Setup: s, regions: map[string]string{}, stores: map[string]string{}, at: map[string]string{}, largest: s.Servers[len(s.Servers)-1]}
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
	steps := []func() error{f.layCopies, f.layRelays, f.layServers}
	for _, step := range steps {
		if err := step(); err != nil {
			f.close()
			return nil, err
		}
	}
	f.spawner = newSpawner()
	return f, nil
}

func (f *fleet) newProcess(name, zone string) (*process, error) {
	p := &process{name: name, zone: zone, dir: filepath.Join(f.Out, "p", name), ended: f.endedByItself}
	if err := os.RemoveAll(p.dir); err != nil {
		return nil, err
	}
	var err error
	p.figures, err = freeAddress()
	return p, err
}

func (f *fleet) endedByItself(p *process, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash = append(f.crash, fmt.Sprintf("%s ended by itself: %v", p.name, err))
}

func (f *fleet) crashes() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.crash...)
}

// connect makes a link between two places.
func (f *fleet) connect(from, to, address string) (string, error) {
	l, err := lab.NewLink()
	if err != nil {
		return "", err
	}
	l.SetTarget(address)
	f.links = append(f.links, boundary{l, from, to})
	return l.Addr(), nil
}

// connectAll makes a link to each address.
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

func (f *fleet) zoneOfCopy(id string) string {
	for _, p := range f.copies {
		if p.name == id {
			return p.zone
		}
	}
	return ""
}

type yamlMap = map[string]any

func (f *fleet) tracePath(p *process) string {
	return filepath.Join(f.Out, "traces", fmt.Sprintf("%s.%d.trace", p.name, p.life))
}

// duties is the section of an order server.
func (f *fleet) duties(copies map[string]string, publishes bool) yamlMap {
	most := 2*f.largest + 64
	d := yamlMap{"copies": copies, "sessions": 2*f.largest + 64, "renew_ms": renewMs, "presence_ms": presenceMs, "clock_rate": clockRate, "margin_ms": marginMs,
		"list":  []yamlMap{{"name": "allotter", "ttl_ms": dutyTTL}, {"name": "settler", "ttl_ms": dutyTTL}},
		"allot": yamlMap{"whole": float64(most) * aloneUnits * 2, "alone": aloneUnits, "servers": most}}
	if f.Today && publishes {
		d["list"] = append(d["list"].([]yamlMap), yamlMap{"name": "publisher", "ttl_ms": dutyTTL})
		d["publish"] = yamlMap{"manifest": filepath.Join(f.Out, publishedDir, manifestName), "every_ms": 200}
	}
	return d
}

// write writes the two files of an order server.
func (f *fleet) write(p *process, listen, executor string, operator yamlMap) error {
	platform := lab.PlatformFile{Name: p.name, Listen: listen, Executor: executor, Vault: executor, OperatorAddress: p.figures, Seed: f.Seed*1000 + uint64(p.life),
		Servers: f.largest, VaultSlots: f.largest, MemoryMB: 192, Sockets: 1024}
	if _, ok := operator["store"]; ok {
		platform.MemoryMB, platform.Cores = 1536, copyCores
	}
	if err := platform.Write(filepath.Join(p.dir, "config.json")); err != nil {
		return err
	}
	operator["lab"] = yamlMap{"trace": f.tracePath(p), "plant": f.Plant}
	return writeYAML(filepath.Join(p.dir, "operator.yaml"), operator)
}

func writeYAML(path string, v any) error {
	b, err := yaml.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}

const labEnv = "PUFFINSADDLE_LAB=1" // the processes are a laboratory's

func orderServerEnv(p *process) []string {
	return []string{labEnv, "RELAY_CONFIG=" + filepath.Join(p.dir, "config.json"), "PUFFINSADDLE_OPERATOR=" + filepath.Join(p.dir, "operator.yaml")}
}

// layOrderServer lays out where an order server listens and who does its work. operator is its operator's file, made for each life.
func (f *fleet) layOrderServer(p *process, operator func() yamlMap) error {
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	stand, err := lab.NewFakeExecutor(p.name)
	if err != nil {
		return err
	}
	f.stands = append(f.stands, stand)
	p.env = orderServerEnv(p)
	p.before = func(p *process) error { return f.write(p, listen, stand.Addr(), operator()) }
	return nil
}

// layCopies lays the copies of the store out, each in a region of its own as far as there are enough.
func (f *fleet) layCopies() error {
	for i := range copies {
		p, err := f.newProcess(fmt.Sprintf("c%d", i+1), f.zones[i%len(f.zones)])
		if err != nil {
			return err
		}
		if f.stores[p.name], err = freeAddress(); err != nil {
			return err
		}
		f.copies = append(f.copies, p)
	}
	for _, p := range f.copies {
		via := map[string]string{}
		for _, other := range f.copies {
			if other == p {
				continue
			}
			var err error
			if via[other.name], err = f.connect(p.zone, other.zone, f.stores[other.name]); err != nil {
				return err
			}
		}
		reach := map[string]string{p.name: f.stores[p.name]}
		for id, at := range via {
			reach[id] = at
		}
		err := f.layOrderServer(p, func() yamlMap {
			return yamlMap{"duties": f.duties(reach, true),
				"store": yamlMap{"id": p.name, "listen": f.stores[p.name], "election_ms": electionMs, "dir": filepath.Join(p.dir, "store"), "peers": f.stores, "via": via}}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// layRelays lays one relay a zone out.
func (f *fleet) layRelays() error {
	for _, zone := range f.zones {
		p, err := f.newProcess("relay-"+zone, zone)
		if err != nil {
			return err
		}
		if f.at[p.name], err = freeAddress(); err != nil {
			return err
		}
		f.relays = append(f.relays, p)
	}
	for _, p := range f.relays {
		reach, err := f.connectAll(p.zone, f.stores, f.zoneOfCopy)
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
		p.before = func(p *process) error {
			return writeYAML(filepath.Join(p.dir, "operator.yaml"), yamlMap{
				"relay": yamlMap{"name": p.name, "region": f.regions[p.zone], "listen": f.at[p.name], "figures": p.figures, "copies": reach, "elsewhere": elsewhere,
					"path": filepath.Join(p.dir, "records"), "watchers": f.largest + 64, "snapshots": 4, "memory_mb": 256},
				"lab": yamlMap{"trace": f.tracePath(p), "plant": f.Plant}})
		}
	}
	return nil
}

// relayList is what a server in a zone knows of the relays; addresses may lead through links.
func (f *fleet) relayList(through func(p *process) (string, error)) (list []distribution.Relay, err error) {
	for _, p := range f.relays {
		at := f.at[p.name]
		if through != nil {
			if at, err = through(p); err != nil {
				return nil, err
			}
		}
		list = append(list, distribution.Relay{Name: p.name, Address: at, Zone: p.zone, Region: f.regions[p.zone]})
	}
	return list, nil
}

// layServers lays the real order servers out, in zones that keep no copy first.
func (f *fleet) layServers() error {
	for i := range f.Real {
		zone := f.zones[(copies+i)%len(f.zones)]
		p, err := f.newProcess(fmt.Sprintf("s%02d", i+1), zone)
		if err != nil {
			return err
		}
		reach, err := f.connectAll(zone, f.stores, f.zoneOfCopy)
		if err != nil {
			return err
		}
		relays, err := f.relayList(func(r *process) (string, error) { return f.connect(zone, r.zone, f.at[r.name]) })
		if err != nil {
			return err
		}
		err = f.layOrderServer(p, func() yamlMap {
			return yamlMap{"duties": f.duties(reach, false),
				"distribution": yamlMap{"zone": zone, "region": f.regions[zone], "relays": relays, "path": filepath.Join(p.dir, "records")}}
		})
		if err != nil {
			return err
		}
		f.servers = append(f.servers, p)
	}
	return nil
}

// layHollows lays the hollow servers of one size out, one process a zone.
func (f *fleet) layHollows(point, count int, at distribution.Position) error {
	f.hollows = nil
	relays, err := f.relayList(nil)
	if err != nil {
		return err
	}
	zoneOf := map[string]string{}
	for _, r := range f.relays {
		zoneOf[f.at[r.name]] = r.zone
	}
	for _, c := range f.copies {
		zoneOf[f.stores[c.name]] = c.zone
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
		set := hollowConfig{Zone: zone, Region: f.regions[zone], Count: n, Seed: f.Seed*100 + uint64(i), Relays: relays, Copies: f.stores, ZoneOf: zoneOf,
			Position: at, Empty: 1, Journal: filepath.Join(f.Out, "traces", fmt.Sprintf("hollow-%s.%d.trace", zone, point)), Plant: f.Plant,
			RenewMs: renewMs, Presence: presenceMs, Today: f.Today}
		p.args = []string{"lab", "hollow", "--config", filepath.Join(p.dir, "hollow.json")}
		p.before = func(p *process) error {
			b, err := json.Marshal(set)
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(p.dir, "hollow.json"), b, 0o644)
		}
		f.hollows = append(f.hollows, p)
	}
	return nil
}

// startAll starts some processes.
func (f *fleet) startAll(all []*process) error {
	for _, p := range all {
		if err := p.start(f.spawner, f.Binary); err != nil {
			return fmt.Errorf("scale: %s: %w", p.name, err)
		}
	}
	return nil
}

// orderAll gives all processes of hollow servers an order.
func (f *fleet) orderAll(o hollowOrder) error {
	var wait sync.WaitGroup
	errs := make([]error, len(f.hollows))
	for i, h := range f.hollows {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_, errs[i] = h.order(o)
		}()
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// cut separates zones from all others; heal ends that.
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
	return f.orderAll(hollowOrder{Kind: orderCut, Zones: zones})
}

func (f *fleet) heal() error {
	for _, b := range f.links {
		b.link.Heal()
	}
	return f.orderAll(hollowOrder{Kind: orderCut})
}

// leader is the copy that leads; nil: none says so.
func (f *fleet) leader() *process {
	var leads *process
	term := uint64(0)
	for _, p := range f.copies {
		var v serverFigures
		if readFigures(p.figures, &v) == nil && v.Duties != nil && v.Duties.Sessions != nil && v.Duties.Sessions.Term > term {
			leads, term = p, v.Duties.Sessions.Term
		}
	}
	return leads
}

// endAll ends processes, all at once.
func endAll(all []*process, sig syscall.Signal) {
	var wait sync.WaitGroup
	for _, p := range all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.end(sig)
		}()
	}
	wait.Wait()
}

// stop ends all processes in an order in which each can say what it has to.
func (f *fleet) stop() {
	endAll(f.hollows, syscall.SIGTERM)
	endAll(f.servers, syscall.SIGTERM)
	endAll(f.relays, syscall.SIGTERM)
	endAll(f.copies, syscall.SIGTERM)
}

// close frees what is left, at any end.
func (f *fleet) close() {
	f.stop()
	for _, b := range f.links {
		b.link.Close()
	}
	for _, s := range f.stands {
		s.Close()
	}
	if f.spawner != nil {
		f.spawner.close()
	}
}

// waitFor asks until something holds.
func waitFor(within time.Duration, what string, holds func() (bool, string)) error {
	late := time.Now().Add(within)
	for {
		ok, state := holds()
		if ok {
			return nil
		}
		if time.Now().After(late) {
			return fmt.Errorf("scale: after %s: %s: %s", within, what, state)
		}
		time.Sleep(lookEvery)
	}
}

const lookEvery = 100 * time.Millisecond

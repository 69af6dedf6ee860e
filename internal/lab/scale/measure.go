package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/net/configwatch"
	"puffinsaddle/internal/net/session"
	"puffinsaddle/internal/relay"
)

// machineMemory returns the memory of the machine, in bytes.
func machineMemory() (int64, error) { return procField("/proc/meminfo", "MemTotal:") }

// residentMemory returns the resident set size of a process, in bytes.
func residentMemory(pid int) (int64, error) {
	return procField(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
}

// procField reads a field in kB from a file in /proc and returns it in bytes.
func procField(path, field string) (int64, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		words := strings.Fields(in.Text())
		if len(words) >= 2 && words[0] == field {
			kb, err := strconv.ParseInt(words[1], 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("scale: %s has no %s", path, field)
}

// cpuTime returns the CPU time of a process's current threads, in seconds.
func cpuTime(pid int) (seconds float64) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0
	}
	for _, path := range files {
		b, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		if words := strings.Fields(string(b)); len(words) > 0 {
			ns, _ := strconv.ParseFloat(words[0], 64)
			seconds += ns / 1e9
		}
	}
	return seconds
}

// serverMetrics holds the metrics that the scale test reads from an order server.
type serverMetrics struct {
	Duties *struct {
		Me       string                 `json:"me"`
		Present  bool                   `json:"present"`
		Sessions *session.ServerMetrics `json:"sessions"`
		Origin   *configwatch.Metrics   `json:"origin"`
		Relays   *distribution.Report   `json:"relays"`
		Held     map[string]uint64      `json:"held"`
	} `json:"duties"`
	Records *struct {
		configwatch.ClientMetrics
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest"`
	} `json:"records"`
}

var metricsClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// readMetrics decodes the metrics that the process serves at an address.
func readMetrics(address string, into any) error {
	r, err := metricsClient.Get("http://" + address + "/-/metrics")
	if err != nil {
		return err
	}
	defer r.Body.Close()
	return json.NewDecoder(io.LimitReader(r.Body, 4<<20)).Decode(into)
}

// sample holds counters read at one time. CPU times are in seconds.
type sample struct {
	at             time.Time
	leader         *process
	leaderCPU      float64
	configBytes    uint64
	sessionBytes   uint64
	logEntries     uint64 // of the replicated log
	relayCPU       map[string]float64
	relayBytes     map[string]uint64
	simulatedCPU   float64
	simulatedBytes uint64
}

// takeSample reads the counters of the leader, the relays and the simulated servers.
func (f *fleet) takeSample() (s sample) {
	s.at = time.Now()
	s.leader = f.leader()
	if s.leader != nil {
		var v serverMetrics
		if readMetrics(s.leader.metricsAddress, &v) == nil && v.Duties != nil {
			s.configBytes = v.Duties.Origin.SentBytes + v.Duties.Origin.ReceivedBytes
			s.sessionBytes = v.Duties.Sessions.SentBytes + v.Duties.Sessions.ReceivedBytes
			s.logEntries = v.Duties.Sessions.LogEntries
		}
		s.leaderCPU = cpuTime(s.leader.pid())
	}
	s.relayCPU, s.relayBytes = map[string]float64{}, map[string]uint64{}
	for _, p := range f.relays {
		var v relay.Metrics
		if readMetrics(p.metricsAddress, &v) == nil {
			s.relayCPU[p.name] = cpuTime(p.pid())
			s.relayBytes[p.name] = v.Serving.SentBytes + v.Serving.ReceivedBytes + v.Watching.SentBytes + v.Watching.ReceivedBytes
		}
	}
	for _, h := range f.simulators {
		s.simulatedCPU += cpuTime(h.pid())
		if a, err := h.sendCommand(simulatorCommand{Kind: commandStatus}); err == nil {
			s.simulatedBytes += a.Bytes
		}
	}
	return s
}

// rates holds the differences between two samples per second. CPU is in cores and traffic in bytes.
type rates struct {
	leaderCPU, configBytes, sessionBytes, logEntries float64
	sameLeader                                       bool    // both samples have the same leader; otherwise the leader's rates are unknown
	relayCPU, relayBytes                             float64 // maximum of all relays
	simulatedCPU, simulatedBytes                     float64
}

// ratesBetween returns the rates between samples a and b.
func ratesBetween(a, b sample) (r rates) {
	seconds := b.at.Sub(a.at).Seconds()
	if r.sameLeader = a.leader == b.leader && a.leader != nil; r.sameLeader {
		r.leaderCPU = (b.leaderCPU - a.leaderCPU) / seconds
		r.configBytes = float64(b.configBytes-a.configBytes) / seconds
		r.sessionBytes = float64(b.sessionBytes-a.sessionBytes) / seconds
		r.logEntries = float64(b.logEntries-a.logEntries) / seconds
	}
	for name := range b.relayCPU {
		r.relayCPU = max(r.relayCPU, (b.relayCPU[name]-a.relayCPU[name])/seconds)
		r.relayBytes = max(r.relayBytes, float64(b.relayBytes[name]-a.relayBytes[name])/seconds)
	}
	r.simulatedCPU = (b.simulatedCPU - a.simulatedCPU) / seconds
	r.simulatedBytes = float64(b.simulatedBytes-a.simulatedBytes) / seconds
	return r
}

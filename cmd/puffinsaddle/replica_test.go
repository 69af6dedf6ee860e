package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
)

// leads reports whether the process's store replica is the leader.
func (c *serverProcess) leads() bool {
	answer, err := httpClient.Get("http://" + c.operator + "/-/metrics")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var metrics struct {
		Store struct {
			Leads bool `json:"leads"`
		} `json:"store"`
	}
	return json.NewDecoder(answer.Body).Decode(&metrics) == nil && metrics.Store.Leads
}

// A process with the leading store replica drains. Guards against a leadership that is handed over only after the fronts have
// closed: callers may keep them open until the kill, and bookings on all servers would wait for an election.
func TestDrainingLeaderHandsOverLeadership(t *testing.T) {
	const descriptors = 1024
	members := fakeMembers(t).LocalAddr().String()
	addresses := []string{freePort(t), freePort(t), freePort(t)}
	peers := fmt.Sprintf("{c0: %q, c1: %q, c2: %q}", addresses[0], addresses[1], addresses[2])
	var processes []*serverProcess
	for i, address := range addresses {
		c := newServerProcess(t)
		c.env = []string{fmt.Sprintf("RELAY_NAME=c%d", i), "PUFFINSADDLE_OPERATOR=" +
			writeOperatorFile(t, fmt.Sprintf("store: {id: c%d, listen: %q, dir: %q, peers: %s}\n", i, address, t.TempDir(), peers))}
		c.writeConfig(startRunningExecutor(t, 0), members, descriptors)
		c.start(descriptors)
		processes = append(processes, c)
	}
	leader := func(except *serverProcess) (found *serverProcess) {
		processes[0].waitUntil("a replica leads", func() bool {
			for _, c := range processes {
				if c != except && c.leads() {
					found = c
				}
			}
			return found != nil
		})
		return found
	}
	first := leader(nil)
	first.cmd.Process.Signal(syscall.SIGTERM)
	leader(first) // long before the stop, which is 1e7 ms away
	if !first.ready() {
		t.Error("the draining process has ended")
	}
}

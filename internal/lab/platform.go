package lab

import (
	"encoding/json"
	"fmt"
	"os"

	"puffinsaddle/internal/trace"
)

// PlatformFile is the content of the platform's file for an order server that the lab starts.
type PlatformFile struct {
	Name            string
	Listen          string
	Executor        string
	Vault           string
	OperatorAddress string // address for operators
	Seed            uint64
	Servers         int // in the fleet
	VaultSlots      int // calls that the vault serves at once
	MemoryMB        int
	Sockets         int
	Cores           float64 // 0 means 1
	StopTimeoutMS   float64 // from the drain notice to the kill; 0 means stopTimeoutMS
}

// Write writes the file as JSON.
func (p PlatformFile) Write(path string) error {
	settings := object{
		"classes": []object{{"name": readingClass, "aim": 1e9, "deadline": 2e9, "worth": 1.0, "lateValue": 0.2, "idempotency": "safe"},
			{"name": bookingClass, "aim": 1e9, "deadline": 2e9, "worth": 4.0, "lateValue": 0.2, "idempotency": "unsafe"}},
		"extra": object{"callers": 1, "nCores": 4, "heapKb": 20000.0, "entryKb": 1.0, "runMemFactor": 4.0, "freshFor": 0, "passesDeadline": true,
			"say": "none", "downstream": "shared", "callsOut": float64(p.VaultSlots) / float64(p.Servers), "callsOver": int64(2e9), "linger": int64(5e6),
			"gauges": []string{"cpu_busy", "runnable"}, "callsByClass": []bool{true, true}, "classSkipWorth": []float64{partialWorth, 0}},
		"limits":  object{"maxRetryAfter": 1000000000, "retryAfter": true},
		"clients": object{"marksRetry": true},
		"rules":   object{"answerSlack": 60000000, "cold": 2000000000, "coldShare": 0.5, "drainGrace": 1000000000, "fall": 3000000000, "fallMultiple": 8.0},
		"servers": p.Servers, "tick": 4000000,
	}
	cores := p.Cores
	if cores == 0 {
		cores = 1
	}
	stopMS := p.StopTimeoutMS
	if stopMS == 0 {
		stopMS = stopTimeoutMS
	}
	file := object{"name": p.Name, "listen": p.Listen, "executor": p.Executor, "vault": p.Vault, "operator": p.OperatorAddress,
		"seed": fmt.Sprintf("%016x", p.Seed), "stop_ms": stopMS, "limits": object{"cores": cores, "memory_mb": p.MemoryMB, "sockets": p.Sockets}, "settings": settings}
	b, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}

// FakeExecutor is a fake executor for processes that get no requests.
type FakeExecutor struct{ fake *fakeExecutor }

// NewFakeExecutor starts a fake executor on a free port.
func NewFakeExecutor(name string) (*FakeExecutor, error) {
	x, err := newFakeExecutor(name, func(trace.Event) {}, func() (bool, float64) { return false, 0 })
	if err != nil {
		return nil, err
	}
	return &FakeExecutor{x}, nil
}

// Addr returns the address on which the fake listens.
func (f *FakeExecutor) Addr() string { return f.fake.ln.Addr().String() }

// Close stops the fake from accepting connections.
func (f *FakeExecutor) Close() { f.fake.ln.Close() }

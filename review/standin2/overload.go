package standin2

import (
	"fmt"
	"time"
)

// Figures of the case. The order server is the only one, so its share of the calls is all that the vault survives.
const (
	vaultSurvives = 6.66 // callsOut of the settings
	vaultPeriod   = 5 * time.Second
	vaultLinger   = 200 * time.Millisecond
	vaultLatency  = 400 * time.Millisecond
	vaultBookings = 25 * time.Millisecond // between two bookings
	vaultBefore   = 8 * time.Second       // of load before the replacement
	vaultAfter    = 8 * time.Second       // of load after it
	vaultMinCalls = 60                    // fewer show nothing
)

// Vault replaces a process under load by another one, and checks that the two together do not load the vault past the point
// that it survives.
func Vault(p *Play) (broken bool, err error) {
	m := newMachine(p, 6, func(*request) []step {
		return []step{{work: 60 * time.Millisecond}, {call: true}, {work: 60 * time.Millisecond}}
	})
	v, err := newVault(p, vaultSurvives, vaultPeriod, vaultLinger, vaultLatency)
	if err != nil {
		return false, err
	}
	defer v.close()
	classes := []any{
		map[string]any{"name": "price-quote", "aim": 2100000000, "deadline": 5000000000, "idempotency": "safe", "worth": 1.0},
		map[string]any{"name": "book-delivery", "aim": 1700000000, "deadline": 5000000000, "idempotency": "unsafe", "worth": 4.0},
	}
	extra := map[string]any{"nCores": 6, "downstream": "shared", "callsOut": vaultSurvives, "callsOver": vaultPeriod.Nanoseconds(),
		"linger": vaultLinger.Nanoseconds(), "callsByClass": []bool{true, true}, "classSkipWorth": []float64{0.5, 0}, "gauges": gaugeNames}
	u, err := newUpgrade(p, m, map[string]any{"vault": v.addr()}, map[string]any{"classes": classes, "extra": extra})
	if err != nil {
		return false, err
	}
	first, err := u.start(0)
	if err != nil {
		return false, err
	}
	if err := u.waitReady(0); err != nil {
		return false, err
	}
	l := startLoad(m, u.routers, vaultBookings, func(i int) (*request, string) {
		return &request{id: requestID(i), class: "book-delivery", body: "a booking", kb: 24.5}, ""
	})
	time.Sleep(vaultBefore)
	if p.trouble {
		if _, err := u.start(1); err != nil {
			return false, err
		}
		if err := u.waitReady(1); err != nil {
			return false, err
		}
		if err := u.retire(first); err != nil {
			return false, err
		}
	}
	time.Sleep(vaultAfter)
	l.end()
	v.mu.Lock()
	defer v.mu.Unlock()
	p.record("vault: the highest mean was %.2f calls in hand, it survives %.2f; %d calls", v.peak, v.survives, v.served)
	if v.served < vaultMinCalls {
		return false, fmt.Errorf("the vault had %d calls", v.served)
	}
	return v.fallen, nil
}

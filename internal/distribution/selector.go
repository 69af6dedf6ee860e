package distribution

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"

	"puffinsaddle/internal/backoff"
)

// Relay is the address and locality of a relay.
type Relay struct {
	Name    string `yaml:"name" json:"name"` // by which other relays refer to it
	Address string `yaml:"address" json:"address"`
	Zone    string `yaml:"zone" json:"zone"`
	Region  string `yaml:"region" json:"region"`
}

// Locality is the zone and region of a watcher.
type Locality struct {
	Zone   string
	Region string
}

// CheckRelays returns an error for the first relay with an invalid or duplicate address or without a zone.
func CheckRelays(relays []Relay) error {
	seen := map[string]int{}
	for i, r := range relays {
		if _, _, err := net.SplitHostPort(r.Address); err != nil {
			return fmt.Errorf("[%d].address: %w", i, err)
		}
		if first, duplicate := seen[r.Address]; duplicate {
			return fmt.Errorf("[%d].address: %s is listed in [%d] already", i, r.Address, first)
		}
		if r.Zone == "" {
			return fmt.Errorf("[%d].zone is missing", i)
		}
		seen[r.Address] = i
	}
	return nil
}

// Backoff and retry delays of a watcher, in milliseconds.
const (
	initialBackoffMS  = 250.0
	maxBackoffMS      = 4000.0
	maxStoreBackoffMS = 1000.0  // of a relay that looks for the store leader
	maxRefusalDelayMS = 60000.0 // upper bound of the retry delay that a relay may ask for
	minRemoteStayMS   = 30000.0 // minimum time on a more distant relay before selecting again; jittered up to twice that
)

// Selector chooses the relay to watch: relays in its own zone first, then those in its own region, then all others. The order among
// equals is random for each selector, so that the watchers of a failed relay spread over the others. Between attempts it waits
// with jittered exponential backoff, so that they do not all reconnect at once.
type Selector struct {
	rng        *rand.Rand
	candidates []Relay
	locality   Locality
	nextIndex  int
	backoff    *backoff.Backoff
	retryAtMS  map[string]float64 // by address: time in milliseconds before which the relay must not be retried
	current    Relay
}

// NewSelector returns a selector over relays for a watcher at locality.
func NewSelector(relays []Relay, locality Locality, seed uint64) *Selector {
	return newSelector(relays, locality, seed, maxBackoffMS)
}

// NewStoreSelector returns a relay's selector over the store replicas. Its maximum backoff is shorter than that of NewSelector:
// relays are few, and all watchers of a relay wait until it has found the leader.
func NewStoreSelector(storeReplicas []Relay, seed uint64) *Selector {
	return newSelector(storeReplicas, Locality{}, seed, maxStoreBackoffMS)
}

func newSelector(relays []Relay, locality Locality, seed uint64, backoffLimitMS float64) *Selector {
	s := &Selector{rng: rand.New(rand.NewPCG(seed, 5)), locality: locality, retryAtMS: map[string]float64{}}
	s.backoff = backoff.New(initialBackoffMS, backoffLimitMS, s.rng)
	s.candidates = slices.Clone(relays)
	s.rng.Shuffle(len(s.candidates), func(i, j int) { s.candidates[i], s.candidates[j] = s.candidates[j], s.candidates[i] })
	slices.SortStableFunc(s.candidates, func(a, b Relay) int { return s.distance(a) - s.distance(b) })
	return s
}

// distance returns 0 for a relay in the selector's zone, 1 for one in its region and 2 for any other.
func (s *Selector) distance(r Relay) int {
	switch {
	case r.Zone == s.locality.Zone:
		return 0
	case r.Region != "" && r.Region == s.locality.Region:
		return 1
	}
	return 2
}

// Next returns the relay to connect to now. If all relays have asked for a delay, ok is false and waitMS is the time
// until the first of them may be retried.
func (s *Selector) Next(nowMS float64) (r Relay, waitMS float64, ok bool) {
	if len(s.candidates) == 0 {
		return r, maxBackoffMS, false
	}
	earliestMS := -1.0
	for i := range s.candidates {
		r = s.candidates[(s.nextIndex+i)%len(s.candidates)]
		retryAtMS := s.retryAtMS[r.Address]
		if retryAtMS <= nowMS {
			s.nextIndex = (s.nextIndex + i + 1) % len(s.candidates)
			s.current = r
			return r, 0, true
		}
		if earliestMS < 0 || retryAtMS < earliestMS {
			earliestMS = retryAtMS
		}
	}
	return r, earliestMS - nowMS, false
}

// Failed records that the relay could not be reached or that its connection ended. It returns the backoff before the next attempt,
// in milliseconds.
func (s *Selector) Failed() (waitMS float64) { return s.backoff.Next() }

// Refused records that the relay refused the watch, the delay that it asked for, and the alternatives that it gave by name or
// address. The first alternative that may be tried now is the next choice. It returns the backoff before the next attempt, in
// milliseconds.
func (s *Selector) Refused(nowMS, delayMS float64, alternatives []string) (waitMS float64) {
	s.retryAtMS[s.current.Address] = nowMS + min(max(delayMS, 0), maxRefusalDelayMS)
	for _, nameOrAddress := range alternatives {
		i := slices.IndexFunc(s.candidates, func(r Relay) bool { return r.Address == nameOrAddress || r.Name == nameOrAddress })
		if i >= 0 && s.retryAtMS[s.candidates[i].Address] <= nowMS {
			s.nextIndex = i
			break
		}
	}
	return s.Failed()
}

// Served records that the relay serves. If a nearer relay exists, it returns the milliseconds after which to select again; else it
// returns 0, and the watcher stays connected.
func (s *Selector) Served() (reselectAfterMS float64) {
	s.nextIndex = 0
	s.backoff.Reset()
	clear(s.retryAtMS)
	if s.distance(s.current) == 0 || len(s.candidates) == 0 || s.distance(s.candidates[0]) == s.distance(s.current) {
		return 0
	}
	return minRemoteStayMS * (1 + s.rng.Float64())
}

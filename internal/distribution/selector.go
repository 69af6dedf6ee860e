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
		if first, twice := seen[r.Address]; twice {
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
	firstBackoff   = 250.0
	maxBackoff     = 4000.0
	maxCopyBackoff = 1000.0  // of a relay that looks for the store leader
	maxRefusal     = 60000.0 // upper bound of the retry delay that a relay may ask for
	awayFor        = 30000.0 // minimum time on a relay outside the nearest locality before selecting anew; jittered up to twice that
)

// Selector chooses the relay to watch: relays of the own zone first, then of the own region, then all others. The order among
// equals is random for each selector, so that the watchers of a failed relay spread over the others. Between attempts it waits
// with jittered exponential backoff, so that they do not all reconnect at once.
type Selector struct {
	rng    *rand.Rand
	order  []Relay
	place  Locality
	next   int
	tries  *backoff.Backoff
	avoid  map[string]float64 // by address: time in milliseconds before which the relay must not be retried
	target Relay
}

// NewSelector returns a selector over relays for a watcher at place.
func NewSelector(relays []Relay, place Locality, seed uint64) *Selector {
	return newSelector(relays, place, seed, maxBackoff)
}

// NewCopySelector returns a relay's selector over the store replicas. Its maximum backoff is shorter than that of NewSelector:
// relays are few, and all watchers of a relay wait until it has found the leader.
func NewCopySelector(copies []Relay, seed uint64) *Selector {
	return newSelector(copies, Locality{}, seed, maxCopyBackoff)
}

func newSelector(relays []Relay, place Locality, seed uint64, maxBackoff float64) *Selector {
	s := &Selector{rng: rand.New(rand.NewPCG(seed, 5)), place: place, avoid: map[string]float64{}}
	s.tries = backoff.New(firstBackoff, maxBackoff, s.rng)
	s.order = slices.Clone(relays)
	s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	slices.SortStableFunc(s.order, func(a, b Relay) int { return s.distance(a) - s.distance(b) })
	return s
}

// distance returns 0 for the own zone, 1 for the own region and 2 for the rest.
func (s *Selector) distance(r Relay) int {
	switch {
	case r.Zone == s.place.Zone:
		return 0
	case r.Region != "" && r.Region == s.place.Region:
		return 1
	}
	return 2
}

// Next returns the relay to connect to now. If all relays have asked for a delay, ok is false and wait is the time in
// milliseconds until the first of them may be retried.
func (s *Selector) Next(now float64) (r Relay, wait float64, ok bool) {
	if len(s.order) == 0 {
		return r, maxBackoff, false
	}
	soonest := -1.0
	for i := range s.order {
		r = s.order[(s.next+i)%len(s.order)]
		until := s.avoid[r.Address]
		if until <= now {
			s.next = (s.next + i + 1) % len(s.order)
			s.target = r
			return r, 0, true
		}
		if soonest < 0 || until < soonest {
			soonest = until
		}
	}
	return r, soonest - now, false
}

// Failed records that the relay could not be reached or that its connection ended. It returns the backoff before the next attempt,
// in milliseconds.
func (s *Selector) Failed() (wait float64) { return s.tries.Next() }

// Refused records that the relay refused the watch, the delay that it asked for, and the alternatives that it gave by name or
// address. The first alternative that may be tried now is the next choice. It returns the backoff before the next attempt, in
// milliseconds.
func (s *Selector) Refused(now, retryMs float64, elsewhere []string) (wait float64) {
	s.avoid[s.target.Address] = now + min(max(retryMs, 0), maxRefusal)
	for _, address := range elsewhere {
		i := slices.IndexFunc(s.order, func(r Relay) bool { return r.Address == address || r.Name == address })
		if i >= 0 && s.avoid[s.order[i].Address] <= now {
			s.next = i
			break
		}
	}
	return s.Failed()
}

// Served records that the relay serves. It returns after how many milliseconds to select anew if a nearer relay exists, or 0 to
// stay connected.
func (s *Selector) Served() (keepFor float64) {
	s.next = 0
	s.tries.Reset()
	clear(s.avoid)
	if s.distance(s.target) == 0 || len(s.order) == 0 || s.distance(s.order[0]) == s.distance(s.target) {
		return 0
	}
	return awayFor * (1 + s.rng.Float64())
}

package distribution

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"

	"puffinsaddle/internal/backoff"
)

// Relay is one relay as servers know it.
type Relay struct {
	Name    string `yaml:"name" json:"name"` // by which others name it
	Address string `yaml:"address" json:"address"`
	Zone    string `yaml:"zone" json:"zone"`
	Region  string `yaml:"region" json:"region"`
}

// Place is where a watcher stands.
type Place struct {
	Zone   string
	Region string
}

// CheckRelays names the first relay that makes no sense.
func CheckRelays(relays []Relay) error {
	seen := map[string]int{}
	for i, r := range relays {
		if _, _, err := net.SplitHostPort(r.Address); err != nil {
			return fmt.Errorf("[%d].address: %w", i, err)
		}
		if first, twice := seen[r.Address]; twice {
			return fmt.Errorf("[%d].address: %s stands in [%d] already", i, r.Address, first)
		}
		if r.Zone == "" {
			return fmt.Errorf("[%d].zone is missing", i)
		}
		seen[r.Address] = i
	}
	return nil
}

// Backoff of a watcher that is not served, in ms.
const (
	firstBackoff   = 250.0
	maxBackoff     = 4000.0
	maxCopyBackoff = 1000.0  // of a relay that seeks the copy that leads
	maxRefusal     = 60000.0 // a relay that refused is tried again after so long, whatever it said
	awayFor        = 30000.0 // a watcher on a relay of another zone looks for a nearer one after so long, up to twice that
)

// Selector chooses the relay to watch: those of the own zone first, then of the own region, then all others; among equals by a
// draw of its own, so that the watchers of a relay that fails spread over the others. Between two tries it waits by chance
// within a span that doubles, so that they don't come at once.
type Selector struct {
	rng    *rand.Rand
	order  []Relay
	place  Place
	next   int
	tries  *backoff.Backoff
	avoid  map[string]float64 // by address: until when it asked not to be tried
	target Relay
}

// NewSelector makes a selector over some relays.
func NewSelector(relays []Relay, place Place, seed uint64) *Selector {
	return newSelector(relays, place, seed, maxBackoff)
}

// NewCopySelector makes a relay's selector over the copies of the store. Relays are few, so it waits less between tries: all that
// watch the relay wait with it until it has found the copy that leads.
func NewCopySelector(copies []Relay, seed uint64) *Selector {
	return newSelector(copies, Place{}, seed, maxCopyBackoff)
}

func newSelector(relays []Relay, place Place, seed uint64, maxBackoff float64) *Selector {
	s := &Selector{rng: rand.New(rand.NewPCG(seed, 5)), place: place, avoid: map[string]float64{}}
	s.tries = backoff.New(firstBackoff, maxBackoff, s.rng)
	s.order = slices.Clone(relays)
	s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	slices.SortStableFunc(s.order, func(a, b Relay) int { return s.distance(a) - s.distance(b) })
	return s
}

// distance is 0 for the own zone, 1 for the own region, 2 for the rest.
func (s *Selector) distance(r Relay) int {
	switch {
	case r.Zone == s.place.Zone:
		return 0
	case r.Region != "" && r.Region == s.place.Region:
		return 1
	}
	return 2
}

// Next is the relay to try now; false: all have asked not to be tried yet, and wait tells for how long.
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

// Failed tells that the relay was not reached, or left; the next try is due after the wait that it returns.
func (s *Selector) Failed() (wait float64) { return s.tries.Next() }

// Refused tells that the relay asked not to be tried for a while, and which others it named, by name or address; the first of
// them that is not to be avoided itself is tried next.
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

// Served tells that the relay serves. The wait is how long it is kept where it is not of the own zone; 0: as long as it lasts.
func (s *Selector) Served() (keepFor float64) {
	s.next = 0
	s.tries.Reset()
	clear(s.avoid)
	if s.distance(s.target) == 0 || len(s.order) == 0 || s.distance(s.order[0]) == s.distance(s.target) {
		return 0
	}
	return awayFor * (1 + s.rng.Float64())
}

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

// Locality is where a watcher stands.
type Locality struct {
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
		if first, duplicate := seen[r.Address]; duplicate {
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
	initialBackoffMS  = 250.0
	maxBackoffMS      = 4000.0
	maxStoreBackoffMS = 1000.0  // of a relay that seeks the copy that leads
	maxRefusalDelayMS = 60000.0 // a relay that refused is tried again after so long, whatever it said
	minRemoteStayMS   = 30000.0 // a watcher on a relay of another zone looks for a nearer one after so long, up to twice that
)

// Selector chooses the relay to watch: those of the own zone first, then of the own region, then all others; among equals by a
// draw of its own, so that the watchers of a relay that fails spread over the others. Between two tries it waits by chance
// within a span that doubles, so that they don't come at once.
type Selector struct {
	rng        *rand.Rand
	candidates []Relay
	locality   Locality
	nextIndex  int
	backoff    *backoff.Backoff
	retryAtMS  map[string]float64 // by address: until when it asked not to be tried
	current    Relay
}

// NewSelector makes a selector over some relays.
func NewSelector(relays []Relay, locality Locality, seed uint64) *Selector {
	return newSelector(relays, locality, seed, maxBackoffMS)
}

// NewStoreSelector makes a relay's selector over the copies of the store. Relays are few, so it waits less between tries: all that
// watch the relay wait with it until it has found the copy that leads.
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

// distance is 0 for the own zone, 1 for the own region, 2 for the rest.
func (s *Selector) distance(r Relay) int {
	switch {
	case r.Zone == s.locality.Zone:
		return 0
	case r.Region != "" && r.Region == s.locality.Region:
		return 1
	}
	return 2
}

// Next is the relay to try now; false: all have asked not to be tried yet, and wait tells for how long.
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

// Failed tells that the relay was not reached, or left; the next try is due after the wait that it returns.
func (s *Selector) Failed() (waitMS float64) { return s.backoff.Next() }

// Refused tells that the relay asked not to be tried for a while, and which others it named, by name or address; the first of
// them that is not to be avoided itself is tried next.
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

// Served tells that the relay serves. The wait is how long it is kept where it is not of the own zone; 0: as long as it lasts.
func (s *Selector) Served() (reselectAfterMS float64) {
	s.nextIndex = 0
	s.backoff.Reset()
	clear(s.retryAtMS)
	if s.distance(s.current) == 0 || len(s.candidates) == 0 || s.distance(s.candidates[0]) == s.distance(s.current) {
		return 0
	}
	return minRemoteStayMS * (1 + s.rng.Float64())
}

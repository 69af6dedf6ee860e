// Package backoff computes the delays between attempts of a failing operation: exponential backoff with full jitter. Clients
// that fail at the same moment thus neither retry at the same moment nor keep retrying at the initial rate. The package does no
// I/O and reads no clock.
package backoff

import "math/rand/v2"

// Backoff holds the state of one sequence of attempts. It is not safe for concurrent use.
type Backoff struct {
	initialMS, maxMS float64
	rng              *rand.Rand
	ceilingMS        float64 // upper bound of the next delay, in ms
}

// New returns a Backoff whose first delay is at most initialMS. This bound doubles with each failure, up to maxMS.
func New(initialMS, maxMS float64, rng *rand.Rand) *Backoff {
	return &Backoff{initialMS: initialMS, maxMS: maxMS, rng: rng, ceilingMS: initialMS}
}

// Next returns the delay after a further failure, in milliseconds, drawn uniformly between 0 and the current bound.
func (b *Backoff) Next() float64 {
	delayMS := b.ceilingMS * b.rng.Float64()
	b.ceilingMS = min(b.ceilingMS*2, b.maxMS)
	return delayMS
}

// Reset returns to the initial bound after a successful attempt.
func (b *Backoff) Reset() { b.ceilingMS = b.initialMS }

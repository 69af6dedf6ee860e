// Package backoff spaces the tries of something that fails: each waits a random part of a span that doubles up to a bound, so
// that many who failed at one moment neither come back at one moment nor keep coming at the rate of the first tries. It is free
// of I/O and of time.
package backoff

import "math/rand/v2"

// Backoff counts the failures of one who tries. It is not safe for concurrent use.
type Backoff struct {
	initialMS, maxMS float64
	rng              *rand.Rand
	ceilingMS        float64 // of the next wait
}

// New begins with a span of first milliseconds, which doubles with each failure up to max.
func New(initialMS, maxMS float64, rng *rand.Rand) *Backoff {
	return &Backoff{initialMS: initialMS, maxMS: maxMS, rng: rng, ceilingMS: initialMS}
}

// Next is the wait after another failure, in milliseconds: any part of the span, each as likely.
func (b *Backoff) Next() float64 {
	delayMS := b.ceilingMS * b.rng.Float64()
	b.ceilingMS = min(b.ceilingMS*2, b.maxMS)
	return delayMS
}

// Reset tells that a try succeeded.
func (b *Backoff) Reset() { b.ceilingMS = b.initialMS }

package backoff

import (
	"math/rand/v2"
	"testing"
)

// Waits stay within spans that double up to the bound, spread over them, and begin anew after a success.
func TestDelayRangeDoublesUpToMaximum(t *testing.T) {
	const initialMS, maxMS, rounds = 100.0, 1000.0, 2000
	ceilings := []float64{100, 200, 400, 800, 1000, 1000}
	longest := make([]float64, len(ceilings))
	sum := make([]float64, len(ceilings))
	rng := rand.New(rand.NewPCG(1, 2))
	b := New(initialMS, maxMS, rng)
	for range rounds {
		for i, ceiling := range ceilings {
			delay := b.Next()
			if delay < 0 || delay > ceiling {
				t.Fatalf("failure %d waits %v ms of a span of %v", i+1, delay, ceiling)
			}
			longest[i] = max(longest[i], delay)
			sum[i] += delay
		}
		b.Reset()
	}
	for i, ceiling := range ceilings {
		if longest[i] < 0.95*ceiling {
			t.Errorf("failure %d never waits longer than %v ms of a span of %v", i+1, longest[i], ceiling)
		}
		if mean := sum[i] / rounds; mean < 0.45*ceiling || mean > 0.55*ceiling {
			t.Errorf("failure %d waits %v ms in the mean of a span of %v", i+1, mean, ceiling)
		}
	}
}

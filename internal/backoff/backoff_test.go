package backoff

import (
	"math/rand/v2"
	"testing"
)

// Delays are spread uniformly over a range that doubles up to the maximum, and the range starts over after a success.
func TestSpansDoubleUpToTheBound(t *testing.T) {
	const first, most, tries = 100.0, 1000.0, 2000
	spans := []float64{100, 200, 400, 800, 1000, 1000}
	longest := make([]float64, len(spans))
	sum := make([]float64, len(spans))
	rng := rand.New(rand.NewPCG(1, 2))
	b := New(first, most, rng)
	for range tries {
		for i, span := range spans {
			wait := b.Next()
			if wait < 0 || wait > span {
				t.Fatalf("failure %d: delay of %v ms is outside 0 to %v", i+1, wait, span)
			}
			longest[i] = max(longest[i], wait)
			sum[i] += wait
		}
		b.Reset()
	}
	for i, span := range spans {
		if longest[i] < 0.95*span {
			t.Errorf("failure %d: longest delay is %v ms, want close to %v", i+1, longest[i], span)
		}
		if mean := sum[i] / tries; mean < 0.45*span || mean > 0.55*span {
			t.Errorf("failure %d: mean delay is %v ms, want about half of %v", i+1, mean, span)
		}
	}
}

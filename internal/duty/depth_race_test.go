//go:build race

package duty

// exploreDepth is the number of steps that the exhaustive search covers. It is reduced here because the race detector makes each
// step several times slower; CI runs the full depth without it.
const exploreDepth = 6

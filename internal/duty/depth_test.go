//go:build !race

package duty

// exploreDepth is the number of steps that the exhaustive search covers.
const exploreDepth = 8

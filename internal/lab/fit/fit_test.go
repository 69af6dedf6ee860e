package fit

import (
	"strings"
	"testing"
)

const benchmarkOutput = `goos: linux
BenchmarkFlat/servers=300-6    100   50 ns/op   7 B/op
BenchmarkFlat/servers=1000-6   100   50 ns/op   7 B/op
BenchmarkFlat/servers=4300-6   100   50 ns/op   7 B/op
BenchmarkRising/write/records=10-6   1   120 ns/op
BenchmarkRising/write/records=20-6   1   140 ns/op
BenchmarkRising/write/records=20-6   1   900 ns/op
BenchmarkRising/write/records=20-6   1   130 ns/op
BenchmarkRising/write/records=40-6   1   180 ns/op
BenchmarkSquare/servers=10   1   100 ns/op
BenchmarkSquare/servers=20   1   400 ns/op
BenchmarkSquare/servers=40   1   1600 ns/op
BenchmarkTwo/servers=10/duties=5-6   1   1 ns/op
BenchmarkNone-6   1   1 ns/op
PASS
`

func TestFitReportsSlopesAndNonlinearity(t *testing.T) {
	lines, err := Read(strings.NewReader(benchmarkOutput))
	if err != nil || len(lines) != 4 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	near := func(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }
	if l := lines[0]; l.Name != "Flat by servers" || l.Unit != "ns/op" || !near(l.Slope, 0) || !near(l.Base, 50) || l.Nonlinear() {
		t.Errorf("%+v", l)
	}
	if l := lines[2]; l.Name != "Rising/write by records" || !near(l.Slope, 2) || !near(l.Base, 100) || l.Nonlinear() {
		t.Errorf("%+v", l)
	}
	if l := lines[3]; !l.Nonlinear() || !strings.Contains(l.row(), "bend: 30 each at first, 60 at last") {
		t.Errorf("%+v: %s", l, l.row())
	}
}

func TestInvalidBenchmarksAreRejected(t *testing.T) {
	for _, text := range []string{"", "BenchmarkX/n=1 1 2 ns/op\n", "BenchmarkX/n=1 1 two ns/op\n"} {
		if _, err := Read(strings.NewReader(text)); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

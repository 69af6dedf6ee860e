// Package fit fits straight lines to the output of benchmarks that run over several sizes, and reports the residual of each
// line and whether the points are nonlinear.
package fit

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Cmd reads the output of go test -bench and prints a table of fitted lines.
type Cmd struct {
	In string `arg:"" optional:"" type:"existingfile" help:"The output; without, standard input."`
}

// Run prints the table as Markdown.
func (c *Cmd) Run(out io.Writer) error {
	in := io.Reader(os.Stdin)
	if c.In != "" {
		f, err := os.Open(c.In)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	lines, err := Read(in)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "| benchmark | unit | points (size: value) | line | residual | |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- |")
	for _, l := range lines {
		fmt.Fprintln(out, l.row())
	}
	return nil
}

// Point is a size and the median of the values measured at it.
type Point struct{ Size, Value float64 }

// Line is the fit of one unit of one benchmark over its sizes.
type Line struct {
	Name   string
	Unit   string
	Points []Point
	// Value = Base + Slope * size, by least squares of the relative errors. Base is in Unit, Slope in Unit per unit of size.
	Base, Slope float64
	// Residual is the largest distance of a point from the line, as a fraction of the point's value.
	Residual float64
}

// Nonlinear reports whether the points are too far from a straight line.
func (l Line) Nonlinear() bool { return l.Residual > maxResidual }

const (
	maxResidual = 0.15 // relative residual
	minSizes    = 3    // sizes of a benchmark
)

// benchmark matches a name that ends with its size and the number of processors, as in /servers=300-6.
var benchmark = regexp.MustCompile(`^Benchmark(\S*?)/?([a-z]+)=(\d+)((?:/\S*?)?)(?:-\d+)?$`)

// Read reads the output of benchmarks and fits a line to each. Benchmarks without a size, or with fewer than three sizes, are
// left out.
func Read(in io.Reader) ([]Line, error) {
	type key struct{ name, unit string }
	all := map[key]map[float64][]float64{}
	var order []key
	s := bufio.NewScanner(in)
	for s.Scan() {
		words := strings.Fields(s.Text())
		if len(words) < 4 {
			continue
		}
		m := benchmark.FindStringSubmatch(words[0])
		if m == nil {
			continue
		}
		size, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return nil, fmt.Errorf("fit: %s: %w", words[0], err)
		}
		for i := 2; i+1 < len(words); i += 2 {
			v, err := strconv.ParseFloat(words[i], 64)
			if err != nil {
				return nil, fmt.Errorf("fit: %s: %q is not a number", words[0], words[i])
			}
			k := key{m[1] + m[4] + " by " + m[2], words[i+1]}
			if all[k] == nil {
				all[k] = map[float64][]float64{}
				order = append(order, k)
			}
			all[k][size] = append(all[k][size], v)
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	var lines []Line
	for _, k := range order {
		if len(all[k]) >= minSizes {
			lines = append(lines, newLine(k.name, k.unit, all[k]))
		}
	}
	if len(lines) == 0 {
		return nil, errors.New("fit: no benchmark with three sizes or more")
	}
	return lines, nil
}

// newLine fits a line to the values by size.
func newLine(name, unit string, values map[float64][]float64) Line {
	l := Line{Name: name, Unit: unit}
	for size, v := range values {
		slices.Sort(v)
		l.Points = append(l.Points, Point{size, v[len(v)/2]})
	}
	slices.SortFunc(l.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	var x, y, weights []float64
	for _, p := range l.Points {
		x, y = append(x, p.Size), append(y, p.Value)
		weights = append(weights, 1/max(p.Value*p.Value, math.SmallestNonzeroFloat32)) // relative errors, so that small sizes weigh as much as large ones
	}
	l.Base, l.Slope = stat.LinearRegression(x, y, weights, false)
	for _, p := range l.Points {
		if p.Value != 0 {
			l.Residual = max(l.Residual, math.Abs(l.At(p.Size)-p.Value)/math.Abs(p.Value))
		}
	}
	return l
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

func (l Line) row() string {
	var points []string
	for _, p := range l.Points {
		points = append(points, fmt.Sprintf("%.0f: %.4g", p.Size, p.Value))
	}
	verdict := "straight"
	if l.Nonlinear() {
		n := len(l.Points)
		slope := func(i int) float64 {
			return (l.Points[i+1].Value - l.Points[i].Value) / (l.Points[i+1].Size - l.Points[i].Size)
		}
		verdict = fmt.Sprintf("bend: %.3g each at first, %.3g at last", slope(0), slope(n-2))
	}
	return fmt.Sprintf("| %s | %s | %s | %.4g + %.4g n | %.0f%% | %s |", l.Name, l.Unit, strings.Join(points, ", "), l.Base, l.Slope, 100*l.Residual, verdict)
}

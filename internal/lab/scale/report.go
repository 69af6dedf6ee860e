package scale

import (
	"bytes"
	"fmt"
	"html/template"
	"os"

	svg "github.com/ajstarks/svgo"
)

// Sizes of a chart, in pixels.
const (
	chartWidth  = 520
	chartHeight = 220
	chartLeft   = 90
	chartTop    = 24
	chartBottom = 30
)

// series is one line of a chart.
type series struct {
	name  string
	color string
	value func(Point) float64
}

// drawChart draws series over the number of servers, as SVG.
func drawChart(title, unit string, points []Point, all ...series) template.HTML {
	var b bytes.Buffer
	canvas := svg.New(&b)
	canvas.Start(chartWidth, chartHeight+18*len(all))
	canvas.Text(4, 14, title, "font-size:12px;font-weight:bold")
	maxValue, maxX := 0.0, float64(points[len(points)-1].Servers)
	for _, s := range all {
		for _, p := range points {
			maxValue = max(maxValue, s.value(p))
		}
	}
	if maxValue == 0 {
		maxValue = 1
	}
	height, width := chartHeight-chartTop-chartBottom, chartWidth-chartLeft-20
	x := func(servers float64) int { return chartLeft + int(servers/maxX*float64(width)) }
	y := func(v float64) int { return chartTop + height - int(v/maxValue*float64(height)) }
	for i := range 5 {
		v := maxValue * float64(i) / 4
		canvas.Line(chartLeft, y(v), chartLeft+width, y(v), "stroke:#eee")
		canvas.Text(chartLeft-4, y(v)+4, fmt.Sprintf("%.3g %s", v, unit), "text-anchor:end;font-size:10px;fill:#555")
	}
	for _, p := range points {
		canvas.Text(x(float64(p.Servers)), chartTop+height+14, fmt.Sprint(p.Servers), "text-anchor:middle;font-size:10px;fill:#555")
	}
	for i, s := range all {
		var xs, ys []int
		for _, p := range points {
			xs, ys = append(xs, x(float64(p.Servers))), append(ys, y(s.value(p)))
			canvas.Circle(xs[len(xs)-1], ys[len(ys)-1], 3, "fill:"+s.color)
		}
		canvas.Polyline(xs, ys, "fill:none;stroke-width:1.5;stroke:"+s.color)
		canvas.Text(chartLeft, chartHeight+14+18*i, s.name, "font-size:11px;fill:"+s.color)
	}
	canvas.End()
	return template.HTML(b.String())
}

// drawCharts returns all charts of the report page.
func drawCharts(points []Point) []template.HTML {
	const blue, red, green = "#246", "#c33", "#283"
	return []template.HTML{
		drawChart("time until a change is in force", "ms", points, series{"median", blue, func(p Point) float64 { return p.InForceP50 }},
			series{"99th percentile", green, func(p Point) float64 { return p.InForceP99 }}, series{"most", red, func(p Point) float64 { return p.InForceMax }}),
		drawChart("store leader: CPU time", "core", points, series{"configuration", blue, func(p Point) float64 { return p.LeaderConfigCPU }},
			series{"sessions", red, func(p Point) float64 { return p.LeaderSessionCPU }}),
		drawChart("store leader: bytes per second for configuration", "B/s", points, series{"configuration", blue, func(p Point) float64 { return p.LeaderConfigBytes }}),
		drawChart("store leader: bytes per second for sessions", "B/s", points, series{"sessions", red, func(p Point) float64 { return p.LeaderSessionBytes }}),
		drawChart("busiest relay: CPU time", "core", points, series{"relay", blue, func(p Point) float64 { return p.RelayCPU }}),
		drawChart("one server: CPU time", "core", points, series{"with sessions", red, func(p Point) float64 { return p.ServerCPU }},
			series{"configuration alone", blue, func(p Point) float64 { return p.ServerConfigCPU }}),
		drawChart("one server: bytes per second", "B/s", points, series{"with sessions", red, func(p Point) float64 { return p.ServerBytes }},
			series{"configuration alone", blue, func(p Point) float64 { return p.ServerConfig }}),
		drawChart("memory per process", "MB", points, series{"order server, maximum", blue, func(p Point) float64 { return float64(p.ServerMemory) / (1 << 20) }},
			series{"relay, maximum", green, func(p Point) float64 { return float64(p.RelayMemory) / (1 << 20) }},
			series{"store replica, maximum", red, func(p Point) float64 { return float64(p.LeaderMemory) / (1 << 20) }}),
	}
}

var reportPage = template.Must(template.New("scale").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>puffinsaddle scale run</title>
<style>body{font-family:sans-serif;margin:24px;max-width:1140px}table{border-collapse:collapse;font-size:13px}td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}.bad{color:#b00}svg{margin:8px}</style></head><body>
<h1>puffinsaddle scale run</h1>
<p>seed {{.Setup.Seed}}, {{.Setup.For}} per phase, {{.Setup.Zones}} zones in {{.Setup.Regions}} regions, {{.Setup.Routes}} routes, {{.Setup.Tenants}} tenants{{if .Setup.Plant}}, injected bug: {{.Setup.Plant}}{{end}}</p>
<p>{{.Result.Violations}} invariant violations</p>{{range .Violations}}<p class="bad">{{.}}</p>{{end}}
{{range .Charts}}{{.}}{{end}}
<h2>Points</h2><table>{{range .Result.Points}}<tr><td>{{printf "%+v" .}}</td></tr>{{end}}</table>
<h2>Faults</h2><table><tr><th>size</th><th>kind</th><th>hit</th><th>ms</th></tr>{{range .Faults}}<tr><td>{{.Size}}</td><td>{{.Kind}}</td><td>{{.Hit}}</td><td>{{printf "%.0f" .Ms}}</td></tr>{{end}}</table>
{{range .Notes}}<p>{{.}}</p>{{end}}
</body></html>`))

// faultRow is an injected fault as the report page shows it.
type faultRow struct {
	Size      int
	Kind, Hit string
	Ms        float64
}

const maxShownViolations = 50 // maximum number of violations on the page

// writeReport writes the report page as HTML.
func writeReport(path string, s Setup, r Result, o *outcome, found *findings) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	var rows []faultRow
	for _, m := range o.injectedFaults {
		rows = append(rows, faultRow{r.Points[m.Point].Servers, m.Kind, m.Target, m.ToMS - m.FromMS})
	}
	return reportPage.Execute(f, map[string]any{"Setup": s, "Result": r, "Violations": found.violations[:min(len(found.violations), maxShownViolations)],
		"Charts": drawCharts(r.Points), "Faults": rows, "Notes": o.notes})
}

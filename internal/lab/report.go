package lab

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"html/template"
	"io"
	"maps"
	"slices"

	svg "github.com/ajstarks/svgo"

	"puffinsaddle/internal/trace"
)

// Layout of the report page, in px.
const (
	pageWidth   = 1100
	chartLeft   = 110
	rowHeight   = 22
	chartHeight = 160
)

// Page is the part of a report that shows one run.
type Page struct {
	Title    string
	Setup    Setup
	Outcome  *Outcome
	Findings *Findings
	Result   Result
}

// colorOf returns an HSL color that depends on s alone.
func colorOf(s string) string {
	h := fnv.New32a()
	h.Write([]byte(s))
	return fmt.Sprintf("hsl(%d,55%%,%d%%)", h.Sum32()%360, 45+h.Sum32()/360%20)
}

// xAt returns the horizontal position in px of a time in ms.
func (p Page) xAt(at float64) int {
	s := (at - p.Outcome.LoadStartMS) / 1000
	return chartLeft + int(max(min(s/p.Setup.Seconds, 1.05), -0.02)*(pageWidth-chartLeft-60))
}

// axis draws the time axis.
func (p Page) axis(c *svg.SVG, y, height int) {
	step := 1.0
	for p.Setup.Seconds/step > 12 {
		step *= 2
		if p.Setup.Seconds/step > 12 {
			step *= 2.5
		}
	}
	for s := 0.0; s <= p.Setup.Seconds; s += step {
		x := p.xAt(p.Outcome.LoadStartMS + s*1000)
		c.Line(x, y, x, y+height, "stroke:#ddd")
		c.Text(x, y+height+12, fmt.Sprintf("%.0f s", s), "text-anchor:middle;font-size:10px;fill:#555")
	}
}

// drawTimeline draws the holders of each duty over time, with the faults above.
func (p Page) drawTimeline() template.HTML {
	var b bytes.Buffer
	names := slices.Sorted(maps.Keys(p.Findings.Holdings))
	height := rowHeight*(len(names)+1) + 10
	c := svg.New(&b)
	c.Start(pageWidth, height+24)
	p.axis(c, 4, height-8)
	c.Text(4, rowHeight-6, "faults", "font-size:12px")
	begins := map[string]float64{}
	for _, e := range p.Outcome.Events {
		switch e.What {
		case "fault-begins":
			begins[e.Text] = e.At
		case "fault":
			x, to := p.xAt(begins[e.Text]), p.xAt(e.At)
			c.Title(e.Text)
			c.Rect(x, 6, max(to-x, 3), rowHeight-8, "fill:#c33;fill-opacity:0.5")
			c.Text(x+2, rowHeight-8, e.Text, "font-size:9px;fill:#600")
		}
	}
	for i, name := range names {
		y := rowHeight * (i + 1)
		c.Text(4, y+rowHeight-6, name, "font-size:12px")
		for _, s := range p.Findings.Holdings[name] {
			x, to := p.xAt(s.From), p.xAt(s.To)
			c.Rect(x, y+3, max(to-x, 2), rowHeight-6, "fill:"+colorOf(processName(s.Who)))
			if to-x > 40 {
				c.Text(x+3, y+rowHeight-8, fmt.Sprintf("%s %d", processName(s.Who), s.Epoch), "font-size:10px;fill:#fff")
			}
		}
	}
	c.End()
	return template.HTML(b.String())
}

// lineChart draws values over time, with at in ms of the machine's clock.
func (p Page) lineChart(title string, at, values []float64, unit string) template.HTML {
	var b bytes.Buffer
	c := svg.New(&b)
	c.Start(pageWidth, chartHeight+40)
	p.axis(c, 20, chartHeight)
	maxValue := 1.0
	for _, v := range values {
		maxValue = max(maxValue, v)
	}
	c.Text(4, 14, title, "font-size:12px")
	for i := range 5 {
		y := 20 + chartHeight - chartHeight*i/4
		c.Line(chartLeft, y, pageWidth-60, y, "stroke:#eee")
		c.Text(chartLeft-4, y+4, fmt.Sprintf("%.3g %s", maxValue*float64(i)/4, unit), "text-anchor:end;font-size:10px;fill:#555")
	}
	var xs, ys []int
	for i := range at {
		xs, ys = append(xs, p.xAt(at[i])), append(ys, 20+chartHeight-int(values[i]/maxValue*chartHeight))
	}
	if len(xs) > 0 {
		c.Polyline(xs, ys, "fill:none;stroke:#246;stroke-width:1.5")
	}
	c.End()
	return template.HTML(b.String())
}

// drawLatency draws the 99th percentile of the latency by second.
func (p Page) drawLatency() template.HTML {
	var at, v []float64
	for _, s := range slices.Sorted(maps.Keys(p.Outcome.Load.latencyBySecond)) {
		at = append(at, p.Outcome.LoadStartMS+float64(s)*1000)
		v = append(v, float64(p.Outcome.Load.latencyBySecond[s].ValueAtQuantile(99))/1000)
	}
	return p.lineChart("latency from the intended send time, 99th percentile by second", at, v, "ms")
}

// drawShares draws the sum of the shares in force.
func (p Page) drawShares() template.HTML {
	shareOf := map[string]int64{}
	var at, v []float64
	for _, e := range p.Outcome.Events {
		switch e.What {
		case trace.ShareInForce:
			shareOf[e.Who] = e.Amount
		case trace.LeaseEnded:
			if e.Duty == "server/"+e.Who {
				delete(shareOf, e.Who)
			}
		default:
			continue
		}
		sum := int64(0)
		for _, a := range shareOf {
			sum += a
		}
		at, v = append(at, e.At), append(v, float64(sum)/1000)
	}
	return p.lineChart(fmt.Sprintf("shares in force, of %.1f concurrent calls", float64(p.Outcome.PoolMilli)/1000), at, v, "")
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>puffinsaddle fault-injection lab</title>
<style>body{font-family:sans-serif;margin:24px;max-width:1140px}table{border-collapse:collapse;font-size:13px}td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}.bad{color:#b00}pre{background:#f6f6f6;padding:8px;font-size:11px;overflow:auto}</style></head><body>
<h1>puffinsaddle fault-injection lab</h1>
{{if gt (len .) 1}}<h2>Side by side</h2><table><tr><th></th>{{range .}}<th>{{.Title}}</th>{{end}}</tr>
{{range $i, $n := (index . 0).Rows}}<tr><td>{{$n.Name}}</td>{{range $}}<td>{{(index .Rows $i).Value}}</td>{{end}}</tr>{{end}}</table>{{end}}
{{range .}}<h2>{{.Title}}</h2>
<p>seed {{.Setup.Seed}}, {{.Setup.Seconds}} s, {{.Setup.Replicas}} store replicas, {{.Setup.Servers}} servers, scenario {{.Setup.Scenario.Name}}{{if .Setup.InjectedBug}}, injected bug: {{.Setup.InjectedBug}}{{end}}</p>
<table>{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Value}}</td></tr>{{end}}</table>
{{if .Findings.Violations}}<h3 class="bad">Violations</h3>{{range .Findings.Violations}}<p class="bad"><b>{{.Rule}}</b>: {{.Text}}</p><pre>{{range .Trace}}{{printf "%+v" .}}
{{end}}</pre>{{end}}{{end}}
<h3>Holders of duties</h3>{{.Timeline}}
{{.Latency}}{{.Shares}}
<h3>Faults</h3><table><tr><th>at</th><th>for</th><th>kind</th><th>hit</th></tr>{{range .Outcome.Faults}}<tr><td>{{printf "%.1f s" .At}}</td><td>{{printf "%.1f s" .For}}</td><td>{{.Kind}}</td><td>{{.Hit}}</td></tr>{{end}}</table>
<h3>Gaps without a holder</h3><table><tr><th>duty</th><th>ms</th><th>after</th><th>ms since another leader was elected</th></tr>{{range .Findings.Gaps}}<tr{{if .Excessive}} class="bad"{{end}}><td>{{.Duty}}</td><td>{{printf "%.0f" .LengthMS}}</td><td>{{.Cause}}</td><td>{{if .NewLeaderAt}}{{printf "%.0f" .SinceNewLeaderMS}}{{end}}</td></tr>{{end}}</table>
{{range .Outcome.Notes}}<p>{{.}}</p>{{end}}
{{end}}</body></html>`))

// Row is one line of a page's table of metrics.
type Row struct{ Name, Value string }

// Rows returns the table of metrics.
func (p Page) Rows() []Row {
	r := p.Result
	latencyAt := func(v float64) string {
		return fmt.Sprintf("%.1f ms", float64(p.Outcome.Load.latency.ValueAtQuantile(v))/1000)
	}
	return []Row{{"invariants violated", fmt.Sprint(r.Violations)}, {"acts", fmt.Sprint(r.Commands)}, {"commands refused for a stale epoch", fmt.Sprint(r.StaleRefused)},
		{"handovers", fmt.Sprint(r.Handovers)}, {"gap, median", fmt.Sprintf("%.0f ms", r.GapP50MS)}, {"gap, longest", fmt.Sprintf("%.0f ms", r.GapMaxMS)}, {"gaps longer than the lease settings explain", fmt.Sprint(r.ExcessiveGaps)},
		{"effects run", fmt.Sprint(r.Effects)}, {"effects run twice", fmt.Sprint(r.EffectsTwice)}, {"worth served", fmt.Sprintf("%.3f", r.Worth)},
		{"responses in time", fmt.Sprintf("%d full, %d without the downstream call, %d refused, %d failed, %d timed out, of %d", r.Served.Full, r.Served.Part, r.Served.Refused, r.Served.Failed, r.Served.TimedOut, r.Served.Sent)},
		{"latency", latencyAt(50) + " median, " + latencyAt(99) + " 99th percentile"},
		{"downstream calls", fmt.Sprintf("%d, at most %d in flight for %d slots, %.2f on average", r.Calls, r.MaxConcurrentCalls, p.Outcome.Vault.Slots, r.MeanConcurrentCalls)},
		{"maximum of shares in force", fmt.Sprintf("%.1f of %.1f", float64(p.Findings.MaxSharesMilli)/1000, float64(p.Outcome.PoolMilli)/1000)}}
}

// Timeline returns the chart of the holders of duties.
func (p Page) Timeline() template.HTML { return p.drawTimeline() }

// Latency returns the chart of the load's latency.
func (p Page) Latency() template.HTML { return p.drawLatency() }

// Shares returns the chart of the shares in force.
func (p Page) Shares() template.HTML { return p.drawShares() }

// Report writes one HTML page for all runs, with a comparison where there is more than one.
func Report(w io.Writer, pages []Page) error { return pageTemplate.Execute(w, pages) }

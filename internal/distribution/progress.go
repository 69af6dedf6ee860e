package distribution

import (
	"cmp"
	"slices"
)

// Bounds of a report, which may come from another process.
const (
	MaxRejections = 16  // listed in one report
	maxReason     = 256 // bytes of each name, key and reason
)

// Rejection is a record that a server could not apply.
type Rejection struct {
	Server   string `json:"server"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// Report is a watcher's progress. A server reports for itself, a relay for all its watchers; the size of a report does not depend
// on their number.
type Report struct {
	Servers    int         `json:"servers"`              // number of servers covered
	Lowest     uint64      `json:"lowest"`               // revision applied at all of them
	LowestName string      `json:"lowest_name"`          // a server at the lowest revision
	Behind     int         `json:"behind"`               // servers behind the latest revision known to the reporter
	Rejecting  int         `json:"rejecting,omitempty"`  // servers that could not apply some record
	Rejections []Rejection `json:"rejections,omitempty"` // a bounded sample
}

// Check truncates a report to its bounds and clamps negative counts to 0.
func (r *Report) Check() {
	r.Rejections = r.Rejections[:min(len(r.Rejections), MaxRejections)]
	for i := range r.Rejections {
		j := &r.Rejections[i]
		j.Server, j.Key, j.Reason = bound(j.Server), bound(j.Key), bound(j.Reason)
	}
	r.LowestName = bound(r.LowestName)
	r.Servers, r.Behind, r.Rejecting = max(r.Servers, 0), max(r.Behind, 0), max(r.Rejecting, 0)
}

func bound(s string) string { return s[:min(len(s), maxReason)] }

// Progress aggregates the latest reports of the watchers of one feed.
type Progress struct{ reports map[string]Report }

// NewProgress returns a Progress without reports.
func NewProgress() *Progress { return &Progress{reports: map[string]Report{}} }

// Put stores the latest report of a watcher.
func (p *Progress) Put(watcher string, r Report) {
	r.Check()
	p.reports[watcher] = r
}

// Drop removes the report of a watcher that has disconnected.
func (p *Progress) Drop(watcher string) { delete(p.reports, watcher) }

// Sum returns one report for all watchers; latest is the newest revision of the feed.
func (p *Progress) Sum(latest uint64) Report {
	var sum Report
	for _, r := range p.reports {
		if r.Servers == 0 {
			continue
		}
		if sum.Servers == 0 || r.Lowest < sum.Lowest || r.Lowest == sum.Lowest && r.LowestName < sum.LowestName {
			sum.Lowest, sum.LowestName = r.Lowest, r.LowestName
		}
		sum.Servers += r.Servers
		if r.Behind == 0 && r.Lowest < latest {
			sum.Behind += r.Servers // level with their relay, which is itself behind
		} else {
			sum.Behind += r.Behind
		}
		sum.Rejecting += r.Rejecting
		sum.Rejections = append(sum.Rejections, r.Rejections...)
	}
	slices.SortFunc(sum.Rejections, func(a, b Rejection) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Server, b.Server))
	})
	sum.Rejections = sum.Rejections[:min(len(sum.Rejections), MaxRejections)]
	return sum
}

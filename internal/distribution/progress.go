package distribution

import (
	"cmp"
	"slices"
)

// Bounds of a report, which may come from another process.
const (
	MaxRejections = 16  // listed in one report
	maxTextBytes  = 256 // bytes of each name, key and reason
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
	Servers          int         `json:"servers"`              // number of servers covered
	LowestRevision   uint64      `json:"lowest"`               // revision applied at all of them
	LowestServer     string      `json:"lowest_name"`          // a server at the lowest revision
	ServersBehind    int         `json:"behind"`               // servers behind the latest revision known to the reporter
	ServersRejecting int         `json:"rejecting,omitempty"`  // servers that could not apply some record
	Rejections       []Rejection `json:"rejections,omitempty"` // a bounded sample
}

// Clamp truncates a report to its bounds and clamps negative counts to 0.
func (r *Report) Clamp() {
	r.Rejections = r.Rejections[:min(len(r.Rejections), MaxRejections)]
	for i := range r.Rejections {
		rejection := &r.Rejections[i]
		rejection.Server, rejection.Key, rejection.Reason = truncate(rejection.Server), truncate(rejection.Key), truncate(rejection.Reason)
	}
	r.LowestServer = truncate(r.LowestServer)
	r.Servers, r.ServersBehind, r.ServersRejecting = max(r.Servers, 0), max(r.ServersBehind, 0), max(r.ServersRejecting, 0)
}

func truncate(s string) string { return s[:min(len(s), maxTextBytes)] }

// Progress aggregates the latest reports of the watchers of one feed.
type Progress struct{ reports map[string]Report }

// NewProgress returns a Progress without reports.
func NewProgress() *Progress { return &Progress{reports: map[string]Report{}} }

// Put stores the latest report of a watcher.
func (p *Progress) Put(watcher string, r Report) {
	r.Clamp()
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
		if sum.Servers == 0 || r.LowestRevision < sum.LowestRevision || r.LowestRevision == sum.LowestRevision && r.LowestServer < sum.LowestServer {
			sum.LowestRevision, sum.LowestServer = r.LowestRevision, r.LowestServer
		}
		sum.Servers += r.Servers
		if r.ServersBehind == 0 && r.LowestRevision < latest {
			sum.ServersBehind += r.Servers // level with their relay, which is itself behind
		} else {
			sum.ServersBehind += r.ServersBehind
		}
		sum.ServersRejecting += r.ServersRejecting
		sum.Rejections = append(sum.Rejections, r.Rejections...)
	}
	slices.SortFunc(sum.Rejections, func(a, b Rejection) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Server, b.Server))
	})
	sum.Rejections = sum.Rejections[:min(len(sum.Rejections), MaxRejections)]
	return sum
}

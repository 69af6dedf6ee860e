package distribution

import (
	"cmp"
	"slices"
)

// Bounds of reports.
const (
	MaxRejections = 16  // by name, in one report
	maxTextBytes  = 256 // bytes
)

// Rejection is a record that a server could not put into force.
type Rejection struct {
	Server   string `json:"server"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// Report is what a watcher tells: for itself, or a relay for all that watch it. Its size does not depend on how many they are.
type Report struct {
	Servers          int         `json:"servers"`              // for which it speaks
	LowestRevision   uint64      `json:"lowest"`               // revision in force at all of them
	LowestServer     string      `json:"lowest_name"`          // one that is at the lowest
	ServersBehind    int         `json:"behind"`               // servers that are not at the latest that the reporter knows
	ServersRejecting int         `json:"rejecting,omitempty"`  // servers that could not take some record
	Rejections       []Rejection `json:"rejections,omitempty"` // some of them
}

// Clamp bounds a report that came from elsewhere.
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

// Progress gathers the reports of the watchers of one feed.
type Progress struct{ reports map[string]Report }

// NewProgress knows of no watcher.
func NewProgress() *Progress { return &Progress{reports: map[string]Report{}} }

// Put takes the latest report of a watcher.
func (p *Progress) Put(watcher string, r Report) {
	r.Clamp()
	p.reports[watcher] = r
}

// Drop forgets a watcher that has left.
func (p *Progress) Drop(watcher string) { delete(p.reports, watcher) }

// Sum is one report for all watchers, of which latest is the newest revision.
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
			sum.ServersBehind += r.Servers // they were level with what their relay knew
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

package main

import (
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/store"
)

// serverMetrics is what the operators' address reports.
type serverMetrics struct {
	core.Metrics
	Applied  int             `json:"config_applied"`
	Rejected int             `json:"config_rejected"`
	Duties   *dutyMetrics    `json:"duties,omitempty"`
	Store    *store.Status   `json:"store,omitempty"`
	Records  *recordsMetrics `json:"records,omitempty"`
}

// metrics returns the current metrics.
func (s *server) metrics() serverMetrics {
	applied, rejected := s.reloads.counts()
	return serverMetrics{s.core.Metrics(), applied, rejected, s.manager.metrics(), storeStatus(s.replica), s.watcher.metrics()}
}

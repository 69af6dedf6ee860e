package store

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/hashicorp/raft"

	"puffinsaddle/internal/store/disk"
)

// RecoverCluster recovers a cluster whose majority is permanently lost, from the data directory of one node. The node's process must
// not be running. The node becomes the only voter; the others discard any entries beyond its log when they return, since each
// has to rejoin, and become voters again once they have caught up. Whether the discarded entries were committed cannot be
// determined, so the decision is left to operators.
func RecoverCluster(o Options) (disk.Report, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	if o.Peers[o.ID] == "" {
		return disk.Report{}, fmt.Errorf("store: %s is not among its own peers", o.ID)
	}
	report, err := disk.Verify(o.Dir)
	switch {
	case err != nil:
		return report, err
	case report.Corruption != "":
		return report, errors.New(report.Corruption)
	case report.Directory.Last == 0:
		return report, fmt.Errorf("store: %s is empty: there is nothing to recover from", o.Dir)
	case !report.Voter:
		return report, fmt.Errorf("store: %s joined at log index %d and had not caught up: choose the directory of a voter", o.Dir, report.Directory.Joined)
	}
	proc, err := disk.Draw()
	if err != nil {
		return report, err
	}
	f, err := disk.OpenFolder(o.Dir, proc, o.Log, disk.Options{})
	if err != nil {
		return report, err
	}
	defer f.Close()
	_, trans := raft.NewInmemTransport(raft.ServerAddress(o.Peers[o.ID]))
	if err := raft.RecoverCluster(o.raft(), newMachine(), f, f, f.Snap, trans, o.alone()); err != nil {
		return report, fmt.Errorf("store: %w", err)
	}
	// This comes last: if the command is interrupted, the directory still belongs to the old cluster and it can be repeated.
	if err := f.Anew(report.Directory.Name); err != nil {
		return report, err
	}
	report.Directory = f.Mark()
	return report, nil
}

// alone returns a configuration in which this node is the only voter.
func (o Options) alone() (c raft.Configuration) {
	for _, id := range slices.Sorted(maps.Keys(o.Peers)) {
		member := raft.Server{ID: raft.ServerID(id), Address: raft.ServerAddress(o.Peers[id]), Suffrage: raft.Nonvoter}
		if id == o.ID {
			member.Suffrage = raft.Voter
		}
		c.Servers = append(c.Servers, member)
	}
	return c
}

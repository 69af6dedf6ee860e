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

// RecoverCluster recovers a cluster whose majority is permanently lost, from the data directory of one replica. The process of
// this replica must not be running. The replica becomes the only voter; the others discard any entries beyond its log when they
// return, since each has to rejoin, and become voters again once they have caught up. Whether the discarded entries were committed
// cannot be determined, so the decision is left to operators.
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
	case report.Directory.LastIndex == 0:
		return report, fmt.Errorf("store: %s is empty: there is nothing to recover from", o.Dir)
	case !report.Voter:
		return report, fmt.Errorf("store: %s joined at log index %d and had not caught up: choose the directory of a voter", o.Dir, report.Directory.JoinIndex)
	}
	processID, err := disk.NewRandomID()
	if err != nil {
		return report, err
	}
	directory, err := disk.OpenDirectory(o.Dir, processID, o.Log, disk.Options{})
	if err != nil {
		return report, err
	}
	defer directory.Close()
	_, trans := raft.NewInmemTransport(raft.ServerAddress(o.Peers[o.ID]))
	if err := raft.RecoverCluster(o.raftConfig(), newStateMachine(), directory, directory, directory.Snapshots, trans, o.soleVoterConfiguration()); err != nil {
		return report, fmt.Errorf("store: %w", err)
	}
	// This comes last: if recovery is interrupted, the directory still belongs to the old cluster and recovery can be
	// repeated.
	if err := directory.RecordNewCluster(report.Directory.ClusterName); err != nil {
		return report, err
	}
	report.Directory = directory.State()
	return report, nil
}

// soleVoterConfiguration returns a configuration in which this replica is the only voter.
func (o Options) soleVoterConfiguration() (c raft.Configuration) {
	for _, id := range slices.Sorted(maps.Keys(o.Peers)) {
		member := raft.Server{ID: raft.ServerID(id), Address: raft.ServerAddress(o.Peers[id]), Suffrage: raft.Nonvoter}
		if id == o.ID {
			member.Suffrage = raft.Voter
		}
		c.Servers = append(c.Servers, member)
	}
	return c
}

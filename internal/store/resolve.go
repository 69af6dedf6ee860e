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

// RecoverCluster begins a set anew with what the folder of one node holds, where a majority is lost for good. The node's process must
// not run. It is the only one with a vote then; the others lose what they hold beyond it when they come, since each has to join
// anew, and get their votes back as they catch up. Nobody can tell whether what is lost was agreed on: that is the operators'
// decision.
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
		return report, fmt.Errorf("store: %s holds nothing to begin with", o.Dir)
	case !report.Voter:
		return report, fmt.Errorf("store: %s joined as of entry %d and had not caught up: choose a copy with a vote", o.Dir, report.Directory.JoinIndex)
	}
	processID, err := disk.NewRandomID()
	if err != nil {
		return report, err
	}
	f, err := disk.OpenDirectory(o.Dir, processID, o.Log, disk.Options{})
	if err != nil {
		return report, err
	}
	defer f.Close()
	_, trans := raft.NewInmemTransport(raft.ServerAddress(o.Peers[o.ID]))
	if err := raft.RecoverCluster(o.raftConfig(), newStateMachine(), f, f, f.Snapshots, trans, o.soleVoterConfiguration()); err != nil {
		return report, fmt.Errorf("store: %w", err)
	}
	// Last, so that an end in the middle leaves a folder that is still the set's, and the command can be given again.
	if err := f.RecordNewCluster(report.Directory.ClusterName); err != nil {
		return report, err
	}
	report.Directory = f.State()
	return report, nil
}

// soleVoterConfiguration is a configuration in which this node alone has a vote.
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

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/hashicorp/raft"

	"puffinsaddle/internal/config"
	"puffinsaddle/internal/store"
	"puffinsaddle/internal/store/disk"
)

// storeCmd groups the commands on the replicated store.
type storeCmd struct {
	Status  statusCmd  `cmd:"" help:"Ask all copies how they are."`
	Verify  verifyCmd  `cmd:"" help:"Check every record of a copy's folder, whose process must not run."`
	Backup  backupCmd  `cmd:"" help:"Write the whole state as of one position to a file."`
	Restore restoreCmd `cmd:"" help:"Begin a new set with a backup, in the empty folder of one copy."`
	Resolve resolveCmd `cmd:"" help:"Where a majority is lost for good: begin the set anew with what one copy's folder holds."`
	Inspect inspectCmd `cmd:"" help:"Print entries of a copy's folder, whose process must not run."`
}

type (
	statusCmd struct{ connectFlags }
	backupCmd struct {
		connectFlags
		Out string `required:"" help:"The file to write; it must not be there."`
	}
	// replicaFlags holds the flags of commands on this machine's store replica.
	replicaFlags struct {
		connectFlags
		Config string `env:"RELAY_CONFIG" help:"The platform's file, for the name where store.id is not set."`
	}
	restoreCmd struct {
		replicaFlags
		In string `required:"" type:"existingfile" help:"The backup."`
	}
	resolveCmd struct {
		replicaFlags
		AcceptLoss bool `name:"accept-loss" help:"What the others hold beyond this folder is given up, whether it was agreed on or not."`
	}
	verifyCmd struct {
		Dir  string `arg:"" type:"existingdir" help:"The copy's folder (store.dir)."`
		JSON bool   `name:"json" help:"Print JSON."`
	}
	inspectCmd struct {
		Dir  string `arg:"" type:"existingdir" help:"The copy's folder (store.dir)."`
		From uint64 `default:"1" help:"The first position."`
		To   uint64 `help:"The last position; 0: the end of the log."`
		JSON bool   `name:"json" help:"Print JSON, one entry a line."`
	}
)

// replicaStatus is a store replica's status, or the error of the query.
type replicaStatus struct {
	ID string `json:"id"`
	At string `json:"at"`
	*store.Status
	Error string `json:"error,omitempty"`
}

// Run queries all store replicas that the operator's file names, in parallel.
func (c *statusCmd) Run(out io.Writer) error {
	peers, err := c.replicaAddresses()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	ids := slices.Sorted(maps.Keys(peers))
	replicas := make([]replicaStatus, len(ids))
	var wait sync.WaitGroup
	for i, id := range ids {
		wait.Add(1)
		go func() {
			defer wait.Done()
			replicas[i] = replicaStatus{ID: id, At: peers[id]}
			st, err := store.QueryStatus(ctx, peers[id])
			if err != nil {
				replicas[i].Error = err.Error()
				return
			}
			replicas[i].Status = &st
		}()
	}
	wait.Wait()
	return printReplicas(out, c.JSON, replicas)
}

// printReplicas prints the store replicas' status. It returns an error if not all of them run as voters.
func printReplicas(out io.Writer, asJSON bool, replicas []replicaStatus) error {
	voters := 0
	for _, a := range replicas {
		if a.Status != nil && a.Phase == store.PhaseRunning && a.Voter {
			voters++
		}
	}
	if asJSON {
		if err := json.NewEncoder(out).Encode(map[string]any{"copies": replicas, "voting": voters}); err != nil {
			return err
		}
	} else {
		t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
		fmt.Fprintln(t, "COPY\tAT\tPHASE\tVOTES\tLEADS\tLAST\tAPPLIED\tBEHIND\tWHY")
		for _, a := range replicas {
			if a.Status == nil {
				fmt.Fprintf(t, "%s\t%s\tnot reached\t-\t-\t-\t-\t-\t%s\n", a.ID, a.At, a.Error)
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%t\t%d\t%d\t%s\t%s\n", a.ID, a.At, a.Phase, a.Voter, a.IsLeader, a.Directory.LastIndex, a.Applied, lagOf(a.ID, replicas), orDash(a.Reason))
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	if voters < len(replicas) {
		return fmt.Errorf("%d of %d copies take part with a vote", voters, len(replicas))
	}
	return nil
}

// lagOf returns the number of log entries that a store replica lacks according to the leader, or "-" if that is not known.
func lagOf(id string, replicas []replicaStatus) string {
	for _, a := range replicas {
		if a.Status == nil || !a.IsLeader {
			continue
		}
		for _, m := range a.Members {
			if m.ID == id {
				return fmt.Sprint(m.Lag)
			}
		}
	}
	return "-"
}

// replicaAddresses returns the addresses of the store replicas that the operator's file names, by their IDs.
func (f connectFlags) replicaAddresses() (map[string]string, error) {
	o, err := config.LoadOperator(f.Operator)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errUsage, err)
	}
	if len(o.Store.Peers) > 0 {
		return o.Store.Peers, nil
	}
	if len(o.Duties.Replicas) > 0 {
		return o.Duties.Replicas, nil
	}
	return nil, fmt.Errorf("%w: %s: neither store.peers nor duties.copies is set", errUsage, f.Operator)
}

// storeOptions returns the options of the store replica that the operator's file configures.
func (c replicaFlags) storeOptions() (o store.Options, err error) {
	operatorFile, err := config.LoadOperator(c.Operator)
	if err != nil {
		return o, fmt.Errorf("%w: %v", errUsage, err)
	}
	settings := operatorFile.Store
	if settings.ID == "" && c.Config != "" {
		cfg, err := config.Load(func(key string) string { return map[string]string{"RELAY_CONFIG": c.Config}[key] })
		if err != nil {
			return o, fmt.Errorf("%w: %v", errUsage, err)
		}
		settings.ID = cfg.Name
	}
	switch {
	case settings.Listen == "":
		return o, fmt.Errorf("%w: %s: store.listen is missing", errUsage, c.Operator)
	case settings.ID == "":
		return o, fmt.Errorf("%w: %s: store.id is missing, and no --config supplies the name", errUsage, c.Operator)
	}
	return store.Options{ID: settings.ID, Dir: settings.Dir, Peers: settings.Peers}, nil
}

// printResult prints a command's result: value as JSON, or text.
func (f connectFlags) printResult(out io.Writer, value any, text string) error {
	if f.JSON {
		return json.NewEncoder(out).Encode(value)
	}
	_, err := fmt.Fprintln(out, text)
	return err
}

// Run saves a backup that the store's leader sends.
func (c *backupCmd) Run(out io.Writer) error {
	peers, err := c.replicaAddresses()
	if err != nil {
		return err
	}
	h, err := store.SaveBackup(context.Background(), peers, c.Out)
	if err != nil {
		return err
	}
	return c.printResult(out, h, fmt.Sprintf("%s: set %s as of entry %d, %d bytes of state", c.Out, h.ClusterName, h.Index, h.Bytes))
}

// Run restores a backup into the data directory of this machine's store replica.
func (c *restoreCmd) Run(out io.Writer) error {
	o, err := c.storeOptions()
	if err != nil {
		return err
	}
	f, err := os.Open(c.In)
	if err != nil {
		return err
	}
	defer f.Close()
	h, err := store.RestoreBackup(o, f)
	if errors.Is(err, store.ErrInvalidBackup) {
		return fmt.Errorf("%w: %s: %v", errUsage, c.In, err)
	}
	if err != nil {
		return err
	}
	return c.printResult(out, h, fmt.Sprintf("%s begins a new set with entry %d of set %s; start it first, then the others with empty folders", o.ID, h.Index, h.ClusterName))
}

// Run recovers the cluster from the data directory of this machine's store replica.
func (c *resolveCmd) Run(out io.Writer) error {
	o, err := c.storeOptions()
	if err != nil {
		return err
	}
	if !c.AcceptLoss {
		return fmt.Errorf("%w: stop all other copies, choose the one whose folder has the latest entry (store verify), and pass --accept-loss", errUsage)
	}
	r, err := store.RecoverCluster(o)
	if err != nil {
		return err
	}
	return c.printResult(out, r, fmt.Sprintf("%s begins the set anew, for the %d. time, with entry %d of term %d as the last; start it first, then the others",
		o.ID, r.Directory.ClusterGeneration, r.Directory.LastIndex, r.Directory.Term))
}

// Run checks a data directory and prints a summary.
func (c *verifyCmd) Run(out io.Writer) error {
	r, err := disk.Verify(c.Dir)
	if err != nil {
		return fmt.Errorf("%w: %v", errUsage, err)
	}
	if c.JSON {
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "%s: format %d, folder %s, opened %d times\n", r.Dir, r.Format, r.Directory.DirectoryID, r.Directory.OpenCount)
		fmt.Fprintf(out, "entries %d to %d, %d bytes, term %d, %d snapshots\n", r.FirstIndex, r.LastIndex, r.Bytes, r.Term, len(r.Snapshots))
		if !r.Voter {
			fmt.Fprintf(out, "joined as of entry %d, and has no vote yet\n", r.Directory.JoinIndex)
		}
		for _, a := range r.Quarantined {
			fmt.Fprintln(out, "set aside:", a)
		}
	}
	if r.Corruption != "" {
		return errors.New(r.Corruption)
	}
	return nil
}

// Run prints the log entries from c.From to c.To.
func (c *inspectCmd) Run(out io.Writer) error {
	if c.To == 0 {
		c.To = math.MaxUint64
	}
	if c.From > c.To {
		return fmt.Errorf("%w: --from %d is after --to %d", errUsage, c.From, c.To)
	}
	var writeErr error
	err := disk.ReadEntries(c.Dir, c.From, c.To, func(e *raft.Log) {
		if writeErr != nil {
			return
		}
		if c.JSON {
			writeErr = json.NewEncoder(out).Encode(map[string]any{"index": e.Index, "term": e.Term, "type": e.Type.String(), "data": string(e.Data)})
			return
		}
		text := e.Type.String()
		if e.Type == raft.LogCommand {
			text = string(e.Data)
		}
		_, writeErr = fmt.Fprintf(out, "%d\t%d\t%s\n", e.Index, e.Term, text)
	})
	return errors.Join(err, writeErr)
}

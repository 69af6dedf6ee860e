package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/hashicorp/raft"

	"puffinsaddle/internal/config"
	"puffinsaddle/internal/store"
	"puffinsaddle/internal/store/disk"
)

type storeCmd struct {
	Status  statusCmd  `cmd:"" help:"Ask all copies how they are."`
	Verify  verifyCmd  `cmd:"" help:"Check every record of a copy's folder, whose process must not run."`
	Resolve resolveCmd `cmd:"" help:"Where a majority is lost for good: begin the set anew with what one copy's folder holds."`
	Inspect inspectCmd `cmd:"" help:"Print entries of a copy's folder, whose process must not run."`
}

type (
	statusCmd  struct{ with }
	resolveCmd struct {
		with
		Config     string `env:"RELAY_CONFIG" help:"The platform's file, for the name where store.id is not set."`
		AcceptLoss bool   `name:"accept-loss" help:"What the others hold beyond this folder is given up, whether it was agreed on or not."`
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

// asked is a copy's answer, or why there is none.
type asked struct {
	ID string `json:"id"`
	At string `json:"at"`
	*store.Status
	Error string `json:"error,omitempty"`
}

// Run asks all copies that the operator's file names.
func (c *statusCmd) Run(out io.Writer) error {
	o, err := config.LoadOperator(c.Operator)
	if err != nil {
		return fmt.Errorf("%w: %v", errWrong, err)
	}
	peers := o.Store.Peers
	if len(peers) == 0 {
		peers = o.Duties.Copies
	}
	if len(peers) == 0 {
		return fmt.Errorf("%w: %s: neither store.peers nor duties.copies is set", errWrong, c.Operator)
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorsWait)
	defer cancel()
	ids := slices.Sorted(maps.Keys(peers))
	all := make([]asked, len(ids))
	var wait sync.WaitGroup
	for i, id := range ids {
		wait.Add(1)
		go func() {
			defer wait.Done()
			all[i] = asked{ID: id, At: peers[id]}
			st, err := store.Ask(ctx, peers[id])
			if err != nil {
				all[i].Error = err.Error()
				return
			}
			all[i].Status = &st
		}()
	}
	wait.Wait()
	return showCopies(out, c.JSON, all)
}

// showCopies prints them; the error tells of copies that do not take part.
func showCopies(out io.Writer, asJSON bool, all []asked) error {
	whole := 0
	for _, a := range all {
		if a.Status != nil && a.Phase == store.PhaseRuns && a.Votes {
			whole++
		}
	}
	if asJSON {
		if err := json.NewEncoder(out).Encode(map[string]any{"copies": all, "voting": whole}); err != nil {
			return err
		}
	} else {
		t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
		fmt.Fprintln(t, "COPY\tAT\tPHASE\tVOTES\tLEADS\tLAST\tAPPLIED\tBEHIND\tWHY")
		for _, a := range all {
			if a.Status == nil {
				fmt.Fprintf(t, "%s\t%s\tnot reached\t-\t-\t-\t-\t-\t%s\n", a.ID, a.At, a.Error)
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%t\t%d\t%d\t%s\t%s\n", a.ID, a.At, a.Phase, a.Votes, a.Leads, a.Mark.Last, a.Applied, behind(a.ID, all), orDash(a.Why))
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	if whole < len(all) {
		return fmt.Errorf("%d of %d copies take part with a vote", whole, len(all))
	}
	return nil
}

// behind is how many entries a copy lacks, as the one that leads knows.
func behind(id string, all []asked) string {
	for _, a := range all {
		if a.Status == nil || !a.Leads {
			continue
		}
		for _, m := range a.Members {
			if m.ID == id {
				return fmt.Sprint(m.Behind)
			}
		}
	}
	return "-"
}

// Run begins the set anew with the folder that the operator's file names.
func (c *resolveCmd) Run(out io.Writer) error {
	o, err := config.LoadOperator(c.Operator)
	if err != nil {
		return fmt.Errorf("%w: %v", errWrong, err)
	}
	set := o.Store
	if set.ID == "" && c.Config != "" {
		cfg, err := config.Load(func(key string) string { return map[string]string{"RELAY_CONFIG": c.Config}[key] })
		if err != nil {
			return fmt.Errorf("%w: %v", errWrong, err)
		}
		set.ID = cfg.Name
	}
	switch {
	case set.Listen == "":
		return fmt.Errorf("%w: %s: store.listen is missing", errWrong, c.Operator)
	case set.ID == "":
		return fmt.Errorf("%w: %s: store.id is missing, and no --config tells the name", errWrong, c.Operator)
	case !c.AcceptLoss:
		return fmt.Errorf("%w: stop all other copies, choose the one whose folder goes furthest (store verify), and say --accept-loss", errWrong)
	}
	r, err := store.Resolve(store.Options{ID: set.ID, Dir: set.Dir, Peers: set.Peers})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(r)
	}
	_, err = fmt.Fprintf(out, "%s begins the set anew, for the %d. time, with entry %d of term %d as the last; start it first, then the others\n",
		set.ID, r.Mark.Set, r.Mark.Last, r.Mark.Term)
	return err
}

// Run checks a folder.
func (c *verifyCmd) Run(out io.Writer) error {
	r, err := disk.Verify(c.Dir)
	if err != nil {
		return fmt.Errorf("%w: %v", errWrong, err)
	}
	if c.JSON {
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "%s: format %d, folder %s, opened %d times\n", r.Dir, r.Format, r.Mark.Folder, r.Mark.Life)
		fmt.Fprintf(out, "entries %d to %d, %d bytes, term %d, %d snapshots\n", r.First, r.Last, r.Bytes, r.Term, len(r.Snapshots))
		if !r.Votes {
			fmt.Fprintf(out, "joined as of entry %d, and has no vote yet\n", r.Mark.Joined)
		}
		for _, a := range r.Aside {
			fmt.Fprintln(out, "set aside:", a)
		}
	}
	if r.Damage != "" {
		return errors.New(r.Damage)
	}
	return nil
}

// Run prints entries.
func (c *inspectCmd) Run(out io.Writer) error {
	if c.To == 0 {
		c.To = math.MaxUint64
	}
	if c.From > c.To {
		return fmt.Errorf("%w: --from %d is after --to %d", errWrong, c.From, c.To)
	}
	var wrote error
	err := disk.Entries(c.Dir, c.From, c.To, func(e *raft.Log) {
		if wrote != nil {
			return
		}
		if c.JSON {
			wrote = json.NewEncoder(out).Encode(map[string]any{"index": e.Index, "term": e.Term, "type": e.Type.String(), "data": string(e.Data)})
			return
		}
		text := e.Type.String()
		if e.Type == raft.LogCommand {
			text = string(e.Data)
		}
		_, wrote = fmt.Fprintf(out, "%d\t%d\t%s\n", e.Index, e.Term, text)
	})
	return errors.Join(err, wrote)
}

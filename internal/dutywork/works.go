package dutywork

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"puffinsaddle/internal/allocation"
	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/effectlog"
	"puffinsaddle/internal/net/session"
	"puffinsaddle/internal/publish"
	"puffinsaddle/internal/state"
)

// CounterWork returns the work of a duty without specific work: it increments a counter, which shows that the holder is active.
func (r *Runner) CounterWork(intervalMS float64) Work {
	return Work{intervalMS, func() func(context.Context, duty.Ref) error {
		return func(ctx context.Context, grant duty.Ref) error {
			_, err := r.Act(ctx, grant, state.Command{Op: state.OpIncrementCounter})
			return err
		}
	}}
}

// AllotterWork returns the work of the allotter: it divides the downstream capacity among the order servers. Each step is
// checked when it is applied and refused if the shares in force would exceed the pool, so a plan made from old state does no
// harm.
func (r *Runner) AllotterWork(intervalMS float64, capacity allocation.Capacity, injectedBug string) Work {
	return Work{intervalMS, func() func(context.Context, duty.Ref) error {
		return func(ctx context.Context, grant duty.Ref) error {
			var status session.CapacityStatus
			if err := r.client.Read(ctx, session.ReadCapacity, &status); err != nil {
				return err
			}
			var steps []state.Command
			if status.Pool != capacity.Pool() {
				steps = append(steps, state.Command{Op: state.OpSetPool, Amount: capacity.Pool()})
			}
			for _, c := range allocation.Plan(capacity.Pool(), status.Servers, injectedBug == duty.BugEarlyGrowth) {
				steps = append(steps, state.Command{Op: state.OpSetAllocation, Process: c.Who, Amount: c.Amount})
			}
			if len(steps) == 0 {
				return nil
			}
			_, err := r.Act(ctx, grant, steps...)
			return err
		}
	}}
}

// PublisherWork returns the work of the publisher: it publishes the files of a manifest as a new version whenever they match the
// manifest and differ from the latest version. check is the check that the servers make, so that no version is published that
// all of them would reject.
func (r *Runner) PublisherWork(intervalMS float64, manifest string, check func([]publish.File) error) Work {
	return Work{intervalMS, func() func(context.Context, duty.Ref) error {
		lastError := ""
		return func(ctx context.Context, grant duty.Ref) error {
			files, err := ReadManifestFiles(manifest)
			if err == nil {
				err = check(files)
			}
			if err != nil {
				if err.Error() == lastError {
					return nil // already logged
				}
				lastError = err.Error()
				return fmt.Errorf("configuration not published: %w", err)
			}
			lastError = ""
			v, err := r.client.LatestVersion(ctx)
			if err != nil || v.No > 0 && publish.Digest(v.Files) == publish.Digest(files) {
				return err
			}
			result, err := r.Act(ctx, grant, state.Command{Op: state.OpPublishVersion, Files: files, Seq: v.No})
			if err == nil {
				r.Log.Info().Uint64("version", result.Value).Int("files", len(files)).Msg("published")
			}
			return err
		}
	}}
}

// ReadManifestFiles reads a manifest and its files, and fails if they do not match it.
func ReadManifestFiles(manifest string) ([]publish.File, error) {
	text, err := os.ReadFile(manifest)
	if err != nil {
		return nil, err
	}
	sums, err := publish.ParseManifest(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", manifest, err)
	}
	var files []publish.File
	for _, s := range sums {
		path := filepath.Join(filepath.Dir(manifest), s.Name)
		if info, err := os.Stat(path); err == nil && info.Size() > publish.MaxBytes {
			return nil, fmt.Errorf("%s: %d bytes exceed the limit of %d", path, info.Size(), publish.MaxBytes)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		files = append(files, publish.File{Name: s.Name, Text: b})
	}
	if err := publish.Match(sums, files); err != nil {
		return nil, fmt.Errorf("%s: %w", manifest, err)
	}
	return files, nil
}

// SettlerWork returns the work of the settler: it resolves orphaned effects as of unknown outcome, and removes effects that have
// ended and are older than retentionMS.
func (r *Runner) SettlerWork(intervalMS, retentionMS, maxDrift float64, steady *clock.Clock) Work {
	return Work{intervalMS, func() func(context.Context, duty.Ref) error {
		var ages effectlog.AgeTracker
		return func(ctx context.Context, grant duty.Ref) error {
			var e session.EffectStatus
			if err := r.client.Read(ctx, session.ReadEffects, &e); err != nil {
				return err
			}
			var commands []state.Command
			if len(e.Orphans) > 0 {
				commands = append(commands, state.Command{Op: state.OpResolveEffects, EffectIDs: e.Orphans})
			}
			now := steady.Now()
			ages.Observe(now, e.Seq)
			pruneUpTo := ages.OlderThan(now, retentionMS, maxDrift)
			if pruneUpTo > 0 {
				commands = append(commands, state.Command{Op: state.OpPruneEffects, Seq: pruneUpTo})
			}
			if len(commands) == 0 {
				return nil
			}
			result, err := r.Act(ctx, grant, commands...)
			if err == nil {
				r.Log.Info().Int("orphans", len(e.Orphans)).Uint64("up_to", pruneUpTo).Uint64("n", result.Value).Msg("settled")
			}
			return err
		}
	}}
}

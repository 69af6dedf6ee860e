package duties

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"puffinsaddle/internal/allot"
	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/net/session"
	"puffinsaddle/internal/publish"
	"puffinsaddle/internal/settle"
	"puffinsaddle/internal/state"
)

// Marks is the work of a duty that has none of its own: it counts, so that its holder can be seen at it.
func (k *Keeper) Marks(every float64) Work {
	return Work{every, func() func(context.Context, duty.Ref) error {
		return func(ctx context.Context, under duty.Ref) error {
			_, err := k.Act(ctx, under, state.Command{Op: state.Mark})
			return err
		}
	}}
}

// Allots divides what lies below. Each step is an act of its own, refused where the shares in force would come to more
// than the whole, whatever was read before.
func (k *Keeper) Allots(every float64, room allot.Room, plant string) Work {
	return Work{every, func() func(context.Context, duty.Ref) error {
		return func(ctx context.Context, under duty.Ref) error {
			var f session.CapacityStatus
			if err := k.client.Read(ctx, session.ReadCapacity, &f); err != nil {
				return err
			}
			var steps []state.Command
			if f.Pool != room.Pool() {
				steps = append(steps, state.Command{Op: state.Pool, Amount: room.Pool()})
			}
			for _, c := range allot.Plan(room.Pool(), f.Servers, plant == duty.PlantEarlyGrowth) {
				steps = append(steps, state.Command{Op: state.Share, Who: c.Who, Amount: c.Amount})
			}
			if len(steps) == 0 {
				return nil
			}
			_, err := k.Act(ctx, under, steps...)
			return err
		}
	}}
}

// Publishes publishes the files that a manifest names as a new version whenever they are whole and others than before.
// check is what the servers will check, so that nothing is published that all would turn down.
func (k *Keeper) Publishes(every float64, manifest string, check func([]publish.File) error) Work {
	return Work{every, func() func(context.Context, duty.Ref) error {
		said := ""
		return func(ctx context.Context, under duty.Ref) error {
			files, err := ReadFiles(manifest)
			if err == nil {
				err = check(files)
			}
			if err != nil {
				if err.Error() == said {
					return nil // once is enough
				}
				said = err.Error()
				return fmt.Errorf("nothing published: %w", err)
			}
			said = ""
			v, err := k.client.LatestVersion(ctx)
			if err != nil || v.No > 0 && publish.Digest(v.Files) == publish.Digest(files) {
				return err
			}
			r, err := k.Act(ctx, under, state.Command{Op: state.Publish, Files: files, Seq: v.No})
			if err == nil {
				k.Log.Info().Uint64("version", r.N).Int("files", len(files)).Msg("published")
			}
			return err
		}
	}}
}

// ReadFiles reads a manifest and its files, which have to be what it says.
func ReadFiles(manifest string) ([]publish.File, error) {
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
		if info, err := os.Stat(path); err == nil && info.Size() > publish.MostBytes {
			return nil, fmt.Errorf("%s: %d bytes, %d at most", path, info.Size(), publish.MostBytes)
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

// Settles marks effects of servers that are gone as of unknown outcome, and forgets those that ended and are older than
// keep, in ms.
func (k *Keeper) Settles(every, keep, rate float64, steady *clock.Clock) Work {
	return Work{every, func() func(context.Context, duty.Ref) error {
		var ages settle.Ages
		return func(ctx context.Context, under duty.Ref) error {
			var e session.EffectStatus
			if err := k.client.Read(ctx, session.ReadEffects, &e); err != nil {
				return err
			}
			var do []state.Command
			if len(e.Orphans) > 0 {
				do = append(do, state.Command{Op: state.Settle, IDs: e.Orphans})
			}
			now := steady.Now()
			ages.Note(now, e.Seq)
			due := ages.Due(now, keep, rate)
			if due > 0 {
				do = append(do, state.Command{Op: state.Prune, Seq: due})
			}
			if len(do) == 0 {
				return nil
			}
			r, err := k.Act(ctx, under, do...)
			if err == nil {
				k.Log.Info().Int("orphans", len(e.Orphans)).Uint64("up_to", due).Uint64("n", r.N).Msg("settled")
			}
			return err
		}
	}}
}

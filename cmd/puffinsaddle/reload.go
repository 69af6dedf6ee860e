package main

import (
	"sync"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/config"
)

// configRead is the result of one read of the configuration.
type configRead struct {
	config *config.Config
	err    error
}

// reloads reads the configuration again on request, and holds the one in force and the number of reads that were applied and
// rejected. Reads run on a goroutine of their own, one at a time: a file system may not respond, and a drain must not wait
// for it. All methods but counts are called by the goroutine that handles signals alone.
type reloads struct {
	load      func() (*config.Config, error)
	current   *config.Config
	done      chan configRead // the result of the read in progress
	reading   bool
	requested bool // since the read in progress began

	mu                sync.Mutex
	applied, rejected int
}

func newReloads(current *config.Config, load func() (*config.Config, error)) *reloads {
	return &reloads{load: load, current: current, done: make(chan configRead, 1)}
}

// request starts a read of the configuration. During a read it requests another one, since the file may have changed.
func (r *reloads) request() {
	if r.reading {
		r.requested = true
		return
	}
	r.reading, r.requested = true, false
	go func() {
		updated, err := r.load()
		r.done <- configRead{updated, err}
	}()
}

// finish applies a result received from done; an invalid one changes nothing. Changes other than peer addresses and
// settings need a restart.
func (r *reloads) finish(read configRead, log zerolog.Logger, apply func(*config.Config)) {
	r.reading = false
	if r.requested {
		r.request()
	}
	updated, err := read.config, read.err
	if err == nil {
		err = updated.CheckReplaces(r.current)
	}
	if err != nil {
		log.Error().Err(err).Msg("configuration rejected; the previous one stays in force")
		r.count(&r.rejected)
		return
	}
	log.Info().Str("executor", updated.Executor).Str("vault", updated.Vault).Str("members", updated.Members).Msg("configuration read again")
	r.current = updated
	apply(updated)
	r.count(&r.applied)
}

func (r *reloads) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// counts returns the numbers of reads that were applied and rejected.
func (r *reloads) counts() (applied, rejected int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied, r.rejected
}

package main

import (
	"sync"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/config"
)

// reloads is the configuration in force, and the number of reloads that were applied and rejected.
type reloads struct {
	current *config.Config // used by the goroutine that handles signals alone

	mu                sync.Mutex
	applied, rejected int
}

// run reads the configuration again and applies it; an invalid one changes nothing. Changes other than peer addresses and
// settings need a restart.
func (r *reloads) run(load func() (*config.Config, error), log zerolog.Logger, apply func(*config.Config)) {
	updated, err := load()
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

// counts returns the numbers of reloads that were applied and rejected.
func (r *reloads) counts() (applied, rejected int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied, r.rejected
}

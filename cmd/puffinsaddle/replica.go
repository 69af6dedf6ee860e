package main

import (
	"context"
	"encoding/json"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/config"
	"puffinsaddle/internal/inventory"
	"puffinsaddle/internal/store"
)

const drainKeyPrefix = "drain/" // key prefix of draining servers in the store

// openStore opens the store replica that the operator's file configures, if any. Once there is a quorum, it writes this
// server's configuration to the store; serving does not wait for that.
func openStore(ctx context.Context, cfg *config.Config, hosts *inventory.Inventory, manager *dutyManager, log zerolog.Logger) (*store.Store, error) {
	settings := cfg.Operator.Store
	if settings.Listen == "" {
		return nil, nil
	}
	if settings.ID == "" {
		settings.ID = cfg.Name
	}
	overrides := map[string]string{}
	for id, at := range settings.AddressOverrides {
		overrides[settings.Peers[id]] = at
	}
	s, err := store.Open(store.Options{ID: settings.ID, Listen: settings.Listen, Dir: settings.Dir, Peers: settings.Peers, AddressOverrides: overrides, Strict: settings.Strict, CompareIntervalMS: settings.CompareIntervalMS, ElectionTimeoutMS: settings.ElectionTimeoutMS, Log: log,
		Events: log, OnPhaseChange: manager.phaseTracer(), OnApply: manager.applyTracer(), InjectedBug: cfg.Operator.Lab.InjectedBug})
	if err != nil {
		return nil, err
	}
	log.Info().Str("id", settings.ID).Str("at", s.Addr()).Msg("serving the store")
	go func() {
		if err := s.Ready(ctx); err != nil {
			return // closed before a leader was elected
		}
		logFailure(log, s.Set("config/"+cfg.Name, cfg.Operator.Text))
		logFailure(log, s.Delete(drainKeyPrefix+cfg.Name))
		if hosts != nil {
			text, err := json.Marshal(hosts)
			logFailure(log, err)
			logFailure(log, s.Set("inventory", text))
		}
	}()
	return s, nil
}

// storeStatus returns the status of this process's store replica for the metrics, or nil without a replica.
func storeStatus(s *store.Store) *store.Status {
	if s == nil {
		return nil
	}
	st := s.Status()
	return &st
}

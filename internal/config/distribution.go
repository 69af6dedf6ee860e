package config

import (
	"errors"
	"fmt"
	"net"

	"puffinsaddle/internal/distribution"
)

// Distribution sets up an order server's watch of the configuration. Without relays it is off.
type Distribution struct {
	Zone        string               `yaml:"zone"`
	Region      string               `yaml:"region"`
	Relays      []distribution.Relay `yaml:"relays"`
	ReplicaPath string               `yaml:"path"` // of the copy on the server's own disk; empty: none is kept
}

// Relay sets up the command relay.
type Relay struct {
	Name          string            `yaml:"name"`
	Region        string            `yaml:"region"` // where it stands, as operators see it
	Listen        string            `yaml:"listen"`
	MetricsListen string            `yaml:"figures"`   // an address that tells the relay's figures over HTTP; empty: none
	Replicas      map[string]string `yaml:"copies"`    // id and address of each copy of the store, as this relay reaches it
	Alternatives  []string          `yaml:"elsewhere"` // relays, by name or address, that watchers may try where this one is full
	ReplicaPath   string            `yaml:"path"`      // of the copy on the relay's own disk; empty: none is kept
	MaxWatchers   int               `yaml:"watchers"`  // served at once
	MaxSnapshots  int               `yaml:"snapshots"` // sent at once
	MemoryLimitMB float64           `yaml:"memory_mb"` // from which the collector works harder; 0: no bound
}

var defaultRelay = Relay{MaxWatchers: distribution.DefaultLimits.Watchers, MaxSnapshots: distribution.DefaultLimits.Snapshots}

const watcherLimit = 1 << 16

func (d Distribution) check(o Operator) error {
	if len(d.Relays) == 0 {
		if d.ReplicaPath != "" || d.Zone != "" {
			return errors.New("distribution.relays is missing, and other keys of distribution are set")
		}
		return nil
	}
	switch {
	case d.Zone == "":
		return errors.New("distribution.zone is missing")
	case o.Duties.Publish.Manifest != "":
		return errors.New("distribution.relays is set, and so is duties.publish.manifest: settings can come one way only")
	}
	if err := distribution.CheckRelays(d.Relays); err != nil {
		return fmt.Errorf("distribution.relays%w", err)
	}
	return nil
}

// Enabled tells whether the file sets a relay up.
func (r Relay) Enabled() bool { return r.Listen != "" }

func (r Relay) check() error {
	if !r.Enabled() {
		if len(r.Replicas) > 0 {
			return errors.New("relay.listen is missing, and relay.copies is set")
		}
		return nil
	}
	if _, _, err := net.SplitHostPort(r.Listen); err != nil {
		return fmt.Errorf("relay.listen: %w", err)
	}
	if r.MetricsListen != "" {
		if _, _, err := net.SplitHostPort(r.MetricsListen); err != nil {
			return fmt.Errorf("relay.figures: %w", err)
		}
	}
	if err := checkAddresses("relay.copies", r.Replicas); err != nil {
		return err
	}
	switch {
	case r.Name == "":
		return errors.New("relay.name is missing")
	case len(r.Replicas) == 0:
		return errors.New("relay.copies is missing")
	case r.MaxWatchers < 1 || r.MaxWatchers > watcherLimit:
		return fmt.Errorf("relay.watchers must be from 1 to %d, not %d", watcherLimit, r.MaxWatchers)
	case r.MaxSnapshots < 1 || r.MaxSnapshots > r.MaxWatchers:
		return fmt.Errorf("relay.snapshots must be from 1 to relay.watchers, not %d", r.MaxSnapshots)
	case !(r.MemoryLimitMB >= 0):
		return fmt.Errorf("relay.memory_mb must be 0 or more, not %v", r.MemoryLimitMB)
	}
	return nil
}

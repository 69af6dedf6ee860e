package config

import (
	"errors"
	"fmt"
	"net"

	"puffinsaddle/internal/distribution"
)

// Distribution sets up an order server's watch of the configuration. Without relays it is off.
type Distribution struct {
	Zone   string               `yaml:"zone"`
	Region string               `yaml:"region"`
	Relays []distribution.Relay `yaml:"relays"`
	Path   string               `yaml:"path"` // of the copy on the server's own disk; empty: none is kept
}

// Relay sets up the command relay.
type Relay struct {
	Name      string            `yaml:"name"`
	Region    string            `yaml:"region"` // where it stands, as operators see it
	Listen    string            `yaml:"listen"`
	Figures   string            `yaml:"figures"`   // an address that tells the relay's figures over HTTP; empty: none
	Copies    map[string]string `yaml:"copies"`    // id and address of each copy of the store, as this relay reaches it
	Elsewhere []string          `yaml:"elsewhere"` // relays, by name or address, that watchers may try where this one is full
	Path      string            `yaml:"path"`      // of the copy on the relay's own disk; empty: none is kept
	Watchers  int               `yaml:"watchers"`  // served at once
	Snapshots int               `yaml:"snapshots"` // sent at once
	MemoryMB  float64           `yaml:"memory_mb"` // from which the collector works harder; 0: no bound
}

var defaultRelay = Relay{Watchers: distribution.DefaultLimits.Watchers, Snapshots: distribution.DefaultLimits.Snapshots}

const maxWatchers = 1 << 16

func (d Distribution) check(o Operator) error {
	if len(d.Relays) == 0 {
		if d.Path != "" || d.Zone != "" {
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

// On tells whether the file sets a relay up.
func (r Relay) On() bool { return r.Listen != "" }

func (r Relay) check() error {
	if !r.On() {
		if len(r.Copies) > 0 {
			return errors.New("relay.listen is missing, and relay.copies is set")
		}
		return nil
	}
	if _, _, err := net.SplitHostPort(r.Listen); err != nil {
		return fmt.Errorf("relay.listen: %w", err)
	}
	if r.Figures != "" {
		if _, _, err := net.SplitHostPort(r.Figures); err != nil {
			return fmt.Errorf("relay.figures: %w", err)
		}
	}
	if err := addresses("relay.copies", r.Copies); err != nil {
		return err
	}
	switch {
	case r.Name == "":
		return errors.New("relay.name is missing")
	case len(r.Copies) == 0:
		return errors.New("relay.copies is missing")
	case r.Watchers < 1 || r.Watchers > maxWatchers:
		return fmt.Errorf("relay.watchers must be from 1 to %d, not %d", maxWatchers, r.Watchers)
	case r.Snapshots < 1 || r.Snapshots > r.Watchers:
		return fmt.Errorf("relay.snapshots must be from 1 to relay.watchers, not %d", r.Snapshots)
	case !(r.MemoryMB >= 0):
		return fmt.Errorf("relay.memory_mb must be 0 or more, not %v", r.MemoryMB)
	}
	return nil
}

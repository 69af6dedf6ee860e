package config

import (
	"errors"
	"fmt"
	"math"
	"net"

	"puffinsaddle/internal/distribution"
)

// Distribution configures how an order server watches the records. Without relays, the server watches no records.
type Distribution struct {
	Zone        string               `yaml:"zone"`
	Region      string               `yaml:"region"`
	Relays      []distribution.Relay `yaml:"relays"`
	ReplicaPath string               `yaml:"path"` // file of the configuration replica on the server's disk; empty: none
}

// Relay configures the command relay.
type Relay struct {
	Name          string            `yaml:"name"`
	Region        string            `yaml:"region"` // location, as shown to operators
	Listen        string            `yaml:"listen"`
	MetricsListen string            `yaml:"figures"`   // address of the relay's HTTP metrics; empty: none
	Replicas      map[string]string `yaml:"copies"`    // store replicas: id to address, as this relay reaches it
	Alternatives  []string          `yaml:"elsewhere"` // relays, by name or address, offered to watchers when this one is full
	ReplicaPath   string            `yaml:"path"`      // file of the configuration replica on the relay's disk; empty: none
	MaxWatchers   int               `yaml:"watchers"`  // maximum served concurrently
	MaxSnapshots  int               `yaml:"snapshots"` // maximum sent concurrently
	MemoryLimitMB float64           `yaml:"memory_mb"` // soft limit for the garbage collector; 0: none
}

var defaultRelay = Relay{MaxWatchers: distribution.DefaultLimits.Watchers, MaxSnapshots: distribution.DefaultLimits.Snapshots}

const watcherLimit = 1 << 16 // upper bound of relay.watchers

func (d Distribution) check(o Operator) error {
	if len(d.Relays) == 0 {
		if d.ReplicaPath != "" || d.Zone != "" {
			return errors.New("distribution.relays is missing, but other keys of distribution are set")
		}
		return nil
	}
	switch {
	case d.Zone == "":
		return errors.New("distribution.zone is missing")
	case o.Duties.Publish.Manifest != "":
		return errors.New("distribution.relays and duties.publish.manifest are both set: settings must have a single source")
	}
	if err := distribution.CheckRelays(d.Relays); err != nil {
		return fmt.Errorf("distribution.relays%w", err)
	}
	return nil
}

// Enabled reports whether a relay is configured.
func (r Relay) Enabled() bool { return r.Listen != "" }

func (r Relay) check() error {
	if !r.Enabled() {
		if len(r.Replicas) > 0 {
			return errors.New("relay.listen is missing, but relay.copies is set")
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
	case !(r.MemoryLimitMB >= 0) || math.IsInf(r.MemoryLimitMB, 0):
		return fmt.Errorf("relay.memory_mb must be 0 or more, not %v", r.MemoryLimitMB)
	}
	return nil
}

package config

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"

	"go.yaml.in/yaml/v3"
)

// Operator is what an operator's file under deploy/ adds. All of it is off on the platform.
type Operator struct {
	UWSGI     UWSGI     `yaml:"uwsgi"`
	Store     Store     `yaml:"store"`
	Inventory Inventory `yaml:"inventory"`
	Duties    Duties    `yaml:"duties"`
	Lab       Lab       `yaml:"lab"`

	Distribution Distribution `yaml:"distribution"`
	Relay        Relay        `yaml:"relay"`

	Text []byte `yaml:"-"` // the file, as it is kept in the store
}

// Store sets up the replicated store. Without it nothing is kept and effects are remembered in memory.
type Store struct {
	ID                string            `yaml:"id"`     // empty: the program's name
	Listen            string            `yaml:"listen"` // empty: no store
	Dir               string            `yaml:"dir"`
	Peers             map[string]string `yaml:"peers"`       // id and address of each node, this one included
	AddressOverrides  map[string]string `yaml:"via"`         // by id: another address at which this node reaches that one
	CompareIntervalMS float64           `yaml:"compare_ms"`  // between two parts of the state that copies compare
	ElectionTimeoutMS float64           `yaml:"election_ms"` // a leader that is not heard for so long, up to twice that, is replaced
	Strict            bool              `yaml:"strict"`      // more of the others have to be heard before this node takes part
}

// Inventory names the hosts of the site.
type Inventory struct {
	Path        string `yaml:"path"`  // a .csv, .yml or .yaml file; empty: none
	Group       string `yaml:"group"` // hosts of this group join uwsgi.servers
	DefaultPort int    `yaml:"port"`  // of hosts that tell none
}

// UWSGI sets up the second front and the runner that sends requests on to uwsgi servers.
type UWSGI struct {
	Listen           string   `yaml:"listen"`      // empty: no front
	Servers          []string `yaml:"servers"`     // uwsgi servers that run the requests; none: the executor does
	MaxBodyBytes     int      `yaml:"max_body"`    // largest body of a request, in bytes
	MaxResultBytes   int      `yaml:"max_result"`  // largest answer of a server, in bytes
	ReadTimeoutMS    float64  `yaml:"read_ms"`     // a caller has so long to send its request
	MaxConnections   int      `yaml:"connections"` // connections open at once
	DefaultRequestKB float64  `yaml:"kb"`          // memory booked for a request that does not tell
}

// LoadOperator reads an operator's file; here a key that is not known is a slip of the pen.
func LoadOperator(path string) (Operator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, fmt.Errorf("%s: %w", operatorFileEnv, err)
	}
	o, err := ParseOperator(text)
	if err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

// ParseOperator reads, checks and completes an operator's file.
func ParseOperator(text []byte) (Operator, error) {
	o := Operator{Text: text, Inventory: Inventory{DefaultPort: 3031}, Duties: defaultDuties, Relay: defaultRelay, Store: Store{CompareIntervalMS: 1000, ElectionTimeoutMS: 500}, UWSGI: UWSGI{MaxBodyBytes: 64 << 10, MaxResultBytes: 1 << 20, ReadTimeoutMS: 2000, MaxConnections: 128, DefaultRequestKB: 24}}
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(&o); err != nil && len(bytes.TrimSpace(text)) > 0 {
		return o, err
	}
	u := o.UWSGI
	if u.Listen != "" {
		if _, _, err := net.SplitHostPort(u.Listen); err != nil {
			return o, fmt.Errorf("uwsgi.listen: %w", err)
		}
	}
	for i, s := range u.Servers {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return o, fmt.Errorf("uwsgi.servers[%d]: %w", i, err)
		}
	}
	if err := o.Store.check(); err != nil {
		return o, err
	}
	if err := o.Duties.check(o.Store); err != nil {
		return o, err
	}
	if err := o.Lab.check(); err != nil {
		return o, err
	}
	if err := o.Distribution.check(o); err != nil {
		return o, err
	}
	if err := o.Relay.check(); err != nil {
		return o, err
	}
	switch {
	case o.Inventory.Path == "" && o.Inventory.Group != "":
		return o, errors.New("inventory.path is missing, and inventory.group is set")
	case o.Inventory.DefaultPort < 1 || o.Inventory.DefaultPort > 65535:
		return o, errors.New("inventory.port must be from 1 to 65535")
	case u.MaxBodyBytes < 0 || u.MaxBodyBytes > 16<<20:
		return o, errors.New("uwsgi.max_body must be from 0 to 16 MiB")
	case u.MaxResultBytes < 1024 || u.MaxResultBytes > 16<<20:
		return o, errors.New("uwsgi.max_result must be from 1 KiB to 16 MiB")
	case !(u.ReadTimeoutMS > 0):
		return o, errors.New("uwsgi.read_ms must be above 0")
	case u.MaxConnections < 1:
		return o, errors.New("uwsgi.connections must be 1 or more")
	case !(u.DefaultRequestKB > 0):
		return o, errors.New("uwsgi.kb must be above 0")
	}
	return o, nil
}

package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"os"

	"go.yaml.in/yaml/v3"
)

// Operator is the content of an operator's file, as in deploy/. The platform provides no such file; everything that it configures
// is then disabled.
type Operator struct {
	UWSGI     UWSGI     `yaml:"uwsgi"`
	Store     Store     `yaml:"store"`
	Inventory Inventory `yaml:"inventory"`
	Duties    Duties    `yaml:"duties"`
	Lab       Lab       `yaml:"lab"`

	Distribution Distribution `yaml:"distribution"`
	Relay        Relay        `yaml:"relay"`

	Text []byte `yaml:"-"` // the file's content, which is kept in the store
}

// Store configures the replicated store. Without a store, no state is kept on disk and the effect log is in memory.
type Store struct {
	ID                string            `yaml:"id"`          // empty: the server's name
	Listen            string            `yaml:"listen"`      // address; empty: no store
	Dir               string            `yaml:"dir"`         // data directory
	Peers             map[string]string `yaml:"peers"`       // id to address of every replica, including this one
	AddressOverrides  map[string]string `yaml:"via"`         // by id: address at which this replica reaches that one instead
	CompareIntervalMS float64           `yaml:"compare_ms"`  // interval between comparisons of parts of the state among replicas
	ElectionTimeoutMS float64           `yaml:"election_ms"` // time without the leader, or up to twice it, until an election
	Strict            bool              `yaml:"strict"`      // require responses from more of the other replicas before this one takes part
}

// Inventory configures the list of the site's hosts.
type Inventory struct {
	Path        string `yaml:"path"`  // a .csv, .yml or .yaml file; empty: none
	Group       string `yaml:"group"` // hosts of this group join uwsgi.servers
	DefaultPort int    `yaml:"port"`  // for hosts without a port of their own
}

// UWSGI configures the uwsgi front and the runner that forwards requests to uwsgi servers.
type UWSGI struct {
	Listen           string   `yaml:"listen"`      // address; empty: no front
	Servers          []string `yaml:"servers"`     // uwsgi servers that run the requests; none: the executor runs them
	MaxBodyBytes     int      `yaml:"max_body"`    // of a request
	MaxResultBytes   int      `yaml:"max_result"`  // of a server's response
	ReadTimeoutMS    float64  `yaml:"read_ms"`     // timeout for reading a request
	MaxConnections   int      `yaml:"connections"` // maximum number of open connections
	DefaultRequestKB float64  `yaml:"kb"`          // memory reserved for a request that states none

	MemoryBytes int `yaml:"-"` // limit on the memory of all connections of the front, from the process's own; 0: a default
}

// LoadOperator reads an operator's file. Unknown keys are errors.
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

// ParseOperator parses and validates the text of an operator's file and fills in defaults.
func ParseOperator(text []byte) (Operator, error) {
	o := Operator{
		Text: text, Inventory: Inventory{DefaultPort: 3031}, Duties: defaultDuties, Relay: defaultRelay,
		Store: Store{CompareIntervalMS: 1000, ElectionTimeoutMS: 500},
		UWSGI: UWSGI{MaxBodyBytes: 64 << 10, MaxResultBytes: 1 << 20, ReadTimeoutMS: 2000, MaxConnections: 128, DefaultRequestKB: 24},
	}
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
		return o, errors.New("inventory.path is missing, but inventory.group is set")
	case o.Inventory.DefaultPort < 1 || o.Inventory.DefaultPort > 65535:
		return o, errors.New("inventory.port must be from 1 to 65535")
	case u.MaxBodyBytes < 0 || u.MaxBodyBytes > 16<<20:
		return o, errors.New("uwsgi.max_body must be from 0 to 16 MiB")
	case u.MaxResultBytes < 1024 || u.MaxResultBytes > 16<<20:
		return o, errors.New("uwsgi.max_result must be from 1 KiB to 16 MiB")
	case !isPositiveFinite(u.ReadTimeoutMS):
		return o, errors.New("uwsgi.read_ms must be above 0")
	case u.MaxConnections < 1:
		return o, errors.New("uwsgi.connections must be 1 or more")
	case !isPositiveFinite(u.DefaultRequestKB):
		return o, errors.New("uwsgi.kb must be above 0")
	}
	return o, nil
}

// isPositiveFinite reports whether a number is above 0 and neither infinite nor NaN, both of which YAML admits.
func isPositiveFinite(v float64) bool { return v > 0 && !math.IsInf(v, 0) }

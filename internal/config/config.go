// Package config reads, validates and completes all configuration: the platform's RELAY_ variables and JSON file,
// and the operator's YAML file. Error messages name the faulty key.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/valyala/fastjson"

	"puffinsaddle/policy"
)

// Defaults for keys that the platform's file omits.
const (
	defaultCores         = 1.0
	defaultMemoryMB      = 192.0
	defaultSockets       = 1024
	defaultStopTimeoutMS = 3000.0

	reservedSockets = 64 // descriptors reserved for the executor, the vault, logs and everything else

	// MaxOperatorConnections is the maximum number of concurrent operator connections.
	MaxOperatorConnections = 16

	operatorFileEnv = "PUFFINSADDLE_OPERATOR" // path of the operator's file
	labEnv          = "PUFFINSADDLE_LAB"      // set by the lab for the processes that it starts
)

// Config is the complete configuration of one process.
type Config struct {
	Name          string
	Listen        string // address for routers
	Executor      string // address; empty only where the operator's file configures another runner
	Members       string // address of the membership service; empty: no reports
	Vault         string // address; empty: there is no downstream
	Seed          uint64
	StopTimeoutMS float64 // from the drain notice to the kill
	Cores         float64
	MemoryMB      float64
	Sockets       int // limit on file descriptors
	Settings      policy.Settings
	Operator      Operator

	OperatorListen string          // address for operators; empty: none
	keys           map[string]bool // key paths present in the platform's file
	PrivateDir     string          // a directory that only this server uses; empty: none
}

// Load reads the configuration files that the environment names, and applies the environment's overrides.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return nil, errors.New("RELAY_CONFIG is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	// The variables repeat the file; where they differ, the environment takes precedence.
	if v := getenv("RELAY_NAME"); v != "" {
		c.Name = v
	}
	if v := getenv("RELAY_LISTEN"); v != "" {
		c.Listen = v
	}
	if v := getenv("RELAY_OPERATOR"); v != "" {
		c.OperatorListen = v
	}
	c.PrivateDir = getenv("TMPDIR")
	// This variable has no RELAY_ prefix: the platform could define one of the same name with another meaning, and
	// the program would fail to start when it took that value for a path.
	if v := getenv(operatorFileEnv); v != "" {
		if c.Operator, err = LoadOperator(v); err != nil {
			return nil, err
		}
		if c.Operator.Lab != (Lab{}) && getenv(labEnv) == "" { // a leftover file of the lab
			return nil, fmt.Errorf(`%s: "lab" is set, but this process was not started by the lab (%s is not set)`, v, labEnv)
		}
	}
	return c, c.check()
}

// Parse reads the platform's JSON. Unknown keys are ignored, because the platform may add some.
func Parse(text []byte) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, errors.New("must be a JSON object")
	}
	f := &Fields{Value: v, Name: "config"}
	f.Require("settings")
	c := &Config{
		Name: f.Text("name"), Listen: f.Text("listen"), Executor: f.Text("executor"), Members: f.Text("members"),
		OperatorListen: f.Text("operator"), keys: map[string]bool{},
		Vault: f.Text("vault"), StopTimeoutMS: f.Number("stop_ms"), Cores: defaultCores, MemoryMB: defaultMemoryMB,
		Sockets: defaultSockets,
	}
	collectKeys(v, "", c.keys)
	if f.Get("stop_ms") == nil {
		c.StopTimeoutMS = defaultStopTimeoutMS
	}
	if seed := f.Text("seed"); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			f.Fail("seed", "is not a hexadecimal number of 64 bits")
		}
	}
	if f.Get("limits") != nil {
		l := f.Object("limits")
		if l.Get("cores") != nil {
			c.Cores = l.Number("cores")
		}
		if l.Get("memory_mb") != nil {
			c.MemoryMB = l.Number("memory_mb")
		}
		if l.Get("sockets") != nil {
			c.Sockets = int(l.Integer("sockets"))
		}
		if f.Err == nil {
			f.Err = l.Err
		}
	}
	if f.Err != nil {
		return nil, f.Err
	}
	c.Settings = ParseSettings(f.Object("settings"), f)
	if f.Err != nil {
		return nil, f.Err
	}
	return c, nil
}

// MaxRouterConnections returns the number of descriptors available for router connections.
func (c *Config) MaxRouterConnections() int {
	available := c.Sockets - min(reservedSockets, c.Sockets/4)
	if c.OperatorListen != "" {
		available -= MaxOperatorConnections + 1
	}
	if c.Operator.UWSGI.Listen != "" {
		available -= 2 * c.Operator.UWSGI.MaxConnections
	}
	return available
}

func (c *Config) check() error {
	if c.Name == "" {
		return errors.New(`config: "name" is missing`)
	}
	addresses := []struct{ key, address string }{
		{"listen", c.Listen}, {"members", c.Members}, {"vault", c.Vault}, {"executor", c.Executor}, {"operator", c.OperatorListen},
	}
	for _, a := range addresses {
		if a.address == "" {
			if a.key == "listen" && c.Operator.UWSGI.Listen == "" ||
				a.key == "executor" && len(c.Operator.UWSGI.Servers) == 0 && c.Operator.Inventory.Group == "" {
				return fmt.Errorf("config: %q is missing", a.key)
			}
			continue
		}
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return fmt.Errorf("config: %q is not an address with a port: %w", a.key, err)
		}
	}
	switch {
	case !(c.Cores > 0):
		return errors.New(`config: "limits.cores" must be above 0`)
	case !(c.MemoryMB >= 16):
		return errors.New(`config: "limits.memory_mb" must be 16 or more`)
	case c.Sockets < 32:
		return errors.New(`config: "limits.sockets" must be 32 or more`)
	case !(c.StopTimeoutMS >= 0):
		return errors.New(`config: "stop_ms" must be 0 or more`)
	}
	if c.Listen != "" && c.MaxRouterConnections() < c.Sockets/2 {
		return errors.New("uwsgi.connections: leaves less than half of limits.sockets for router connections")
	}
	// Runs the policy module's own validation, so that a faulty setting is reported before any listener opens.
	if _, err := policy.New(c.Settings, c.Seed); err != nil {
		return fmt.Errorf(`config: "settings": %w`, err)
	}
	return nil
}

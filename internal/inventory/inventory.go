// Package inventory reads the hosts of a site as configuration tools keep them: an Ansible-style YAML file
// (all, children, hosts, vars) or a CSV file with a header. Both give the same model.
package inventory

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// Host is one machine.
type Host struct {
	Name    string            `json:"name"`
	Address string            `json:"address"` // an IP address or a host name; the name where none is told
	Port    int               `json:"port,omitempty"`
	Groups  []string          `json:"groups,omitempty"` // sorted; those that contain its groups included
	Vars    map[string]string `json:"vars,omitempty"`
}

// Inventory is all hosts, in order of their names.
type Inventory struct {
	Hosts []*Host `json:"hosts"`
}

// Load reads a file; its ending tells the format.
func Load(path string) (*Inventory, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	return Parse(path, text)
}

// Parse reads the text of a file; the ending of its name tells the format, and messages name it.
func Parse(path string, text []byte) (*Inventory, error) {
	switch strings.ToLower(filepath.Ext(path)) {
	case ".csv":
		return ParseCSV(path, text)
	case ".yml", ".yaml":
		return ParseYAML(path, text)
	}
	return nil, fmt.Errorf("inventory: %s: neither .csv nor .yml nor .yaml", path)
}

// Group lists the hosts of a group; all is the group of all.
func (v *Inventory) Group(name string) []*Host {
	var in []*Host
	for _, h := range v.Hosts {
		for _, g := range h.Groups {
			if g == name || name == "all" {
				in = append(in, h)
				break
			}
		}
		if len(h.Groups) == 0 && name == "all" {
			in = append(in, h)
		}
	}
	return in
}

// Endpoint is the host's address with its port, or with a given one where it has none.
func (h *Host) Endpoint(port int) string {
	if h.Port > 0 {
		port = h.Port
	}
	return net.JoinHostPort(h.Address, strconv.Itoa(port))
}

// newInventory sorts what was read, so that the same hosts give the same inventory.
func newInventory(hosts map[string]*Host) *Inventory {
	v := &Inventory{}
	for _, h := range hosts {
		if h.Address == "" {
			h.Address = h.Name
		}
		sort.Strings(h.Groups)
		v.Hosts = append(v.Hosts, h)
	}
	sort.Slice(v.Hosts, func(i, j int) bool { return v.Hosts[i].Name < v.Hosts[j].Name })
	return v
}

var hostLabel = regexp.MustCompile(`^[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?$`)

// checkAddress takes IP addresses and host names. What looks like an IPv4 address has to be one.
func checkAddress(s string) error {
	if net.ParseIP(s) != nil {
		return nil
	}
	allNumeric := true
	for part := range strings.SplitSeq(s, ".") {
		if !hostLabel.MatchString(part) {
			return fmt.Errorf("bad address %q", s)
		}
		if _, err := strconv.Atoi(part); err != nil {
			allNumeric = false
		}
	}
	if allNumeric || len(s) > 253 {
		return fmt.Errorf("bad address %q", s)
	}
	return nil
}

func parsePort(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > 65535 {
		return 0, fmt.Errorf("bad port %q", s)
	}
	return n, nil
}

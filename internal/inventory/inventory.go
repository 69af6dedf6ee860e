// Package inventory reads the hosts of a site from an Ansible-style YAML file (all, children, hosts, vars) or from a
// CSV file with a header. Both formats have the same model.
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

// Host is one machine of the site.
type Host struct {
	Name    string            `json:"name"`
	Address string            `json:"address"` // an IP address or a host name; defaults to Name
	Port    int               `json:"port,omitempty"`
	Groups  []string          `json:"groups,omitempty"` // sorted, including the groups that contain its groups
	Vars    map[string]string `json:"vars,omitempty"`
}

// Inventory holds all hosts, sorted by name.
type Inventory struct {
	Hosts []*Host `json:"hosts"`
}

// Load reads a file, whose extension determines the format.
func Load(path string) (*Inventory, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	return Parse(path, text)
}

// Parse parses the text of a file. The extension of path determines the format, and errors contain path.
func Parse(path string, text []byte) (*Inventory, error) {
	switch strings.ToLower(filepath.Ext(path)) {
	case ".csv":
		return ParseCSV(path, text)
	case ".yml", ".yaml":
		return ParseYAML(path, text)
	}
	return nil, fmt.Errorf("inventory: %s: the extension must be .csv, .yml or .yaml", path)
}

// Group returns the hosts of a group. The group all contains every host.
func (v *Inventory) Group(name string) []*Host {
	var members []*Host
	for _, h := range v.Hosts {
		for _, g := range h.Groups {
			if g == name || name == "all" {
				members = append(members, h)
				break
			}
		}
		if len(h.Groups) == 0 && name == "all" {
			members = append(members, h)
		}
	}
	return members
}

// Endpoint returns the host's address with its port, or with the given one if it has none.
func (h *Host) Endpoint(port int) string {
	if h.Port > 0 {
		port = h.Port
	}
	return net.JoinHostPort(h.Address, strconv.Itoa(port))
}

// newInventory returns the inventory of the hosts, sorted so that equal hosts give equal inventories.
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

// checkAddress accepts IP addresses and host names. A name of numeric parts only must be a valid IPv4 address.
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

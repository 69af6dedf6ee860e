package inventory

import (
	"fmt"
	"maps"
	"slices"

	"go.yaml.in/yaml/v3"
)

// Variables that hold a host's address and port.
const (
	addressVar = "ansible_host"
	portVar    = "ansible_port"
)

// ParseYAML parses groups of hosts: the top-level group is all, and each group may have hosts, vars and children. A
// host may be in several groups. Its own variables override those of its groups, and a group's override those of the
// groups that contain it. On the same level the later one in the file takes precedence, as in Ansible.
func ParseYAML(path string, text []byte) (*Inventory, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	p := &parser{path: path, hosts: map[string]*Host{}, hostVars: map[string]map[string]string{}, hostLines: map[string]int{}}
	if len(doc.Content) == 0 {
		return newInventory(p.hosts), nil
	}
	groups, err := p.pairs(doc.Content[0], "the file")
	if err != nil {
		return nil, err
	}
	for _, g := range groups {
		if err := p.group(g.key, g.value, nil, nil); err != nil {
			return nil, err
		}
	}
	for name, h := range p.hosts {
		maps.Copy(h.Vars, p.hostVars[name])
		if err := p.setAddressAndPort(h); err != nil {
			return nil, fmt.Errorf("%s:%d: host %q: %w", path, p.hostLines[name], name, err)
		}
	}
	return newInventory(p.hosts), nil
}

type parser struct {
	path      string
	hosts     map[string]*Host
	hostVars  map[string]map[string]string // variables set at the host itself
	hostLines map[string]int
}

type pair struct {
	key   *yaml.Node
	value *yaml.Node
}

// pairs returns the members of a mapping. A duplicate key is an error. subject is the name of the mapping in errors.
func (p *parser) pairs(n *yaml.Node, subject string) ([]pair, error) {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return nil, nil
	}
	if n.Kind != yaml.MappingNode {
		return nil, fmt.Errorf("%s:%d: %s must be a mapping", p.path, n.Line, subject)
	}
	var members []pair
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		if first, duplicate := seen[k.Value]; duplicate {
			return nil, fmt.Errorf("%s:%d: duplicate %q in %s, first in line %d", p.path, k.Line, k.Value, subject, first)
		}
		seen[k.Value] = k.Line
		members = append(members, pair{k, n.Content[i+1]})
	}
	return members, nil
}

// group reads one group. ancestors are the names of the groups that contain it, and vars their variables.
func (p *parser) group(name, n *yaml.Node, ancestors []string, vars map[string]string) error {
	if slices.Contains(ancestors, name.Value) {
		return fmt.Errorf("%s:%d: group %q contains itself", p.path, name.Line, name.Value)
	}
	ancestors = append(slices.Clone(ancestors), name.Value)
	members, err := p.pairs(n, fmt.Sprintf("group %q", name.Value))
	if err != nil {
		return err
	}
	sections := map[string]*yaml.Node{}
	for _, m := range members {
		switch m.key.Value {
		case "hosts", "vars", "children":
			sections[m.key.Value] = m.value
		default:
			return fmt.Errorf("%s:%d: unknown key %q in group %q", p.path, m.key.Line, m.key.Value, name.Value)
		}
	}
	if v := sections["vars"]; v != nil {
		own, err := p.vars(v, fmt.Sprintf("the vars of group %q", name.Value))
		if err != nil {
			return err
		}
		merged := maps.Clone(own)
		for k, x := range vars {
			if _, overridden := own[k]; !overridden {
				merged[k] = x
			}
		}
		vars = merged
	}
	if h := sections["hosts"]; h != nil {
		hosts, err := p.pairs(h, fmt.Sprintf("the hosts of group %q", name.Value))
		if err != nil {
			return err
		}
		for _, m := range hosts {
			if err := p.host(m, ancestors, vars); err != nil {
				return err
			}
		}
	}
	if c := sections["children"]; c != nil {
		children, err := p.pairs(c, fmt.Sprintf("the children of group %q", name.Value))
		if err != nil {
			return err
		}
		for _, m := range children {
			if err := p.group(m.key, m.value, ancestors, vars); err != nil {
				return err
			}
		}
	}
	return nil
}

// host reads one host. groups are the groups that contain it, the innermost last, and vars their variables.
func (p *parser) host(m pair, groups []string, vars map[string]string) error {
	name := m.key.Value
	own, err := p.vars(m.value, fmt.Sprintf("host %q", name))
	if err != nil {
		return err
	}
	h := p.hosts[name]
	if h == nil {
		h = &Host{Name: name, Vars: map[string]string{}}
		p.hosts[name], p.hostVars[name], p.hostLines[name] = h, map[string]string{}, m.key.Line
	}
	// A host may be listed in several groups, but different addresses mean two hosts of the same name.
	for _, k := range []string{addressVar, portVar} {
		if a, b := p.hostVars[name][k], own[k]; a != "" && b != "" && a != b {
			return fmt.Errorf("%s:%d: duplicate host %q: %s is %q here and %q in line %d",
				p.path, m.key.Line, name, k, b, a, p.hostLines[name])
		}
	}
	maps.Copy(p.hostVars[name], own)
	maps.Copy(h.Vars, vars)
	for _, g := range groups {
		if g != "all" && !slices.Contains(h.Groups, g) {
			h.Groups = append(h.Groups, g)
		}
	}
	return nil
}

// vars reads variables. A value that is not a scalar is kept as YAML text. subject is the name of the mapping in errors.
func (p *parser) vars(n *yaml.Node, subject string) (map[string]string, error) {
	members, err := p.pairs(n, subject)
	if err != nil {
		return nil, err
	}
	vars := map[string]string{}
	for _, m := range members {
		v := m.value
		if v.Kind == yaml.AliasNode {
			v = v.Alias
		}
		if v.Kind == yaml.ScalarNode {
			vars[m.key.Value] = v.Value
			continue
		}
		text, err := yaml.Marshal(v)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", p.path, v.Line, err)
		}
		vars[m.key.Value] = string(text)
	}
	return vars, nil
}

// setAddressAndPort sets the host's address and port from its variables, and removes these.
func (p *parser) setAddressAndPort(h *Host) error {
	h.Address = h.Name
	if v := h.Vars[addressVar]; v != "" {
		h.Address = v
	}
	if err := checkAddress(h.Address); err != nil {
		return err
	}
	if v := h.Vars[portVar]; v != "" {
		var err error
		if h.Port, err = parsePort(v); err != nil {
			return err
		}
	}
	delete(h.Vars, addressVar)
	delete(h.Vars, portVar)
	return nil
}

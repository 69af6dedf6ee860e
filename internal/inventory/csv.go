package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"
)

// ParseCSV parses a table with a header. Its columns are name, address, port, groups (separated by semicolons) and any
// number of var_NAME columns. Only name is required.
func ParseCSV(path string, text []byte) (*Inventory, error) {
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(text, []byte("\ufeff"))))
	r.TrimLeadingSpace = true
	r.Comment = '#'
	header, err := r.Read()
	if err != nil {
		return nil, fmt.Errorf("%s: no header: %w", path, err)
	}
	line, _ := r.FieldPos(0)
	columns := map[string]bool{}
	for i, c := range header {
		c = strings.TrimSpace(c)
		header[i] = c
		known := c == "name" || c == "address" || c == "port" || c == "groups" || strings.HasPrefix(c, "var_") && len(c) > 4
		if !known {
			return nil, fmt.Errorf("%s:%d: unknown column %q", path, line, c)
		}
		if columns[c] {
			return nil, fmt.Errorf("%s:%d: duplicate column %q", path, line, c)
		}
		columns[c] = true
	}
	if !columns["name"] {
		return nil, fmt.Errorf("%s:%d: no column \"name\"", path, line)
	}
	hosts, firstLine := map[string]*Host{}, map[string]int{}
	for {
		row, err := r.Read()
		if errors.Is(err, io.EOF) {
			return newInventory(hosts), nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err) // err contains the line number
		}
		line, _ := r.FieldPos(0)
		h, err := parseRow(header, row)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		if first, duplicate := firstLine[h.Name]; duplicate {
			return nil, fmt.Errorf("%s:%d: duplicate host %q, first in line %d", path, line, h.Name, first)
		}
		hosts[h.Name], firstLine[h.Name] = h, line
	}
}

func parseRow(header, row []string) (*Host, error) {
	h := &Host{Vars: map[string]string{}}
	for i, column := range header {
		v := strings.TrimSpace(row[i])
		if v == "" {
			continue
		}
		var err error
		switch column {
		case "name":
			h.Name = v
		case "address":
			h.Address, err = v, checkAddress(v)
		case "port":
			h.Port, err = parsePort(v)
		case "groups":
			h.Groups = splitGroups(v)
		default:
			h.Vars[strings.TrimPrefix(column, "var_")] = v
		}
		if err != nil {
			return nil, fmt.Errorf("column %q: %w", column, err)
		}
	}
	if h.Name == "" {
		return nil, errors.New("the host has no name")
	}
	if h.Address == "" {
		return h, checkAddress(h.Name)
	}
	return h, nil
}

func splitGroups(s string) []string {
	var groups []string
	seen := map[string]bool{}
	for g := range strings.SplitSeq(s, ";") {
		if g = strings.TrimSpace(g); g != "" && g != "all" && !seen[g] {
			seen[g] = true
			groups = append(groups, g)
		}
	}
	return groups
}

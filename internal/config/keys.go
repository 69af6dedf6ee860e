package config

import (
	"fmt"
	"slices"

	"github.com/valyala/fastjson"
)

// CheckReplaces returns an error unless this configuration has every key of old, the one in force. A truncated file would
// otherwise replace settings with defaults while requests are in flight.
func (c *Config) CheckReplaces(old *Config) error {
	var missing []string
	for k := range old.keys {
		if !c.keys[k] {
			missing = append(missing, k)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	slices.Sort(missing)
	return fmt.Errorf("config: %q is missing, and the file in force has it", missing[0])
}

// collectKeys collects the paths of all members of v that are not null. For an array it collects the paths that every
// item has.
func collectKeys(v *fastjson.Value, path string, keys map[string]bool) {
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, member *fastjson.Value) {
			if member.Type() != fastjson.TypeNull {
				memberPath := path + string(key)
				keys[memberPath] = true
				collectKeys(member, memberPath+".", keys)
			}
		})
	case fastjson.TypeArray:
		count, items := map[string]int{}, v.GetArray()
		for _, item := range items {
			itemKeys := map[string]bool{}
			collectKeys(item, path, itemKeys)
			for k := range itemKeys {
				count[k]++
			}
		}
		for k, n := range count {
			if n == len(items) {
				keys[k] = true
			}
		}
	}
}

package config

import (
	"fmt"
	"slices"

	"github.com/valyala/fastjson"
)

// CheckReplaces returns an error unless this configuration has every key of old, the one in force. A truncated file would
// otherwise replace settings with defaults while requests are in flight.
func (c *Config) CheckReplaces(old *Config) error {
	var gone []string
	for k := range old.keys {
		if !c.keys[k] {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return nil
	}
	slices.Sort(gone)
	return fmt.Errorf("config: %q is missing, and the file in force has it", gone[0])
}

// keysOf collects the paths of all members of v that are not null. For an array it collects the paths that every item has.
func keysOf(v *fastjson.Value, path string, into map[string]bool) {
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, member *fastjson.Value) {
			if member.Type() != fastjson.TypeNull {
				p := path + string(key)
				into[p] = true
				keysOf(member, p+".", into)
			}
		})
	case fastjson.TypeArray:
		count, items := map[string]int{}, v.GetArray()
		for _, item := range items {
			of := map[string]bool{}
			keysOf(item, path, of)
			for k := range of {
				count[k]++
			}
		}
		for k, n := range count {
			if n == len(items) {
				into[k] = true
			}
		}
	}
}

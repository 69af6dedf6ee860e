package config

import (
	"fmt"
	"slices"

	"github.com/valyala/fastjson"
)

// Replaces tells whether the file may come after the one in force: it must have every key of that. Guards against a
// file that lost a part and would put defaults into force while requests are open.
func (c *Config) Replaces(old *Config) error {
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

// keysOf lists the paths of all members. Of an array's objects it lists what all of them have.
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

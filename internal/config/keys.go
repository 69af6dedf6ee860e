package config

import (
	"fmt"
	"slices"

	"github.com/valyala/fastjson"
)

// CheckReplaces tells whether the file may come after the one in force: it must have every key of that. Guards against a
// file that lost a part and would put defaults into force while requests are open.
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

// collectKeys lists the paths of all members. Of an array's objects it lists what all of them have.
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

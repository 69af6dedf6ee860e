package config

import (
	"strings"
	"testing"
)

const dutiesYAML = `
store: {listen: "127.0.0.1:7400", dir: x, peers: {n1: "127.0.0.1:7400", n2: "127.0.0.1:7401", n3: "127.0.0.1:7402"}}
duties:
  copies: {n1: "127.0.0.1:7400", n2: "127.0.0.1:7401", n3: "127.0.0.1:7402"}
  list: [{name: allotter, ttl_ms: 3000}, {name: publisher, ttl_ms: 3000}]
  allot: {whole: 40, alone: 1, servers: 20}
  publish: {manifest: SUMS}
`

func TestDutiesAreDisabledByDefault(t *testing.T) {
	o, err := ParseOperator(nil)
	if err != nil || o.Duties.Enabled() {
		t.Fatalf("%v %v", o.Duties.Enabled(), err)
	}
	if o, err = ParseOperator([]byte(dutiesYAML)); err != nil || !o.Duties.Enabled() || o.Duties.Allocation.Capacity().Pool() != 20000 {
		t.Fatalf("%+v %v", o.Duties, err)
	}
}

func TestDutyErrorsNameTheFaultyKey(t *testing.T) {
	for _, c := range []struct{ old, now, want string }{
		{`{name: allotter, ttl_ms: 3000}`, `{name: allotter}`, "duties.list[0].ttl_ms must be above 0, not 0"},
		{`{name: allotter, ttl_ms: 3000}`, `{name: allotter, ttl_ms: -5}`, "duties.list[0].ttl_ms must be above 0, not -5"},
		{`{name: allotter, ttl_ms: 3000}`, `{name: allotter, ttl_ms: .nan}`, "duties.list[0].ttl_ms must be above 0, not NaN"},
		{`{name: allotter, ttl_ms: 3000}`, `{name: allotter, ttl_ms: 1000}`, "duties.list[0].ttl_ms of 1000 ms leaves a holder 850 ms"},
		{`{name: allotter, ttl_ms: 3000}`, `{name: allotter, ttl: 3000}`, "field ttl not found"},
		{`{name: allotter, ttl_ms: 3000}, `, ``, "duties.list has no allotter, but duties.allot is set"},
		{`, {name: publisher, ttl_ms: 3000}`, ``, "duties.list has no publisher"},
		{`whole: 40`, `whole: 10`, "duties.allot.alone: 1 for each of 20 servers is over the whole of 10"},
		{`whole: 40`, `whole: .inf`, "duties.allot.whole must be above 0"},
		{`servers: 20`, `servers: 0`, "duties.allot.servers must be 1 or more"},
		{"  copies: {n1: \"127.0.0.1:7400\", n2: \"127.0.0.1:7401\", n3: \"127.0.0.1:7402\"}\n", "", "duties.copies is missing"},
		{"n3: \"127.0.0.1:7402\"}\n  list", "n3: \"127.0.0.1:7401\"}\n  list", "duties.copies.n3: 127.0.0.1:7401 is already the address of n2"},
		{", n3: \"127.0.0.1:7402\"}\n  list", "}\n  list", "duties.copies names 2 replicas: the number must be 3, 5 or 7, so that a majority"},
		{"n3: \"127.0.0.1:7402\"}\n  list", "n4: \"127.0.0.1:7402\"}\n  list", "duties.copies: n3 of store.peers is missing"},
		{"n3: \"127.0.0.1:7402\"}\n  list", "n3: nowhere}\n  list", "duties.copies.n3: address nowhere"},
		{"n3: \"127.0.0.1:7402\"}}\n", "n3: \"127.0.0.1:7401\"}}\n", "store.peers.n3: 127.0.0.1:7401 is already the address of n2"},
		{"dir: x", "dir: x, via: {n9: \"127.0.0.1:1\"}", "store.via.n9: no such peer"},
		{"  publish:", "  settle: {keep_ms: 5}\n  publish:", "duties.settle.keep_ms must be 60000 or more"},
		{"  publish:", "  sessions: 0\n  publish:", "duties.sessions must be from 1"},
		{"  publish:", "  presence_ms: 0\n  publish:", "duties.presence_ms must be above 0"},
		{"  publish:", "  presence_ms: .inf\n  publish:", "duties.presence_ms must be above 0"},
		{"  publish:", "  mark_ms: .nan\n  publish:", "duties.mark_ms must be above 0"},
		{"  publish:", "  clock_rate: 0.9\n  publish:", "duties.clock_rate must be from 0 to 0.5"},
	} {
		text := strings.Replace(dutiesYAML, c.old, c.now, 1)
		if text == dutiesYAML {
			t.Fatalf("replacing %q changes nothing", c.old)
		}
		if _, err := ParseOperator([]byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %s", c.now, err, c.want)
		}
	}
}

// A file of the lab, which may inject a bug, must not be accepted by a process that the lab did not start.
func TestLabSettingsAreRefusedOutsideLab(t *testing.T) {
	file := "lab: {plant: unfenced}\n"
	if _, err := loadConfig(t, validConfig, file, nil); err == nil || !strings.Contains(err.Error(), `"lab" is set`) {
		t.Errorf("%v", err)
	}
	if _, err := loadConfig(t, validConfig, file, map[string]string{"PUFFINSADDLE_LAB": "1"}); err != nil {
		t.Error(err)
	}
	if _, err := ParseOperator([]byte("lab: {plant: nonsense}\n")); err == nil || !strings.Contains(err.Error(), "lab.plant") {
		t.Errorf("%v", err)
	}
}

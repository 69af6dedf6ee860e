package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:5050","executor":"127.0.0.2:7300","members":"127.0.0.3:8761",
"vault":"127.0.0.4:7700","seed":"8c1f30d27a5be964","stop_ms":3200,"some new key":[1],"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"new too":1,"classes":[{"name":"book","aim":1700000000,"deadline":5000000000,"worth":4.0,"idempotency":"unsafe"}],
"extra":{"nCores":6,"heapKb":10998.0,"runMemFactor":4.0,"say":"credit","freshFor":200000000},"limits":{},"rules":{"fallMultiple":8.0},"tick":4000000}}`

func loadConfig(t *testing.T, text, operator string, env map[string]string) (*Config, error) {
	t.Helper()
	vars := map[string]string{"RELAY_CONFIG": filepath.Join(t.TempDir(), "config.json")}
	os.WriteFile(vars["RELAY_CONFIG"], []byte(text), 0o600)
	if operator != "" {
		vars["PUFFINSADDLE_OPERATOR"] = filepath.Join(t.TempDir(), "operator.yaml")
		os.WriteFile(vars["PUFFINSADDLE_OPERATOR"], []byte(operator), 0o600)
	}
	for k, v := range env {
		vars[k] = v
	}
	return Load(func(k string) string { return vars[k] })
}

func TestLoadReadsFilesAndEnvironment(t *testing.T) {
	c, err := loadConfig(t, validConfig, "", map[string]string{"RELAY_NAME": "n9"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n9" || c.Seed != 0x8c1f30d27a5be964 || c.StopTimeoutMS != 3200 || c.Sockets != 1024 || c.Settings.Cores != 6 {
		t.Errorf("read %+v", c)
	}
	if c.Operator.UWSGI.Listen != "" || c.Operator.Store.Listen != "" || c.Operator.Inventory.Path != "" {
		t.Errorf("operator settings are enabled by default: %+v", c.Operator)
	}
	c, err = loadConfig(t, validConfig, "uwsgi:\n  listen: 127.0.0.1:3030\n  read_ms: 500\nstore: {listen: '127.0.0.1:0', dir: /tmp/x, peers: {n3: '127.0.0.1:1'}}\n", nil)
	if err != nil || c.Operator.UWSGI.ReadTimeoutMS != 500 || c.Operator.UWSGI.MaxBodyBytes != 64<<10 || c.Operator.Store.Dir != "/tmp/x" {
		t.Errorf("read %+v, %v", c, err)
	}
}

// The platform's RELAY_OPERATOR holds an address. It must not be read as the path of the operator's file.
func TestOperatorAddressVariableIsNotReadAsFilePath(t *testing.T) {
	c, err := loadConfig(t, validConfig, "", map[string]string{"RELAY_OPERATOR": "127.0.0.1:19000"})
	if err != nil || c.OperatorListen != "127.0.0.1:19000" {
		t.Errorf("read %+v, %v", c, err)
	}
}

func TestErrorsNameTheFaultyKey(t *testing.T) {
	for _, c := range []struct{ old, new, operator, want string }{
		{`"name":"n3",`, "", "", `"name" is missing`},
		{`"listen":"127.0.0.1:5050",`, "", "", `"listen" is missing`},
		{`"executor":"127.0.0.2:7300"`, `"executor":"x"`, "", `"executor" is not an address`},
		{`"name":"n3"`, `"name":"n3","operator":"x"`, "", `"operator" is not an address`},
		{`"executor":"127.0.0.2:7300",`, "", "", `"executor" is missing`},
		{`"seed":"8c`, `"seed":"zz`, "", `"seed" is not a hex`},
		{`"stop_ms":3200`, `"stop_ms":"soon"`, "", `"stop_ms" is not a number`},
		{`"memory_mb":192`, `"memory_mb":-1`, "", `"limits.memory_mb" must be`},
		{`"sockets":1024`, `"sockets":3`, "", `"limits.sockets" must be`},
		{`"aim":1700000000,`, "", "", `"aim" is missing`},
		{`"classes":[{"name":"book"`, `"classes":[{"name":"two words"`, "", `classes[0]: "name" is not one word`},
		{`"classes":[{"name":"book"`, `"classes":[{"name":"a\u000a"`, "", `classes[0]: "name" is not one word`},
		{`"classes":[{"name":"book"`, `"classes":[{"name":""`, "", `classes[0]: "name" is not one word`},
		{`"idempotency":"unsafe"`, `"idempotency":"maybe"`, "", `"idempotency" is not known`},
		{`"idempotency":"unsafe"`, `"idempotency":"keyed"`, "", `classes[0]: "keyTtl" is missing`},
		{`"idempotency":"unsafe"`, `"idempotency":"keyed","keyTtl":0`, "", `classes[0]: "keyTtl" must be above 0`},
		{`"nCores":6`, `"nCores":0`, "", `Cores must be`},
		{validConfig, "{", "", "malformed JSON"},
		{"", "", "uwsgi: {lisen: x}", "lisen"},
		{"", "", "uwsgi: {listen: x}", "uwsgi.listen"},
		{"", "", "uwsgi: {servers: [x]}", "uwsgi.servers[0]"},
		{"", "", "uwsgi: {listen: ':1', connections: 300}", "uwsgi.connections"},
		{"", "", "uwsgi: {kb: -1}", "uwsgi.kb"},
		{"", "", "uwsgi: {kb: .inf}", "uwsgi.kb must be above 0"},
		{"", "", "uwsgi: {read_ms: .inf}", "uwsgi.read_ms must be above 0"},
		{"", "", "relay: {listen: '127.0.0.1:1', name: r, copies: {a: '127.0.0.1:2'}, memory_mb: .inf}", "relay.memory_mb must be 0 or more"},
		{`"limits":{},"rules"`, `"limits":{},"clients":{"marksRetry":"yes"},"rules"`, "", `"marksRetry" is not`},
		{`"limits":{},"rules"`, `"limits":{},"clients":7,"rules"`, "", `"clients" is not`},
		{"", "", "store: {listen: ':1'}", "store.dir"},
		{"", "", "store: {listen: ':1', dir: x}", "store.peers is missing"},
		{"", "", "store: {listen: ':1', dir: x, compare_ms: .nan}", "store.compare_ms must be above 0"},
		{"", "", "store: {listen: ':1', dir: x, election_ms: 10}", "store.election_ms must be from 100 to 60000, not 10"},
		{"", "", "store: {listen: ':1', dir: x, election_ms: .nan}", "store.election_ms must be from 100 to 60000"},
		{"", "", "store: {listen: ':1', dir: x, peers: {b: y}}", "store.peers.b"},
		{"", "", "store: {listen: ':1', dir: x, peers: {a: 'a:1', b: 'b:1'}}", "store.peers names 2 replicas"},
		{"", "", "store: {listen: ':1', dir: x, id: b, peers: {a: 'a:1'}}", "store.peers: b, this replica's own id"},
		{"", "", "inventory: {group: g}", "inventory.path"},
	} {
		if _, err := loadConfig(t, strings.Replace(validConfig, c.old, c.new, 1), c.operator, nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s%s -> %s: %v, want %s", c.operator, c.old, c.new, err, c.want)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("no environment: %v", err)
	}
}

// A replacement configuration must have every key of the old one, in every class. It may have further keys and classes.
func TestReplacementMustHaveAllKeys(t *testing.T) {
	old, err := Parse([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{`"name":"book"`, `"name":"order","more":1`, ""},
		{`"classes":[`, `"classes":[{"name":"a","aim":1,"deadline":1,"worth":1,"idempotency":"safe"},`, ""},
		{`"seed":"8c1f30d27a5be964",`, "", `"seed"`},
		{`"members":"127.0.0.3:8761"`, `"members":null`, `"members"`},
		{`"memory_mb":192,`, "", `"limits.memory_mb"`},
		{`"freshFor":200000000`, `"fresh":1`, `"settings.extra.freshFor"`},
	} {
		replacement, err := Parse([]byte(strings.Replace(validConfig, c.old, c.new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if err := replacement.CheckReplaces(old); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s -> %s: %v, want %s", c.old, c.new, err, c.want)
		}
	}
}

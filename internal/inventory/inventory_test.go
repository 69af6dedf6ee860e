package inventory

import (
	"encoding/json"
	"strings"
	"testing"
)

const sampleYAML = `all:
  vars: {zone: tema, depot: main}
  hosts:
    edge: {}
  children:
    runners:
      vars: {ansible_port: 3031, zone: accra-east}
      hosts:
        r1: {ansible_host: 127.0.0.11}
        r2: {ansible_host: "::1", ansible_port: 3032, zone: accra-west}
      children:
        spare:
          hosts:
            r3.depot.example:
`

const sampleCSV = `name,address,port,groups,var_zone,var_depot
r2,::1,3032,runners,accra-west,main
edge,,,,tema,main
# a remark
r1,127.0.0.11,3031,runners,accra-east,main
r3.depot.example,,3031,spare; runners,accra-east,main
`

func TestYAMLAndCSVGiveEqualInventories(t *testing.T) {
	fromYAML, err := ParseYAML("i.yml", []byte(sampleYAML))
	if err != nil {
		t.Fatal(err)
	}
	fromCSV, err := ParseCSV("i.csv", []byte(sampleCSV))
	if err != nil {
		t.Fatal(err)
	}
	yamlJSON, _ := json.Marshal(fromYAML)
	csvJSON, _ := json.Marshal(fromCSV)
	if string(yamlJSON) != string(csvJSON) {
		t.Errorf("YAML %s\nCSV  %s", yamlJSON, csvJSON)
	}
	if runners := fromYAML.Group("runners"); len(runners) != 3 || runners[1].Endpoint(1) != "[::1]:3032" || runners[2].Endpoint(1) != "r3.depot.example:3031" {
		t.Errorf("runners: %+v", runners)
	}
	if len(fromYAML.Group("all")) != 4 || len(fromYAML.Group("spare")) != 1 || fromYAML.Hosts[0].Endpoint(7) != "edge:7" {
		t.Errorf("groups of %s", yamlJSON)
	}
}

func TestErrorsNameFileAndLine(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name,colour\nx,red\n", `i:1: unknown column "colour"`},
		{"name,name\n", `i:1: duplicate column "name"`},
		{"address\n", `i:1: no column "name"`},
		{"name,address\na,10.0.0.1\nb,10.0.0.2\na,10.0.0.3\n", `i:4: duplicate host "a", first in line 2`},
		{"name,address\na,10.0.0.300\n", `i:2: column "address": bad address "10.0.0.300"`},
		{"name,port\na,70000\n", `i:2: column "port": bad port "70000"`},
		{"name,port\na\n", "line 2"},
		{"", "no header"},
		{"all:\n  hosts:\n    a: {}\n    a: {}\n", `i:4: duplicate "a" in the hosts of group "all", first in line 3`},
		{"all:\n  hosts:\n    a: {ansible_host: 10.0.0.1}\n  children:\n    g:\n      hosts:\n        a: {ansible_host: 10.0.0.2}\n", `i:7: duplicate host "a"`},
		{"all:\n  host:\n    a: {}\n", `i:2: unknown key "host" in group "all"`},
		{"all:\n  hosts:\n    a: {ansible_host: 1.2.3}\n", `i:3: host "a": bad address "1.2.3"`},
		{"all:\n  hosts:\n    a: {ansible_port: x}\n", `i:3: host "a": bad port "x"`},
		{"all:\n  hosts: [a]\n", `i:2: the hosts of group "all" must be a mapping`},
		{"all:\n  children:\n    all: {}\n", `i:3: group "all" contains itself`},
		{"all: {\n", "i: yaml"},
	} {
		parse := ParseCSV
		if strings.HasPrefix(c.text, "all") {
			parse = ParseYAML
		}
		if _, err := parse("i", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %s", c.text, err, c.want)
		}
	}
}

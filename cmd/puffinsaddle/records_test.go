package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"puffinsaddle/internal/distribution"
)

// recordsCluster is three store replicas, a relay and an order server that follows the records, as processes.
type recordsCluster struct {
	t        *testing.T
	operator string // path of the operator's file with which commands reach the store replicas
	server   *serverProcess
}

// writeOperatorFile writes an operator's file and returns its path.
func writeOperatorFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startRecordsCluster starts the processes and waits until the order server watches the relay.
func startRecordsCluster(t *testing.T) *recordsCluster {
	t.Helper()
	const descriptors = 1024
	members := fakeMembers(t).LocalAddr().String()
	start := func(name, operator string) *serverProcess {
		c := newServerProcess(t)
		c.env = []string{"RELAY_NAME=" + name, "PUFFINSADDLE_OPERATOR=" + writeOperatorFile(t, operator)}
		c.writeConfig(startRunningExecutor(t, 0), members, descriptors)
		c.start(descriptors)
		return c
	}
	at := map[string]string{"c1": freePort(t), "c2": freePort(t), "c3": freePort(t)}
	copies := fmt.Sprintf("{c1: %q, c2: %q, c3: %q}", at["c1"], at["c2"], at["c3"])
	duties := "duties: {copies: " + copies + "}\n"
	for id, address := range at {
		start(id, fmt.Sprintf("%sstore: {id: %s, listen: %q, dir: %q, peers: %s}\n", duties, id, address, t.TempDir(), copies))
	}
	relay := newServerProcess(t)
	relayAt := freePort(t)
	relay.args = []string{"relay", "--operator", writeOperatorFile(t, fmt.Sprintf("relay: {name: r1, region: east, listen: %q, copies: %s, figures: %q}\n", relayAt, copies, relay.operator))}
	relay.start(descriptors)
	f := &recordsCluster{t: t, operator: writeOperatorFile(t, duties)}
	f.server = start("s1", fmt.Sprintf("distribution: {zone: z, relays: [{name: r1, address: %q, zone: z}]}\n", relayAt))
	f.server.waitUntil("the order server watches the relay", func() bool { return f.metrics().Watching == relayAt })
	return f
}

// reportedRecords is a part of the records section of an order server's metrics.
type reportedRecords struct {
	Revision uint64 `json:"revision"`
	Records  int    `json:"records"`
	Watching string `json:"watching"`
}

// metrics returns the records section of the order server's metrics, zero if it can't be read.
func (f *recordsCluster) metrics() (r reportedRecords) {
	answer, err := httpClient.Get("http://" + f.server.operator + "/-/metrics")
	if err != nil {
		return r
	}
	defer answer.Body.Close()
	var all struct {
		Records reportedRecords `json:"records"`
	}
	if answer.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(answer.Body, 1<<20)).Decode(&all) != nil {
		return r
	}
	return all.Records
}

// submitChange runs the command "config change" with a file that contains text.
func (f *recordsCluster) submitChange(text string) (status int, out, errs string) {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "change.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	var o, e bytes.Buffer
	status = runCommand([]string{"config", "change", "--operator", f.operator, "--file", path}, &o, &e)
	return status, strings.TrimSpace(o.String()), e.String()
}

// wantStatus waits until the command "config status" reports the revision as current in the only region.
func (f *recordsCluster) wantStatus(revision uint64) {
	f.t.Helper()
	f.server.waitUntil("the status reports the revision", func() bool {
		var out, errs bytes.Buffer
		if status := runCommand([]string{"config", "status", "--operator", f.operator, "--json"}, &out, &errs); status != exitOK {
			f.t.Fatalf("status %d: %s", status, errs.String())
		}
		var s distribution.Status
		if err := json.Unmarshal(out.Bytes(), &s); err != nil {
			f.t.Fatal(err)
		}
		if s.Revision != revision || len(s.Regions) != 1 || s.Regions[0].Region != "east" || s.Regions[0].ConnectedRelays != 1 {
			return false
		}
		r := s.Regions[0]
		return r.Servers == 1 && r.LowestRevision == revision && r.LowestServer == "s1" && r.ServersBehind == 0 && r.StalenessMS == 0
	})
	var out, errs bytes.Buffer
	if status := runCommand([]string{"config", "status", "--operator", f.operator}, &out, &errs); status != exitOK || !strings.Contains(out.String(), "east") {
		f.t.Errorf("status %d: %s %s", status, out.String(), errs.String())
	}
}

// An operator's change reaches an order server through a relay and is atomic: an invalid one is refused entirely, with its key
// and the reason, and the revision stays.
func TestOperatorChangesAreAtomic(t *testing.T) {
	f := startRecordsCluster(t)
	const first = `{"puts":[{"kind":"tenant","name":"t-1","value":{"share":0.5,"limit":10}},
		{"kind":"route","name":"svc-1/a","value":{"service":"svc-1","class":"book","group":"g","weight":1}},
		{"kind":"setting","name":"operator.yaml","text":"uwsgi: {servers: ['127.0.0.1:3031']}\n"}]}`
	const second = `{"base":1,"puts":[{"kind":"tenant","name":"t-1","value":{"share":0.4,"limit":10}}]}`
	for i, text := range []string{first, second} {
		if status, out, errs := f.submitChange(text); status != exitOK || out != fmt.Sprintf("revision %d", i+1) {
			t.Fatalf("change %d: status %d, %q %q", i+1, status, out, errs)
		}
	}
	f.server.waitUntil("the order server has both changes", func() bool { r := f.metrics(); return r.Revision == 2 && r.Records == 3 })
	f.wantStatus(2)
	tenant := `{"kind":"tenant","name":"t-2","value":{"share":0.1,"limit":1}}`
	for _, c := range []struct {
		text   string
		status int
		want   []string
	}{
		{`{"puts":[` + tenant + `,{"kind":"tenant","name":"t-3","value":{"share":2,"limit":1}}]}`, exitFailure, []string{"tenant/t-3", "share must be from 0 to 1"}},
		{`{"puts":[` + tenant + `,{"kind":"route","name":"svc-2/a","value":{"service":"svc-2","class":"book","group":"g"}}]}`, exitFailure, []string{"route/svc-2/a", "weight must be above 0"}},
		{`{"puts":[` + tenant + `,{"kind":"setting","name":"operator.yaml","text":"store: {listen: ':1'}\n"}]}`, exitFailure, []string{"setting/operator.yaml", "rejected by the check"}},
		{`{"puts":[` + tenant + `,{"kind":"setting","name":"motd","text":"x"}]}`, exitFailure, []string{"setting/motd", "there are the settings"}},
		{`{"base":1,"puts":[` + tenant + `,{"kind":"tenant","name":"t-1","value":{"share":0.3,"limit":10}}]}`, exitFailure, []string{"tenant/t-1", "changed since the revision", "rests on 1"}},
		{`{"base":7,"puts":[` + tenant + `]}`, exitFailure, []string{"ahead of what is agreed on"}},
		{`{"puts":[` + tenant + `,{"kind":"host","name":"h","value":1}]}`, exitUsage, []string{"puts[1]", `unknown kind of record "host"`}},
		{`{"deletes":[{"kind":"","name":"h"}]}`, exitUsage, []string{"deletes[0]", `unknown kind of record ""`}},
		{`{"puts":[` + tenant + `,` + tenant + `]}`, exitUsage, []string{"tenant/t-2", "twice"}},
		{`{"puts":[{"kind":"tenant","name":"t-2","value":"` + strings.Repeat("x", 1100) + `"}]}`, exitUsage, []string{"tenant/t-2", "too large"}},
		{`{"puts":[{"kind":"tenant","name":"t-2"}]}`, exitUsage, []string{"puts[0]", "needs either value or text"}},
		{`{"puts":[],"extra":1}`, exitUsage, []string{"extra"}},
		{`{}`, exitUsage, []string{"a change without keys"}},
	} {
		status, out, errs := f.submitChange(c.text)
		if status != c.status || out != "" {
			t.Errorf("%.200s: status %d, %q", c.text, status, out)
		}
		for _, word := range c.want {
			if !strings.Contains(errs, word) {
				t.Errorf("%.200s: got %q, want %q", c.text, errs, word)
			}
		}
	}
	if status, out, errs := f.submitChange(`{"deletes":[{"kind":"route","name":"svc-1/a"}]}`); status != exitOK || out != "revision 3" {
		t.Errorf("status %d, %q %q", status, out, errs)
	}
	f.server.waitUntil("the order server has the third change", func() bool { r := f.metrics(); return r.Revision == 3 && r.Records == 2 })
	time.Sleep(settleTime)
	if r := f.metrics(); r.Revision != 3 || r.Records != 2 {
		t.Errorf("the server has %+v although nothing was changed", r)
	}
}

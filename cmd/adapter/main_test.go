package main

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"puffinsaddle/policy"
)

const enlistLine = `{"simTime":1000,"parts":[{"i":"a-1","events":[{"enlist":{"prng":7,"settings":{"new key":[1],` +
	`"classes":[{"aim":1800000000,"deadline":4500000000,"idempotency":"safe","keyTtl":5000000000,"lateValue":0.0,"name":"read","worth":1.0},` +
	`{"aim":1800000000,"deadline":4500000000,"idempotency":"keyed","keyTtl":13413000000,"lateValue":0.0,"name":"post","worth":10.0}],` +
	`"clients":{"marksRetry":true},"extra":{"callers":3,"callsByClass":[true,false],"callsOut":0.0,"classSkipWorth":[0.3,0.0],` +
	`"downstream":"tier","entryKb":64.81,"freshFor":0,"gauges":["cpu_busy","runnable","mem_used","sockets"],"halt":"none",` +
	`"heapKb":17142.0,"justStarted":false,"nCores":6,"passesDeadline":true,"runMemFactor":4.0,"say":"none"},` +
	`"limits":{"maxRetryAfter":1000000000,"retryAfter":true},"overShareWorth":0.05,` +
	`"rules":{"answerSlack":100000000,"cold":17000000000,"coldShare":0.21,"drainGrace":2000000000,"fall":1500000000,"fallMultiple":8.0},` +
	`"servers":12,"tenants":[{"name":"t","quotaPerS":50.0,"share":0.4}],"tick":4000000,"tier":0,"valueBy":"request"}}}]}]}` + "\n"

const requestLine = `{"simTime":2000,"parts":[{"i":"a-1","events":[{"req":{"rid":5,"priority":"post","effort":null,"backlogTime":1,` +
	`"place":0.6,"original":null,"isWrite":true,"resource":null,"project":"t","left":2400000000,"originPeer":17,"kb":24.5,` +
	`"resent":false,"some new key":{"x":1}}}]}]}` + "\n"

func runAdapter(t *testing.T, in string) (string, string, error) {
	t.Helper()
	var out, log bytes.Buffer
	err := run(strings.NewReader(in), &out, &log)
	return out.String(), log.String(), err
}

func TestEachBatchGetsOneReplyLine(t *testing.T) {
	out, _, err := runAdapter(t, `{"simTime":1,"parts":[]}`+"\n"+enlistLine+requestLine)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out, "\n")
	if len(lines) != 4 || lines[0] != `{"parts":[]}` {
		t.Fatalf("%d lines: %q", len(lines), out)
	}
	for _, want := range []string{`{"i":"a-1","output":[`, `{"storeKey":{"rid":5,"span":`, `{"begin":{"rid":5}}`} {
		if !strings.Contains(lines[2], want) {
			t.Errorf("%q lacks %q", lines[2], want)
		}
	}
}

func TestExitThenEnlistInOneBatchResetsInstance(t *testing.T) {
	both := strings.Replace(enlistLine, `"events":[`, `"events":[{"exit":{}},`, 1)
	out, _, err := runAdapter(t, enlistLine+requestLine+both+requestLine)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(out, `{"begin":{"rid":5}}`); got != 2 {
		t.Errorf("a new instance must keep nothing of the old one: %d starts in %q", got, out)
	}
}

// largeFleetEnlistLine returns a line that enlists a server with few cores in a large fleet, with an idle timeout.
func largeFleetEnlistLine() string {
	return strings.NewReplacer(`"callers":3`, `"callers":950,"idle":25000000000,"heardFor":1000000000`, `"nCores":6`, `"nCores":2`,
		`"runMemFactor":4.0`, `"runMemFactor":15.0`, `"say":"none"`, `"say":"level"`, `"servers":12`, `"servers":280`).Replace(enlistLine)
}

func TestIdleTimeoutIsPassedOn(t *testing.T) {
	tick := `{"simTime":600002000,"parts":[{"i":"a-1","events":[{"tickDue":{"ref":1,"metrics":[0.5,1,0.1,40]}}]}]}` + "\n"
	out, _, err := runAdapter(t, largeFleetEnlistLine()+requestLine+tick)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out, `{"idle":{"span":`) {
		t.Errorf("no idle timeout in %q", out)
	}
	if out, _, _ = runAdapter(t, enlistLine+requestLine+tick); strings.Contains(out, `{"idle":{"span":`) {
		t.Errorf("an idle timeout where that of the callers is not set: %q", out)
	}
}

func TestUnknownEventIsSkipped(t *testing.T) {
	unknownEvent := `{"simTime":2000,"parts":[{"i":"a-1","events":[{"novelty":{"x":1}}]}]}` + "\n"
	_, log, err := runAdapter(t, enlistLine+unknownEvent)
	if err != nil || !strings.Contains(log, `"novelty"`) {
		t.Errorf("error %v, log %q", err, log)
	}
}

func TestErrorsNameTheMalformedInput(t *testing.T) {
	part := func(event string) string {
		return enlistLine + `{"simTime":2000,"parts":[{"i":"a-1","events":[` + event + `]}]}` + "\n"
	}
	for want, in := range map[string]string{
		"malformed JSON":                  `{"simTime":1,"parts":[`,
		`"simTime" is missing`:            `{"parts":[]}`,
		`"parts" is not an array`:         `{"simTime":1,"parts":3}`,
		`"simTime" is not a whole number`: `{"simTime":"x","parts":[]}`,
		"not enlisted":                    requestLine,
		`"rid" is missing`:                part(`{"req":{"priority":"post"}}`),
		`"rid" is not a request id`:       part(`{"lapsed":{"rid":-4}}`),
		`"code" is missing`:               part(`{"done":{"rid":4}}`),
		`"code" is not an outcome`:        part(`{"done":{"rid":4,"code":9}}`),
		`"left" is missing`:               part(`{"retireSoon":{}}`),
		`"kb" is not a number`:            part(`{"req":{"rid":4,"priority":"post","kb":"x"}}`),
		"one key":                         part(`{"done":{},"req":{}}`),
		`"classes" is missing`:            strings.Replace(enlistLine, `"classes"`, `"glasses"`, 1),
		`"idempotency" is not known`:      strings.Replace(enlistLine, `"keyed"`, `"maybe"`, 1),
		"Cores must be":                   strings.Replace(enlistLine, `"nCores":6`, `"nCores":0`, 1),
	} {
		_, _, err := runAdapter(t, in)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("more than one line: %v", err)
		}
	}
}

func TestLineLongerThanReadBuffer(t *testing.T) {
	long := strings.Replace(requestLine, `"x":1`, `"x":"`+strings.Repeat("y", 200000)+`"`, 1)
	out, _, err := runAdapter(t, enlistLine+long+`{"simTime":3000,"parts":[]}`)
	if err != nil || strings.Count(out, "\n") != 3 {
		t.Errorf("error %v, %q", err, out)
	}
}

func TestEveryActionHasAWireForm(t *testing.T) {
	for want, a := range map[string]policy.Action{
		`{"begin":{"rid":1}}`:                           policy.Start{ID: 1},
		`{"replay":{"rid":1}}`:                          policy.ShareResult{ID: 1},
		`{"sayNo":{"rid":1}}`:                           policy.Refuse{ID: 1},
		`{"sayNo":{"rid":1,"pause":5,"noRetry":true}}`:  policy.Refuse{ID: 1, RetryAfter: 5, NoRetry: true},
		`{"error":{"rid":1}}`:                           policy.Fail{ID: 1},
		`{"storeKey":{"rid":1,"span":9}}`:               policy.StoreKey{ID: 1, TTL: 9},
		`{"erase":{"rid":1}}`:                           policy.DeleteKey{ID: 1},
		`{"askBelow":{"rid":1,"maxWait":9}}`:            policy.MakeCall{ID: 1, MaxWait: 9},
		`{"doWithout":{"rid":1}}`:                       policy.SkipCall{ID: 1},
		`{"fitness":{"shallow":true,"on":false}}`:       policy.Health{Shallow: true},
		`{"hintOut":{"x":0.25}}`:                        policy.SetHint{Value: 0.25},
		`{"idle":{"span":10}}`:                          policy.CloseIdle{After: 10},
		`{"timer":{"at":8,"ref":18446744073709551615}}`: policy.SetTimer{At: 8, Token: 1<<64 - 1},
		`{"noteDown":{"line":"a \"b\""}}`:               policy.LogLine{Text: `a "b"`},
	} {
		if got := string(appendAction(nil, a)); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// sharedDownstreamEnlistLine returns a line that enlists a server whose downstream is shared by all servers, with
// credit hints and work that can be paused.
func sharedDownstreamEnlistLine() string {
	return strings.NewReplacer(`"downstream":"tier"`, `"downstream":"shared","callsOver":5000000000,"linger":200000000`,
		`"callsOut":0.0`, `"callsOut":0.05`, `[0.3,0.0]`, `[0.0,0.0]`, `"halt":"none"`, `"halt":"pause"`,
		`"say":"none"`, `"say":"credit"`, `[true,false]`, `[true,true]`).Replace(enlistLine)
}

func TestDownstreamShareLimitsCalls(t *testing.T) {
	call := func(id string) string {
		return strings.Replace(requestLine, `"rid":5`, `"rid":`+id, 1) +
			`{"simTime":3000,"parts":[{"i":"a-1","events":[{"stalledOnCall":{"rid":` + id + `}}]}]}` + "\n"
	}
	var input string
	for _, id := range []string{"5", "6", "7", "8", "9", "10", "11", "12"} {
		input += call(id)
	}
	for _, c := range []struct {
		enlistedBy string
		all        bool
	}{{sharedDownstreamEnlistLine(), false}, {enlistLine, true}} {
		out, _, err := runAdapter(t, c.enlistedBy+input)
		if err != nil {
			t.Fatal(err)
		}
		runs, calls := strings.Count(out, "begin"), strings.Count(out, "askBelow")
		if calls != runs || runs == 0 || (runs == 8) != c.all {
			t.Errorf("all of 8 requests must start: %v; got %d calls for %d runs", c.all, calls, runs)
		}
	}
	if _, _, err := runAdapter(t, strings.Replace(enlistLine, `"halt":"none"`, `"halt":"maybe"`, 1)); err == nil {
		t.Error("an unknown halt is not an error")
	}
}

func FuzzBatch(f *testing.F) {
	f.Add([]byte(enlistLine), []byte(requestLine))
	f.Add([]byte(largeFleetEnlistLine()), []byte(requestLine))
	f.Add([]byte(sharedDownstreamEnlistLine()), []byte(requestLine))
	f.Add([]byte(enlistLine), []byte(`{"simTime":3,"parts":[{"i":"a-1","events":[{"tickDue":{"ref":1,"metrics":[0.5,3,0.1,9]}},{"done":{"rid":5,"code":0,"spent":1}}]}]}`))
	f.Add([]byte(enlistLine), []byte(`{"simTime":3,"parts":[{"i":"a-1","events":[{"retireSoon":{"left":0}},{"lapsed":{"rid":5}},{"exit":{}}]}]}`))
	f.Add([]byte(`{"simTime":1,"parts":[]}`), []byte(`{`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		ad := newAdapter(io.Discard)
		if _, err := ad.handleBatch(a); err != nil {
			return
		}
		reply, err := ad.handleBatch(b)
		if err == nil && (len(reply) == 0 || reply[len(reply)-1] != '\n') {
			t.Errorf("no reply line to %q", b)
		}
	})
}

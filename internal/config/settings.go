package config

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/valyala/fastjson"

	"puffinsaddle/policy"
)

// ParseSettings maps the settings of one start, as the simulator and the platform hand them out.
func ParseSettings(f, parent *Fields) policy.Settings {
	extra, rules, limits := f.Object("extra"), f.Object("rules"), f.Object("limits")
	f.Require("classes")
	s := policy.Settings{
		Servers: int(f.Integer("servers")), Callers: int(extra.Integer("callers")), Cores: int(extra.Integer("nCores")),
		MemoryKB: extra.Number("heapKb"), EntryKB: extra.Number("entryKb"), RunMemoryFactor: extra.Number("runMemFactor"),
		SharedResultTTL: extra.Duration("freshFor"), JustStarted: extra.Bool("justStarted"), WarmupPeriod: rules.Duration("cold"),
		ColdSpeedShare: rules.Number("coldShare"), MaxRunningPerCore: rules.Number("fallMultiple"), MaxRunningPeriod: rules.Duration("fall"),
		AnswerSlack: rules.Duration("answerSlack"), DrainGrace: rules.Duration("drainGrace"), Tick: f.Duration("tick"),
		PassesDeadline: extra.Bool("passesDeadline"), DownstreamShare: extra.Number("callsOut"), CallPeriod: extra.Duration("callsOver"), AbandonedCallTime: extra.Duration("linger"), HintTTL: extra.Duration("heardFor"), IdleTimeout: extra.Duration("idle"),
		OverShareWorth: f.Number("overShareWorth"), WorthByWork: f.Text("valueBy") == "work",
		BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnectionGauge: -1,
	}
	downstream := extra.Text("downstream")
	s.HasDownstream = downstream != "" && downstream != "none"
	if limits.Bool("retryAfter") {
		s.MaxRetryAfter = limits.Duration("maxRetryAfter")
	}
	if c := f.Get("clients"); c != nil {
		s.MarksRetry = f.Object("clients").Bool("marksRetry")
	}
	switch extra.Text("halt") { // work is never stopped, but a word that nobody knows is a fault
	case "", "none", "drop", "pause":
	default:
		extra.Fail("halt", "is not known")
	}
	switch hint := extra.Text("say"); hint {
	case "", "none":
	case "level":
		s.Hint = policy.HintLevel
	case "credit":
		s.Hint = policy.HintCredit
	case "weight":
		s.Hint = policy.HintWeight
	default:
		extra.Fail("say", "is not known")
	}
	for i, v := range extra.List("gauges") {
		b, _ := v.StringBytes()
		switch string(b) {
		case "cpu_busy":
			s.BusyGauge = i
		case "runnable":
			s.RunnableGauge = i
		case "mem_used":
			s.MemoryGauge = i
		case "sockets":
			s.ConnectionGauge = i
		}
	}
	makesCalls, skipWorths := extra.List("callsByClass"), extra.List("classSkipWorth")
	for i, v := range f.List("classes") {
		c := &Fields{Value: v, Name: fmt.Sprintf("%s.classes[%d]", f.Name, i)}
		s.Classes = append(s.Classes, parseClass(c, i, makesCalls, skipWorths))
		if f.Err == nil {
			f.Err = c.Err
		}
	}
	for i, v := range f.List("tenants") {
		t := &Fields{Value: v, Name: fmt.Sprintf("%s.tenants[%d]", f.Name, i)}
		t.Require("name")
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Text("name"), Quota: t.Number("quotaPerS"), Share: t.Number("share")})
		if f.Err == nil {
			f.Err = t.Err
		}
	}
	for _, g := range []*Fields{f, extra, rules, limits} {
		if parent.Err == nil {
			parent.Err = g.Err
		}
	}
	return s
}

func parseClass(c *Fields, i int, makesCalls, skipWorths []*fastjson.Value) policy.Class {
	for _, key := range []string{"name", "aim", "deadline", "worth", "idempotency"} {
		c.Require(key)
	}
	k := policy.Class{Name: c.Text("name"), Aim: c.Duration("aim"), AimStretch: c.Number("aimStretch"), Deadline: c.Duration("deadline"),
		Worth: c.Number("worth"), LateValue: c.Number("lateValue"), KeyTTL: c.Duration("keyTtl")}
	// The executor's lines are of words: a name with a space or an end of line would be other words there.
	if k.Name == "" || strings.ContainsFunc(k.Name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }) {
		c.Fail("name", "is not one word")
	}
	switch c.Text("idempotency") {
	case "safe":
	case "keyed":
		k.Safety = policy.Keyed
		if c.Require("keyTtl"); k.KeyTTL <= 0 {
			c.Fail("keyTtl", "must be above 0 where tries are tied by a key")
		}
	case "unsafe":
		k.Safety = policy.Unsafe
	default:
		c.Fail("idempotency", "is not known")
	}
	if i < len(makesCalls) {
		k.Calls = makesCalls[i].Type() == fastjson.TypeTrue
	}
	if i < len(skipWorths) {
		k.SkipWorth, _ = skipWorths[i].Float64()
	}
	return k
}

package config

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/valyala/fastjson"

	"puffinsaddle/policy"
)

// ParseSettings converts the settings object f of the simulator or the platform. The first error is recorded in top.
func ParseSettings(f, parent *Fields) policy.Settings {
	extra, rules, limits := f.Object("extra"), f.Object("rules"), f.Object("limits")
	f.Require("classes")
	s := policy.Settings{
		Servers: int(f.Integer("servers")), Callers: int(extra.Integer("callers")), Cores: int(extra.Integer("nCores")),
		MemoryKB: extra.Number("heapKb"), EntryKB: extra.Number("entryKb"), RunMemoryFactor: extra.Number("runMemFactor"),
		SharedResultTTL: extra.Duration("freshFor"), JustStarted: extra.Bool("justStarted"), WarmupPeriod: rules.Duration("cold"),
		ColdSpeedShare: rules.Number("coldShare"), MaxRunningPerCore: rules.Number("fallMultiple"), MaxRunningPeriod: rules.Duration("fall"),
		AnswerSlack: rules.Duration("answerSlack"), DrainGrace: rules.Duration("drainGrace"), Tick: f.Duration("tick"),
		PassesDeadline: extra.Bool("passesDeadline"), DownstreamShare: extra.Number("callsOut"), CallPeriod: extra.Duration("callsOver"),
		AbandonedCallTime: extra.Duration("linger"), HintTTL: extra.Duration("heardFor"), IdleTimeout: extra.Duration("idle"),
		OverShareWorth: f.Number("overShareWorth"), WorthByWork: f.Text("valueBy") == "work",
		BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnectionGauge: -1,
	}
	downstream := extra.Text("downstream")
	s.HasDownstream = downstream != "" && downstream != "none"
	if limits.Bool("retryAfter") {
		s.MaxRetryAfter = limits.Duration("maxRetryAfter")
	}
	clients := &Fields{} // optional
	if f.Get("clients") != nil {
		clients = f.Object("clients")
		s.MarksRetry = clients.Bool("marksRetry")
	}
	switch extra.Text("halt") { // running requests are never stopped, but an unknown value is an error
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
	for _, g := range []*Fields{f, extra, rules, limits, clients} {
		if parent.Err == nil {
			parent.Err = g.Err
		}
	}
	return s
}

func parseClass(fields *Fields, i int, makesCalls, skipWorths []*fastjson.Value) policy.Class {
	for _, key := range []string{"name", "aim", "deadline", "worth", "idempotency"} {
		fields.Require(key)
	}
	class := policy.Class{Name: fields.Text("name"), Aim: fields.Duration("aim"), AimStretch: fields.Number("aimStretch"),
		Deadline: fields.Duration("deadline"), Worth: fields.Number("worth"), LateValue: fields.Number("lateValue"), KeyTTL: fields.Duration("keyTtl")}
	// The executor's protocol consists of lines of words, so white space in a name would change the meaning of a line.
	if class.Name == "" || strings.ContainsFunc(class.Name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }) {
		fields.Fail("name", "is not one word")
	}
	switch fields.Text("idempotency") {
	case "safe":
	case "keyed":
		class.Safety = policy.Keyed
		if fields.Require("keyTtl"); class.KeyTTL <= 0 {
			fields.Fail("keyTtl", "must be above 0 where idempotency is keyed")
		}
	case "unsafe":
		class.Safety = policy.Unsafe
	default:
		fields.Fail("idempotency", "is not known")
	}
	if i < len(makesCalls) {
		class.Calls = makesCalls[i].Type() == fastjson.TypeTrue
	}
	if i < len(skipWorths) {
		class.SkipWorth, _ = skipWorths[i].Float64()
	}
	return class
}

package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"puffinsaddle/policy"
)

// link maps the wire to instances of the module and back.
type link struct {
	parser    fastjson.Parser
	instances map[string]*policy.Instance
	events    []policy.Event
	buf       []byte
	log       io.Writer
	unknown   map[string]bool // unknown events already reported
}

func newLink(log io.Writer) *link {
	return &link{instances: map[string]*policy.Instance{}, log: log, unknown: map[string]bool{}}
}

// fields reads the members of one object and keeps the first fault.
type fields struct {
	v    *fastjson.Value
	what string
	err  error
}

func (f *fields) fail(key, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %q %s", f.what, key, why)
	}
}

// get returns a member, or nil where it is absent or null.
func (f *fields) get(key string) *fastjson.Value {
	v := f.v.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (f *fields) need(key string) {
	if f.get(key) == nil {
		f.fail(key, "is missing")
	}
}

func (f *fields) integer(key string) int64 {
	v := f.get(key)
	if v == nil {
		return 0
	}
	n, err := v.Int64()
	if err != nil {
		f.fail(key, "is not a whole number")
	}
	return n
}

func (f *fields) number(key string) float64 {
	v := f.get(key)
	if v == nil {
		return 0
	}
	n, err := v.Float64()
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail(key, "is not a number")
	}
	return n
}

func (f *fields) span(key string) time.Duration { return time.Duration(f.integer(key)) }

// text takes a string; the number 0 stands for none.
func (f *fields) text(key string) string {
	v := f.get(key)
	if v == nil {
		return ""
	}
	if n, err := v.Int64(); err == nil && n == 0 {
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		f.fail(key, "is not text")
	}
	return string(b)
}

func (f *fields) flag(key string) bool {
	v := f.get(key)
	if v == nil {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		f.fail(key, "is not true or false")
	}
	return b
}

func (f *fields) id(key string) policy.ID {
	n := f.integer(key)
	if n < 0 || n > math.MaxUint32 {
		f.fail(key, "is not a request id")
	}
	return policy.ID(n)
}

func (f *fields) list(key string) []*fastjson.Value {
	v := f.get(key)
	if v == nil {
		return nil
	}
	a, err := v.Array()
	if err != nil {
		f.fail(key, "is not an array")
	}
	return a
}

func (f *fields) object(key string) *fields {
	v := f.get(key)
	if v == nil {
		f.fail(key, "is missing")
		v = fastjson.MustParse("{}")
	} else if v.Type() != fastjson.TypeObject {
		f.fail(key, "is not an object")
	}
	return &fields{v: v, what: f.what + "." + key}
}

// batch decides on one line of events and returns the line of the reply.
func (l *link) batch(line []byte) ([]byte, error) {
	if err := fastjson.ValidateBytes(line); err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	v, err := l.parser.ParseBytes(line)
	if err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, errors.New("a batch must be an object")
	}
	f := &fields{v: v, what: "batch"}
	f.need("simTime")
	f.need("parts")
	now := f.span("simTime")
	parts := f.list("parts")
	if f.err != nil {
		return nil, f.err
	}
	l.buf = append(l.buf[:0], `{"parts":[`...)
	first := true
	for _, p := range parts {
		if p.Type() != fastjson.TypeObject {
			return nil, errors.New("batch: a part is not an object")
		}
		if first, err = l.part(now, &fields{v: p, what: "part"}, first); err != nil {
			return nil, err
		}
	}
	l.buf = append(l.buf, "]}\n"...)
	return l.buf, nil
}

func (l *link) part(now time.Duration, f *fields, first bool) (bool, error) {
	f.need("i")
	f.need("events")
	name := f.text("i")
	events := f.list("events")
	if f.err != nil {
		return first, f.err
	}
	l.events = l.events[:0]
	known := false
	for _, v := range events {
		o, err := v.Object()
		if err != nil || o.Len() != 1 {
			return first, fmt.Errorf("%s: an event is not an object with one key", name)
		}
		var kind string
		var body *fastjson.Value
		o.Visit(func(k []byte, v *fastjson.Value) { kind, body = string(k), v })
		if body.Type() != fastjson.TypeObject {
			return first, fmt.Errorf("%s: %s is not an object", name, kind)
		}
		e := &fields{v: body, what: kind}
		switch kind {
		case "enlist":
			e.need("prng")
			seed := e.seed("prng")
			set := settings(e.object("settings"), e)
			if e.err != nil {
				return first, e.err
			}
			n, err := policy.New(set, seed)
			if err != nil {
				return first, fmt.Errorf("enlist: %w", err)
			}
			l.instances[name] = n
			l.events = l.events[:0]
			known = true
			continue
		case "exit":
			delete(l.instances, name)
			l.events = l.events[:0]
			known = true
			continue
		}
		if l.instances[name] == nil {
			return first, fmt.Errorf("%s: %s for an instance that was not enlisted", name, kind)
		}
		known = true
		ev := l.event(kind, e)
		if e.err != nil {
			return first, e.err
		}
		if ev != nil {
			l.events = append(l.events, ev)
		}
	}
	n := l.instances[name]
	if n == nil || !known {
		return first, nil
	}
	actions := n.Handle(now, l.events)
	if len(actions) == 0 {
		return first, nil
	}
	if !first {
		l.buf = append(l.buf, ',')
	}
	l.buf = append(l.buf, `{"i":`...)
	l.buf = appendText(l.buf, name)
	l.buf = append(l.buf, `,"output":[`...)
	for i, a := range actions {
		if i > 0 {
			l.buf = append(l.buf, ',')
		}
		l.buf = appendAction(l.buf, a)
	}
	l.buf = append(l.buf, "]}"...)
	return false, nil
}

// seed takes any whole number, of either sign.
func (f *fields) seed(key string) uint64 {
	v := f.get(key)
	if v == nil {
		return 0
	}
	if n, err := v.Uint64(); err == nil {
		return n
	}
	return uint64(f.integer(key))
}

func (f *fields) outcome(key string) policy.Outcome {
	f.need(key)
	n := f.integer(key)
	if n < 0 || n >= int64(len(outcomes)) {
		f.fail(key, "is not an outcome")
		return policy.Failed
	}
	return outcomes[n]
}

var outcomes = [...]policy.Outcome{policy.OK, policy.Failed, policy.Full, policy.TimedOut,
	policy.Unreached, policy.CutOff, policy.Cancelled, policy.Moot}

// event maps one event; nil stands for one that this wire's text does not know.
func (l *link) event(kind string, f *fields) policy.Event {
	switch kind {
	case "req":
		f.need("rid")
		f.need("priority")
		original := f.id("original")
		return policy.Arrived{ID: f.id("rid"), Class: f.text("priority"), Tenant: f.text("project"),
			Caller: f.integer("originPeer"), Size: f.span("effort"), Waited: f.span("backlogTime"), Left: f.span("left"),
			KB: f.number("kb"), Rank: f.number("place"), Key: f.text("resource"), Write: f.flag("isWrite"),
			Resent: f.flag("resent"), Original: original, Repeats: original != 0}
	case "done":
		f.need("rid")
		return policy.Finished{ID: f.id("rid"), Outcome: f.outcome("code"), Took: f.span("spent")}
	case "returned":
		f.need("rid")
		return policy.CallReturned{ID: f.id("rid"), Outcome: f.outcome("code"), Took: f.span("spent")}
	case "lapsed":
		f.need("rid")
		return policy.CallerGone{ID: f.id("rid")}
	case "stalledOnCall":
		f.need("rid")
		return policy.CallNeeded{ID: f.id("rid")}
	case "retireSoon":
		f.need("left")
		return policy.DrainNotice{Left: f.span("left")}
	case "tickDue":
		f.need("ref")
		var gauges []float64
		for _, v := range f.list("metrics") {
			x, err := v.Float64()
			if err != nil {
				x = -1 // a gauge that is not told
			}
			gauges = append(gauges, x)
		}
		return policy.Woke{Token: f.seed("ref"), Gauges: gauges}
	}
	if !l.unknown[kind] && len(l.unknown) < 100 {
		l.unknown[kind] = true
		fmt.Fprintf(l.log, "adapter: unknown event %q is skipped\n", kind)
	}
	return nil
}

// settings maps the settings of one start.
func settings(f, top *fields) policy.Settings {
	x, rules, limits := f.object("extra"), f.object("rules"), f.object("limits")
	f.need("classes")
	s := policy.Settings{
		Servers: int(f.integer("servers")), Callers: int(x.integer("callers")), Cores: int(x.integer("nCores")),
		MemoryKB: x.number("heapKb"), EntryKB: x.number("entryKb"), RunFactor: x.number("runMemFactor"),
		FreshFor: x.span("freshFor"), JustStarted: x.flag("justStarted"), Cold: rules.span("cold"),
		ColdShare: rules.number("coldShare"), FallMultiple: rules.number("fallMultiple"), FallSpan: rules.span("fall"),
		AnswerSlack: rules.span("answerSlack"), DrainGrace: rules.span("drainGrace"), Tick: f.span("tick"),
		PassesDeadline: x.flag("passesDeadline"), BelowShare: x.number("callsOut"), CallSpan: x.span("callsOver"), Linger: x.span("linger"), HintFor: x.span("heardFor"), Idle: x.span("idle"),
		OverShareWorth: f.number("overShareWorth"), WorthByWork: f.text("valueBy") == "work",
		BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnGauge: -1,
	}
	below := x.text("downstream")
	s.Below = below != "" && below != "none"
	if limits.flag("retryAfter") {
		s.MaxPause = limits.span("maxRetryAfter")
	}
	if c := f.get("clients"); c != nil {
		s.MarksRetry = f.object("clients").flag("marksRetry")
	}
	switch x.text("halt") { // work is never stopped, but a word that nobody knows is a fault
	case "", "none", "drop", "pause":
	default:
		x.fail("halt", "is not known")
	}
	switch say := x.text("say"); say {
	case "", "none":
	case "level":
		s.Hint = policy.HintLevel
	case "credit":
		s.Hint = policy.HintCredit
	case "weight":
		s.Hint = policy.HintWeight
	default:
		x.fail("say", "is not known")
	}
	for i, v := range x.list("gauges") {
		b, _ := v.StringBytes()
		switch string(b) {
		case "cpu_busy":
			s.BusyGauge = i
		case "runnable":
			s.RunnableGauge = i
		case "mem_used":
			s.MemoryGauge = i
		case "sockets":
			s.ConnGauge = i
		}
	}
	calls, skips := x.list("callsByClass"), x.list("classSkipWorth")
	for i, v := range f.list("classes") {
		c := &fields{v: v, what: fmt.Sprintf("%s.classes[%d]", f.what, i)}
		s.Classes = append(s.Classes, class(c, i, calls, skips))
		if f.err == nil {
			f.err = c.err
		}
	}
	for i, v := range f.list("tenants") {
		t := &fields{v: v, what: fmt.Sprintf("%s.tenants[%d]", f.what, i)}
		t.need("name")
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.text("name"), Quota: t.number("quotaPerS"), Share: t.number("share")})
		if f.err == nil {
			f.err = t.err
		}
	}
	for _, g := range []*fields{f, x, rules, limits} {
		if top.err == nil {
			top.err = g.err
		}
	}
	return s
}

func class(c *fields, i int, calls, skips []*fastjson.Value) policy.Class {
	for _, key := range []string{"name", "aim", "deadline", "worth", "idempotency"} {
		c.need(key)
	}
	k := policy.Class{Name: c.text("name"), Aim: c.span("aim"), AimStretch: c.number("aimStretch"), Deadline: c.span("deadline"),
		Worth: c.number("worth"), LateValue: c.number("lateValue"), KeyTTL: c.span("keyTtl")}
	switch c.text("idempotency") {
	case "safe":
	case "keyed":
		k.Safety = policy.Keyed
	case "unsafe":
		k.Safety = policy.Unsafe
	default:
		c.fail("idempotency", "is not known")
	}
	if i < len(calls) {
		k.Calls = calls[i].Type() == fastjson.TypeTrue
	}
	if i < len(skips) {
		k.SkipWorth, _ = skips[i].Float64()
	}
	return k
}

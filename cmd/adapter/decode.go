package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fastjson"

	"puffinsaddle/internal/config"
	"puffinsaddle/policy"
)

// adapter maps the wire to instances of the module and back.
type adapter struct {
	parser       fastjson.Parser
	instances    map[string]*policy.Instance
	events       []policy.Event
	buf          []byte
	log          io.Writer
	unknownKinds map[string]bool // unknown events already reported
}

func newAdapter(log io.Writer) *adapter {
	return &adapter{instances: map[string]*policy.Instance{}, log: log, unknownKinds: map[string]bool{}}
}

// handleBatch decides on one line of events and returns the line of the reply.
func (l *adapter) handleBatch(line []byte) ([]byte, error) {
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
	f := &config.Fields{Value: v, Name: "batch"}
	f.Require("simTime")
	f.Require("parts")
	now := f.Duration("simTime")
	parts := f.List("parts")
	if f.Err != nil {
		return nil, f.Err
	}
	l.buf = append(l.buf[:0], `{"parts":[`...)
	first := true
	for _, p := range parts {
		if p.Type() != fastjson.TypeObject {
			return nil, errors.New("batch: a part is not an object")
		}
		if first, err = l.handlePart(now, &config.Fields{Value: p, Name: "part"}, first); err != nil {
			return nil, err
		}
	}
	l.buf = append(l.buf, "]}\n"...)
	return l.buf, nil
}

func (l *adapter) handlePart(now time.Duration, f *config.Fields, first bool) (bool, error) {
	f.Require("i")
	f.Require("events")
	name := f.Text("i")
	events := f.List("events")
	if f.Err != nil {
		return first, f.Err
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
		e := &config.Fields{Value: body, Name: kind}
		switch kind {
		case "enlist":
			e.Require("prng")
			seed := e.Seed("prng")
			settings := config.ParseSettings(e.Object("settings"), e)
			if e.Err != nil {
				return first, e.Err
			}
			n, err := policy.New(settings, seed)
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
		ev := l.decodeEvent(kind, e)
		if e.Err != nil {
			return first, e.Err
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

// decodeOutcome reads how a run or a call ended.
func decodeOutcome(f *config.Fields, key string) policy.Outcome {
	f.Require(key)
	n := f.Integer(key)
	if n < 0 || n >= int64(len(outcomeCodes)) {
		f.Fail(key, "is not an outcome")
		return policy.Failed
	}
	return outcomeCodes[n]
}

var outcomeCodes = [...]policy.Outcome{policy.OK, policy.Failed, policy.Full, policy.TimedOut,
	policy.Unreachable, policy.InvalidReply, policy.Cancelled, policy.NotRun}

// decodeEvent maps one event; nil stands for one that this wire's text does not know.
func (l *adapter) decodeEvent(kind string, f *config.Fields) policy.Event {
	switch kind {
	case "req":
		f.Require("rid")
		f.Require("priority")
		original := f.ID("original")
		return policy.Arrived{ID: f.ID("rid"), Class: f.Text("priority"), Tenant: f.Text("project"),
			Caller: f.Integer("originPeer"), Size: f.Duration("effort"), Waited: f.Duration("backlogTime"), TimeLeft: f.Duration("left"),
			KB: f.Number("kb"), Rank: f.Number("place"), Key: f.Text("resource"), Write: f.Bool("isWrite"),
			IsRetry: f.Bool("resent"), Original: original, HasOriginal: original != 0}
	case "done":
		f.Require("rid")
		return policy.Finished{ID: f.ID("rid"), Outcome: decodeOutcome(f, "code"), Duration: f.Duration("spent")}
	case "returned":
		f.Require("rid")
		return policy.CallReturned{ID: f.ID("rid"), Outcome: decodeOutcome(f, "code"), Duration: f.Duration("spent")}
	case "lapsed":
		f.Require("rid")
		return policy.CallerGone{ID: f.ID("rid")}
	case "stalledOnCall":
		f.Require("rid")
		return policy.CallNeeded{ID: f.ID("rid")}
	case "retireSoon":
		f.Require("left")
		return policy.DrainNotice{TimeLeft: f.Duration("left")}
	case "tickDue":
		f.Require("ref")
		var gauges []float64
		for _, v := range f.List("metrics") {
			x, err := v.Float64()
			if err != nil {
				x = -1 // a gauge that is not told
			}
			gauges = append(gauges, x)
		}
		return policy.TimerFired{Token: f.Seed("ref"), Gauges: gauges}
	}
	if !l.unknownKinds[kind] && len(l.unknownKinds) < 100 {
		l.unknownKinds[kind] = true
		fmt.Fprintf(l.log, "adapter: unknown event %q is skipped\n", kind)
	}
	return nil
}

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

// adapter holds the instances of the decision module and converts between them and the wire format.
type adapter struct {
	parser       fastjson.Parser
	instances    map[string]*policy.Instance
	events       []policy.Event
	buf          []byte
	log          io.Writer
	unknownKinds map[string]bool // kinds of unknown events already logged
}

func newAdapter(log io.Writer) *adapter {
	return &adapter{instances: map[string]*policy.Instance{}, log: log, unknownKinds: map[string]bool{}}
}

// handleBatch handles one line of events and returns the line of the reply, which is valid until the next call.
func (ad *adapter) handleBatch(line []byte) ([]byte, error) {
	if err := fastjson.ValidateBytes(line); err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	v, err := ad.parser.ParseBytes(line)
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
	ad.buf = append(ad.buf[:0], `{"parts":[`...)
	first := true
	for _, p := range parts {
		if p.Type() != fastjson.TypeObject {
			return nil, errors.New("batch: a part is not an object")
		}
		if first, err = ad.handlePart(now, &config.Fields{Value: p, Name: "part"}, first); err != nil {
			return nil, err
		}
	}
	ad.buf = append(ad.buf, "]}\n"...)
	return ad.buf, nil
}

// handlePart handles one instance's part of a batch and appends its actions to the reply. first
// reports whether the reply has no part yet; handlePart returns its new value.
func (ad *adapter) handlePart(now time.Duration, f *config.Fields, first bool) (bool, error) {
	f.Require("i")
	f.Require("events")
	name := f.Text("i")
	events := f.List("events")
	if f.Err != nil {
		return first, f.Err
	}
	ad.events = ad.events[:0]
	hasEvents := false
	for _, v := range events {
		object, err := v.Object()
		if err != nil || object.Len() != 1 {
			return first, fmt.Errorf("%s: an event is not an object with one key", name)
		}
		var kind string
		var body *fastjson.Value
		object.Visit(func(k []byte, v *fastjson.Value) { kind, body = string(k), v })
		if body.Type() != fastjson.TypeObject {
			return first, fmt.Errorf("%s: %s is not an object", name, kind)
		}
		fields := &config.Fields{Value: body, Name: kind}
		switch kind {
		case "enlist":
			fields.Require("prng")
			seed := fields.Seed("prng")
			settings := config.ParseSettings(fields.Object("settings"), fields)
			if fields.Err != nil {
				return first, fields.Err
			}
			instance, err := policy.New(settings, seed)
			if err != nil {
				return first, fmt.Errorf("enlist: %w", err)
			}
			ad.instances[name] = instance
			ad.events = ad.events[:0]
			hasEvents = true
			continue
		case "exit":
			delete(ad.instances, name)
			ad.events = ad.events[:0]
			hasEvents = true
			continue
		}
		if ad.instances[name] == nil {
			return first, fmt.Errorf("%s: %s for an instance that was not enlisted", name, kind)
		}
		hasEvents = true
		event := ad.decodeEvent(kind, fields)
		if fields.Err != nil {
			return first, fields.Err
		}
		if event != nil {
			ad.events = append(ad.events, event)
		}
	}
	instance := ad.instances[name]
	if instance == nil || !hasEvents {
		return first, nil
	}
	actions := instance.Handle(now, ad.events)
	if len(actions) == 0 {
		return first, nil
	}
	if !first {
		ad.buf = append(ad.buf, ',')
	}
	ad.buf = append(ad.buf, `{"i":`...)
	ad.buf = appendText(ad.buf, name)
	ad.buf = append(ad.buf, `,"output":[`...)
	for i, a := range actions {
		if i > 0 {
			ad.buf = append(ad.buf, ',')
		}
		ad.buf = appendAction(ad.buf, a)
	}
	ad.buf = append(ad.buf, "]}"...)
	return false, nil
}

// decodeOutcome reads the outcome of an attempt or a downstream call.
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

// decodeEvent converts one event. It returns nil for an unknown kind; the first 100 of these are logged, once each.
func (ad *adapter) decodeEvent(kind string, f *config.Fields) policy.Event {
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
				x = -1 // the gauge has no value
			}
			gauges = append(gauges, x)
		}
		return policy.TimerFired{Token: f.Seed("ref"), Gauges: gauges}
	}
	if !ad.unknownKinds[kind] && len(ad.unknownKinds) < 100 {
		ad.unknownKinds[kind] = true
		fmt.Fprintf(ad.log, "adapter: unknown event %q is skipped\n", kind)
	}
	return nil
}

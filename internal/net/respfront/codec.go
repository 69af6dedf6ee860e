package respfront

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"puffinsaddle/internal/core"
)

const (
	maxBodyBytes    = 2 << 10 // bytes of a body, by the protocol
	maxExactInteger = 1 << 53 // up to here a floating-point number tells whole ones apart
)

// errInvalidValue marks a request that can be read, and whose figures make no sense.
var errInvalidValue = errors.New("value out of range")

// fields are the pairs that go with a request: a=1,b=2.
type fields map[string]string

func parseFields(b []byte) (fields, error) {
	f := fields{}
	if len(b) == 0 {
		return f, nil
	}
	for pair := range strings.SplitSeq(string(b), ",") {
		k, v, ok := strings.Cut(pair, "=")
		if !ok || k == "" {
			return nil, fmt.Errorf("field %q has no value", pair)
		}
		f[k] = v
	}
	return f, nil
}

// number reads a figure of 0 or more that has to be there.
func (f fields) number(key string, err *error) float64 {
	x, e := strconv.ParseFloat(f[key], 64)
	if !(e == nil && x >= 0 && x < maxExactInteger) && *err == nil { // so that NaN is out too
		*err = fmt.Errorf("%w: field %q", errInvalidValue, key)
	}
	return x
}

// parseRequest reads REQ TAG CLASS FIELDS BODY. It keeps no part of the arguments but the body.
func parseRequest(args [][]byte, now float64) (*core.Request, error) {
	if len(args) < 4 || len(args) > 5 {
		return nil, errors.New("REQ takes a tag, a class, fields and a body")
	}
	f, err := parseFields(args[3])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidValue, err)
	}
	q := &core.Request{
		ID: strings.Clone(f["id"]), Class: string(args[2]), ArrivedAt: f.number("at", &err), Caller: int64(f.number("from", &err)),
		Retry: f["retry"] == "1", KB: f.number("kb", &err), Rank: f.number("rank", &err), Key: strings.Clone(f["key"]),
		IdempotencyKey: strings.Clone(f["once"]), Tenant: strings.Clone(f["tenant"]),
	}
	for key, target := range map[string]*float64{"wait": &q.WaitMS, "cost": &q.CostMS} { // may be absent, and are above 0
		if _, present := f[key]; present {
			if *target = f.number(key, &err); *target == 0 && err == nil {
				err = fmt.Errorf("%w: field %q", errInvalidValue, key)
			}
		}
	}
	if _, present := f["once"]; present && q.IdempotencyKey == "" && err == nil {
		err = fmt.Errorf("%w: field %q", errInvalidValue, "once")
	}
	if e := q.Check(now); e != nil && err == nil {
		err = fmt.Errorf("%w: %w", errInvalidValue, e)
	}
	switch {
	case err != nil:
	case !isRequestID(q.ID):
		err = fmt.Errorf(`%w: field "id" is not 16 hex digits`, errInvalidValue)
	case len(args) == 5 && len(args[4]) > maxBodyBytes:
		err = fmt.Errorf("%w: the body is too long", errInvalidValue)
	}
	if err != nil {
		return nil, err
	}
	if len(args) == 5 {
		q.Body = args[4]
	}
	return q, nil
}

func isRequestID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// outcomeName is what an outcome is called on this wire.
func outcomeName(o core.Outcome) string {
	switch o.Verdict {
	case core.Served:
		return "done"
	case core.Refused:
		return "later"
	}
	return "error"
}

// appendAnswer writes TAG WORD FIELDS BODY.
func appendAnswer(b []byte, tag uint64, hint float64, hasHint bool, o core.Outcome) []byte {
	elements := 3
	if o.Verdict == core.Served {
		elements = 4
	}
	b = redcon.AppendArray(b, elements)
	b = redcon.AppendBulk(b, strconv.AppendUint(nil, tag, 10))
	b = redcon.AppendBulkString(b, outcomeName(o))
	var f []byte
	if hasHint {
		f = fmt.Appendf(f, ",say=%s", strconv.FormatFloat(hint, 'f', -1, 64))
	}
	if o.Verdict == core.Refused && o.RetryAfterMS > 0 {
		f = fmt.Appendf(f, ",after=%d", int64(math.Ceil(o.RetryAfterMS)))
	}
	if o.Verdict == core.Refused && o.NoRetry {
		f = append(f, ",last=1"...)
	}
	if len(f) > 0 {
		f = f[1:]
	}
	b = redcon.AppendBulk(b, f)
	if o.Verdict == core.Served {
		b = redcon.AppendBulk(b, o.Result)
	}
	return b
}

func appendHealth(b []byte, tag uint64, hint float64, hasHint, healthy bool) []byte {
	state := "sick"
	if healthy {
		state = "healthy"
	}
	b = redcon.AppendArray(b, 3)
	b = redcon.AppendBulk(b, strconv.AppendUint(nil, tag, 10))
	b = redcon.AppendBulkString(b, state)
	if hasHint {
		return redcon.AppendBulkString(b, "say="+strconv.FormatFloat(hint, 'f', -1, 64))
	}
	return redcon.AppendBulk(b, nil)
}

// appendClosing writes the array that asks for no new request on a connection.
func appendClosing(b []byte) []byte {
	b = redcon.AppendArray(b, 2)
	b = redcon.AppendBulkString(b, "0")
	return redcon.AppendBulkString(b, "closing")
}

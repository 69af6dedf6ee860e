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
	maxBodyBytes    = 2 << 10 // by the protocol
	maxExactInteger = 1 << 53 // a float64 represents every integer up to this one
)

// errInvalidValue marks a well-formed request with an invalid value.
var errInvalidValue = errors.New("value out of range")

// fields are the key-value pairs of a command, such as a=1,b=2.
type fields map[string]string

// parseFields parses the fields of a command.
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

// number parses a required number from 0 to below maxExactInteger. It sets err if the number is invalid and err is nil.
func (f fields) number(key string, err *error) float64 {
	x, e := strconv.ParseFloat(f[key], 64)
	if !(e == nil && x >= 0 && x < maxExactInteger) && *err == nil { // written so that it also rejects NaN
		*err = fmt.Errorf("%w: field %q", errInvalidValue, key)
	}
	return x
}

// parseRequest parses the arguments REQ TAG CLASS FIELDS BODY; the body may be missing. The result refers to the arguments
// only by its body.
func parseRequest(args [][]byte, now float64) (*core.Request, error) {
	if len(args) < 4 || len(args) > 5 {
		return nil, errors.New("REQ requires a tag, a class, fields and an optional body")
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
	for key, target := range map[string]*float64{"wait": &q.WaitMS, "cost": &q.CostMS} { // optional, and above 0 if present
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
		err = fmt.Errorf(`%w: field "id" is not 16 hexadecimal digits`, errInvalidValue)
	case len(args) == 5 && len(args[4]) > maxBodyBytes:
		err = fmt.Errorf("%w: body is too long", errInvalidValue)
	}
	if err != nil {
		return nil, err
	}
	if len(args) == 5 {
		q.Body = args[4]
	}
	return q, nil
}

// isRequestID reports whether s consists of 16 hexadecimal digits.
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

// outcomeName returns the protocol's name of an outcome.
func outcomeName(o core.Outcome) string {
	switch o.Verdict {
	case core.Served:
		return "done"
	case core.Refused:
		return "later"
	}
	return "error"
}

// appendAnswer appends the answer to a request: its tag, the name of the outcome, the fields and, if it was served, the
// result. The field say carries the hint to callers, if there is one.
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

// appendHealth appends the answer to a health check: its tag, the state and the hint to callers, if there is one.
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

// appendClosing appends the array that asks a router to send no new requests on the connection.
func appendClosing(b []byte) []byte {
	b = redcon.AppendArray(b, 2)
	b = redcon.AppendBulkString(b, "0")
	return redcon.AppendBulkString(b, "closing")
}

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
	mostBody   = 2 << 10 // bytes of a body, by the protocol
	mostNumber = 1 << 53 // up to here a floating-point number tells whole ones apart
)

// errValue marks a request that can be read, and whose figures make no sense.
var errValue = errors.New("value out of range")

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
	if !(e == nil && x >= 0 && x < mostNumber) && *err == nil { // so that NaN is out too
		*err = fmt.Errorf("%w: field %q", errValue, key)
	}
	return x
}

// request reads REQ TAG CLASS FIELDS BODY. It keeps no part of the arguments but the body.
func request(args [][]byte, now float64) (*core.Request, error) {
	if len(args) < 4 || len(args) > 5 {
		return nil, errors.New("REQ takes a tag, a class, fields and a body")
	}
	f, err := parseFields(args[3])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errValue, err)
	}
	q := &core.Request{
		ID: strings.Clone(f["id"]), Class: string(args[2]), ArrivedAt: f.number("at", &err), Caller: int64(f.number("from", &err)),
		Retry: f["retry"] == "1", KB: f.number("kb", &err), Rank: f.number("rank", &err), Key: strings.Clone(f["key"]),
		IdempotencyKey: strings.Clone(f["once"]), Tenant: strings.Clone(f["tenant"]),
	}
	for key, to := range map[string]*float64{"wait": &q.WaitMS, "cost": &q.CostMS} { // may be absent, and are above 0
		if _, told := f[key]; told {
			if *to = f.number(key, &err); *to == 0 && err == nil {
				err = fmt.Errorf("%w: field %q", errValue, key)
			}
		}
	}
	if _, told := f["once"]; told && q.IdempotencyKey == "" && err == nil {
		err = fmt.Errorf("%w: field %q", errValue, "once")
	}
	if e := q.Check(now); e != nil && err == nil {
		err = fmt.Errorf("%w: %w", errValue, e)
	}
	switch {
	case err != nil:
	case !wireID(q.ID):
		err = fmt.Errorf(`%w: field "id" is not 16 hex digits`, errValue)
	case len(args) == 5 && len(args[4]) > mostBody:
		err = fmt.Errorf("%w: the body is too long", errValue)
	}
	if err != nil {
		return nil, err
	}
	if len(args) == 5 {
		q.Body = args[4]
	}
	return q, nil
}

func wireID(s string) bool {
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

// word is what an outcome is called on this wire.
func word(o core.Outcome) string {
	switch o.Verdict {
	case core.Served:
		return "done"
	case core.Refused:
		return "later"
	}
	return "error"
}

// appendAnswer writes TAG WORD FIELDS BODY.
func appendAnswer(b []byte, tag uint64, say float64, says bool, o core.Outcome) []byte {
	parts := 3
	if o.Verdict == core.Served {
		parts = 4
	}
	b = redcon.AppendArray(b, parts)
	b = redcon.AppendBulk(b, strconv.AppendUint(nil, tag, 10))
	b = redcon.AppendBulkString(b, word(o))
	var f []byte
	if says {
		f = fmt.Appendf(f, ",say=%s", strconv.FormatFloat(say, 'f', -1, 64))
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

func appendHealth(b []byte, tag uint64, say float64, says, good bool) []byte {
	state := "sick"
	if good {
		state = "healthy"
	}
	b = redcon.AppendArray(b, 3)
	b = redcon.AppendBulk(b, strconv.AppendUint(nil, tag, 10))
	b = redcon.AppendBulkString(b, state)
	if says {
		return redcon.AppendBulkString(b, "say="+strconv.FormatFloat(say, 'f', -1, 64))
	}
	return redcon.AppendBulk(b, nil)
}

// appendClosing writes the array that asks for no new request on a connection.
func appendClosing(b []byte) []byte {
	b = redcon.AppendArray(b, 2)
	b = redcon.AppendBulkString(b, "0")
	return redcon.AppendBulkString(b, "closing")
}

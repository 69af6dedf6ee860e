package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"puffinsaddle/policy"
)

// appendText appends a JSON string.
func appendText(b []byte, s string) []byte {
	q, _ := json.Marshal(s) // a string can always be encoded
	return append(b, q...)
}

// appendRequestAction appends the beginning of an action on a request, up to the request id.
func appendRequestAction(b []byte, name string, id policy.ID) []byte {
	b = append(b, `{"`...)
	b = append(b, name...)
	b = append(b, `":{"rid":`...)
	return strconv.AppendUint(b, uint64(id), 10)
}

// appendDuration appends a duration in nanoseconds after its key.
func appendDuration(b []byte, key string, d time.Duration) []byte {
	b = append(b, key...)
	return strconv.AppendInt(b, int64(d), 10)
}

// appendAction appends one action in the wire format.
func appendAction(b []byte, a policy.Action) []byte {
	switch a := a.(type) {
	case policy.Start:
		b = appendRequestAction(b, "begin", a.ID)
	case policy.ShareResult:
		b = appendRequestAction(b, "replay", a.ID)
	case policy.Refuse:
		b = appendRequestAction(b, "sayNo", a.ID)
		if a.RetryAfter > 0 {
			b = appendDuration(b, `,"pause":`, a.RetryAfter)
		}
		if a.NoRetry {
			b = append(b, `,"noRetry":true`...)
		}
	case policy.Fail:
		b = appendRequestAction(b, "error", a.ID)
	case policy.StoreKey:
		b = appendDuration(appendRequestAction(b, "storeKey", a.ID), `,"span":`, a.TTL)
	case policy.DeleteKey:
		b = appendRequestAction(b, "erase", a.ID)
	case policy.MakeCall:
		b = appendDuration(appendRequestAction(b, "askBelow", a.ID), `,"maxWait":`, a.MaxWait)
	case policy.SkipCall:
		b = appendRequestAction(b, "doWithout", a.ID)
	case policy.Health:
		b = append(b, `{"fitness":{"shallow":`...)
		b = strconv.AppendBool(b, a.Shallow)
		b = append(b, `,"on":`...)
		b = strconv.AppendBool(b, a.Healthy)
	case policy.SetHint:
		b = append(b, `{"hintOut":{"x":`...)
		b = strconv.AppendFloat(b, a.Value, 'f', -1, 64)
	case policy.CloseIdle:
		b = appendDuration(append(b, `{"idle":{`...), `"span":`, a.After)
	case policy.SetTimer:
		b = appendDuration(append(b, `{"timer":{`...), `"at":`, a.At)
		b = append(b, `,"ref":`...)
		b = strconv.AppendUint(b, a.Token, 10)
	case policy.LogLine:
		b = appendText(append(b, `{"noteDown":{"line":`...), a.Text)
	default:
		panic(fmt.Sprintf("no wire form for %T", a))
	}
	return append(b, "}}"...)
}

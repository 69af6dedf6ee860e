// Package core serves requests as the policy module decides. It is independent of wire protocols: fronts receive
// requests, a Runner runs them, and a Downstream carries out their downstream calls.
package core

import (
	"context"
	"errors"
	"strings"

	"puffinsaddle/policy"
)

// Request is a caller's request.
type Request struct {
	ID             string // new with every attempt
	Class          string
	ArrivedAt      float64 // when it reached the machine, in Unix milliseconds
	WaitMS         float64 // how long its caller waits from ArrivedAt, in milliseconds; 0 if unknown
	Caller         int64   // the number of the caller
	Retry          bool    // marked as a retry by its caller
	KB             float64 // memory accounted for while it is queued, in kilobytes
	Rank           float64
	Key            string  // the subject of a read; empty if unknown
	IdempotencyKey string  // the same for all attempts of one keyed request; empty if unknown
	Tenant         string  // empty if unknown
	CostMS         float64 // expected work, in milliseconds on one core; 0 if unknown
	Body           []byte
}

// Limits of the fields of a request.
const (
	maxKB                   = 2000.0 // kilobytes, by the protocol
	maxKeyBytes             = 256    // bytes of a key, or of a tenant's name; the protocol's keys have 16
	maxIdempotencyKeyDigits = 64     // hexadecimal digits; the protocol's idempotency keys have 32
	maxCostMS               = 600e3  // milliseconds of work
	maxWaitMS               = 600e3  // milliseconds that a caller may wait; classes have deadlines of seconds
	maxAgeMS                = 60e3   // milliseconds since a request reached the machine
	maxClockAheadMS         = 1e3    // milliseconds that ArrivedAt may be ahead; caller and server share the machine's clock
)

// Check returns an error that names the first field with an invalid value. Valid requests enter the module's statistics.
// A request with a false age of an hour would make the module take the server for slow, and one without an end to its
// wait would stay queued forever.
func (q *Request) Check(now float64) error {
	within := func(x, lowest, highest float64) bool { return x >= lowest && x <= highest } // false for NaN
	switch {
	case !within(q.ArrivedAt, now-maxAgeMS, now+maxClockAheadMS):
		return errors.New("at is out of range")
	case !within(q.WaitMS, 0, maxWaitMS):
		return errors.New("wait is out of range")
	case !(q.KB > 0 && q.KB < maxKB):
		return errors.New("kb is out of range")
	case !(q.Rank >= 0 && q.Rank < 1):
		return errors.New("rank is out of range")
	case q.Caller < 0:
		return errors.New("from is out of range")
	case len(q.Key) > maxKeyBytes:
		return errors.New("key is too long")
	case len(q.Tenant) > maxKeyBytes:
		return errors.New("tenant is too long")
	case !within(q.CostMS, 0, maxCostMS):
		return errors.New("cost is out of range")
	case len(q.IdempotencyKey) > maxIdempotencyKeyDigits || strings.Trim(q.IdempotencyKey, "0123456789abcdefABCDEF") != "":
		return errors.New("once is not a string of at most 64 hexadecimal digits")
	}
	return nil
}

// Verdict says how a request ended.
type Verdict int

// The verdicts. Refused promises that this attempt never ran.
const (
	Served Verdict = iota
	Refused
	Failed
	Overdue // failed at its deadline
)

// Outcome is the final answer to a request.
type Outcome struct {
	Verdict        Verdict
	Result         []byte  // of a served request; valid until the answer function returns
	RetryAfterMS   float64 // on a refusal: milliseconds to wait before a retry; 0: none
	NoRetry        bool    // on a refusal: do not retry on another server
	UnknownClass   bool    // on a refusal: the settings have no such class
	UnknownRequest bool    // on a failure: the executor does not know the request
}

// Attempt is one run of a request at a Runner. A server makes at most one for each request ID.
type Attempt struct {
	Request *Request
	Due     float64 // when the answer is due, in Unix milliseconds
	Notify  func(Notice)

	CallsSkippable bool // its downstream calls may be left out
}

// Notice is a message from a Runner about an attempt. The last one for each attempt has Ended set, and no other has.
type Notice struct {
	Ended          bool           // if false, the attempt waits for a downstream call
	Number         uint64         // number of the notice
	Outcome        policy.Outcome // how it ended
	TookMS         float64        // running time in milliseconds
	MadeAt         float64        // when the result was made, in Unix milliseconds; never later than the true time; 0: TookMS after the start
	UnknownRequest bool           // nothing ran: the executor does not know the request
	ReplyLost      bool           // the reply to its call may not have arrived, so the attempt may wait for the call forever
	Body           []byte         // the result, or the body of the call; owned by the handler that receives the notice
}

// Runner runs requests. No method blocks.
type Runner interface {
	Start(*Attempt)
	Return(*Attempt, uint64, []byte)   // delivers the reply to the call of that notice; the bytes are copied
	Skip(*Attempt, uint64)             // lets the attempt continue without the call of that notice
	Abandon(*Attempt)                  // reports that the caller no longer waits for the attempt
	ReadGauges(func(gauges []float64)) // reads the gauges and calls back, or never calls back
	Diagnose(func(healthy bool)) bool  // starts a deep health check; false if none is possible at present
}

// Downstream carries out downstream calls. Call is cancelled when its context ends.
type Downstream interface {
	Call(ctx context.Context, id string, timeoutMS float64, body []byte) (policy.Outcome, []byte)
}

// EffectLog records the IDs of effects that were started, so that none starts twice.
type EffectLog interface {
	// Begin records an effect before it runs. It returns false if the effect was started before, and an error if the
	// effect could not be recorded. It may block; once ctx ends, the effect does not run, and Begin should return. The
	// record may come into being all the same.
	Begin(ctx context.Context, id string) (bool, error)
}

// EffectEndRecorder is implemented by an EffectLog that also records how effects end. It must not block.
type EffectEndRecorder interface {
	Ended(id string, ok bool)
}

// Package core serves requests by the decisions of the policy module. It knows requests, attempts and
// outcomes, and no wire: fronts bring requests, a Runner does their work, a Below answers their calls.
package core

import (
	"context"
	"errors"
	"strings"

	"puffinsaddle/policy"
)

// Request is something that a caller wants done.
type Request struct {
	ID             string // new with every try
	Class          string
	ArrivedAt      float64 // when it reached the machine, in Unix milliseconds
	WaitMS         float64 // how long its caller waits from At, in milliseconds; 0: not told
	Caller         int64   // the number of the caller
	Retry          bool    // known to be a further try
	KB             float64 // memory booked while it is held
	Rank           float64
	Key            string  // what a read is about; empty: not told
	IdempotencyKey string  // in keyed classes: the same for all tries of one request; empty: not told
	Tenant         string  // the tenant; empty: not told
	CostMS         float64 // the work to expect, in milliseconds on one core; 0: not told
	Body           []byte
}

// What the figures of a request may be at most.
const (
	maxKB                   = 2000.0 // by the protocol
	maxKeyBytes             = 256    // bytes of a key, or of a tenant's name; the protocol's keys have 16
	maxIdempotencyKeyDigits = 64     // hexadecimal digits; the protocol's have 32
	maxCostMS               = 600e3  // milliseconds of work
	maxWaitMS               = 600e3  // milliseconds that a caller may wait; classes have seconds
	maxAgeMS                = 60e3   // and that a request may have been under way
	maxClockAheadMS         = 1e3    // the caller's clock is the machine's, and can't be further ahead
)

// Check names the figure that makes no sense. What passes gets to the module's books, so what would spoil them
// must not: one request said to be an hour old would make the server look slow to itself, one whose time never
// runs out would be held for good.
func (q *Request) Check(now float64) error {
	within := func(x, lowest, highest float64) bool { return x >= lowest && x <= highest } // so that NaN is out
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
		return errors.New("once is not of hexadecimal digits")
	}
	return nil
}

// Verdict is what became of a request, for its caller.
type Verdict int

// The verdicts. Refused promises that this try never ran.
const (
	Served Verdict = iota
	Refused
	Failed
	Overdue // failed, since its time is up
)

// Outcome is the one final answer to a request.
type Outcome struct {
	Verdict        Verdict
	Result         []byte  // of a served request; good until the answer function returns
	RetryAfterMS   float64 // on a refusal: come back after so many milliseconds; 0: any time
	NoRetry        bool    // on a refusal: try no other server
	UnknownClass   bool    // on a refusal: of a class that nobody told us of
	UnknownRequest bool    // on a failure: whoever does the work knows of no such request
}

// Attempt is one run of a request at a Runner. An order server makes one at most for each request.
type Attempt struct {
	Request *Request
	Due     float64 // when the answer is due, in Unix milliseconds
	Notify  func(Notice)

	CallsSkippable bool // its calls may be left out
}

// Notice is what a Runner tells of an attempt. Exactly one with Ended set comes last.
type Notice struct {
	Ended          bool           // else the run stands at a call
	Number         uint64         // number of the notice
	Outcome        policy.Outcome // how it ended
	TookMS         float64        // milliseconds that it ran
	MadeAt         float64        // when the result was made, in Unix milliseconds, no later than it truly was
	UnknownRequest bool           // nothing ran: the Runner knows of no such request
	ReplyLost      bool           // nobody can tell whether the reply to its call arrived, so it may stand there for good
	Body           []byte         // the result, or what to call with; the handler that is told owns it
}

// Runner does the work of requests. No method blocks.
type Runner interface {
	Start(*Attempt)
	Return(*Attempt, uint64, []byte)   // the reply to the call of that notice, at which the run stands; copied
	Skip(*Attempt, uint64)             // go on without the call of that notice
	Abandon(*Attempt)                  // nobody waits for it any more
	ReadGauges(func(gauges []float64)) // calls back once the gauges are read, or never
	Diagnose(func(good bool)) bool     // a deep check; false: there is no telling now
}

// Downstream answers the calls that runs stand at. Call gives up when its context ends.
type Downstream interface {
	Call(ctx context.Context, id string, maxMs float64, body []byte) (policy.Outcome, []byte)
}

// EffectLog keeps the ids of effects that were begun, so that none begins twice.
type EffectLog interface {
	// Begin records an effect before its run; false: it was begun before. An error: it is not recorded.
	Begin(id string) (bool, error)
}

// EffectEndRecorder is a Ledger that also hears how the runs of effects end. It must not wait.
type EffectEndRecorder interface {
	Ended(id string, ok bool)
}

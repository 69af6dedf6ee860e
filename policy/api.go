package policy

import "time"

// ID identifies a request. The host assigns it; it is unique within an instance.
type ID uint32

// Safety says whether a request may run more than once.
type Safety int

// The values of Safety.
const (
	Safe   Safety = iota // may run any number of times
	Keyed                // carries an idempotency key; runs once within KeyTTL
	Unsafe               // runs once; its attempts carry nothing that identifies them as one
)

// Hint says how callers interpret the value of SetHint.
type Hint int

// The values of Hint.
const (
	HintNone   Hint = iota // SetHint must not be used
	HintLevel              // callers send no request whose Rank is below the value
	HintCredit             // maximum number of open requests of each caller
	HintWeight             // probability that a caller considers this instance
)

// Class holds the settings of one class of requests.
type Class struct {
	Name       string
	Aim        time.Duration // an answer within this earns the full worth
	AimStretch float64       // Aim grows by this multiple of the work of the request
	Deadline   time.Duration // total time that a client waits
	Worth      float64
	LateValue  float64 // part of Worth earned between Aim and Deadline
	Safety     Safety
	KeyTTL     time.Duration // for Keyed: how long after the first attempt a repeat may arrive
	Calls      bool          // its requests may make downstream calls
	SkipWorth  float64       // part of Worth earned when a call is skipped; 0: calls are required
}

// Tenant holds the settings of one tenant of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests per second within its share, over all instances
	Share float64
}

// Settings configures an instance.
type Settings struct {
	Classes           []Class
	Tenants           []Tenant
	Servers           int           // initial number of instances of this tier
	Callers           int           // initial number of callers of this tier
	Cores             int           // cores of this machine
	MemoryKB          float64       // memory for queued and running requests and key table entries
	EntryKB           float64       // memory of one key table entry
	RunMemoryFactor   float64       // memory of a running request relative to a queued one
	SharedResultTTL   time.Duration // how long the result of a safe request may be shared
	JustStarted       bool          // the machine is cold when the instance starts
	WarmupPeriod      time.Duration // time after which the machine is warm at the latest
	ColdSpeedShare    float64       // initial speed of a cold instance relative to a warm one
	MaxRunningPerCore float64       // mean running requests per core above which a warm instance collapses
	MaxRunningPeriod  time.Duration // period of that mean
	AnswerSlack       time.Duration // how long after the deadline an answer still counts
	DrainGrace        time.Duration // requests that arrive later than this after DrainNotice never run
	Tick              time.Duration // minimum interval between calls of Handle
	PassesDeadline    bool          // callers send Arrived.TimeLeft
	MarksRetry        bool          // callers send Arrived.IsRetry
	HasDownstream     bool          // there is a downstream tier to call
	DownstreamShare   float64       // concurrent downstream calls allotted to this instance; 0: unlimited
	CallPeriod        time.Duration // period over which concurrent calls are averaged
	AbandonedCallTime time.Duration // maximum time that an abandoned call keeps running downstream
	Hint              Hint
	HintTTL           time.Duration // how long a caller applies a hint
	IdleTimeout       time.Duration // callers close idle connections after this; 0: unknown
	MaxRetryAfter     time.Duration // longest Refuse.RetryAfter that callers respect; 0: they ignore it
	OverShareWorth    float64       // worth of a request beyond its tenant's share, relative to its class
	WorthByWork       bool          // Class.Worth is per unit of work, not per request
	BusyGauge         int           // index of each of these gauges in TimerFired.Gauges; -1: absent
	RunnableGauge     int
	MemoryGauge       int
	ConnectionGauge   int
}

// Outcome is the result of a run or of a call.
type Outcome int

// The values of Outcome. Full, Unreachable and NotRun prove that nothing ran.
const (
	OK           Outcome = iota
	Failed               // ran or may have run, and failed
	Full                 // refused for lack of capacity
	TimedOut             // no reply within the time limit
	Unreachable          // no connection was established
	InvalidReply         // the connection broke or the reply was malformed; the call may have run
	Cancelled            // stopped before its end
	NotRun               // ended before it began
)

// Event is an input of an instance.
type Event interface{ event() }

// Arrived reports that a request was read.
type Arrived struct {
	ID          ID
	Class       string
	Tenant      string
	Caller      int64
	Size        time.Duration // expected work; 0: unknown
	Waited      time.Duration // time since it reached the machine
	TimeLeft    time.Duration // how long its caller still waits; 0: unknown
	KB          float64       // memory while queued
	Rank        float64       // rank among all requests, from 0 (least worth) to 1
	Key         string        // the resource that it concerns; empty: unknown
	Write       bool          // it changes the resource
	IsRetry     bool          // marked as a retry by its caller
	Original    ID            // the request in the key table that it repeats
	HasOriginal bool          // Original is set
}

// Finished reports that a run ended or that a shared result was sent.
type Finished struct {
	ID        ID
	Outcome   Outcome
	Duration  time.Duration
	ResultAge time.Duration // the longest time that may have passed since the result was made
}

// StartedElsewhere reports that a Keyed request, after its Start, waits for the result of an attempt that
// another process of the server has started, and does not run here. Finished follows.
type StartedElsewhere struct{ ID ID }

// CallNeeded reports that a running request waits for a downstream call to be made.
type CallNeeded struct{ ID ID }

// CallReturned reports the outcome of a downstream call.
type CallReturned struct {
	ID       ID
	Outcome  Outcome
	Duration time.Duration
}

// CallerGone reports that the caller no longer waits for the request.
type CallerGone struct{ ID ID }

// DrainNotice reports that the process will be stopped.
type DrainNotice struct {
	TimeLeft time.Duration // until the stop
	Age      time.Duration // since the notice was received
}

// TimerFired reports that the timer of a SetTimer action fired, with the current gauges.
type TimerFired struct {
	Token  uint64
	Gauges []float64
}

func (Arrived) event()          {}
func (Finished) event()         {}
func (StartedElsewhere) event() {}
func (CallNeeded) event()       {}
func (CallReturned) event()     {}
func (CallerGone) event()       {}
func (DrainNotice) event()      {}
func (TimerFired) event()       {}

// Action is an output of an instance. The host carries out actions in the given order.
type Action interface{ action() }

// Start runs a queued request.
type Start struct{ ID ID }

// ShareResult answers a request with the result of the request that it repeats.
type ShareResult struct{ ID ID }

// Refuse rejects a request that never ran.
type Refuse struct {
	ID         ID
	RetryAfter time.Duration // how long the caller should wait before a retry; 0: no advice
	NoRetry    bool          // the caller should not retry at another server
}

// Fail answers a request with an error; the request may have run.
type Fail struct{ ID ID }

// StoreKey adds a request to the key table, in which the host looks up repeats.
type StoreKey struct {
	ID  ID
	TTL time.Duration // how long the entry is valid
}

// DeleteKey removes a request from the key table.
type DeleteKey struct{ ID ID }

// MakeCall makes the downstream call that a request waits for.
type MakeCall struct {
	ID      ID
	MaxWait time.Duration // time limit of the call
}

// SkipCall resumes a request without its downstream call.
type SkipCall struct{ ID ID }

// Health sets the answer to future health checks.
type Health struct {
	Shallow bool // answer from this setting alone, without running a request
	Healthy bool // the answer
}

// SetHint sets the hint sent with every future answer; Settings.Hint says how callers interpret it.
type SetHint struct{ Value float64 }

// CloseIdle sets the time after which idle connections are closed.
type CloseIdle struct{ After time.Duration }

// SetTimer requests a TimerFired event.
type SetTimer struct {
	At    time.Duration
	Token uint64 // returned in the TimerFired event
}

// LogLine writes a line to the log.
type LogLine struct{ Text string }

func (Start) action()       {}
func (ShareResult) action() {}
func (Refuse) action()      {}
func (Fail) action()        {}
func (StoreKey) action()    {}
func (DeleteKey) action()   {}
func (MakeCall) action()    {}
func (SkipCall) action()    {}
func (Health) action()      {}
func (SetHint) action()     {}
func (CloseIdle) action()   {}
func (SetTimer) action()    {}
func (LogLine) action()     {}

package policy

import "time"

// ID names a request. The host picks it; no two requests of one instance share an ID.
type ID uint32

// Safety says what a second run of a request would do.
type Safety int

// The three kinds of safety.
const (
	Safe   Safety = iota // may run any number of times
	Keyed                // carries a key; runs once within KeyTTL
	Unsafe               // runs once, and nothing ties its tries together
)

// Hint says what callers make of the value sent with Advise.
type Hint int

// The kinds of hint.
const (
	HintNone   Hint = iota // Advise must not be used
	HintLevel              // callers send nothing whose Rank is under the value
	HintCredit             // each caller has at most so many requests here
	HintWeight             // the chance that a caller does not pass this instance over
)

// Class is one class of requests.
type Class struct {
	Name       string
	Aim        time.Duration // an answer within this earns the full worth
	AimStretch float64       // Aim grows by this many times the request's own work
	Deadline   time.Duration // how long a client waits altogether
	Worth      float64
	LateValue  float64 // part of Worth earned after Aim and before Deadline
	Safety     Safety
	KeyTTL     time.Duration // for Keyed: how long a repeat may come
	Calls      bool          // its requests may call what lies below
	SkipWorth  float64       // part of Worth earned when a call is left out; 0: never leave out
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second inside its share, over all instances
	Share float64
}

// Settings is all that an instance is told at its start.
type Settings struct {
	Classes           []Class
	Tenants           []Tenant
	Servers           int     // instances of this tier at the start
	Callers           int     // callers of this tier at the start
	Cores             int     // cores of this machine
	MemoryKB          float64 // memory for held and running requests and remembered entries
	EntryKB           float64 // memory of one remembered entry
	RunMemoryFactor   float64 // memory of a running request over that of a held one
	SharedResultTTL   time.Duration
	JustStarted       bool          // the instance starts cold
	WarmupPeriod      time.Duration // it is warm after this at the latest
	ColdSpeedShare    float64       // part of its speed that a cold instance begins with
	MaxRunningPerCore float64       // running requests a core that a warm instance survives
	MaxRunningPeriod  time.Duration // the span over which they are averaged
	AnswerSlack       time.Duration
	DrainGrace        time.Duration
	Tick              time.Duration // shortest gap between two calls of Handle
	PassesDeadline    bool          // Arrived.TimeLeft is told
	MarksRetry        bool          // Arrived.IsRetry is told
	HasDownstream     bool          // there is something below to call
	DownstreamShare   float64       // this instance's share of calls that what lies below survives; 0: not told
	CallPeriod        time.Duration // the span over which these calls are averaged
	AbandonedCallTime time.Duration // a call given up stays there so long at most
	Hint              Hint
	HintTTL           time.Duration // how long a caller remembers the hint
	IdleTimeout       time.Duration // callers close idle connections after this; 0: not told
	MaxRetryAfter     time.Duration // longest advice to stay away that is heeded; 0: none is
	OverShareWorth    float64       // worth of a request over its tenant's share, as a part of its class's
	WorthByWork       bool          // worth counts for each unit of work
	BusyGauge         int           // place of each gauge in Woke.Gauges; -1: absent
	RunnableGauge     int
	MemoryGauge       int
	ConnectionGauge   int
}

// Outcome is how a run or a call ended.
type Outcome int

// The outcomes. Full, Unreached and Moot prove that nothing ran.
const (
	OK Outcome = iota
	Failed
	Full
	TimedOut
	Unreachable
	InvalidReply
	Cancelled
	NotRun
)

// Event is something that reached the instance.
type Event interface{ event() }

// Arrived tells that a request was read and is now held.
type Arrived struct {
	ID          ID
	Class       string
	Tenant      string
	Caller      int64
	Size        time.Duration // expected work; 0: not told
	Waited      time.Duration // how long ago it reached the machine
	TimeLeft    time.Duration // how long its caller still waits; 0: not told
	KB          float64       // memory while held
	Rank        float64       // place among all requests, 0 (least worth) to 1
	Key         string        // what it is about; empty: not told
	Write       bool
	IsRetry     bool // known to be a further try
	Original    ID   // the remembered request that it repeats
	HasOriginal bool // Original is set
}

// Finished tells that a run, or a shared result, is over.
type Finished struct {
	ID       ID
	Outcome  Outcome
	Duration time.Duration
}

// CallNeeded tells that a running request stands at a call.
type CallNeeded struct{ ID ID }

// CallReturned tells how a call ended.
type CallReturned struct {
	ID       ID
	Outcome  Outcome
	Duration time.Duration
}

// CallerGone tells that nobody waits for the request.
type CallerGone struct{ ID ID }

// DrainNotice tells that the instance will be stopped.
type DrainNotice struct {
	TimeLeft time.Duration
	Age      time.Duration // how long ago the notice came
}

// TimerFired is the answer to SetTimer.
type TimerFired struct {
	Token  uint64
	Gauges []float64
}

func (Arrived) event()      {}
func (Finished) event()     {}
func (CallNeeded) event()   {}
func (CallReturned) event() {}
func (CallerGone) event()   {}
func (DrainNotice) event()  {}
func (TimerFired) event()   {}

// Action is something that the host has to do, in the order given.
type Action interface{ action() }

// Start runs a held request.
type Start struct{ ID ID }

// ShareResult answers a held request with the result of the one it repeats.
type ShareResult struct{ ID ID }

// Refuse turns a request away that never ran.
type Refuse struct {
	ID         ID
	RetryAfter time.Duration // advice to stay away; 0: none
	NoRetry    bool          // advice not to try elsewhere
}

// Fail answers a request with an error that promises nothing.
type Fail struct{ ID ID }

// StoreKey puts a request in the table of repeats.
type StoreKey struct {
	ID  ID
	TTL time.Duration
}

// DeleteKey takes a request out of the table.
type DeleteKey struct{ ID ID }

// MakeCall makes the call that a request waits for.
type MakeCall struct {
	ID      ID
	MaxWait time.Duration
}

// SkipCall lets a request go on without its call.
type SkipCall struct{ ID ID }

// Health sets what checks hear from now on.
type Health struct {
	Shallow bool // answer from this setting alone
	Healthy bool
}

// SetHint sets the hint sent with every answer from now on.
type SetHint struct{ Value float64 }

// CloseIdle closes connections that carried nothing for this long.
type CloseIdle struct{ After time.Duration }

// SetTimer asks for a Woke event.
type SetTimer struct {
	At    time.Duration
	Token uint64
}

// LogLine is a line for the operators' log.
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

package policy

import (
	"math/rand/v2"
	"time"
)

// This file holds the types of the state of an instance.

// state is the stage that a request has reached.
type state int

const (
	fresh     state = iota // read in this batch and not yet admitted
	held                   // in the queue of its class
	following              // coalesced with a primary, whose result it waits for
	running                // uses a core or waits for a disk
	calling                // waits for a downstream call
	replaying              // its shared result is being sent
	over                   // ended; its memory is released
)

// request is the state of a request.
type request struct {
	Arrived
	class    *class
	state    state
	seq      uint64
	reached  time.Duration // when it reached the machine
	due      time.Duration // its deadline
	aim      time.Duration // until when an answer earns the full worth
	size     float64       // R of the paper: its Size, else the learned mean, in nanoseconds
	ran      bool          // it was started, so it is neither refused nor started again
	repeat   bool          // it repeats one that ran, so it is neither refused nor started
	answered bool          // it needs no further answer
	stored   bool          // it is in the key table
	good     bool          // its run succeeded
	again    bool          // a retry, either marked or inferred from its short wait
	ended    time.Duration
	first    *request      // the one that it repeats; nil: unknown
	heir     *request      // the newer attempt that replaced it
	lead     *request      // the request that it is coalesced with
	tail     []*request    // the requests that are coalesced with it
	tries    int           // attempts of the current downstream call
	out      bool          // its downstream call is in flight
	callEnd  time.Duration // when that call is abandoned, since the start of the instance
	retryAt  time.Duration // when its call is attempted next; 0: not scheduled
}

// moment is a scheduled check of a request, or the expiry of its entry in the key table.
type moment struct {
	at    time.Duration
	seq   uint64
	r     *request
	entry bool // the entry in the key table expires
}

// class is the state of a class of requests.
type class struct {
	Class
	queue        orderedHeap[*request]
	allowance    int           // starts per round
	used         int           // starts of this round
	seen         int           // requests that arrived in this window
	refused      int           // requests refused in this window
	refusedBelow int           // of the refused, those without room for a downstream call
	ended        int           // runs that succeeded in this window
	run          float64       // learned mean duration of a run, waits and calls included, in nanoseconds
	size         float64       // learned mean size, in nanoseconds
	sizeVar      float64       // variance of the known sizes
	sizeRun      float64       // covariance of the known sizes and the durations
	samples      int           // runs learned from
	fullWait     time.Duration // the longest wait of a caller so far, which is that of a first attempt
}

// traffic sums up recent windows; the weight of a window decreases with its age.
type traffic struct {
	arrived float64 // requests
	resent  float64 // of these, retries
	reading float64 // time between reaching the machine and being read, in nanoseconds
	runs    float64 // duration of runs that succeeded, in nanoseconds
	needy   float64 // requests whose downstream calls are required
}

// Instance makes the decisions of one server. It is not safe for concurrent use.
type Instance struct {
	set      Settings
	rng      *rand.Rand
	classes  []*class // in priority order
	byName   map[string]*class
	requests map[ID]*request
	line     orderedHeap[moment] // scheduled checks
	arrivals []*request          // of the current batch
	out      []Action            // of the current batch
	now      time.Duration
	born     time.Duration // time of the first call of Handle
	coldFrom time.Duration // when the machine started cold, if Settings.JustStarted
	begun    bool
	seq      uint64

	held     int     // requests in the queues
	running  int     // requests started and not ended
	calling  int     // of these, waiting for a downstream call
	memory   float64 // of queued and running requests and of key table entries, in kB
	runnable float64 // gauge; negative: unknown
	moved    int     // change of the running requests not at a call since the gauges were read
	paused   bool    // the cores are busy: no starts beyond the minimum
	bound    int     // starts in this window

	nextWake  time.Duration // when the last timer fires
	waking    bool          // it has not fired yet
	wakes     uint64        // its token
	windowEnd time.Duration

	draining  bool
	drainFrom time.Duration // when the drain notice was received
	stopAt    time.Duration // when all requests are answered

	idle       time.Duration // idle connections are closed after this; 0: by the callers' own setting
	recent     traffic
	readShare  float64 // share of the time before reading in the total time of recent requests
	retryShare float64 // share of retries in recent arrivals

	tightest   time.Duration // the tightest aim of all classes
	unreadMost float64       // mean wait before reading above which the server is unhealthy, relative to it
	sick       bool          // health checks fail

	shed float64 // share of the usual traffic that callers are advised to send elsewhere

	inHand   int                // downstream calls in flight
	callRun  float64            // learned mean duration of a call, in nanoseconds
	callEnds time.Duration      // sum of the times when these are abandoned, since the start of the instance
	callTime float64            // time of calls in flight over the period of the call limit, in nanoseconds
	callsAt  time.Duration      // when that was computed
	callPast [callParts]float64 // that time, by parts of the period

	callFails int           // consecutive failed calls
	breakEnd  time.Duration // until when the breaker is open
	needyEnd  time.Duration // until when optional calls are skipped in favour of required ones
	leftOut   int           // calls skipped in this window instead of being made
	timed     int           // calls in this window whose duration was learned
}

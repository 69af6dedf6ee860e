package policy

import (
	"math/rand/v2"
	"time"
)

// This file holds the types of the state of an instance.

// requestState is the stage that a request has reached.
type requestState int

const (
	arriving  requestState = iota // read in this batch and not yet admitted
	queued                        // in the queue of its class
	coalesced                     // coalesced with a primary, whose result it waits for
	running                       // uses a core or waits for a disk
	calling                       // waits for a downstream call
	sharing                       // its shared result is being sent
	ended                         // its memory is released
)

// request is the state of a request.
type request struct {
	Arrived
	class        *classState
	state        requestState
	seq          uint64
	reachedAt    time.Duration // when it reached the machine
	due          time.Duration // its deadline
	aim          time.Duration // until when an answer earns the full worth
	size         float64       // its Size, or the learned mean if that is unknown, in nanoseconds; R of the paper
	ran          bool          // it was started, so it must not be refused or started again
	repeatsRun   bool          // it repeats a request that ran, so it must not be refused or started
	answered     bool          // it needs no further answer
	keyStored    bool          // it is in the key table
	succeeded    bool          // its run succeeded
	likelyRetry  bool          // a retry, either marked or inferred from its short wait
	endedAt      time.Duration
	resultMadeAt time.Duration // of a run that succeeded: the earliest time at which its result may have been made
	original     *request      // the request that it repeats; nil: unknown
	successor    *request      // the newer attempt that replaced it
	primary      *request      // the request that it is coalesced with
	waiters      []*request    // the requests that are coalesced with this one
	callAttempts int           // attempts of the current downstream call
	callInFlight bool          // its downstream call is in flight
	callDeadline time.Duration // when that call is abandoned, since the start of the instance
	retryAt      time.Duration // when its call is attempted next; 0: not scheduled
}

// scheduledCheck is a scheduled check of a request, or the expiry of its entry in the key table.
type scheduledCheck struct {
	at       time.Duration
	seq      uint64
	request  *request
	isExpiry bool // the entry in the key table expires
}

// classState is the state of a class of requests.
type classState struct {
	Class
	queue             orderedHeap[*request]
	allowance         int           // starts per round
	usedAllowance     int           // starts of this round
	arrived           int           // requests that arrived in this window
	refused           int           // requests refused in this window
	refusedForCalls   int           // of the refused, those without capacity for a downstream call
	successfulRuns    int           // runs that succeeded in this window
	meanRun           float64       // learned mean duration of a run, waits and calls included, in nanoseconds
	meanSize          float64       // learned mean size, in nanoseconds
	sizeVariance      float64       // variance of the known sizes
	sizeRunCovariance float64       // covariance of the known sizes and the durations
	samples           int           // runs learned from
	longestWait       time.Duration // the longest wait of a caller so far, which is that of a first attempt
}

// traffic sums up recent windows; the weight of a window decreases with its age.
type traffic struct {
	arrived       float64 // requests
	retries       float64 // of these, retries
	readDelay     float64 // time between reaching the machine and being read, in nanoseconds
	runTime       float64 // duration of runs that succeeded, in nanoseconds
	requiredCalls float64 // requests whose downstream calls are required
}

// Instance makes the decisions of one server. It is not safe for concurrent use.
type Instance struct {
	set       Settings
	rng       *rand.Rand
	classes   []*classState // in priority order
	byName    map[string]*classState
	requests  map[ID]*request
	timeline  orderedHeap[scheduledCheck] // scheduled checks
	arrivals  []*request                  // of the current batch
	actions   []Action                    // of the current batch
	now       time.Duration
	startedAt time.Duration // time of the first call of Handle
	coldSince time.Duration // when the machine started cold, if Settings.JustStarted
	started   bool
	seq       uint64

	queued        int     // requests in the queues
	running       int     // requests started and not ended
	calling       int     // of these, waiting for a downstream call
	memory        float64 // of queued and running requests and of key table entries, in kB
	runnable      float64 // gauge; negative: unknown
	runnableDelta int     // change of the running requests not at a call since the gauges were read
	paused        bool    // the cores are busy: no starts beyond the minimum
	windowStarts  int     // starts in this window

	timerAt      time.Duration // when the last timer fires
	timerPending bool          // it has not fired yet
	timerToken   uint64        // its token
	windowEnd    time.Duration

	draining   bool
	drainStart time.Duration // when the drain notice was received
	stopAt     time.Duration // when all requests are answered

	idleTimeout time.Duration // idle connections are closed after this; 0: by the callers' own setting
	recent      traffic
	readShare   float64 // share of the time before reading in the total time of recent requests
	retryShare  float64 // share of retries in recent arrivals

	minAim      time.Duration // the tightest aim of all classes
	unreadLimit float64       // mean wait before reading above which the server is unhealthy, relative to it
	unhealthy   bool          // health checks fail

	shed float64 // share of the usual traffic that callers are advised to send elsewhere

	callsInFlight   int                  // downstream calls in flight
	meanCallTime    float64              // learned mean duration of a call, in nanoseconds
	callDeadlines   time.Duration        // sum of the callDeadline of calls in flight
	callTime        float64              // time of calls within the period of the call limit, in nanoseconds
	callTimeAt      time.Duration        // when callTime was computed
	callTimeBuckets [callBuckets]float64 // callTime by parts of the period

	callFailures int           // consecutive failed calls
	breakerEnd   time.Duration // until when the breaker is open
	requiredEnd  time.Duration // until when optional calls are skipped in favour of required ones
	skippedCalls int           // calls skipped in this window instead of being made
	timedCalls   int           // calls in this window whose duration was learned

	timedCallsEver int // calls whose duration was learned since the start
	peers          peerState
}

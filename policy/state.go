package policy

import (
	"math/rand/v2"
	"time"
)

// This file holds the types of what an instance knows; policy.go decides.

type requestState int

const (
	arriving  requestState = iota // read in this batch, not looked at yet
	queued                        // in its class's queue
	coalesced                     // held: waits for the result of another
	running                       // on the cores, or waiting for disk
	calling                       // at a call
	sharing                       // waits for a shared result
	ended                         // ended; its memory is back
)

type request struct {
	Arrived
	class        *classState
	state        requestState
	seq          uint64
	reachedAt    time.Duration // when it reached the machine
	due          time.Duration // when its answer is due
	aim          time.Duration // when its answer stops earning what it should
	size         float64       // R: hint, else the learned mean, in nanoseconds
	ran          bool          // it was started: never refused, never started again
	repeatsRun   bool          // it repeats one that ran: never refused, never started
	answered     bool          // nothing is owed any more
	keyStored    bool          // its entry lives
	succeeded    bool          // its run ended well
	likelyRetry  bool          // a further try, known or taken for one
	endedAt      time.Duration
	original     *request      // the one it repeats, where that is known
	successor    *request      // the newer try that took its place
	primary      *request      // the one it follows
	waiters      []*request    // those that follow it
	callAttempts int           // calls made for the present need
	callInFlight bool          // its call is in hand below
	callDeadline time.Duration // when the call out is given up, from the start of the instance
	retryAt      time.Duration
}

// scheduledCheck is a time at which a request, or its entry in the table, has to be looked at.
type scheduledCheck struct {
	at       time.Duration
	seq      uint64
	r        *request
	isExpiry bool
}

type classState struct {
	Class
	queue             orderedHeap[*request]
	allowance         int
	usedAllowance     int
	arrived           int     // requests of this window
	refused           int     // of these, refused
	refusedForCalls   int     // of the refused, for want of calls below
	successfulRuns    int     // runs that ended in this window
	meanRun           float64 // learned mean run, waits and calls included
	meanSize          float64 // learned mean size
	sizeVariance      float64 // spread of the sizes told, and how the runs vary with them
	sizeRunCovariance float64
	samples           int
	longestWait       time.Duration // the longest wait that came with a request: a first try's
}

// traffic counts what came and ran of late, earlier windows for less.
type traffic struct {
	arrived       float64
	retries       float64 // of these, further tries
	readDelay     float64 // time between reaching the machine and being read
	runTime       float64 // time of runs that ended
	requiredCalls float64 // arrivals whose calls can't be left out
}

// Instance decides for one server. It is not safe for concurrent use.
type Instance struct {
	set       Settings
	rng       *rand.Rand
	classes   []*classState // in priority order
	byName    map[string]*classState
	requests  map[ID]*request
	timeline  orderedHeap[scheduledCheck]
	arrivals  []*request
	actions   []Action
	now       time.Duration
	startedAt time.Duration
	coldSince time.Duration // when the machine began, where it was just started
	started   bool
	seq       uint64

	queued        int     // waiting in a queue
	running       int     // started and not ended
	calling       int     // of these, at a call
	memory        float64 // held, running and entries
	runnable      float64 // gauge; under 0: none yet
	runnableDelta int     // starts less ends and calls since the last reading
	paused        bool
	windowStarts  int // starts of this window

	timerAt      time.Duration
	timerPending bool
	timerToken   uint64 // token of the last timer
	windowEnd    time.Duration

	draining   bool
	drainStart time.Duration
	stopAt     time.Duration

	idleTimeout time.Duration // span after which idle connections are closed; 0: the callers' own
	recent      traffic
	readShare   float64 // share of unread waits in the time of recent requests
	retryShare  float64 // share of further tries in recent arrivals

	minAim      time.Duration // the least aim
	unreadLimit float64       // mean unread wait from which the server leaves the list, as a part of that
	unhealthy   bool          // it has left

	shed float64 // share of the usual traffic that callers were told to keep away

	callsInFlight   int           // calls out now
	meanCallTime    float64       // learned mean time of a call
	callDeadlines   time.Duration // sum of the ends of these calls, from the instance's start
	callTime        float64       // time of calls in hand over the span of the rule
	callTimeAt      time.Duration // when that was reckoned
	callTimeBuckets [callBuckets]float64

	callFailures int // in a row
	breakerEnd   time.Duration
	requiredEnd  time.Duration // until when optional calls are left out for those that can't be
	skippedCalls int           // calls of this window that were left out
	timedCalls   int           // and calls that came back in it with their time
}

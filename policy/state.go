package policy

import (
	"math/rand/v2"
	"time"
)

// This file holds the types of what an instance knows; policy.go decides.

type state int

const (
	fresh     state = iota // read in this batch, not looked at yet
	held                   // in its class's queue
	following              // held: waits for the result of another
	running                // on the cores, or waiting for disk
	calling                // at a call
	replaying              // waits for a shared result
	over                   // ended; its memory is back
)

type request struct {
	Arrived
	class    *class
	state    state
	seq      uint64
	reached  time.Duration // when it reached the machine
	due      time.Duration // when its answer is due
	aim      time.Duration // when its answer stops earning what it should
	size     float64       // R: hint, else the learned mean, in nanoseconds
	ran      bool          // it was started: never refused, never started again
	repeat   bool          // it repeats one that ran: never refused, never started
	answered bool          // nothing is owed any more
	stored   bool          // its entry lives
	good     bool          // its run ended well
	again    bool          // a further try, known or taken for one
	ended    time.Duration
	first    *request      // the one it repeats, where that is known
	heir     *request      // the newer try that took its place
	lead     *request      // the one it follows
	tail     []*request    // those that follow it
	tries    int           // calls made for the present need
	out      bool          // its call is in hand below
	callEnd  time.Duration // when the call out is given up, from the start of the instance
	retryAt  time.Duration
}

// moment is a time at which a request, or its entry in the table, has to be looked at.
type moment struct {
	at    time.Duration
	seq   uint64
	r     *request
	entry bool
}

type class struct {
	Class
	queue        orderedHeap[*request]
	allowance    int
	used         int
	seen         int     // requests of this window
	refused      int     // of these, refused
	refusedBelow int     // of the refused, for want of calls below
	ended        int     // runs that ended in this window
	run          float64 // learned mean run, waits and calls included
	size         float64 // learned mean size
	sizeVar      float64 // spread of the sizes told, and how the runs vary with them
	sizeRun      float64
	samples      int
	fullWait     time.Duration // the longest wait that came with a request: a first try's
}

// traffic counts what came and ran of late, earlier windows for less.
type traffic struct {
	arrived float64
	resent  float64 // of these, further tries
	reading float64 // time between reaching the machine and being read
	runs    float64 // time of runs that ended
	needy   float64 // arrivals whose calls can't be left out
}

// Instance decides for one server. It is not safe for concurrent use.
type Instance struct {
	set      Settings
	rng      *rand.Rand
	classes  []*class // in priority order
	byName   map[string]*class
	requests map[ID]*request
	line     orderedHeap[moment]
	arrivals []*request
	out      []Action
	now      time.Duration
	born     time.Duration
	coldFrom time.Duration // when the machine began, where it was just started
	begun    bool
	seq      uint64

	held     int     // waiting in a queue
	running  int     // started and not ended
	calling  int     // of these, at a call
	memory   float64 // held, running and entries
	runnable float64 // gauge; under 0: none yet
	moved    int     // starts less ends and calls since the last reading
	paused   bool
	bound    int // starts of this window

	nextWake  time.Duration
	waking    bool
	wakes     uint64 // token of the last timer
	windowEnd time.Duration

	draining  bool
	drainFrom time.Duration
	stopAt    time.Duration

	idle       time.Duration // span after which idle connections are closed; 0: the callers' own
	recent     traffic
	readShare  float64 // share of unread waits in the time of recent requests
	retryShare float64 // share of further tries in recent arrivals

	tightest   time.Duration // the least aim
	unreadMost float64       // mean unread wait from which the server leaves the list, as a part of that
	sick       bool          // it has left

	shed float64 // share of the usual traffic that callers were told to keep away

	inHand   int           // calls out now
	callRun  float64       // learned mean time of a call
	callEnds time.Duration // sum of the ends of these calls, from the instance's start
	callTime float64       // time of calls in hand over the span of the rule
	callsAt  time.Duration // when that was reckoned
	callPast [callParts]float64

	callFails int // in a row
	breakEnd  time.Duration
	needyEnd  time.Duration // until when optional calls are left out for those that can't be
	leftOut   int           // calls of this window that were left out
	timed     int           // and calls that came back in it with their time
}

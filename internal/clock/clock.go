// Package clock is the program's only source of time. Times are milliseconds as floating-point numbers, counted from the
// Unix epoch or from the machine's start.
package clock

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time and runs timers. A clock made by Manual does not move until it is set.
type Clock struct {
	mu     sync.Mutex
	manual bool
	now    float64
	timers []*Timer

	monotonic bool
	rate      float64       // rate set with SetRate; 0: none
	rateSetAt float64       // when that was set, in milliseconds
	jumpMS    atomic.Uint64 // bits of the sum of all jumps, in milliseconds
}

// Timer is a pending call.
type Timer struct {
	clock *Clock
	at    float64
	call  func()
	timer *time.Timer
}

// System returns the system's Unix clock.
func System() *Clock { return &Clock{} }

// Monotonic returns a monotonic clock: milliseconds since the machine's start, including time in which it was suspended.
// It is for durations that other processes rely on, which a wall clock that is set back would lengthen.
func Monotonic() *Clock { return &Clock{monotonic: true} }

// SetRate makes a clock run at a rate from now on, where 1 is its normal rate, and returns it. It is for fault injection.
func (c *Clock) SetRate(rate float64) *Clock {
	if !c.manual && rate > 0 && rate != 1 {
		c.rateSetAt = c.unadjusted()
		c.rate = rate
	}
	return c
}

// Jump sets a clock ahead, or back if ms is negative. It is for fault injection.
func (c *Clock) Jump(ms float64) {
	c.jumpMS.Store(math.Float64bits(math.Float64frombits(c.jumpMS.Load()) + ms))
}

// Rate returns the rate set with SetRate, or 1.
func (c *Clock) Rate() float64 {
	if c.rate > 0 {
		return c.rate
	}
	return 1
}

func (c *Clock) unadjusted() float64 {
	if !c.monotonic {
		return float64(time.Now().UnixNano()) / 1e6
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // supported by every Linux kernel that the program runs on
	}
	return float64(t.Nano()) / 1e6
}

// Manual returns a clock for tests, which is moved with Set.
func Manual(now float64) *Clock { return &Clock{manual: true, now: now} }

// Now returns the time in milliseconds: Unix time, or that of a monotonic clock.
func (c *Clock) Now() float64 {
	if !c.manual {
		now := c.unadjusted()
		if c.rate > 0 {
			now = c.rateSetAt + (now-c.rateSetAt)*c.rate
		}
		return now + math.Float64frombits(c.jumpMS.Load())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After runs a function once ms milliseconds have passed, on another goroutine or, for a manual clock, within Set.
func (c *Clock) After(ms float64, call func()) *Timer {
	if !c.manual {
		return &Timer{timer: time.AfterFunc(Duration(max(ms, 0)/c.Rate()), call)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &Timer{clock: c, at: c.now + ms, call: call}
	c.timers = append(c.timers, t)
	return t
}

// Stop cancels the call, unless it has run.
func (t *Timer) Stop() {
	if t.timer != nil {
		t.timer.Stop()
		return
	}
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	for i, o := range t.clock.timers {
		if o == t {
			t.clock.timers = append(t.clock.timers[:i], t.clock.timers[i+1:]...)
			return
		}
	}
}

// Set moves a manual clock and runs the calls that are due, in the order of their times.
func (c *Clock) Set(now float64) {
	c.mu.Lock()
	c.now = now
	sort.SliceStable(c.timers, func(i, j int) bool { return c.timers[i].at < c.timers[j].at })
	var due []*Timer
	for len(c.timers) > 0 && c.timers[0].at <= now {
		due = append(due, c.timers[0])
		c.timers = c.timers[1:]
	}
	c.mu.Unlock()
	for _, t := range due {
		t.call()
	}
}

// Duration converts milliseconds to a time.Duration. All conversions between the two use Duration and Millis.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis converts a time.Duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

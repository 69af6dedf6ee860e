// Package clock is the program's one source of time: Unix milliseconds as a floating-point number.
package clock

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time and calls back at times to come. A clock made by Manual stands still until it is set.
type Clock struct {
	mu     sync.Mutex
	manual bool
	now    float64
	timers []*Timer

	monotonic bool
	rate      float64       // of a clock that is made to run apart; 0: it is not
	rateSetAt float64       // when it began to
	jumpMS    atomic.Uint64 // bits of what it was set ahead by since
}

// Timer is a call to come.
type Timer struct {
	c     *Clock
	at    float64
	call  func()
	timer *time.Timer
}

// System is the system's Unix clock.
func System() *Clock { return &Clock{} }

// Monotonic is a clock that nothing sets: ms since the machine's start, with the time in which the machine was suspended. It
// is for spans that others rely on; a wall clock that is set back would lengthen them.
func Monotonic() *Clock { return &Clock{monotonic: true} }

// SetRate makes a clock run at a rate, 1 for as it does, from now on; for the laboratory.
func (c *Clock) SetRate(rate float64) *Clock {
	if !c.manual && rate > 0 && rate != 1 {
		c.rateSetAt = c.unadjusted()
		c.rate = rate
	}
	return c
}

// Jump sets a clock ahead, or back; for the laboratory.
func (c *Clock) Jump(ms float64) {
	c.jumpMS.Store(math.Float64bits(math.Float64frombits(c.jumpMS.Load()) + ms))
}

// Rate is the rate at which the clock was made to run.
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
		panic(err) // every kernel that this runs on has it
	}
	return float64(t.Nano()) / 1e6
}

// Manual is a clock for tests.
func Manual(now float64) *Clock { return &Clock{manual: true, now: now} }

// Now is the time in milliseconds: Unix time, or a steady clock's.
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

// After calls back, on another goroutine or from Set, once so many milliseconds have passed.
func (c *Clock) After(ms float64, call func()) *Timer {
	if !c.manual {
		return &Timer{timer: time.AfterFunc(Duration(max(ms, 0)/c.Rate()), call)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &Timer{c: c, at: c.now + ms, call: call}
	c.timers = append(c.timers, t)
	return t
}

// Stop revokes the call, unless it was made.
func (t *Timer) Stop() {
	if t.timer != nil {
		t.timer.Stop()
		return
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	for i, o := range t.c.timers {
		if o == t {
			t.c.timers = append(t.c.timers[:i], t.c.timers[i+1:]...)
			return
		}
	}
}

// Set moves a manual clock and makes the calls that fall due, in their order.
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

// Duration turns milliseconds into the module's and the library's unit; nothing else converts them.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis is the way back.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package scale

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/trace"
)

// journal writes the trace of all simulated servers of one process, for the checker.
type journal struct {
	steady *clock.Clock
	mu     sync.Mutex
	f      *os.File
	w      *bufio.Writer
	stop   chan struct{}
}

const flushEvery = 200 * time.Millisecond

// openJournal creates the trace file and starts to flush it periodically.
func openJournal(path string, steady *clock.Clock) (*journal, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	j := &journal{steady: steady, f: f, w: bufio.NewWriterSize(f, 256<<10), stop: make(chan struct{})}
	go func() {
		t := time.NewTicker(flushEvery)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				j.mu.Lock()
				j.w.Flush()
				j.mu.Unlock()
			case <-j.stop:
				return
			}
		}
	}()
	return j, nil
}

// add writes an event. An event without a time gets the current time.
func (j *journal) add(e trace.Event) {
	if e.At == 0 {
		e.At = j.steady.Now()
	}
	b, err := json.Marshal(e)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.w.Write(append(b, '\n'))
}

// close flushes and closes the file.
func (j *journal) close() error {
	close(j.stop)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.w.Flush()
	return j.f.Close()
}

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

// traceWriter writes down what many hollow servers of one process did, for the checker.
type traceWriter struct {
	steady *clock.Clock
	mu     sync.Mutex
	file   *os.File
	buffer *bufio.Writer
	stop   chan struct{}
}

const flushInterval = 200 * time.Millisecond

func newTraceWriter(path string, steady *clock.Clock) (*traceWriter, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	j := &traceWriter{steady: steady, file: f, buffer: bufio.NewWriterSize(f, 256<<10), stop: make(chan struct{})}
	go func() {
		t := time.NewTicker(flushInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				j.mu.Lock()
				j.buffer.Flush()
				j.mu.Unlock()
			case <-j.stop:
				return
			}
		}
	}()
	return j, nil
}

// add writes an event with the time of now, or its own where it has one.
func (j *traceWriter) add(e trace.Event) {
	if e.At == 0 {
		e.At = j.steady.Now()
	}
	b, err := json.Marshal(e)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.buffer.Write(append(b, '\n'))
}

func (j *traceWriter) close() error {
	close(j.stop)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.buffer.Flush()
	return j.file.Close()
}

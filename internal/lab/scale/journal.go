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

// traceWriter writes the trace of all simulated servers of one process, for the checker.
type traceWriter struct {
	steady *clock.Clock
	mu     sync.Mutex
	file   *os.File
	buffer *bufio.Writer
	stop   chan struct{}
}

const flushInterval = 200 * time.Millisecond

// newTraceWriter creates the trace file and starts to flush it periodically.
func newTraceWriter(path string, steady *clock.Clock) (*traceWriter, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	w := &traceWriter{steady: steady, file: f, buffer: bufio.NewWriterSize(f, 256<<10), stop: make(chan struct{})}
	go func() {
		t := time.NewTicker(flushInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				w.mu.Lock()
				w.buffer.Flush()
				w.mu.Unlock()
			case <-w.stop:
				return
			}
		}
	}()
	return w, nil
}

// add writes an event. An event without a time gets the current time.
func (w *traceWriter) add(e trace.Event) {
	if e.At == 0 {
		e.At = w.steady.Now()
	}
	b, err := json.Marshal(e)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer.Write(append(b, '\n'))
}

// close flushes and closes the file.
func (w *traceWriter) close() error {
	close(w.stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer.Flush()
	return w.file.Close()
}

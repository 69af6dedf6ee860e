// Package standin has the stand-ins that the cases of the review share: routers, gateways, executors, uwsgi servers, a proxy and
// the platform, which starts and signals the order servers. They follow the project's pages.
package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	Held    = 0 // the rule held
	Broken  = 1 // the rule was broken
	Unknown = 2 // the case could not run
)

// Record is the record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Line writes one line with the time since the start, in seconds.
func (r *Record) Line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, a ...any) {
	r.Line(format, a...)
	fmt.Printf(format+"\n", a...)
}

// Close closes the record.
func (r *Record) Close() { r.file.Close() }

// UnixMS returns the system's Unix time in milliseconds.
func UnixMS() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// Trouble reports whether the case is to cause its disruption, which TROUBLE=0 turns off.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

var ports struct {
	mu    sync.Mutex
	given map[int]bool
}

// Ports below those that the system gives to outgoing connections, which could take a free one before its server listens on it.
const firstPort, lastPort = 20000, 31999

// FreeAddress returns a loopback address whose port is free now and was not returned before.
func FreeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.given == nil {
		ports.given = map[int]bool{}
	}
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil || ports.given[port] {
			if err == nil {
				ln.Close()
			}
			continue
		}
		ln.Close()
		ports.given[port] = true
		return ln.Addr().String(), nil
	}
	return "", errors.New("no free port")
}

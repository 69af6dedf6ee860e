// Package operator serves the operators' HTTP/1.1 interface on an address of its own, with one call per connection. Calls
// are answered from data in memory and wait for no other part of the server.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	callFor  = 2 * time.Second // for reading a call, and for answering it
	mostHead = 4 << 10         // bytes of a call's header; bodies are ignored
)

// Calls contains the functions behind the operators' calls. None of them may block.
type Calls struct {
	Ready   func() bool // reports whether this process can serve
	Metrics func() any
	Drain   func(away bool)             // asks clients to go elsewhere, or accepts them again
	Extra   map[string]http.HandlerFunc // further calls, keyed by method and path
}

// Front serves the calls of operators.
type Front struct {
	ln     net.Listener
	most   int // connections; beyond this number a new one replaces the oldest
	server *http.Server

	mu   sync.Mutex
	open []net.Conn // oldest first
}

// Listen opens the listening socket, on which at most the given number of connections are kept. Serve has to be called next.
func Listen(address string, most int, calls Calls, log zerolog.Logger) (*Front, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &Front{ln: ln, most: most}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !calls.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /-/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(calls.Metrics())
	})
	for path, away := range map[string]bool{"PUT /-/drain": true, "PUT /-/resume": false} {
		mux.HandleFunc(path, func(http.ResponseWriter, *http.Request) {
			log.Info().Bool("away", away).Msg("operator changed the drain state")
			calls.Drain(away)
		})
	}
	for path, call := range calls.Extra {
		mux.HandleFunc(path, call)
	}
	f.server = &http.Server{Handler: mux, ReadTimeout: callFor, WriteTimeout: callFor, MaxHeaderBytes: mostHead, ConnState: f.state}
	f.server.SetKeepAlivesEnabled(false)
	return f, nil
}

// Addr returns the address that the front listens on.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Serve answers calls until the front is closed.
func (f *Front) Serve() error {
	if err := f.server.Serve(f.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close waits for calls in progress until ctx ends, and then closes all connections.
func (f *Front) Close(ctx context.Context) {
	f.server.Shutdown(ctx)
	f.server.Close()
}

// state tracks open connections and closes the oldest if there are too many. This guards against clients that connect and
// complete no call: they must not exclude others until their timeout.
func (f *Front) state(conn net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case http.StateNew:
		f.open = append(f.open, conn)
		if len(f.open) > f.most {
			f.open[0].Close()
			f.open = f.open[1:]
		}
	case http.StateClosed, http.StateHijacked:
		for i, o := range f.open {
			if o == conn {
				f.open = append(f.open[:i], f.open[i+1:]...)
				return
			}
		}
	}
}

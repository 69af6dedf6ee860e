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
	callTimeout    = 2 * time.Second // for reading a call, and for answering it
	maxHeaderBytes = 4 << 10         // bytes of a call's header; bodies are ignored
)

// Calls contains the functions behind the operators' calls. None of them may block.
type Calls struct {
	Ready   func() bool                 // reports whether this process can serve
	Metrics func() any                  // returns the server's metrics, to be encoded as JSON
	Drain   func(away bool)             // sends clients away, or ends that
	Extra   map[string]http.HandlerFunc // further calls, keyed by method and path
}

// Front serves the calls of operators.
type Front struct {
	ln       net.Listener
	maxConns int // connections; beyond this number a new one replaces the oldest
	server   *http.Server

	mu    sync.Mutex
	conns []net.Conn // oldest first
}

// Listen opens the listening socket, on which at most the given number of connections are kept. Serve has to be called next.
func Listen(address string, maxConns int, calls Calls, log zerolog.Logger) (*Front, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &Front{ln: ln, maxConns: maxConns}
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
	for path, handler := range calls.Extra {
		mux.HandleFunc(path, handler)
	}
	f.server = &http.Server{Handler: mux, ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: f.trackConn}
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

// trackConn tracks open connections and closes the oldest if there are too many. This guards against clients that connect
// and complete no call: they must not exclude others until their timeout.
func (f *Front) trackConn(conn net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case http.StateNew:
		f.conns = append(f.conns, conn)
		if len(f.conns) > f.maxConns {
			f.conns[0].Close()
			f.conns = f.conns[1:]
		}
	case http.StateClosed, http.StateHijacked:
		for i, o := range f.conns {
			if o == conn {
				f.conns = append(f.conns[:i], f.conns[i+1:]...)
				return
			}
		}
	}
}

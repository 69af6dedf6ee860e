// Package operator is the address that operators call, apart from the one for requests: HTTP/1.1, one call a
// connection. It answers from what is at hand and waits for no part of the server.
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
	callTimeout    = 2 * time.Second // a call is read and answered within this
	maxHeaderBytes = 4 << 10         // bytes of a call's head; it has no body that matters
)

// Calls is what operators may ask for. None of them waits.
type Calls struct {
	Ready   func() bool // this process can serve
	Metrics func() any
	Drain   func(away bool)             // send clients away, or take them again
	Extra   map[string]http.HandlerFunc // further calls, by method and path
}

// Front serves operators.
type Front struct {
	ln       net.Listener
	maxConns int // connections; past this the oldest gives way to a new one
	server   *http.Server

	mu    sync.Mutex
	conns []net.Conn // oldest first
}

// Listen opens the listening socket; Serve has to be called next.
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
			log.Info().Bool("away", away).Msg("operator's order")
			calls.Drain(away)
		})
	}
	for path, handler := range calls.Extra {
		mux.HandleFunc(path, handler)
	}
	f.server = &http.Server{Handler: mux, ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: f.trackConn}
	f.server.SetKeepAlivesEnabled(false)
	return f, nil
}

// Addr is where the front listens.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Serve answers calls until the front is closed.
func (f *Front) Serve() error {
	if err := f.server.Serve(f.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close lets calls under way end, for as long as ctx allows.
func (f *Front) Close(ctx context.Context) {
	f.server.Shutdown(ctx)
	f.server.Close()
}

// trackConn closes the oldest connection where there are too many. Guards against callers that connect and finish
// no call: they must not keep others out until their time is up.
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

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
	callFor  = 2 * time.Second // a call is read and answered within this
	mostHead = 4 << 10         // bytes of a call's head; it has no body that matters
)

// Calls is what operators may ask for. None of them waits.
type Calls struct {
	Ready   func() bool // this process can serve
	Figures func() any
	Drain   func(away bool)             // send clients away, or take them again
	More    map[string]http.HandlerFunc // further calls, by method and path
}

// Front serves operators.
type Front struct {
	ln     net.Listener
	most   int // connections; past this the oldest gives way to a new one
	server *http.Server

	mu   sync.Mutex
	open []net.Conn // oldest first
}

// Listen opens the listening socket; Serve has to be called next.
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
		json.NewEncoder(w).Encode(calls.Figures())
	})
	for path, away := range map[string]bool{"PUT /-/drain": true, "PUT /-/resume": false} {
		mux.HandleFunc(path, func(http.ResponseWriter, *http.Request) {
			log.Info().Bool("away", away).Msg("operator's order")
			calls.Drain(away)
		})
	}
	for path, call := range calls.More {
		mux.HandleFunc(path, call)
	}
	f.server = &http.Server{Handler: mux, ReadTimeout: callFor, WriteTimeout: callFor, MaxHeaderBytes: mostHead, ConnState: f.state}
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

// state closes the oldest connection where there are too many. Guards against callers that connect and finish
// no call: they must not keep others out until their time is up.
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

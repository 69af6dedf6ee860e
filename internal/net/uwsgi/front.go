package uwsgi

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/accept"
	"puffinsaddle/internal/pool"
)

const (
	lingerTimeout  = 200 * time.Millisecond // time for the caller to read its answer before the connection is closed
	maxLingerBytes = 1 << 20                // of input that is discarded meanwhile
	writeTimeout   = 2 * time.Second        // for a caller that does not read its answer
	defaultRank    = 0.5                    // the middle of the ranks, for requests without one

	fullRetryAfterMS = 1000.0 // milliseconds until a retry of a request over the maximum number of connections
)

// Front accepts requests from gateways, one on each connection.
type Front struct {
	settings config.UWSGI
	core     *core.Core
	clock    *clock.Clock
	log      zerolog.Logger
	ln       *accept.Listener

	stopping     atomic.Bool // the listening socket is about to close
	mu           sync.Mutex
	conns        map[*gatewayConn]bool
	open         int // of these, the ones that were not evicted
	usedBytes    int // reserved by them
	shuttingDown bool
}

// New returns a front on a listening socket; Serve has to be called next.
func New(ln *accept.Listener, settings config.UWSGI, c *core.Core, clk *clock.Clock, log zerolog.Logger) *Front {
	return &Front{settings: settings, core: c, clock: clk, log: log, ln: ln, conns: map[*gatewayConn]bool{}}
}

// Addr returns the address that the front listens on.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Serve accepts requests until the front is closed.
func (f *Front) Serve() {
	f.ln.Serve(func(nc net.Conn) {
		conn := f.admit(nc)
		if conn == nil {
			nc.Close()
			return
		}
		go func() {
			defer func() {
				f.remove(conn)
				conn.Close()
			}()
			f.serveConn(conn)
		}()
	})
}

// Drain does nothing: each connection carries one request, and the policy module decides on those that still arrive.
func (f *Front) Drain() {}

// StopAccepting closes the listener and stops reading incomplete requests, which are answered with status 408.
func (f *Front) StopAccepting() {
	f.stopping.Store(true)
	f.ln.StopAccepting()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shuttingDown = true
	for conn := range f.conns {
		if conn.state == readingRequest {
			conn.SetReadDeadline(time.Now())
		}
	}
}

// Yield leaves new connections to the process that shares the listening socket. Open connections continue.
func (f *Front) Yield() {
	f.stopping.Store(true)
	f.ln.Yield()
}

// Flushed reports whether all answers are written.
func (f *Front) Flushed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) == 0
}

// CloseSettled returns what is owed. Connections close by themselves once their answers are written.
func (f *Front) CloseSettled() core.Owed { return f.owed() }

// Close closes the listener and all connections.
func (f *Front) Close() {
	f.ln.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		conn.Close()
	}
}

// serveConn reads one request and writes exactly one answer, even if the request is malformed.
func (f *Front) serveConn(conn *gatewayConn) {
	q, err := f.readRequest(conn)
	if err == io.EOF {
		return // nothing was sent
	}
	if err != nil {
		f.rejectInvalid(conn, err)
		return
	}
	if accept.HasEnded(conn.Conn) { // its caller has gone, and waits for no answer
		pool.Put(q.Body)
		return
	}
	full := f.takeInHand(conn)
	answerWritten := make(chan struct{})
	answer := func(o core.Outcome) {
		status, retryAfterS := httpStatus(o)
		writeResponse(conn, status, retryAfterS, o.Result)
		f.setAnswered(conn)
		close(answerWritten)
	}
	if full { // the request is not accepted, but was read: a retry of a request that has run must not be refused
		f.core.Refuse(q, fullRetryAfterMS, answer)
		<-answerWritten
		linger(conn)
		return
	}
	handler := f.core.Open(q, answer)
	// The request is abandoned when the caller closes the connection; anything else that the caller sends is discarded.
	disconnected := make(chan struct{})
	go func() {
		io.Copy(io.Discard, conn)
		close(disconnected)
	}()
	select {
	case <-answerWritten:
	case <-disconnected:
		handler.CallerGone()
		return
	}
	linger(conn)
}

// readRequest reads the request of a connection. It returns io.EOF if nothing was sent.
func (f *Front) readRequest(conn *gatewayConn) (*core.Request, error) {
	arrivedMS := f.clock.Now()
	f.mu.Lock()
	deadline := time.Now()
	if !f.shuttingDown && !conn.evicted {
		deadline = deadline.Add(clock.Duration(f.settings.ReadTimeoutMS))
	}
	conn.SetReadDeadline(deadline)
	f.mu.Unlock()
	p, err := f.readPacket(conn)
	if err != nil {
		return nil, err
	}
	q, err := f.parseRequest(p, arrivedMS)
	if err != nil {
		pool.Put(p.body)
	}
	return q, err
}

// rejectInvalid answers a request that was not read completely, or that is malformed.
func (f *Front) rejectInvalid(conn *gatewayConn, err error) {
	status := http.StatusBadRequest
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, errNoMemory) {
		status = http.StatusRequestTimeout
	}
	f.log.Debug().Err(err).Int("status", status).Msg("invalid uwsgi request")
	writeResponse(conn, status, 0, nil)
	f.setAnswered(conn)
	if !f.isEvicted(conn) {
		linger(conn)
	}
}

// parseRequest builds the request that the variables of a packet describe. It arrived at arrivedMS, in Unix milliseconds,
// unless the packet names an earlier time.
func (f *Front) parseRequest(p *packet, arrivedMS float64) (*core.Request, error) {
	vars := p.vars
	q := &core.Request{ID: vars[varID], Class: vars[varClass], ArrivedAt: arrivedMS, Retry: vars[varRetry] == "1", KB: f.settings.DefaultRequestKB,
		Rank: defaultRank, Key: vars[varKey], IdempotencyKey: vars[varIdempotencyKey], Tenant: vars[varTenant], Body: p.body}
	if q.Class == "" {
		uri := vars[varPathInfo]
		if uri == "" {
			uri, _, _ = strings.Cut(vars[varRequestURI], "?")
		}
		q.Class = path.Base(uri)
	}
	if q.ID == "" {
		var b [8]byte
		rand.Read(b[:])
		q.ID = hex.EncodeToString(b[:])
	} else if b, err := hex.DecodeString(q.ID); err != nil || len(b) != 8 {
		return nil, fmt.Errorf("%w: %s is not 16 hexadecimal digits", errMalformed, varID)
	}
	var caller float64
	for _, n := range []struct {
		name string
		to   *float64
	}{{varArrival, &q.ArrivedAt}, {varWait, &q.WaitMS}, {varCaller, &caller}, {varKB, &q.KB}, {varRank, &q.Rank}, {varCost, &q.CostMS}} {
		s := vars[n.name]
		if s == "" {
			continue
		}
		x, err := strconv.ParseFloat(s, 64)
		if err != nil || !(x >= 0 && x < 1<<53) {
			return nil, fmt.Errorf("%w: %s is not a number from 0 to below 2^53", errMalformed, n.name)
		}
		*n.to = x
	}
	q.Caller = int64(caller)
	if err := q.Check(arrivedMS); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	q.ArrivedAt = min(q.ArrivedAt, arrivedMS) // a gateway whose clock is ahead must not prolong the wait
	return q, nil
}

// httpStatus returns the HTTP status of an outcome and the value of its Retry-After header in seconds; 0: no header.
func httpStatus(o core.Outcome) (status, retryAfterS int) {
	switch {
	case o.Verdict == core.Served:
		return http.StatusOK, 0
	case o.Verdict == core.Refused && o.UnknownClass:
		return http.StatusNotFound, 0
	case o.Verdict == core.Refused:
		return http.StatusServiceUnavailable, max(int(math.Ceil(o.RetryAfterMS/1000)), 1)
	case o.Verdict == core.Overdue:
		return http.StatusGatewayTimeout, 0
	}
	return http.StatusBadGateway, 0
}

// writeResponse writes the answer, with a Retry-After header unless retryAfterS is 0.
func writeResponse(conn net.Conn, status, retryAfterS int, body []byte) {
	b := pool.Get(pool.Size)[:0]
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if retryAfterS > 0 {
		b = fmt.Appendf(b, "Retry-After: %d\r\n", retryAfterS)
	}
	b = append(b, "Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n"...)
	b = append(b, body...)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	conn.Write(b)
	pool.Put(b)
}

// linger closes the writing side and discards input for a while before the connection is closed. Closing a connection with
// unread bytes would reset it, and the caller could lose the answer.
func linger(conn *gatewayConn) {
	if t, ok := conn.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(conn, maxLingerBytes))
}

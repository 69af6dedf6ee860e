package uwsgi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/httpbody"
	"puffinsaddle/policy"
)

// Runner runs requests by forwarding them to uwsgi servers.
type Runner struct {
	servers        atomic.Pointer[[]string]
	maxResultBytes int
	clock          *clock.Clock
	log            zerolog.Logger
	dialer         net.Dialer
	nextServer     atomic.Uint32
}

// NewRunner returns a runner that uses the servers and the limit on results in settings.
func NewRunner(settings config.UWSGI, clk *clock.Clock, log zerolog.Logger) *Runner {
	r := &Runner{maxResultBytes: settings.MaxResultBytes, clock: clk, log: log}
	r.SetServers(settings.Servers)
	return r
}

// SetServers replaces the list of servers; attempts in flight stay on their connections.
func (r *Runner) SetServers(servers []string) { r.servers.Store(&servers) }

// Start forwards the request of an attempt and notifies the attempt of its end.
func (r *Runner) Start(a *core.Attempt) {
	go func() {
		startedMS := r.clock.Now()
		end, err := r.run(a)
		if err != nil {
			r.log.Warn().Err(err).Str("id", a.Request.ID).Msg("attempt failed")
		}
		end.Ended, end.TookMS = true, r.clock.Now()-startedMS
		a.Notify(end)
	}()
}

// run makes one attempt and returns the notice of its end. The server does not state when it made the result, and the response may
// have been on its way for any part of the time, so the result counts as made when the request was sent.
func (r *Runner) run(a *core.Attempt) (core.Notice, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := r.clock.After(a.Due-r.clock.Now(), cancel)
	defer timer.Stop()

	head, err := r.requestHead(a)
	if err != nil {
		return core.Notice{Outcome: policy.NotRun}, err
	}
	conn, err := r.connect(ctx)
	if err != nil {
		return core.Notice{Outcome: policy.NotRun}, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	sentMS := r.clock.Now()
	if _, err := (&net.Buffers{head, a.Request.Body}).WriteTo(conn); err != nil {
		return core.Notice{Outcome: policy.Failed}, err
	}
	outcome, body, err := r.readResponse(conn)
	return core.Notice{Outcome: outcome, MadeAt: sentMS, Body: body}, err
}

// requestHead returns the packet of an attempt's request without its body.
func (r *Runner) requestHead(a *core.Attempt) ([]byte, error) {
	q := a.Request
	return AppendPacket(nil, map[string]string{
		"REQUEST_METHOD": "POST", "PATH_INFO": "/" + q.Class, "REQUEST_URI": "/" + q.Class, "QUERY_STRING": "",
		"SERVER_PROTOCOL": "HTTP/1.1", "CONTENT_LENGTH": strconv.Itoa(len(q.Body)),
		varClass: q.Class, varID: q.ID, varKey: q.Key,
		varWait: strconv.FormatInt(int64(math.Max(a.Due-r.clock.Now(), 1)), 10),
	})
}

// connect connects to the next server. It moves on to another one only if a connection fails: once bytes may have been sent, the
// request may have had its effect.
func (r *Runner) connect(ctx context.Context) (net.Conn, error) {
	first, servers := r.nextServer.Add(1), *r.servers.Load()
	err := errors.New("no uwsgi servers are configured")
	for i := range servers {
		address := servers[(int(first)+i)%len(servers)]
		var conn net.Conn
		if conn, err = r.dialer.DialContext(ctx, "tcp", address); err == nil {
			return conn, nil
		}
	}
	return nil, err
}

// readResponse reads the HTTP response of a server and returns its body in a buffer from the pool.
func (r *Runner) readResponse(conn net.Conn) (policy.Outcome, []byte, error) {
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4096), nil)
	if err != nil {
		return policy.Failed, nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return policy.Failed, nil, fmt.Errorf("uwsgi server answered with status %s", resp.Status)
	}
	body, err := httpbody.Read(resp, r.maxResultBytes)
	if errors.Is(err, httpbody.ErrTooLong) {
		err = errors.New("result is larger than uwsgi.max_result")
	}
	if err != nil {
		return policy.Failed, nil, err // truncated: not the result that the server produced
	}
	return policy.OK, body, nil
}

// Return does nothing: uwsgi servers make no downstream calls through the order server.
func (r *Runner) Return(*core.Attempt, uint64, []byte) {}

// Skip does nothing: uwsgi servers make no downstream calls through the order server.
func (r *Runner) Skip(*core.Attempt, uint64) {}

// Abandon does nothing: the attempt continues to its end or to its due time, since breaking it off would not undo it.
func (r *Runner) Abandon(*core.Attempt) {}

// ReadGauges never calls back: uwsgi servers have no gauges, and without gauges the policy module counts its own starts.
func (r *Runner) ReadGauges(func([]float64)) {}

// Diagnose always reports false: uwsgi servers offer no deep health check.
func (r *Runner) Diagnose(func(bool)) bool { return false }

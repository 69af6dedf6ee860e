package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const readTime = 20 * time.Millisecond // of the reads of hostile clients

// fullSpeed writes commands with rising numbers on one connection as fast as the server reads them, until the connection ends. Answers
// are read and dropped unless unread is set.
func fullSpeed(conn net.Conn, unread bool, command func(number int) []byte) {
	if !unread {
		go io.Copy(io.Discard, conn)
	}
	w := bufio.NewWriterSize(conn, 64<<10)
	for number := 1; ; number++ {
		if _, err := w.Write(command(number)); err != nil {
			return
		}
	}
}

// hostileRequest returns a request of a router with the given number.
func hostileRequest(tag int, class, moreFields, body string) []byte {
	fields := fmt.Sprintf("id=%016x,at=%d,from=9,kb=0.1,rank=0.5%s", 1<<50+tag, time.Now().UnixMilli(), moreFields)
	return resp("REQ", strconv.Itoa(tag), class, fields, body)
}

// One client sends small or unsound requests on one connection at full speed, also under ever new names: the others are served, and the
// memory stays within its limit. Guards against a connection that takes the runs or the time of all others.
func TestHostileFullSpeed(t *testing.T) {
	plays := map[string]struct {
		unread  bool
		command func(number int) []byte
	}{
		"requests taken back at once": {false, func(number int) []byte {
			return append(hostileRequest(number, "read", "", "b"), resp("ABORT", strconv.Itoa(number))...)
		}},
		"runs taken back at once": {false, func(number int) []byte {
			return append(hostileRequest(number, "work", "", "b"), resp("ABORT", strconv.Itoa(number))...)
		}},
		"small reads": {false, func(number int) []byte { return hostileRequest(number, "read", ",key=k", "b") }},
		"ever new names": {false, func(number int) []byte {
			return hostileRequest(number, fmt.Sprintf("class%d", number), fmt.Sprintf(",key=k%d,once=o%d", number, number), "b")
		}},
		"ever new keys": {false, func(number int) []byte {
			return append(hostileRequest(number, "pay", fmt.Sprintf(",once=o%d", number), "b"), resp("ABORT", strconv.Itoa(number))...)
		}},
		"unsound requests": {false, func(number int) []byte { return resp("REQ", strconv.Itoa(number), "read", "at=x", "b") }},
		"health checks":    {false, func(number int) []byte { return resp("HEALTH", strconv.Itoa(number), "deep=1") }},
		"health checks with unread answers": {true, func(number int) []byte {
			return resp("HEALTH", strconv.Itoa(number), "deep=1")
		}},
	}
	for name, p := range plays {
		t.Run(name, func(t *testing.T) {
			s := startHostileServer(t, hostileOptions{memoryMB: hostileMemoryMB, executor: startSlowReadExecutor(t, readTime),
				classes: `,{"name":"pay","aim":1700000000,"deadline":5000000000,"worth":1.0,"idempotency":"keyed","keyTtl":5000000000},
					{"name":"work","aim":1700000000,"deadline":5000000000,"worth":9.0,"idempotency":"unsafe"}`})
			s.check(s.play(1, func(s *hostileServer, _ int, ended <-chan struct{}) {
				untilEnded(s.router, ended, func(conn net.Conn) { fullSpeed(conn, p.unread, p.command) })
			}, gatewayServes))
		})
	}
}

// One client at a time sends requests to the uwsgi front at full speed, each on a connection that it closes at once or after the answer;
// another one calls the operators' address. The others are served.
func TestHostileFullSpeedOnOtherFronts(t *testing.T) {
	request := append(gatewayPacket("ORDER_CLASS", "read", "CONTENT_LENGTH", "1"), 'x')
	plays := map[string]func(s *hostileServer, ended <-chan struct{}){
		"gateway that closes at once": func(s *hostileServer, ended <-chan struct{}) {
			untilEnded(s.gateway, ended, func(conn net.Conn) { conn.Write(request) })
		},
		"gateway with malformed packets": func(s *hostileServer, ended <-chan struct{}) {
			untilEnded(s.gateway, ended, func(conn net.Conn) { sendAndWait(conn, []byte("GET / HTTP/1.1\r\n")) })
		},
		"operators' calls": func(s *hostileServer, ended <-chan struct{}) {
			untilEnded(s.operator, ended, func(conn net.Conn) {
				io.WriteString(conn, "GET /-/"+strings.Repeat("x", 100)+" HTTP/1.1\r\nHost: a\r\n\r\n")
				http.ReadResponse(bufio.NewReader(conn), nil)
			})
		},
	}
	for name, client := range plays {
		t.Run(name, func(t *testing.T) {
			s := startHostileServer(t, hostileOptions{memoryMB: hostileMemoryMB, executor: startSlowReadExecutor(t, readTime)})
			s.check(s.play(1, func(s *hostileServer, _ int, ended <-chan struct{}) { client(s, ended) }, gatewayServes))
		})
	}
}

// Gateways send the last byte of a packet and the end of the connection at once: such a request does not run. Guards against requests
// that are sent on although their caller is known to have gone.
func TestHostileGatewaysThatLeave(t *testing.T) {
	s := startHostileServer(t, hostileOptions{memoryMB: hostileMemoryMB})
	request := append(gatewayPacket("ORDER_CLASS", "book", "CONTENT_LENGTH", "1"), 'x')
	for range 400 {
		conn, err := net.Dial("tcp", s.gateway)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(request[:len(request)-1])
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Write(func(fd uintptr) bool { // the byte waits for the end of the connection
			return syscall.Sendto(int(fd), request[len(request)-1:], syscall.MSG_MORE, nil) == nil
		})
		conn.Close()
	}
	time.Sleep(settleTime)
	response, err := httpClient.Get("http://" + s.operator + "/-/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var metrics struct{ Tries int }
	if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil || metrics.Tries > 0 {
		t.Errorf("%d requests of gateways that had gone were run, %v", metrics.Tries, err)
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// startSlowReadExecutor starts a fake executor that completes attempts of the class book at once, and others after a time.
func startSlowReadExecutor(t *testing.T, took time.Duration) string {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) { serveSlowReadExecutor(conn, took) })
}

// serveSlowReadExecutor is the fake executor's side of a link.
func serveSlowReadExecutor(conn net.Conn, took time.Duration) {
	defer conn.Close()
	r, n := bufio.NewReader(conn), 0
	var mu sync.Mutex
	complete := func(id string) {
		mu.Lock()
		defer mu.Unlock()
		n++
		fmt.Fprintf(conn, "EXIT %d %s success 1 2\r\nok\r\n", n, id)
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		switch words := strings.Fields(line); words[0] {
		case "JOIN":
			io.WriteString(conn, "WELCOME steady 100000\r\n")
		case "METER":
			fmt.Fprintf(conn, "METERS %s 0.1 0 0.1 1\r\n", words[1])
		case "EXEC":
			var size int
			fmt.Sscan(words[3], &size)
			r.Discard(size + 2)
			if id := words[1]; words[2] == "book" {
				complete(id)
			} else {
				time.AfterFunc(took, func() { complete(id) })
			}
		}
	}
}

// Hundreds of routers have as many open requests as they may have, with bodies of one byte, all reads of one key that wait for a run.
// Guards against requests that each hold a buffer for the largest body.
func TestHostileOpenRequests(t *testing.T) {
	for _, memoryMB := range hostileMemories() {
		t.Run(fmt.Sprintf("%d MB", memoryMB), func(t *testing.T) {
			s := startHostileServer(t, hostileOptions{memoryMB: memoryMB, executor: startSlowReadExecutor(t, time.Second)})
			s.check(s.play(hostileConnections, func(s *hostileServer, number int, ended <-chan struct{}) {
				untilEnded(s.router, ended, func(conn net.Conn) {
					for tag := 1; tag <= 32; tag++ {
						fields := fmt.Sprintf("id=%016x,at=%d,from=4,kb=0.1,rank=0.5,key=k", number<<32+tag, time.Now().UnixMilli())
						conn.Write(resp("REQ", strconv.Itoa(tag), "read", fields, "b"))
					}
					io.Copy(io.Discard, conn)
				})
			}, routerServes))
		})
	}
}

package standin

import (
	"bufio"
	"fmt"
	"net"

	"puffinsaddle/internal/net/uwsgi"
)

// ServeUWSGI serves uwsgi requests on a listener. run does the work of each request and returns its result.
func ServeUWSGI(ln net.Listener, run func(vars map[string]string, body []byte) []byte) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			vars, body, err := uwsgi.ReadPacket(bufio.NewReader(conn), 1<<20)
			if err != nil {
				return
			}
			result := run(vars, body)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(result), result)
		}()
	}
}

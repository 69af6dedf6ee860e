package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"puffinsaddle/internal/net/uwsgi"
)

// uwsgiServer stands in for a uwsgi server: it passes each request to a function, whose result it sends.
type uwsgiServer struct{ ln net.Listener }

// serveUWSGI listens on an address and answers each request with the result of handle, which may wait.
func serveUWSGI(address string, handle func(vars map[string]string, body []byte) []byte) (*uwsgiServer, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(30 * time.Second))
				vars, body, err := uwsgi.ReadPacket(bufio.NewReader(conn), 1<<16)
				if err != nil {
					return
				}
				result := handle(vars, body)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(result), result)
			}()
		}
	}()
	return &uwsgiServer{ln}, nil
}

func (s *uwsgiServer) close() { s.ln.Close() }

// uwsgiPacket returns the packet of a request as a gateway sends it.
func uwsgiPacket(class, id, body string, more map[string]string) ([]byte, error) {
	vars := map[string]string{"REQUEST_METHOD": "POST", "PATH_INFO": "/" + class, "ORDER_CLASS": class, "ORDER_ID": id,
		"CONTENT_LENGTH": strconv.Itoa(len(body))}
	for k, v := range more {
		vars[k] = v
	}
	packet, err := uwsgi.AppendPacket(nil, vars)
	return append(packet, body...), err
}

// readAnswer reads the response on a gateway's connection.
func readAnswer(conn net.Conn, wait time.Duration) (status int, body string, err error) {
	conn.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

// ask sends one request on a new connection, all at once, and returns the answer.
func ask(address, class, id, body string, more map[string]string) (status int, answer string, err error) {
	packet, err := uwsgiPacket(class, id, body, more)
	if err != nil {
		return 0, "", err
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	if _, err := conn.Write(packet); err != nil {
		return 0, "", err
	}
	return readAnswer(conn, 10*time.Second)
}

// unixMS returns a time in Unix milliseconds, as the protocol states times.
func unixMS(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }

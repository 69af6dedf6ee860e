// Command toy is a uwsgi server to try puffinsaddle with: it responds to each request with the request's body after a short
// delay. With -ask it is a client instead, and sends one request to the order server.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"time"

	"puffinsaddle/internal/net/uwsgi"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:3031", "where the server listens")
	delay := flag.Duration("work", 200*time.Millisecond, "how long a request takes")
	class := flag.String("ask", "", "be a client, and send one request of this class")
	address := flag.String("to", "127.0.0.1:3030", "where the client sends it")
	body := flag.String("body", "", "its body")
	flag.Parse()
	var err error
	if *class != "" {
		err = send(*address, *class, *body)
	} else {
		err = serve(*listen, *delay)
	}
	if err != nil {
		log.Fatal(err)
	}
}

// send sends one request and prints the complete response.
func send(address, class, body string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	packet, err := uwsgi.AppendPacket(nil, map[string]string{"REQUEST_METHOD": "POST", "PATH_INFO": "/" + class,
		"CONTENT_LENGTH": strconv.Itoa(len(body))})
	if err != nil {
		return err
	}
	if _, err := conn.Write(append(packet, body...)); err != nil {
		return err
	}
	response, err := io.ReadAll(conn)
	fmt.Printf("%s\n", response)
	return err
}

// serve responds to each request with its body after delay.
func serve(listen string, delay time.Duration) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	log.Printf("toy server on %s", ln.Addr())
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			vars, body, err := uwsgi.ReadPacket(bufio.NewReader(conn), 1<<20)
			if err != nil {
				log.Printf("reading the request: %v", err)
				return
			}
			log.Printf("%s %s: %d bytes", vars["ORDER_ID"], vars["PATH_INFO"], len(body))
			time.Sleep(delay)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}()
	}
}

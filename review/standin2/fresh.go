package standin2

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// startGateway starts an order server whose requests come from gateways and are run by one uwsgi server.
func (p *Play) startGateway(stopMS int, runsAt string) (server *process, gateway string, err error) {
	addresses, err := freeAddresses(2)
	if err != nil {
		return nil, "", err
	}
	gateway = addresses[0]
	classes := []any{
		map[string]any{"name": "price-quote", "aim": 2100000000, "deadline": 5000000000, "idempotency": "safe", "worth": 1.0},
		map[string]any{"name": "account-update", "aim": 3100000000, "deadline": 10000000000, "idempotency": "safe", "worth": 2.0, "lateValue": 0.2},
		map[string]any{"name": "book-delivery", "aim": 1700000000, "deadline": 5000000000, "idempotency": "unsafe", "worth": 4.0},
	}
	config, err := p.platformFile("n1", map[string]any{"listen": addresses[1], "stop_ms": stopMS}, map[string]any{"classes": classes, "extra": map[string]any{"nCores": 6}})
	if err != nil {
		return nil, "", err
	}
	operator, err := p.writeFile("n1/operator.yaml", fmt.Sprintf("uwsgi:\n  listen: %s\n  servers: [%s]\n", gateway, runsAt))
	if err != nil {
		return nil, "", err
	}
	if server, err = p.startServer("n1", "RELAY_CONFIG="+config, "PUFFINSADDLE_OPERATOR="+operator); err != nil {
		return nil, "", err
	}
	return server, gateway, waitUntil(10*time.Second, "n1 serves", func() bool { return accepts(gateway) })
}

// writeSlowly connects and sends a packet in two parts: the first half at once, the rest at a given time. It returns the time just
// before the rest was sent, which is the earliest at which the request can have come.
func (p *Play) writeSlowly(address string, packet []byte, restAt time.Time) (conn net.Conn, came time.Time, err error) {
	if conn, err = net.Dial("tcp", address); err != nil {
		return nil, came, err
	}
	if _, err = conn.Write(packet[:len(packet)/2]); err != nil {
		return conn, came, err
	}
	time.Sleep(time.Until(restAt))
	came = time.Now()
	_, err = conn.Write(packet[len(packet)/2:])
	return conn, came, err
}

// Figures of the rule on shared reads.
const (
	freshTime   = 200 * time.Millisecond // freshFor of the settings
	socketExtra = 50 * time.Millisecond  // by which every time limit is longer on sockets
	freshRounds = 5
)

// Fresh reads a price before and after it changes, the second time from a gateway that writes slowly, and checks that the
// result that it gets was not too old when the read came.
func Fresh(p *Play) (broken bool, err error) {
	runsAt, err := freeAddress()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	price, reads := 1, 0
	madeAt := map[string]time.Time{} // by result
	s, err := serveUWSGI(runsAt, func(vars map[string]string, body []byte) []byte {
		mu.Lock()
		if vars["ORDER_CLASS"] == "account-update" {
			price++
			p.record("uwsgi server: runs %s %s, the price is %d now", vars["ORDER_CLASS"], vars["ORDER_ID"], price)
			mu.Unlock()
			return []byte("changed")
		}
		reads++
		result := fmt.Sprintf("price %d, made by run %d for %s", price, reads, vars["ORDER_ID"])
		madeAt[result] = time.Now()
		first := reads == 1
		p.record("uwsgi server: runs %s %s, result: %s", vars["ORDER_CLASS"], vars["ORDER_ID"], result)
		mu.Unlock()
		if first {
			time.Sleep(1500 * time.Millisecond) // a slow answer
		}
		return []byte(result)
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	_, gateway, err := p.startGateway(3200, runsAt)
	if err != nil {
		return false, err
	}

	for round := range freshRounds {
		mu.Lock()
		reads = 0
		mu.Unlock()
		key := map[string]string{"ORDER_KEY": fmt.Sprintf("%016x", 0xacc0+round)}
		id := func(n int) string { return requestID(10*round + n) }
		begin := time.Now()
		var wait sync.WaitGroup
		wait.Add(2)
		go func() {
			defer wait.Done()
			status, answer, err := ask(gateway, "price-quote", id(1), "", key)
			p.record("read %s: answered %d %q %v", id(1), status, answer, err)
		}()
		failed := make(chan error, 1)
		go func() {
			defer wait.Done()
			restAt := begin.Add(time.Second)
			connectAt := restAt
			if p.trouble {
				connectAt = begin.Add(100 * time.Millisecond)
			}
			time.Sleep(time.Until(connectAt))
			more := map[string]string{"ORDER_KEY": key["ORDER_KEY"], "ORDER_AT": unixMS(restAt)}
			packet, err := uwsgiPacket("price-quote", id(3), "", more)
			if err != nil {
				failed <- err
				return
			}
			conn, came, err := p.writeSlowly(gateway, packet, restAt)
			if err != nil {
				failed <- err
				return
			}
			defer conn.Close()
			p.record("read %s: its last byte is sent", id(3))
			status, answer, err := readAnswer(conn, 10*time.Second)
			p.record("read %s: answered %d %q %v", id(3), status, answer, err)
			mu.Lock()
			defer mu.Unlock()
			made, known := madeAt[answer]
			switch {
			case status == 200 && !known:
				p.record("read %s was served with a result that no run made", id(3))
				broken = true
			case status == 200 && came.Sub(made) > freshTime+socketExtra:
				p.record("read %s came %v after the result was made that it was served with; %v are allowed", id(3), came.Sub(made), freshTime)
				broken = true
			}
		}()
		time.Sleep(time.Until(begin.Add(400 * time.Millisecond)))
		status, answer, err := ask(gateway, "account-update", id(2), "a new price", nil)
		p.record("update %s: answered %d %q %v", id(2), status, answer, err)
		wait.Wait()
		select {
		case err := <-failed:
			return false, err
		default:
		}
	}
	return broken, nil
}

package standin2

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Play is one run of a case: its record, its temporary folder and the processes that it has started.
type Play struct {
	trouble bool
	dir     string
	start   time.Time

	mu        sync.Mutex
	file      *os.File
	processes []*process
}

// process is a started program.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// newPlay creates the record and the temporary folder.
func newPlay(recordPath string, trouble bool) (*Play, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		f.Close()
		return nil, err
	}
	return &Play{trouble: trouble, dir: dir, start: time.Now(), file: f}, nil
}

// record adds a line to the record, with the seconds since the start.
func (p *Play) record(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.file, "%8.3f %s\n", time.Since(p.start).Seconds(), fmt.Sprintf(format, a...))
}

// close ends all processes that still run, each by its own id, and removes the temporary folder.
func (p *Play) close() {
	p.mu.Lock()
	processes := p.processes
	p.mu.Unlock()
	for _, c := range processes {
		c.kill()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.file.Close()
	os.RemoveAll(p.dir)
}

// path returns a path in the temporary folder.
func (p *Play) path(name string) string { return filepath.Join(p.dir, name) }

// writeFile writes a file in the temporary folder and returns its path.
func (p *Play) writeFile(name, text string) (string, error) {
	path := p.path(name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// keyedWindow is the time for which a request of the second deployment's keyed class may come again.
const keyedWindow = 36726 * time.Millisecond

// runCommand is the line "run" of the deploy file.
const runCommand = "exec bin/puffinsaddle"

// startServer starts an order server as the platform does, with more environment variables.
func (p *Play) startServer(name string, env ...string) (*process, error) {
	return p.startProgram(name, runCommand, env...)
}

// startProgram starts a command of the shell from the root of the repository. Its output goes to a file.
func (p *Play) startProgram(name, command string, env ...string) (*process, error) {
	logPath := p.path(name + ".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	p.mu.Lock()
	p.processes = append(p.processes, c)
	p.mu.Unlock()
	p.record("%s: started", name)
	go func() {
		err := cmd.Wait()
		p.record("%s: ended: %v", name, err)
		if cmd.ProcessState.ExitCode() > 0 { // it ended by itself with an error, which its log states last
			text, _ := os.ReadFile(logPath)
			lines := strings.Split(strings.TrimSpace(string(text)), "\n")
			for _, line := range lines[max(0, len(lines)-3):] {
				p.record("%s logged: %s", name, line)
			}
		}
		close(c.exited)
	}()
	return c, nil
}

// signal sends a signal to the process.
func (c *process) signal(s syscall.Signal) error { return c.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (c *process) kill() {
	c.cmd.Process.Kill()
	select {
	case <-c.exited:
	case <-time.After(5 * time.Second):
	}
}

// Ports of the addresses that the processes listen on: below those that the system uses for outgoing connections, which could take
// the port of a process that is away for a while.
const (
	lowestPort = 20000
	ports      = 12000
	portTries  = 1000
)

// freeAddress returns an address with a free port.
func freeAddress() (string, error) {
	addresses, err := freeAddresses(1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}

// freeAddresses returns n addresses with different free ports.
func freeAddresses(n int) (addresses []string, err error) {
	var listeners []net.Listener
	defer func() {
		for _, ln := range listeners {
			ln.Close()
		}
	}()
	for range portTries {
		if len(addresses) == n {
			return addresses, nil
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(ports)))
		if err == nil {
			listeners = append(listeners, ln)
			addresses = append(addresses, ln.Addr().String())
		}
	}
	return nil, fmt.Errorf("fewer than %d free ports from %d on", n, lowestPort)
}

// settings returns the settings of the example in the repository, with the given keys replaced.
func settings(changes map[string]any) (map[string]any, error) {
	text, err := os.ReadFile("example/config.json")
	if err != nil {
		return nil, err
	}
	var file struct {
		Settings map[string]any `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	merge(file.Settings, changes)
	return file.Settings, nil
}

// merge puts the members of changes into m, those of nested objects one by one.
func merge(m, changes map[string]any) {
	for k, v := range changes {
		inner, isObject := v.(map[string]any)
		if old, ok := m[k].(map[string]any); ok && isObject {
			merge(old, inner)
			continue
		}
		m[k] = v
	}
}

// platformFile writes the platform's file of an order server and returns its path.
func (p *Play) platformFile(name string, keys, settingChanges map[string]any) (string, error) {
	s, err := settings(settingChanges)
	if err != nil {
		return "", err
	}
	file := map[string]any{"name": name, "seed": "8c1f30d27a5be964", "stop_ms": 3200,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": s}
	merge(file, keys)
	text, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return "", err
	}
	return p.writeFile(name+"/config.json", string(text))
}

// waitUntil polls a condition until it holds; after the limit it returns an error that names what was awaited.
func waitUntil(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
	}
}

// requestID returns the id of the request with a number.
func requestID(number int) string { return fmt.Sprintf("%016x", 0x5e0000000000+number) }

// accepts reports whether an address accepts a connection.
func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// ready reports whether an order server says yes on its operators' address.
func ready(operator string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + operator + "/-/ready")
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode/100 == 2
}

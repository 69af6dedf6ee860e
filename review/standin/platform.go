package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// root returns the root of the repository: the nearest folder above the working directory with a deploy file.
func root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
	}
	return "", errors.New("no deploy/balancer.toml in this folder or above it")
}

// runCommand returns the command of the deploy file that starts one order server.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		key, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(key) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", errors.New("the deploy file has no run line")
}

// Class is one class of the settings, with times in milliseconds.
type Class struct {
	Name        string
	AimMS       float64
	DeadlineMS  float64
	Worth       float64
	Idempotency string
	KeyTTLMS    float64
	LateValue   float64
}

// Platform starts the order servers of a case and ends them.
type Platform struct {
	Root   string // of the repository
	Dir    string // a temporary folder
	Record *Record

	mu      sync.Mutex
	servers []*Server
}

// Main plays a case, whose folder is the only argument, and ends the process with the case's exit status. All order servers that
// the case started are killed before, also if the case takes longer than limit or is asked to end.
func Main(limit time.Duration, play func(p *Platform) (status int, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: COMMAND FOLDER")
		os.Exit(Unknown)
	}
	p := &Platform{}
	var err error
	if p.Record, err = NewRecord(os.Args[1]); err == nil {
		if p.Root, err = root(); err == nil {
			p.Dir, err = os.MkdirTemp(tempRoot(), "review")
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Unknown)
	}
	type result struct {
		status int
		err    error
	}
	played := make(chan result, 1)
	go func() {
		status, err := play(p)
		played <- result{status, err}
	}()
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, os.Interrupt)
	var end result
	select {
	case end = <-played:
	case s := <-asked:
		end.err = fmt.Errorf("ended by %v", s)
	case <-time.After(limit):
		end.err = fmt.Errorf("not over after %v", limit)
	}
	p.end()
	if end.err != nil {
		p.Record.Say("could not run: %v", end.err)
		end.status = Unknown
	}
	p.Record.Close()
	os.Exit(end.status)
}

// tempRoot returns the system's folder for temporary files, or /tmp if its path is too long for the sockets in it.
func tempRoot() string {
	if dir := os.TempDir(); len(dir) < 50 {
		return dir
	}
	return "/tmp"
}

// end kills all order servers, for good, and removes the temporary folder.
func (p *Platform) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.Kill()
	}
	p.servers = nil
	p.Root = ""
	os.RemoveAll(p.Dir)
}

// Site is the part of the settings that the cases set. The rest is that of the brief's deployment.
type Site struct {
	Classes []Class
	Servers int
	Cores   int
	FreshMS float64
	EntryKB float64 // memory of one entry in the table of keys
}

// Settings returns the settings object of the simulator's first message, without a downstream tier.
func (s Site) Settings() map[string]any {
	ns := func(ms float64) int64 { return int64(ms * 1e6) }
	var classes []map[string]any
	var calls []bool
	var skip []float64
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "aim": ns(c.AimMS), "deadline": ns(c.DeadlineMS), "worth": c.Worth,
			"idempotency": c.Idempotency, "keyTtl": ns(c.KeyTTLMS), "lateValue": c.LateValue})
		calls, skip = append(calls, false), append(skip, 0)
	}
	return map[string]any{"classes": classes, "clients": map[string]any{"marksRetry": true},
		"extra": map[string]any{"callers": 3, "callsByClass": calls, "callsOut": 6.66, "callsOver": ns(5000), "classSkipWorth": skip,
			"downstream": "none", "entryKb": s.EntryKB, "freshFor": ns(s.FreshMS), "fullChecks": true, "gauges": []string{"cpu_busy", "runnable", "mem_used", "sockets"},
			"halt": "none", "hangupSeen": true, "heapKb": 10998.0, "heardFor": ns(1000), "idle": ns(15000), "justStarted": false,
			"linger": ns(200), "listFollows": false, "nCores": s.Cores, "passesDeadline": true, "runMemFactor": 4.0, "say": "credit"},
		"limits":   map[string]any{"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfter": ns(1000), "retryAfter": true},
		"rules":    map[string]any{"answerSlack": ns(60), "cold": ns(18000), "coldShare": 0.2, "drainGrace": ns(2500), "fall": ns(3000), "fallMultiple": 8.0},
		"servers":  s.Servers,
		"loadInfo": map[string]any{"fields": []string{}, "how": "none"}, "tenants": []any{}, "tick": ns(4), "tier": 0, "valueBy": "request"}
}

// Server is one order server as the platform starts it.
type Server struct {
	Name         string
	Listen       string // for routers; empty: none
	Executor     string // empty: the operator's file names uwsgi servers
	OperatorAt   string // for operators; empty: none
	OperatorFile string // path of the operator's file; empty: none
	TmpDir       string // private directory
	StopMS       float64
	Site         Site

	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// Start starts an order server with the command of the deploy file. Its files and its log lie in the temporary folder.
func (p *Platform) Start(s *Server) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Root == "" {
		return errors.New("the case has ended")
	}
	run, err := runCommand(p.Root)
	if err != nil {
		return err
	}
	members, err := net.ListenPacket("udp", "127.0.0.1:0") // reports need no answer; the socket stays open until the case ends
	if err != nil {
		return err
	}
	vault, err := FreeAddress()
	if err != nil {
		return err
	}
	config := map[string]any{"name": s.Name, "members": members.LocalAddr().String(), "vault": vault, "seed": "8c1f30d27a5be964",
		"stop_ms": s.StopMS, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": s.Site.Settings()}
	env := append(os.Environ(), "RELAY_NAME="+s.Name, "TMPDIR="+s.TmpDir)
	if s.Listen != "" {
		config["listen"] = s.Listen
		env = append(env, "RELAY_LISTEN="+s.Listen)
	}
	if s.Executor != "" {
		config["executor"] = s.Executor
	}
	if s.OperatorAt != "" {
		config["operator"] = s.OperatorAt
		env = append(env, "RELAY_OPERATOR="+s.OperatorAt)
	}
	if s.OperatorFile != "" {
		env = append(env, "PUFFINSADDLE_OPERATOR="+s.OperatorFile)
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	stem := filepath.Join(p.Dir, fmt.Sprintf("%s-%d", s.Name, time.Now().UnixNano()))
	if err := os.WriteFile(stem+".json", text, 0o644); err != nil {
		return err
	}
	if s.log, err = os.Create(stem + ".log"); err != nil {
		return err
	}
	s.cmd = exec.Command("/bin/sh", "-c", run)
	s.cmd.Dir, s.cmd.Env, s.cmd.Stdout, s.cmd.Stderr = p.Root, append(env, "RELAY_CONFIG="+stem+".json"), s.log, s.log
	if err := s.cmd.Start(); err != nil {
		return err
	}
	p.servers = append(p.servers, s)
	s.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}, log *os.File) {
		cmd.Wait()
		log.Close()
		close(done)
	}(s.cmd, s.done, s.log)
	return nil
}

// Signal sends a signal to the order server.
func (s *Server) Signal(sig syscall.Signal) { s.cmd.Process.Signal(sig) }

// Kill ends the order server at once and waits until it is gone.
func (s *Server) Kill() {
	s.cmd.Process.Kill()
	<-s.done
}

// AwaitExit waits until the process has ended, and reports whether it did in time.
func (s *Server) AwaitExit(limit time.Duration) bool {
	select {
	case <-s.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Call makes one call at the operators' address and returns the status and the body.
func (s *Server) Call(method, path string) (status int, body string) {
	request, err := http.NewRequest(method, "http://"+s.OperatorAt+path, nil)
	if err != nil {
		return 0, ""
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	b, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(b)
}

// Ready reports whether the order server says that it can serve.
func (s *Server) Ready() bool {
	status, _ := s.Call("GET", "/-/ready")
	return status/100 == 2
}

// Await polls a condition until it holds, and reports whether it did in time.
func Await(limit, every time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(every) {
		if condition() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

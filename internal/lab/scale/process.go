package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// spawner starts processes that end with the laboratory, however that ends: the kernel ends children with the thread that
// started them, so one thread starts all.
type spawner struct{ requests chan func() }

func newSpawner() *spawner {
	s := &spawner{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for request := range s.requests {
			request()
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	// A group of its own: Ctrl-C is the laboratory's, which then ends all that it began.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	errs := make(chan error)
	s.requests <- func() { errs <- cmd.Start() }
	return <-errs
}

func (s *spawner) close() { close(s.requests) }

// process is a process of the program.
type process struct {
	name             string
	zone             string
	dir              string
	metricsAddress   string // address of its figures; "": none
	args             []string
	env              []string
	incarnation      int
	writeFiles       func(p *process) error // writes its files for the next life
	onUnexpectedExit func(p *process, err error)

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	shouldRun bool // it is not to end by itself
	stdin     io.WriteCloser
	stdout    *bufio.Reader
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// start starts the next life of the process.
func (p *process) start(s *spawner, binary string) error {
	p.incarnation++
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	if err := p.writeFiles(p); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(binary, p.args...)
	cmd.Env = p.env // without TMPDIR: a process that was killed is not replaced beside itself
	if cmd.Env == nil {
		cmd.Env = []string{}
	}
	cmd.Stdout, cmd.Stderr = log, log
	if p.stdin != nil || len(p.args) > 1 && p.args[1] == "hollow" {
		cmd.Stdout = nil
		stdout, err := cmd.StdoutPipe()
		if err != nil {
			return err
		}
		if p.stdin, err = cmd.StdinPipe(); err != nil {
			return err
		}
		p.stdout = bufio.NewReader(stdout)
	}
	if err := s.start(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.shouldRun = cmd, exited, true
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		unexpected := p.cmd == cmd && p.shouldRun
		p.mu.Unlock()
		if unexpected {
			p.onUnexpectedExit(p, err)
		}
		close(exited)
	}()
	return nil
}

const exitTimeout = 10 * time.Second

// end asks the process to end, or kills it, and waits.
func (p *process) end(sig syscall.Signal) {
	p.mu.Lock()
	p.shouldRun = false
	cmd, exited, stdin := p.cmd, p.exited, p.stdin
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	if stdin != nil {
		stdin.Close()
	}
	cmd.Process.Signal(sig)
	select {
	case <-exited:
	case <-time.After(exitTimeout):
		cmd.Process.Kill()
		<-exited
	}
}

var errNoResponse = errors.New("scale: a process of hollow servers does not answer")

// sendCommand gives a process of hollow servers an order and reads its answer.
func (p *process) sendCommand(o simulatorCommand) (a simulatorStatus, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, err := json.Marshal(o)
	if err != nil {
		return a, err
	}
	if _, err := p.stdin.Write(append(b, '\n')); err != nil {
		return a, fmt.Errorf("%w: %s: %v", errNoResponse, p.name, err)
	}
	line, err := p.stdout.ReadBytes('\n')
	if err != nil {
		return a, fmt.Errorf("%w: %s: %v", errNoResponse, p.name, err)
	}
	if err := json.Unmarshal(line, &a); err != nil {
		return a, err
	}
	if a.Error != "" {
		return a, fmt.Errorf("scale: %s: %s", p.name, a.Error)
	}
	return a, nil
}

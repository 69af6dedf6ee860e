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

// spawner starts processes that the kernel kills when the scale test ends, even if that crashes. The parent death signal is
// bound to the thread that started the child, so one locked thread starts all processes.
type spawner struct{ requests chan func() }

// newSpawner returns a spawner with its thread running.
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

// start starts a command on the spawner's thread.
func (s *spawner) start(cmd *exec.Cmd) error {
	// A separate process group, so that Ctrl-C reaches only the scale test, which then ends its processes itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	errs := make(chan error)
	s.requests <- func() { errs <- cmd.Start() }
	return <-errs
}

// close ends the spawner's goroutine.
func (s *spawner) close() { close(s.requests) }

// process is one process of the program over all its incarnations.
type process struct {
	name             string
	zone             string
	dir              string
	metricsAddress   string
	args             []string
	env              []string
	incarnation      int
	writeFiles       func(p *process) error      // writes its files before each start
	onUnexpectedExit func(p *process, err error) // called when it exits unexpectedly

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	shouldRun bool // an exit is unexpected
	stdin     io.WriteCloser
	stdout    *bufio.Reader
}

// pid returns the process id of the current incarnation, or 0 before the first.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// start starts the next incarnation of the process.
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
	cmd.Env = p.env // without TMPDIR, so that a restarted process attempts no handover from its predecessor
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

// end sends a signal to the process and waits for its exit. It kills the process if that takes too long.
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

var errNoResponse = errors.New("scale: a process of simulated servers does not respond")

// sendCommand sends a command to a process of simulated servers and reads the response.
func (p *process) sendCommand(command simulatorCommand) (status simulatorStatus, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, err := json.Marshal(command)
	if err != nil {
		return status, err
	}
	if _, err := p.stdin.Write(append(b, '\n')); err != nil {
		return status, fmt.Errorf("%w: %s: %v", errNoResponse, p.name, err)
	}
	line, err := p.stdout.ReadBytes('\n')
	if err != nil {
		return status, fmt.Errorf("%w: %s: %v", errNoResponse, p.name, err)
	}
	if err := json.Unmarshal(line, &status); err != nil {
		return status, err
	}
	if status.Error != "" {
		return status, fmt.Errorf("scale: %s: %s", p.name, status.Error)
	}
	return status, nil
}

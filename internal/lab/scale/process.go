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
type spawner struct{ starts chan func() }

func newSpawner() *spawner {
	s := &spawner{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for do := range s.starts {
			do()
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	// A group of its own: Ctrl-C is the laboratory's, which then ends all that it began.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	errs := make(chan error)
	s.starts <- func() { errs <- cmd.Start() }
	return <-errs
}

func (s *spawner) close() { close(s.starts) }

// process is a process of the program.
type process struct {
	name    string
	zone    string
	dir     string
	figures string // address of its figures; "": none
	args    []string
	env     []string
	life    int
	before  func(p *process) error // writes its files for the next life
	ended   func(p *process, err error)

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	want bool // it is not to end by itself
	in   io.WriteCloser
	out  *bufio.Reader
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
	p.life++
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	if err := p.before(p); err != nil {
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
	if p.in != nil || len(p.args) > 1 && p.args[1] == "hollow" {
		cmd.Stdout = nil
		out, err := cmd.StdoutPipe()
		if err != nil {
			return err
		}
		if p.in, err = cmd.StdinPipe(); err != nil {
			return err
		}
		p.out = bufio.NewReader(out)
	}
	if err := s.start(cmd); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.want = cmd, done, true
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		unexpected := p.cmd == cmd && p.want
		p.mu.Unlock()
		if unexpected {
			p.ended(p, err)
		}
		close(done)
	}()
	return nil
}

const endWithin = 10 * time.Second

// end asks the process to end, or kills it, and waits.
func (p *process) end(sig syscall.Signal) {
	p.mu.Lock()
	p.want = false
	cmd, done, in := p.cmd, p.done, p.in
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	if in != nil {
		in.Close()
	}
	cmd.Process.Signal(sig)
	select {
	case <-done:
	case <-time.After(endWithin):
		cmd.Process.Kill()
		<-done
	}
}

var errNoAnswer = errors.New("scale: a process of hollow servers does not answer")

// order gives a process of hollow servers an order and reads its answer.
func (p *process) order(o hollowOrder) (a hollowAnswer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, err := json.Marshal(o)
	if err != nil {
		return a, err
	}
	if _, err := p.in.Write(append(b, '\n')); err != nil {
		return a, fmt.Errorf("%w: %s: %v", errNoAnswer, p.name, err)
	}
	line, err := p.out.ReadBytes('\n')
	if err != nil {
		return a, fmt.Errorf("%w: %s: %v", errNoAnswer, p.name, err)
	}
	if err := json.Unmarshal(line, &a); err != nil {
		return a, err
	}
	if a.Error != "" {
		return a, fmt.Errorf("scale: %s: %s", p.name, a.Error)
	}
	return a, nil
}

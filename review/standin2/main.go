// Package standin2 has what the cases of the second review share: it starts the project's own programs, stands in for what they talk
// to, and checks one rule on what clients, servers and the platform can see.
package standin2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit is the time after which a case that has not ended counts as not run.
const timeLimit = 115 * time.Second

// Main plays a case from the root of the repository and exits with its status. The first argument is the folder of the case, in which
// the record is written. The case returns whether the rule was broken, or an error if it could not run.
func Main(play func(*Play) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: TROUBLE=0|1 CASE FOLDER, from the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[1]))
}

// run plays a case, ends all of its processes and returns the exit status.
func run(play func(*Play) (bool, error), folder string) int {
	p, err := newPlay(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitNotRun
	}
	defer p.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(p)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	status := exitNotRun
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			p.record("the case could not run: %v", r.err)
		case r.broken:
			status = exitBroken
		default:
			status = exitHeld
		}
	case s := <-signals:
		p.record("the case was ended by %v", s)
	case <-time.After(timeLimit):
		p.record("the case has not ended within %v", timeLimit)
	}
	verdict := map[int]string{exitHeld: "held", exitBroken: "BROKEN", exitNotRun: "not run"}[status]
	p.record("trouble %t, the rule: %s, exit %d", p.trouble, verdict, status)
	fmt.Printf("%s: trouble %t, the rule: %s\n", folder, p.trouble, verdict)
	return status
}

package supervisor

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The exit codes in addition to the command's own.
const (
	ExitNotAcquired      = 123 // the lease was not acquired in time
	ExitDeadlineExceeded = 124 // the command was terminated because of its deadline
	ExitNotStarted       = 125 // the command could not be started, or a signal ended it before its deadline
)

// ExitCode is an error that carries an exit code and for which no message is printed.
type ExitCode int

// Error implements error.
func (e ExitCode) Error() string { return "exit code " + strconv.Itoa(int(e)) }

// gracePeriodParts is the number of parts into which the grace period is divided. The command is killed when one part
// is left, half a grace period before the deadline, so that even a slow kill completes in time.
const gracePeriodParts = 2

// GracePeriod returns how long before its deadline a command gets SIGTERM, for a lease of the given length; it gets
// SIGKILL when half of that is left. A fifth of the length leaves the command the rest for its work. An operator's
// command gets at least 200 ms to shut down, and needs no more than 5 s.
func GracePeriod(length time.Duration) time.Duration {
	return min(max(length/5, 200*time.Millisecond), 5*time.Second)
}

// Supervise starts a command, ends it before its deadline and returns the exit code. The lines read from in set the
// deadline: "until T" in us of the clock; "end", like the end of in, starts the grace period at once. gracePeriod is
// how long before the deadline the command gets SIGTERM; it gets SIGKILL when half of that is left. Supervise must be
// called by a process that does nothing else.
func Supervise(command []string, in io.Reader, clock func() int64, gracePeriod time.Duration) int {
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	if len(command) == 0 {
		return ExitNotStarted
	}
	runtime.LockOSThread() // Pdeathsig kills the command when the thread that started it ends
	adoptOrphans()
	signal.Ignore(syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTSTP) // the parent sends "end" for them
	lines := readLines(in)
	until, ok := parseUntil(<-lines)
	if !ok || clock() >= until-gracePeriod.Microseconds() {
		return ExitDeadlineExceeded // the deadline had passed before the start
	}
	c := exec.Command(command[0], command[1:]...)
	c.Stdout = os.Stdout
	c.Stderr = os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "lease supervisor:", err)
		return ExitNotStarted
	}
	s := &supervised{processGroup: c.Process.Pid, exited: make(chan error, 1), lines: lines, clock: clock, deadline: until, gracePeriod: gracePeriod}
	go func() { s.exited <- c.Wait() }()
	return s.enforceDeadline()
}

// readLines reads lines until the end of the input, then closes the channel.
func readLines(in io.Reader) <-chan string {
	lines := make(chan string)
	go func() {
		scanner := bufio.NewScanner(in)
		for scanner.Scan() {
			lines <- scanner.Text()
		}
		close(lines)
	}()
	return lines
}

// supervised is a running command.
type supervised struct {
	processGroup int // ID of the command's process group
	exited       chan error
	lines        <-chan string // nil once the parent is gone
	clock        func() int64
	deadline     int64 // us of clock
	gracePeriod  time.Duration
	terminating  bool
}

// enforceDeadline waits for the command to exit, ends it before its deadline and returns the exit code.
func (s *supervised) enforceDeadline() int {
	killMargin := s.gracePeriod / gracePeriodParts
	timer := time.NewTimer(0)
	for {
		left := time.Duration(s.deadline-s.clock()) * time.Microsecond
		if left <= killMargin {
			killGroup(s.processGroup)
			<-s.exited
			return ExitDeadlineExceeded
		}
		if left <= s.gracePeriod && !s.terminating {
			s.terminating = true
			syscall.Kill(-s.processGroup, syscall.SIGTERM)
			syscall.Kill(-s.processGroup, syscall.SIGCONT) // a stopped process doesn't handle SIGTERM
		}
		next := left - s.gracePeriod
		if s.terminating {
			next = left - killMargin
		}
		timer.Reset(max(next, time.Millisecond))
		select {
		case err := <-s.exited:
			killGroup(s.processGroup) // the command's remaining descendants have no lease either
			return s.exitCode(err)
		case line, more := <-s.lines:
			s.handleLine(line, more)
		case <-timer.C:
		}
	}
}

// handleLine handles a line from the parent: a new deadline, which is ignored if it is earlier than the present one.
// Any other line ends the command, and so does the end of the input, which means that the parent is gone.
func (s *supervised) handleLine(line string, more bool) {
	if !more {
		s.lines = nil
		s.startGracePeriod()
		return
	}
	if !strings.HasPrefix(line, untilPrefix) {
		s.startGracePeriod()
		return
	}
	if until, ok := parseUntil(line); ok {
		s.deadline = max(s.deadline, until)
	}
}

// startGracePeriod moves the deadline so that the grace period begins now, unless it began earlier.
func (s *supervised) startGracePeriod() {
	s.deadline = min(s.deadline, s.clock()+s.gracePeriod.Microseconds())
}

// exitCode returns the command's own exit code; ExitDeadlineExceeded if it had been sent SIGTERM; or ExitNotStarted if
// a signal ended it or waiting for it failed.
func (s *supervised) exitCode(err error) int {
	if s.terminating {
		return ExitDeadlineExceeded
	}
	if err == nil {
		return 0
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() >= 0 {
		return exit.ExitCode()
	}
	return ExitNotStarted
}

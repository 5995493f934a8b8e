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

// The exit codes beside the command's own.
const (
	ExitNotAcquired = 123 // the lease was not held in time
	ExitTimeExpired = 124 // the command was ended, its time was over
	ExitNotStarted  = 125 // it could not be started, or ended by a signal although its time was not over
)

// ExitCode is an exit code as an error that prints no message.
type ExitCode int

// Error names the code.
func (e ExitCode) Error() string { return "exit code " + strconv.Itoa(int(e)) }

// gracePeriodParts is the number of parts into which the grace period is divided. The command gets SIGKILL when one part is
// left, half a grace period before the end, so that even a slow kill is over in time.
const gracePeriodParts = 2

// GracePeriod returns how long before the end of its time a command is told to end, for a lease of a length; it is killed
// when half of that is left. A fifth of the length leaves the command the rest for its work; an operator's command gets 200
// ms at the least to end by itself, and needs no more than 5 s.
func GracePeriod(length time.Duration) time.Duration {
	return min(max(length/5, 200*time.Millisecond), 5*time.Second)
}

// Supervise starts a command and ends it in time. The lines on in say until when it may run: "until T" in us of the clock;
// "end" ends it at once, that is, its grace period begins. gracePeriod is how long before that time the command is told to
// end; it is killed when half of it is left. The end of in ends the command. It returns the exit code. It is to be called
// by a process of its own, whose only work it is.
func Supervise(command []string, in io.Reader, clock func() int64, gracePeriod time.Duration) int {
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	if len(command) == 0 {
		return ExitNotStarted
	}
	runtime.LockOSThread() // the system ends the command with the thread that started it
	adoptOrphans()
	signal.Ignore(syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTSTP) // they are for the asker, who says "end"
	lines := readLines(in)
	until, ok := parseUntil(<-lines)
	if !ok || clock() >= until-gracePeriod.Microseconds() {
		return ExitTimeExpired // its time was over before it began
	}
	c := exec.Command(command[0], command[1:]...)
	c.Stdout = os.Stdout
	c.Stderr = os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "lease supervisor:", err)
		return ExitNotStarted
	}
	s := &supervised{group: c.Process.Pid, ended: make(chan error, 1), lines: lines, clock: clock, until: until, gracePeriod: gracePeriod}
	go func() { s.ended <- c.Wait() }()
	return s.keepToTime()
}

// readLines reads lines until the end of the input, and closes the channel then.
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

// supervised is a command that runs.
type supervised struct {
	group       int // its process group
	ended       chan error
	lines       <-chan string // nil once the asker is gone
	clock       func() int64
	until       int64 // end of its time
	gracePeriod time.Duration
	toldToEnd   bool
}

// keepToTime waits for the command, and ends it in time. It returns the exit code.
func (s *supervised) keepToTime() int {
	killAt := s.gracePeriod / gracePeriodParts
	timer := time.NewTimer(0)
	for {
		left := time.Duration(s.until-s.clock()) * time.Microsecond
		if left <= killAt {
			killGroup(s.group)
			<-s.ended
			return ExitTimeExpired
		}
		if left <= s.gracePeriod && !s.toldToEnd {
			s.toldToEnd = true
			syscall.Kill(-s.group, syscall.SIGTERM)
			syscall.Kill(-s.group, syscall.SIGCONT) // one that was stopped would not see the first
		}
		next := left - s.gracePeriod
		if s.toldToEnd {
			next = left - killAt
		}
		timer.Reset(max(next, time.Millisecond))
		select {
		case err := <-s.ended:
			killGroup(s.group) // what it left behind has no lease either
			return s.exitCode(err)
		case line, more := <-s.lines:
			s.handleLine(line, more)
		case <-timer.C:
		}
	}
}

// handleLine handles a line from the asker: a new end of the command's time, which never moves it back. Any other line ends
// the command, as the end of the input does: nobody is there to speak any more.
func (s *supervised) handleLine(line string, more bool) {
	if !more {
		s.lines = nil
		s.endNow()
		return
	}
	if !strings.HasPrefix(line, untilPrefix) {
		s.endNow()
		return
	}
	if until, ok := parseUntil(line); ok {
		s.until = max(s.until, until)
	}
}

// endNow lets the grace period begin.
func (s *supervised) endNow() {
	s.until = min(s.until, s.clock()+s.gracePeriod.Microseconds())
}

// exitCode returns the command's own exit code; ExitTimeExpired if it had been told to end; or ExitNotStarted if it ended
// by a signal, or could not be waited for.
func (s *supervised) exitCode(err error) int {
	if s.toldToEnd {
		return ExitTimeExpired
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

// Package supervisor runs a command that must be over by a time, whatever becomes of who asked for it: it is a process of
// its own between the asker and the command, is told the time over its standard input, and ends the command and all
// that came of it before that time is over. A command that was stopped is killed all the same. If the asker dies, the
// command ends.
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

	"golang.org/x/sys/unix"
)

// The exit codes beside the command's own.
const (
	ExitNotAcquired = 123 // the lease was not had in time
	ExitTimeExpired = 124 // the command was ended, its time was over
	ExitNotStarted  = 125 // it could not be started
)

// Exit is an exit code without a word, as an error.
type ExitCode int

func (e ExitCode) Error() string { return "exit code " + strconv.Itoa(int(e)) }

const (
	killShare = 2                     // of the room before the end, one part in so many is left behind the kill
	lookEvery = 20 * time.Millisecond // between looks whether the command's children are gone
	lookMost  = 500                   // looks
)

// Room is how long before the end of its time a command is asked to end, and killed after half of that.
func GracePeriod(length time.Duration) time.Duration {
	return min(max(length/5, 200*time.Millisecond), 5*time.Second)
}

// Run starts a command and keeps it to the time that lines on in tell: "until T" in us of the clock, "end" to end it at
// once. room is how long before that time it is told to end; it is killed after half of it. The end of in ends
// the command. It returns the exit code.
func Supervise(command []string, in io.Reader, clock func() int64, room time.Duration) int {
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	if len(command) == 0 {
		return ExitNotStarted
	}
	runtime.LockOSThread() // the system ends the command with the thread that started it
	// What the command starts and leaves behind comes to this process, so that it can be ended too.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		fmt.Fprintln(os.Stderr, "keeper: children that part from the command are not kept:", err)
	}
	signal.Ignore(syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTSTP) // the asker's, who says "end"
	words := make(chan string)
	go func() {
		lines := bufio.NewScanner(in)
		for lines.Scan() {
			words <- lines.Text()
		}
		close(words)
	}()
	until, ok := first(words)
	if !ok || clock() >= until-room.Microseconds() {
		return ExitTimeExpired // its time was over before it began
	}
	c := exec.Command(command[0], command[1:]...)
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "keeper:", err)
		return ExitNotStarted
	}
	gone := make(chan error, 1)
	go func() { gone <- c.Wait() }()
	ended := false // it was told to
	kill := room / killShare
	timer := time.NewTimer(0)
	for {
		left := time.Duration(until-clock()) * time.Microsecond
		switch {
		case left <= kill:
			sweep(c.Process.Pid, true)
			<-gone
			return ExitTimeExpired
		case left <= room && !ended:
			ended = true
			syscall.Kill(-c.Process.Pid, syscall.SIGTERM)
			syscall.Kill(-c.Process.Pid, syscall.SIGCONT)
		}
		next := left - kill
		if !ended {
			next = left - room
		}
		timer.Reset(max(next, time.Millisecond))
		select {
		case err := <-gone:
			sweep(c.Process.Pid, true) // what it left behind has no lease either
			var code *exec.ExitError
			switch {
			case ended:
				return ExitTimeExpired
			case errors.As(err, &code) && code.ExitCode() >= 0:
				return code.ExitCode()
			case err != nil:
				return ExitNotStarted
			}
			return 0
		case word, more := <-words:
			if at, is := strings.CutPrefix(word, "until "); more && is {
				if v, err := strconv.ParseInt(at, 10, 64); err == nil {
					until = max(until, v)
				}
				break
			}
			until = min(until, clock()+room.Microseconds()) // "end", or nobody is there to speak any more
			if !more {
				words = nil
			}
		case <-timer.C:
		}
	}
}

func first(words chan string) (until int64, ok bool) {
	at, is := strings.CutPrefix(<-words, "until ")
	until, err := strconv.ParseInt(at, 10, 64)
	return until, is && err == nil
}

// sweep kills the command's group, and whoever else has become this process's child, until there is none.
func sweep(group int, wait bool) {
	syscall.Kill(-group, syscall.SIGKILL)
	for range lookMost {
		all := children()
		for _, pid := range all {
			syscall.Kill(pid, syscall.SIGKILL)
		}
		reap(group)
		if len(all) == 0 || !wait {
			return
		}
		time.Sleep(lookEvery)
	}
}

// reap takes the ends of children that were left behind; the command itself is waited for elsewhere.
func reap(command int) {
	for _, pid := range children() {
		if pid != command {
			syscall.Wait4(pid, nil, syscall.WNOHANG, nil)
		}
	}
}

// children are this process's children, by the system's word.
func children() (all []int) {
	threads, _ := os.ReadDir("/proc/self/task")
	for _, t := range threads {
		raw, err := os.ReadFile("/proc/self/task/" + t.Name() + "/children")
		if err != nil {
			continue
		}
		for _, f := range strings.Fields(string(raw)) {
			if pid, err := strconv.Atoi(f); err == nil {
				all = append(all, pid)
			}
		}
	}
	return all
}

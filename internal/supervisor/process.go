package supervisor

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cairntiller/internal/leaseservice"
)

// The lines on the supervisor's standard input: a new deadline of the command, in us of the lease clock, or the message
// that ends the command at once.
const (
	untilPrefix = "until "
	endMessage  = "end"
)

func untilMessage(until int64) string { return untilPrefix + strconv.FormatInt(until, 10) }

// parseUntil parses the line of a new deadline; ok is false for any other line.
func parseUntil(line string) (until int64, ok bool) {
	digits, found := strings.CutPrefix(line, untilPrefix)
	if !found {
		return 0, false
	}
	until, err := strconv.ParseInt(digits, 10, 64)
	return until, err == nil
}

// supervisorProcess is the parent's handle of the supervisor's process.
type supervisorProcess struct {
	stdin    io.WriteCloser
	exitCode chan int
}

func (p *supervisorProcess) send(line string) { fmt.Fprintln(p.stdin, line) }

// startSupervisor starts the supervisor's process for a command and sends it the time until which the lease is held.
func startSupervisor(lease string, held leaseservice.HoldUpdate, gracePeriod time.Duration, supervise, command []string) (*supervisorProcess, error) {
	args := append(append([]string{}, supervise[1:]...), "--room", gracePeriod.String(), "--")
	c := exec.Command(supervise[0], append(args, command...)...)
	c.Env = append(os.Environ(), "CAIRNTILLER_LEASE="+lease, "CAIRNTILLER_TERM="+strconv.FormatUint(held.Term, 10))
	c.Stdout = os.Stdout
	c.Stderr = os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a terminal's signals go to the parent only
	stdin, err := c.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &supervisorProcess{stdin: stdin, exitCode: make(chan int, 1)}
	p.send(untilMessage(held.Until))
	go func() {
		c.Wait()
		p.exitCode <- c.ProcessState.ExitCode()
	}()
	return p, nil
}

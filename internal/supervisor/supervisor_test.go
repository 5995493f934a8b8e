package supervisor

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairntiller/internal/leaseservice"
)

// TestMain lets the test binary act as the supervisor ("keep") and as the parent ("hold").
func TestMain(m *testing.M) {
	if len(os.Args) > 4 && os.Args[1] == "keep" {
		gracePeriod, err := time.ParseDuration(os.Args[3])
		if err != nil {
			os.Exit(2)
		}
		os.Exit(Supervise(os.Args[4:], os.Stdin, leaseservice.Clock, gracePeriod))
	}
	if len(os.Args) > 3 && os.Args[1] == "hold" {
		code, err := RunWithLease(os.Args[2], "task", Options{}, []string{os.Args[0], "keep"}, os.Args[3:])
		if err != nil {
			os.Exit(2)
		}
		os.Exit(code & 0xff)
	}
	os.Exit(m.Run())
}

// superviseCommand starts a supervisor for a command whose deadline is the given time from now.
func superviseCommand(t *testing.T, left, grace time.Duration, command ...string) (stdin io.WriteCloser, exitCode chan int, until time.Time) {
	t.Helper()
	until = time.Now().Add(left)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	held := leaseservice.HoldUpdate{Term: 7, Until: leaseservice.Clock() + left.Microseconds()}
	p, err := startSupervisor("task", held, grace, []string{self, "keep"}, command)
	if err != nil {
		t.Fatal(err)
	}
	return p.stdin, p.exitCode, until
}

func checkExit(t *testing.T, ended chan int, want int, by time.Time) {
	t.Helper()
	select {
	case code := <-ended:
		if code != want {
			t.Errorf("exit code %d, want %d", code, want)
		}
		if late := time.Since(by); late > 0 {
			t.Errorf("exited %v after the deadline", late)
		}
	case <-time.After(time.Until(by) + 10*time.Second):
		t.Fatal("the supervisor did not exit")
	}
}

// processExited reports whether the process that wrote its ID to a file has exited.
func processExited(path string) bool {
	raw, err := os.ReadFile(path)
	pid, bad := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil || bad != nil {
		return false
	}
	if syscall.Kill(pid, 0) != nil {
		return true
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err != nil || strings.Contains(string(stat), ") Z ")
}

// TestCommandEndsBeforeDeadline checks that a command ends before its deadline whether it exits, ignores signals and
// leaves a child in its own process group, is stopped, or loses its parent. A command that outlives its lease, for
// example after its machine froze for a minute, would do the same work as the command of the next holder.
func TestCommandEndsBeforeDeadline(t *testing.T) {
	const left, grace = 3 * time.Second, time.Second
	t.Run("exits by itself", func(t *testing.T) {
		t.Parallel()
		_, exitCode, until := superviseCommand(t, left, grace, "sh", "-c", `test "$CAIRNTILLER_TERM" = 7 && exit 5`)
		checkExit(t, exitCode, 5, until)
	})
	t.Run("ignores signals", func(t *testing.T) {
		t.Parallel()
		child := filepath.Join(t.TempDir(), "child")
		_, exitCode, until := superviseCommand(t, left, grace, "sh", "-c", "trap '' TERM; setsid sh -c 'echo $$ > "+child+"; trap \"\" TERM; sleep 60' & sleep 60")
		checkExit(t, exitCode, ExitDeadlineExceeded, until)
		if !processExited(child) {
			t.Error("a descendant of the command is still running")
		}
	})
	t.Run("stopped", func(t *testing.T) {
		t.Parallel()
		_, exitCode, until := superviseCommand(t, left, grace, "sh", "-c", "kill -STOP $$")
		checkExit(t, exitCode, ExitDeadlineExceeded, until)
	})
	t.Run("extended", func(t *testing.T) {
		t.Parallel()
		stdin, exitCode, until := superviseCommand(t, left, grace, "sh", "-c", "sleep 4; exit 6")
		fmt.Fprintln(stdin, "until", leaseservice.Clock()+(4*left).Microseconds())
		checkExit(t, exitCode, 6, until.Add(3*left))
	})
	t.Run("end message", func(t *testing.T) {
		t.Parallel()
		stdin, exitCode, _ := superviseCommand(t, time.Minute, grace, "sleep", "60")
		fmt.Fprintln(stdin, "end")
		checkExit(t, exitCode, ExitDeadlineExceeded, time.Now().Add(grace+time.Second))
	})
	t.Run("parent gone", func(t *testing.T) {
		t.Parallel()
		stdin, exitCode, _ := superviseCommand(t, time.Minute, grace, "sleep", "60")
		stdin.Close()
		checkExit(t, exitCode, ExitDeadlineExceeded, time.Now().Add(grace+time.Second))
	})
	t.Run("deadline already passed", func(t *testing.T) {
		t.Parallel()
		mark := filepath.Join(t.TempDir(), "mark")
		_, exitCode, _ := superviseCommand(t, grace/2, grace, "touch", mark)
		checkExit(t, exitCode, ExitDeadlineExceeded, time.Now().Add(5*time.Second))
		if _, err := os.Stat(mark); err == nil {
			t.Error("the command was started")
		}
	})
}

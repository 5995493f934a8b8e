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

// TestMain lets the test's program be the supervisor's process, and the asker's.
func TestMain(m *testing.M) {
	if len(os.Args) > 4 && os.Args[1] == "keep" {
		room, err := time.ParseDuration(os.Args[3])
		if err != nil {
			os.Exit(2)
		}
		os.Exit(Supervise(os.Args[4:], os.Stdin, leaseservice.Clock, room))
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

// supervise starts a supervisor for a command, and tells it a time from now.
func supervise(t *testing.T, left, grace time.Duration, command ...string) (stdin io.WriteCloser, exitCode chan int, until time.Time) {
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

func ends(t *testing.T, ended chan int, want int, by time.Time) {
	t.Helper()
	select {
	case code := <-ended:
		if code != want {
			t.Errorf("exit code %d, want %d", code, want)
		}
		if late := time.Since(by); late > 0 {
			t.Errorf("it ended %v late", late)
		}
	case <-time.After(time.Until(by) + 10*time.Second):
		t.Fatal("it did not end")
	}
}

// gone reports whether a process that wrote its number to a file is over.
func gone(path string) bool {
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

// TestEndsInTime: a machine freezes for a minute while a command runs under a lease; the lease passes on, and two commands
// do the same work at once. So a command must be over before its time is, whatever it does: end by itself, heed no signal
// and leave a child in a group of its own, be stopped, or lose its asker.
func TestEndsInTime(t *testing.T) {
	const left, grace = 3 * time.Second, time.Second
	t.Run("by itself", func(t *testing.T) {
		t.Parallel()
		_, exitCode, until := supervise(t, left, grace, "sh", "-c", `test "$CAIRNTILLER_TERM" = 7 && exit 5`)
		ends(t, exitCode, 5, until)
	})
	t.Run("heeds no signal", func(t *testing.T) {
		t.Parallel()
		child := filepath.Join(t.TempDir(), "child")
		_, exitCode, until := supervise(t, left, grace, "sh", "-c", "trap '' TERM; setsid sh -c 'echo $$ > "+child+"; trap \"\" TERM; sleep 60' & sleep 60")
		ends(t, exitCode, ExitTimeExpired, until)
		if !gone(child) {
			t.Error("what it started lives on")
		}
	})
	t.Run("stopped", func(t *testing.T) {
		t.Parallel()
		_, exitCode, until := supervise(t, left, grace, "sh", "-c", "kill -STOP $$")
		ends(t, exitCode, ExitTimeExpired, until)
	})
	t.Run("extended", func(t *testing.T) {
		t.Parallel()
		stdin, exitCode, until := supervise(t, left, grace, "sh", "-c", "sleep 4; exit 6")
		fmt.Fprintln(stdin, "until", leaseservice.Clock()+(4*left).Microseconds())
		ends(t, exitCode, 6, until.Add(3*left))
	})
	t.Run("told to end", func(t *testing.T) {
		t.Parallel()
		stdin, exitCode, _ := supervise(t, time.Minute, grace, "sleep", "60")
		fmt.Fprintln(stdin, "end")
		ends(t, exitCode, ExitTimeExpired, time.Now().Add(grace+time.Second))
	})
	t.Run("asker gone", func(t *testing.T) {
		t.Parallel()
		stdin, exitCode, _ := supervise(t, time.Minute, grace, "sleep", "60")
		stdin.Close()
		ends(t, exitCode, ExitTimeExpired, time.Now().Add(grace+time.Second))
	})
	t.Run("its time was over", func(t *testing.T) {
		t.Parallel()
		mark := filepath.Join(t.TempDir(), "mark")
		_, exitCode, _ := supervise(t, grace/2, grace, "touch", mark)
		ends(t, exitCode, ExitTimeExpired, time.Now().Add(5*time.Second))
		if _, err := os.Stat(mark); err == nil {
			t.Error("it began all the same")
		}
	})
}

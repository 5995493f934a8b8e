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

// TestMain lets the test's program be the keeper.
func TestMain(m *testing.M) {
	if len(os.Args) > 4 && os.Args[1] == "keep" {
		room, err := time.ParseDuration(os.Args[3])
		if err != nil {
			os.Exit(2)
		}
		os.Exit(Supervise(os.Args[4:], os.Stdin, leaseservice.Clock, room))
	}
	os.Exit(m.Run())
}

// keep starts a keeper and tells it a time from now.
func keep(t *testing.T, left, room time.Duration, command ...string) (say io.WriteCloser, ended chan int, until time.Time) {
	t.Helper()
	until = time.Now().Add(left)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	k, err := start("task", leaseservice.HoldUpdate{Term: 7, Until: leaseservice.Clock() + left.Microseconds()}, room, []string{self, "keep"}, append([]string{}, command...))
	if err != nil {
		t.Fatal(err)
	}
	return k.in, k.ended, until
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

// gone tells whether a process that wrote its number to a file is over.
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

// TestEndsInTime sees commands of all kinds over before their time is: one that ends by itself, one that heeds no signal
// and leaves a child in a group of its own, one that is stopped, one whose asker is gone.
func TestEndsInTime(t *testing.T) {
	const left, room = 3 * time.Second, time.Second
	t.Run("by itself", func(t *testing.T) {
		t.Parallel()
		_, ended, until := keep(t, left, room, "sh", "-c", `test "$CAIRNTILLER_TERM" = 7 && exit 5`)
		ends(t, ended, 5, until)
	})
	t.Run("heeds no signal", func(t *testing.T) {
		t.Parallel()
		child := filepath.Join(t.TempDir(), "child")
		_, ended, until := keep(t, left, room, "sh", "-c", "trap '' TERM; setsid sh -c 'echo $$ > "+child+"; trap \"\" TERM; sleep 60' & sleep 60")
		ends(t, ended, ExitTimeExpired, until)
		if !gone(child) {
			t.Error("what it started lives on")
		}
	})
	t.Run("stopped", func(t *testing.T) {
		t.Parallel()
		_, ended, until := keep(t, left, room, "sh", "-c", "kill -STOP $$")
		ends(t, ended, ExitTimeExpired, until)
	})
	t.Run("extended", func(t *testing.T) {
		t.Parallel()
		say, ended, until := keep(t, left, room, "sh", "-c", "sleep 4; exit 6")
		fmt.Fprintln(say, "until", leaseservice.Clock()+(4*left).Microseconds())
		ends(t, ended, 6, until.Add(3*left))
	})
	t.Run("told to end", func(t *testing.T) {
		t.Parallel()
		say, ended, _ := keep(t, time.Minute, room, "sleep", "60")
		fmt.Fprintln(say, "end")
		ends(t, ended, ExitTimeExpired, time.Now().Add(room+time.Second))
	})
	t.Run("asker gone", func(t *testing.T) {
		t.Parallel()
		say, ended, _ := keep(t, time.Minute, room, "sleep", "60")
		say.Close()
		ends(t, ended, ExitTimeExpired, time.Now().Add(room+time.Second))
	})
	t.Run("its time was over", func(t *testing.T) {
		t.Parallel()
		mark := filepath.Join(t.TempDir(), "mark")
		_, ended, _ := keep(t, room/2, room, "touch", mark)
		ends(t, ended, ExitTimeExpired, time.Now().Add(5*time.Second))
		if _, err := os.Stat(mark); err == nil {
			t.Error("it began all the same")
		}
	})
}

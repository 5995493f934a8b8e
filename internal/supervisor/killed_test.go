package supervisor

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/leaseservice"
)

// TestSupervisorKilled kills the supervisor while a child of the command runs in its own process group. It guards
// against a failure that occurred: the parent reported to the router that the command had ended, the lease passed on at
// once, and the child kept working beside the next holder.
func TestSupervisorKilled(t *testing.T) {
	folder := t.TempDir()
	child, supervisor := filepath.Join(folder, "child"), filepath.Join(folder, "supervisor")
	released := make(chan bool, 1) // whether the child had exited when the lease was released
	socket := startRouter(t, func(_ context.Context, s *adminsocket.Session) error {
		s.Reply(holdUpdate(leaseservice.Acquired, time.Minute))
		var message leaseservice.CommandEnded
		if s.ReadLine(&message) == nil && message.Ended {
			released <- processExited(child)
		}
		return nil
	})
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	script := "echo $PPID > " + supervisor + "; setsid sh -c 'trap \"\" TERM HUP; echo $$ > " + child + "; sleep 60' & sleep 60"
	parent := exec.Command(self, "hold", socket, "sh", "-c", script)
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- parent.Wait() }()
	pid := 0
	for end := time.Now().Add(20 * time.Second); pid == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the command did not start")
		}
		if raw, err := os.ReadFile(child); err != nil || len(raw) == 0 {
			continue
		}
		raw, _ := os.ReadFile(supervisor)
		pid, _ = strconv.Atoi(strings.TrimSpace(string(raw)))
	}
	syscall.Kill(pid, syscall.SIGKILL)
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the parent did not exit")
	}
	select {
	case childGone := <-released:
		if !childGone {
			t.Error("the lease was released while a child of the command ran")
		}
	case <-time.After(5 * time.Second):
		t.Error("the lease was not released although nothing runs under it")
	}
	if !processExited(child) {
		t.Error("a child of the command is still running")
		if raw, err := os.ReadFile(child); err == nil {
			if pid, err := strconv.Atoi(strings.TrimSpace(string(raw))); err == nil {
				syscall.Kill(pid, syscall.SIGKILL)
			}
		}
	}
}

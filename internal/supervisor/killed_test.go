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

// TestSupervisorKilled: the supervisor is killed while a child of the command runs in a group of its own. Seen: the asker
// tells the router that the command has ended, the lease passes on at once, and the child still does the work beside its
// next holder.
func TestSupervisorKilled(t *testing.T) {
	folder := t.TempDir()
	child, supervisor := filepath.Join(folder, "child"), filepath.Join(folder, "supervisor")
	released := make(chan bool, 1) // whether the child was gone when the lease was given up
	socket := router(t, func(_ context.Context, s *adminsocket.Session) error {
		s.Reply(update(leaseservice.Acquired, time.Minute))
		var message leaseservice.CommandEnded
		if s.ReadLine(&message) == nil && message.Ended {
			released <- gone(child)
		}
		return nil
	})
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	script := "echo $PPID > " + supervisor + "; setsid sh -c 'trap \"\" TERM HUP; echo $$ > " + child + "; sleep 60' & sleep 60"
	asker := exec.Command(self, "hold", socket, "sh", "-c", script)
	if err := asker.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- asker.Wait() }()
	pid := 0
	for end := time.Now().Add(20 * time.Second); pid == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the command does not start")
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
		t.Fatal("the asker does not end")
	}
	select {
	case childGone := <-released:
		if !childGone {
			t.Error("the lease was given up while a child of the command ran")
		}
	case <-time.After(5 * time.Second):
		t.Error("the lease was not given up, though nothing runs under it")
	}
	if !gone(child) {
		t.Error("a child of the command lives on")
		if raw, err := os.ReadFile(child); err == nil {
			if pid, err := strconv.Atoi(strings.TrimSpace(string(raw))); err == nil {
				syscall.Kill(pid, syscall.SIGKILL)
			}
		}
	}
}

package supervisor

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/leaseservice"
)

// startRouter starts a server that answers requests for a lease with holdLease, in place of a router.
func startRouter(t *testing.T, holdLease adminsocket.Handler) (socket string) {
	t.Helper()
	socket = filepath.Join(t.TempDir(), "s")
	server, err := adminsocket.Listen(adminsocket.Settings{Enabled: true, Socket: socket})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	server.Handle("lease-hold", holdLease)
	return socket
}

// holdUpdate returns an update as a router sends it, for a lease that is held for the given time from now.
func holdUpdate(change leaseservice.Change, left time.Duration) leaseservice.HoldUpdate {
	return leaseservice.HoldUpdate{Change: change.String(), Lease: "task", Term: 7, Until: leaseservice.Clock() + left.Microseconds(), Reason: "test"}
}

// TestRunWithLease checks that the router's updates reach the command and that the command's end is reported to the
// router. Otherwise a command would run on after its router lost the lease, or the lease would stay unused for its
// whole length after the command.
func TestRunWithLease(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	// awaitEnd waits, as a router does, until the command has ended or the connection is closed.
	awaitEnd := func(s *adminsocket.Session) error {
		var message leaseservice.CommandEnded
		if err := s.ReadLine(&message); err != nil || !message.Ended {
			t.Errorf("the end of the command was not reported to the router: %v", err)
		}
		return nil
	}
	for name, c := range map[string]struct {
		options   Options
		holdLease adminsocket.Handler
		command   []string
		code      int
		err       error
	}{
		"not held in time": {
			options: Options{Wait: 50 * time.Millisecond},
			holdLease: func(ctx context.Context, _ *adminsocket.Session) error {
				<-ctx.Done()
				return nil
			},
			command: []string{"false"},
			code:    ExitNotAcquired,
		},
		"the router ends the request": {
			holdLease: func(context.Context, *adminsocket.Session) error { return nil },
			command:   []string{"false"},
			code:      ExitNotStarted,
			err:       ErrRequestEnded,
		},
		"the command exits": {
			holdLease: func(_ context.Context, s *adminsocket.Session) error {
				s.Reply(holdUpdate(leaseservice.Acquired, time.Minute))
				return awaitEnd(s)
			},
			command: []string{"sh", "-c", "exit 5"},
			code:    5,
		},
		// The router bounds the default length by its longest lease. The grace period must follow from the actual
		// length: computed from the default length it was longer than the lease, and the command was not started.
		"a lease that is shorter than the default": {
			holdLease: func(_ context.Context, s *adminsocket.Session) error {
				short := holdUpdate(leaseservice.Acquired, 1900*time.Millisecond)
				short.Length = 2_000_000
				s.Reply(short)
				return awaitEnd(s)
			},
			command: []string{"sh", "-c", "exit 7"},
			code:    7,
		},
		"a short lease of a router that doesn't report its length": {
			holdLease: func(_ context.Context, s *adminsocket.Session) error {
				s.Reply(holdUpdate(leaseservice.Acquired, 1900*time.Millisecond))
				return awaitEnd(s)
			},
			command: []string{"sh", "-c", "exit 7"},
			code:    7,
		},
		// A router that hangs once kept RunWithLease from ever returning the exit code.
		"the router hangs when the command ends": {
			holdLease: func(ctx context.Context, s *adminsocket.Session) error {
				s.Reply(holdUpdate(leaseservice.Acquired, time.Minute))
				<-ctx.Done()
				return nil
			},
			command: []string{"sh", "-c", "exit 8"},
			code:    8,
		},
		"extended past its first deadline": {
			options: Options{Length: 5 * time.Second},
			holdLease: func(_ context.Context, s *adminsocket.Session) error {
				s.Reply(holdUpdate(leaseservice.Acquired, 4*time.Second))
				s.Reply(holdUpdate(leaseservice.Extended, time.Minute))
				return awaitEnd(s)
			},
			command: []string{"sh", "-c", "sleep 4.5; exit 6"},
			code:    6,
		},
		"lost": {
			options: Options{Length: time.Second},
			holdLease: func(_ context.Context, s *adminsocket.Session) error {
				s.Reply(holdUpdate(leaseservice.Acquired, time.Minute))
				s.Reply(holdUpdate(leaseservice.Lost, 0))
				return awaitEnd(s)
			},
			command: []string{"sleep", "60"},
			code:    ExitDeadlineExceeded,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			code, err := RunWithLease(startRouter(t, c.holdLease), "task", c.options, []string{self, "keep"}, c.command)
			if code != c.code || !errors.Is(err, c.err) {
				t.Errorf("exit code %d, %v; want %d, %v", code, err, c.code, c.err)
			}
		})
	}
}

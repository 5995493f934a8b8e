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

// router answers requests for a lease as a router does; holds is what it does with each.
func router(t *testing.T, holds adminsocket.Handler) (socket string) {
	t.Helper()
	socket = filepath.Join(t.TempDir(), "s")
	server, err := adminsocket.Listen(adminsocket.Settings{Enabled: true, Socket: socket})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	server.Handle("lease-hold", holds)
	return socket
}

// update is one change that a router tells, of a lease that is held for a time from now.
func update(change leaseservice.Change, left time.Duration) leaseservice.HoldUpdate {
	return leaseservice.HoldUpdate{Change: change.String(), Lease: "task", Term: 7, Until: leaseservice.Clock() + left.Microseconds(), Reason: "test"}
}

// TestRunWithLease: a command goes on under a lease that its router lost, or the router never hears that the command has
// ended, and nobody has the lease for its whole length. What the router tells must reach the command, and the command's end
// the router.
func TestRunWithLease(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	// awaitEnd waits, as a router does, until the command has ended or its asker is gone.
	awaitEnd := func(s *adminsocket.Session) error {
		var message leaseservice.CommandEnded
		if err := s.ReadLine(&message); err != nil || !message.Ended {
			t.Errorf("the router was not told that the command has ended: %v", err)
		}
		return nil
	}
	for name, c := range map[string]struct {
		options Options
		holds   adminsocket.Handler
		command []string
		code    int
		err     error
	}{
		"not held in time": {
			options: Options{Wait: 50 * time.Millisecond},
			holds: func(ctx context.Context, _ *adminsocket.Session) error {
				<-ctx.Done()
				return nil
			},
			command: []string{"false"},
			code:    ExitNotAcquired,
		},
		"the router ends the request": {
			holds:   func(context.Context, *adminsocket.Session) error { return nil },
			command: []string{"false"},
			code:    ExitNotStarted,
			err:     ErrRequestEnded,
		},
		"the command ends by itself": {
			holds: func(_ context.Context, s *adminsocket.Session) error {
				s.Reply(update(leaseservice.Acquired, time.Minute))
				return awaitEnd(s)
			},
			command: []string{"sh", "-c", "exit 5"},
			code:    5,
		},
		// The router bounds the default length by its longest lease. Seen: the command gets the grace period of the default
		// length, which is over before it begins, and isn't started.
		"a lease that is shorter than the default": {
			holds: func(_ context.Context, s *adminsocket.Session) error {
				short := update(leaseservice.Acquired, 1900*time.Millisecond)
				short.Length = 2_000_000
				s.Reply(short)
				return awaitEnd(s)
			},
			command: []string{"sh", "-c", "exit 7"},
			code:    7,
		},
		"a short lease of a router that doesn't tell its length": {
			holds: func(_ context.Context, s *adminsocket.Session) error {
				s.Reply(update(leaseservice.Acquired, 1900*time.Millisecond))
				return awaitEnd(s)
			},
			command: []string{"sh", "-c", "exit 7"},
			code:    7,
		},
		// Seen: the exit code of a command never comes, because its router hangs.
		"the router hangs when the command ends": {
			holds: func(ctx context.Context, s *adminsocket.Session) error {
				s.Reply(update(leaseservice.Acquired, time.Minute))
				<-ctx.Done()
				return nil
			},
			command: []string{"sh", "-c", "exit 8"},
			code:    8,
		},
		"extended past its first end": {
			options: Options{Length: 5 * time.Second},
			holds: func(_ context.Context, s *adminsocket.Session) error {
				s.Reply(update(leaseservice.Acquired, 4*time.Second))
				s.Reply(update(leaseservice.Extended, time.Minute))
				return awaitEnd(s)
			},
			command: []string{"sh", "-c", "sleep 4.5; exit 6"},
			code:    6,
		},
		"lost": {
			options: Options{Length: time.Second},
			holds: func(_ context.Context, s *adminsocket.Session) error {
				s.Reply(update(leaseservice.Acquired, time.Minute))
				s.Reply(update(leaseservice.Lost, 0))
				return awaitEnd(s)
			},
			command: []string{"sleep", "60"},
			code:    ExitTimeExpired,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			code, err := RunWithLease(router(t, c.holds), "task", c.options, []string{self, "keep"}, c.command)
			if code != c.code || !errors.Is(err, c.err) {
				t.Errorf("exit code %d, %v; want %d, %v", code, err, c.code, c.err)
			}
		})
	}
}

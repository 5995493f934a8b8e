package supervisor

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/leaseservice"
)

// releaseTimeout is how long the parent waits for the router to confirm that the command has ended: a router releases
// the lease at once, and one that hangs must not delay the exit code.
const releaseTimeout = 3 * time.Second

// supervisorKilled is the exit code that os/exec reports for a supervisor that was killed by a signal.
const supervisorKilled = -1

// ErrRequestEnded is returned if the router ended the request before the lease was acquired.
var ErrRequestEnded = errors.New("the router ended the request")

// Options are the parameters of a lease request; zero values stand for the defaults.
type Options struct {
	Length     time.Duration
	YieldAfter time.Duration // time held after which the lease yields to waiting requests
	Wait       time.Duration // how long to wait for the lease
	Priority   int
}

// arguments returns the options as arguments of the request to the router.
func (o Options) arguments() map[string]string {
	args := map[string]string{"priority": strconv.Itoa(o.Priority)}
	if o.Length > 0 {
		args["length_us"] = strconv.FormatInt(o.Length.Microseconds(), 10)
	}
	if o.YieldAfter > 0 {
		args["turn_us"] = strconv.FormatInt(o.YieldAfter.Microseconds(), 10)
	}
	return args
}

// RunWithLease waits for a lease, runs a command while it is held, and returns the command's exit code or one of the
// Exit codes: ExitNotAcquired if options.Wait elapses or SIGINT, SIGTERM or SIGHUP arrives while waiting for the lease;
// -1 if the supervisor itself was killed by a signal. If err is not nil the code has no meaning. supervise is the
// program and arguments that start the supervisor's process, which calls Supervise. The processes that a killed
// supervisor leaves behind become children of this process and are killed, so it must start no other children
// meanwhile.
func RunWithLease(socket, lease string, options Options, supervise, command []string) (code int, err error) {
	request, err := requestLease(socket, lease, options)
	if err != nil {
		return ExitNotStarted, err
	}
	defer request.close()
	adoptOrphans()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	held, err := request.awaitLease(options.Wait, signals)
	if err != nil {
		return ExitNotStarted, err
	}
	if held == nil {
		return ExitNotAcquired, nil
	}
	preexisting := children() // for example those of a shell script that replaced itself with this process
	child, err := startSupervisor(lease, *held, GracePeriod(leaseLength(held, options)), supervise, command)
	if err != nil {
		return ExitNotStarted, err
	}
	return request.awaitCommand(child, held.Term, preexisting, signals), nil
}

// leaseLength returns the length of a lease that was just acquired, from which the command's grace period is computed.
// A router of an earlier version doesn't report it: then it is the requested length, but at most the time that is left.
func leaseLength(held *leaseservice.HoldUpdate, options Options) time.Duration {
	if held.Length > 0 {
		return time.Duration(held.Length) * time.Microsecond
	}
	left := time.Duration(held.Until-leaseservice.Clock()) * time.Microsecond
	if options.Length > 0 {
		return min(options.Length, left)
	}
	return left
}

// leaseRequest is an open request for a lease at a router.
type leaseRequest struct {
	lease   string
	call    *adminsocket.Call
	updates chan leaseservice.HoldUpdate
	ended   chan error // receives once, when the router ends the call
	closed  chan struct{}
}

// requestLease requests a lease from a router and begins to read the router's updates.
func requestLease(socket, lease string, options Options) (*leaseRequest, error) {
	call, err := adminsocket.Dial(socket, adminsocket.Request{Command: "lease-hold", Name: lease, Args: options.arguments()})
	if err != nil {
		return nil, err
	}
	r := &leaseRequest{
		lease:   lease,
		call:    call,
		updates: make(chan leaseservice.HoldUpdate),
		ended:   make(chan error, 1),
		closed:  make(chan struct{}),
	}
	go r.read()
	return r, nil
}

// read forwards the router's updates to r.updates until the router or this side ends the call.
func (r *leaseRequest) read() {
	for {
		var update leaseservice.HoldUpdate
		more, err := r.call.ReadLine(&update)
		if !more {
			r.ended <- err
			return
		}
		select {
		case r.updates <- update:
		case <-r.closed:
			return
		}
	}
}

func (r *leaseRequest) close() {
	close(r.closed)
	r.call.Close()
}

// awaitLease waits until the lease is held. It returns nil if that takes longer than maxWait (0 for no limit), or if a
// signal arrives first.
func (r *leaseRequest) awaitLease(maxWait time.Duration, signals <-chan os.Signal) (*leaseservice.HoldUpdate, error) {
	var timeout <-chan time.Time
	if maxWait > 0 {
		timeout = time.After(maxWait)
	}
	for {
		select {
		case update := <-r.updates:
			if update.Change == leaseservice.Acquired.String() {
				return &update, nil
			}
		case err := <-r.ended:
			return nil, errors.Join(ErrRequestEnded, err)
		case <-timeout:
			return nil, nil
		case <-signals:
			return nil, nil
		}
	}
}

// awaitCommand forwards the lease's changes to the supervisor until the command has ended, and returns its exit code.
// If the router ends the call, the command runs on until the last deadline that the router sent. If the supervisor is
// killed, all children of this process except the preexisting ones are killed, and the lease is released only if none
// is left.
func (r *leaseRequest) awaitCommand(child *supervisorProcess, term uint64, preexisting []int, signals <-chan os.Signal) (code int) {
	ended := r.ended
	for {
		select {
		case update := <-r.updates:
			r.forwardUpdate(child, term, update)
		case <-ended:
			ended = nil
		case <-signals:
			child.send(endMessage)
		case code := <-child.exitCode:
			allEnded := code != supervisorKilled || killChildren(0, preexisting...)
			if !allEnded {
				fmt.Fprintf(os.Stderr, "lease %s is left to expire: processes that the killed supervisor left behind can't be killed\n", r.lease)
			} else if ended != nil {
				r.releaseLease()
			}
			return code
		}
	}
}

// forwardUpdate forwards one change of the lease to the supervisor. An extension moves the command's deadline; any
// other change of a held lease ends the command.
func (r *leaseRequest) forwardUpdate(child *supervisorProcess, term uint64, update leaseservice.HoldUpdate) {
	switch update.Change {
	case leaseservice.Acquired.String():
		return
	case leaseservice.Extended.String():
		if update.Term >= term {
			child.send(untilMessage(update.Until))
			return
		}
	}
	fmt.Fprintf(os.Stderr, "lease %s is %s: %s\n", r.lease, update.Change, update.Reason)
	child.send(endMessage)
}

// releaseLease tells the router that the command has ended, so that the router releases the lease at once rather than
// letting it expire. It waits until the router ends the call, but no longer than releaseTimeout.
func (r *leaseRequest) releaseLease() {
	if r.call.Send(leaseservice.CommandEnded{Ended: true}) != nil {
		return
	}
	timeout := time.After(releaseTimeout)
	for {
		select {
		case <-r.updates:
		case <-r.ended:
			return
		case <-timeout:
			fmt.Fprintf(os.Stderr, "lease %s: the router didn't confirm the end of the command\n", r.lease)
			return
		}
	}
}

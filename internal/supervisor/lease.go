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

// giveUpTimeout is how long the asker waits for the router to take that its command has ended: a router gives a lease up at
// once, and one that hangs must not hold up the exit code.
const giveUpTimeout = 3 * time.Second

// supervisorKilled is the exit code of a supervisor that was ended by a signal, as os/exec has it.
const supervisorKilled = -1

// ErrRequestEnded means that the router ended the request before the lease was held.
var ErrRequestEnded = errors.New("the router ended the request")

// Options are how a command's lease is wanted; zero values stand for the defaults.
type Options struct {
	Length     time.Duration
	YieldAfter time.Duration // time held after which it yields to others who wait
	Wait       time.Duration // for the lease, before giving up
	Priority   int
}

// arguments returns the options as the router reads them.
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

// RunWithLease waits for a lease, runs a command while it is held, and returns the command's exit code or one of the Exit
// codes: ExitNotAcquired if options.Wait is over or SIGINT, SIGTERM or SIGHUP comes while the lease is waited for; -1 if
// the supervisor itself was killed by a signal. If err is not nil the code has no meaning. supervise is the program and
// arguments that start the supervisor's process, which calls Supervise. What a killed
// supervisor leaves behind becomes this process's and is killed, so it must start no other children meanwhile.
func RunWithLease(socket, lease string, options Options, supervise, command []string) (code int, err error) {
	request, err := requestLease(socket, lease, options)
	if err != nil {
		return ExitNotStarted, err
	}
	defer request.close()
	adoptOrphans()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	held, err := request.await(options.Wait, signals)
	if err != nil {
		return ExitNotStarted, err
	}
	if held == nil {
		return ExitNotAcquired, nil
	}
	others := children() // of a shell script, say, that became this process
	child, err := startSupervisor(lease, *held, GracePeriod(lengthOf(held, options)), supervise, command)
	if err != nil {
		return ExitNotStarted, err
	}
	return request.follow(child, held.Term, others, signals), nil
}

// lengthOf returns the length of a lease that was just acquired, by which the command's grace period is measured. A router of
// an earlier version doesn't tell it: then it is what was asked for, and for how long the lease is held at the most.
func lengthOf(held *leaseservice.HoldUpdate, options Options) time.Duration {
	if held.Length > 0 {
		return time.Duration(held.Length) * time.Microsecond
	}
	left := time.Duration(held.Until-leaseservice.Clock()) * time.Microsecond
	if options.Length > 0 {
		return min(options.Length, left)
	}
	return left
}

// leaseRequest is a request for a lease that a router carries out.
type leaseRequest struct {
	lease   string
	call    *adminsocket.Call
	updates chan leaseservice.HoldUpdate
	ended   chan error // the router's side of the call, once
	closed  chan struct{}
}

// requestLease asks a router for a lease and begins to read its updates.
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

// read passes on the router's updates, until the router or this side ends the call.
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

// await waits until the lease is held. It returns nil if that took longer than most, or a signal came first.
func (r *leaseRequest) await(most time.Duration, signals <-chan os.Signal) (*leaseservice.HoldUpdate, error) {
	var timeout <-chan time.Time
	if most > 0 {
		timeout = time.After(most)
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

// follow passes the lease's changes on to the supervisor until the command has ended, and returns its exit code. If the
// router ends the call, the command goes on until the end of its time that the router sent last. If the supervisor is
// killed, what it leaves behind is, but for the other children of this process; while any of that is left the lease isn't given up.
func (r *leaseRequest) follow(child *supervisorProcess, term uint64, others []int, signals <-chan os.Signal) (code int) {
	ended := r.ended
	for {
		select {
		case update := <-r.updates:
			r.passOn(child, term, update)
		case <-ended:
			ended = nil
		case <-signals:
			child.tell(endMessage)
		case code := <-child.exitCode:
			over := code != supervisorKilled || killChildren(0, others...)
			if !over {
				fmt.Fprintf(os.Stderr, "lease %s runs out: what the killed supervisor left behind can't be ended\n", r.lease)
			} else if ended != nil {
				r.giveUp()
			}
			return code
		}
	}
}

// passOn passes one change on to the supervisor. Only an extension gives the command more time; what else happens to a held
// lease ends it.
func (r *leaseRequest) passOn(child *supervisorProcess, term uint64, update leaseservice.HoldUpdate) {
	switch update.Change {
	case leaseservice.Acquired.String():
		return
	case leaseservice.Extended.String():
		if update.Term >= term {
			child.tell(untilMessage(update.Until))
			return
		}
	}
	fmt.Fprintf(os.Stderr, "lease %s is %s: %s\n", r.lease, update.Change, update.Reason)
	child.tell(endMessage)
}

// giveUp tells the router that what ran under the lease has ended, so that the router gives the lease to others at once
// and not after a length. It waits until the router ends the call, for giveUpTimeout at the most.
func (r *leaseRequest) giveUp() {
	if r.call.Send(leaseservice.CommandEnded{Ended: true}) != nil {
		return
	}
	timeout := time.After(giveUpTimeout)
	for {
		select {
		case <-r.updates:
		case <-r.ended:
			return
		case <-timeout:
			fmt.Fprintf(os.Stderr, "lease %s: the router doesn't answer that its command has ended\n", r.lease)
			return
		}
	}
}

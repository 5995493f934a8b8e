package supervisor

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/leaseservice"
)

const usualLength = 10 * time.Second // of a lease that a command holds, unless it is said

// Wish is how a command's lease is wanted; zero values stand for the defaults.
type Options struct {
	Length, YieldAfter, Wait time.Duration
	Priority                 int
}

// Hold runs a command while a lease is held, and returns its exit code. Three parties see to it that the command is
// over in time: the router tells until when the lease is held, this process passes that on, and the keeper, a process
// of its own that keep starts, ends the command by then though both others be stopped or dead.
func RunWithLease(socket, name string, w Options, keep, command []string) (code int, err error) {
	args := map[string]string{"priority": strconv.Itoa(w.Priority)}
	length := usualLength
	if w.Length > 0 {
		length = w.Length
		args["length_us"] = strconv.FormatInt(w.Length.Microseconds(), 10)
	}
	if w.YieldAfter > 0 {
		args["turn_us"] = strconv.FormatInt(w.YieldAfter.Microseconds(), 10)
	}
	call, err := adminsocket.Dial(socket, adminsocket.Request{Command: "lease-hold", Name: name, Args: args})
	if err != nil {
		return ExitNotStarted, err
	}
	defer call.Close()
	changes, fault := make(chan leaseservice.HoldUpdate), make(chan error, 1)
	over := make(chan struct{})
	defer close(over)
	go func() {
		for {
			var h leaseservice.HoldUpdate
			more, err := call.ReadLine(&h)
			if !more {
				fault <- err
				return
			}
			select {
			case changes <- h:
			case <-over:
				return
			}
		}
	}()
	var late <-chan time.Time
	if w.Wait > 0 {
		late = time.After(w.Wait)
	}
	stops := make(chan os.Signal, 4)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	var held leaseservice.HoldUpdate
	for held.Change != "held" {
		select {
		case held = <-changes:
		case err := <-fault:
			return ExitNotStarted, errors.Join(errors.New("the router ended the request"), err)
		case <-late:
			return ExitNotAcquired, nil
		case <-stops:
			return ExitNotAcquired, nil
		}
	}
	k, err := start(name, held, GracePeriod(length), keep, command)
	if err != nil {
		return ExitNotStarted, err
	}
	for {
		select {
		case h := <-changes:
			if h.Change == "extended" && h.Term >= held.Term {
				k.say("until " + strconv.FormatInt(h.Until, 10))
			} else if h.Change != "held" {
				fmt.Fprintf(os.Stderr, "lease %s is %s: %s\n", name, h.Change, h.Reason)
				k.say("end")
			}
		case <-fault: // the router is gone; what it told holds until then
			fault = nil
		case <-stops:
			k.say("end")
		case code := <-k.ended:
			if fault != nil && call.Send(leaseservice.CommandEnded{Ended: true}) == nil {
				for more := true; more; { // until the router has taken it
					select {
					case <-changes:
					case <-fault:
						more = false
					}
				}
			}
			return code, nil
		}
	}
}

// kept is the keeper's process.
type kept struct {
	in    io.WriteCloser
	ended chan int
}

func (k *kept) say(word string) { fmt.Fprintln(k.in, word) }

func start(name string, held leaseservice.HoldUpdate, room time.Duration, keep, command []string) (*kept, error) {
	args := append(append([]string{}, keep[1:]...), "--room", room.String(), "--")
	c := exec.Command(keep[0], append(args, command...)...)
	c.Env = append(os.Environ(), "CAIRNTILLER_LEASE="+name, "CAIRNTILLER_TERM="+strconv.FormatUint(held.Term, 10))
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a terminal's signals go to the asker alone
	k := &kept{ended: make(chan int, 1)}
	var err error
	if k.in, err = c.StdinPipe(); err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	k.say("until " + strconv.FormatInt(held.Until, 10))
	go func() {
		c.Wait()
		k.ended <- c.ProcessState.ExitCode()
	}()
	return k, nil
}

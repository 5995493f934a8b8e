package process

import (
	"bufio"
	"context"
	"net"
	"os"
	"time"

	"github.com/hashicorp/memberlist"

	"cairntiller/internal/leaseservice"
	"cairntiller/internal/serve"
)

// ChildOptions holds the command line options of a router process.
type ChildOptions struct {
	OperatorFile  string
	Clock         string // clock skew in the format of ClockSkew.String
	SourceAddress string // IP address from which it opens connections to other members
}

// RunChild runs a router as a process of a harness and returns when the router ends. It connects from the address on which it
// listens, by which relays identify it, and uses the skewed clock of its machine for leases. It exits with code 3 at the end of
// standard input, which the parent's exit causes. handleLine receives each line of standard input, and onLeaseService the
// router's lease service; either may be nil.
func RunChild(options ChildOptions, handleLine func(line string), onLeaseService func(*leaseservice.Service)) error {
	skew, err := ParseClockSkew(options.Clock)
	if err != nil {
		return err
	}
	go func() {
		lines := bufio.NewScanner(os.Stdin)
		for lines.Scan() {
			if handleLine != nil {
				handleLine(lines.Text())
			}
		}
		os.Exit(3)
	}()
	wrapTransport := func(t memberlist.NodeAwareTransport) memberlist.NodeAwareTransport {
		return &sourceBoundTransport{t, net.ParseIP(options.SourceAddress)}
	}
	return serve.Run(options.OperatorFile, serve.TestHooks{WrapTransport: wrapTransport, LeaseClock: skew.Clock, OnLeases: onLeaseService})
}

// sourceBoundTransport opens connections from the IP address on which the member listens.
type sourceBoundTransport struct {
	memberlist.NodeAwareTransport
	address net.IP
}

// DialTimeout implements memberlist.Transport.
func (s *sourceBoundTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (s *sourceBoundTransport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: s.address}}
	return d.DialContext(context.Background(), "tcp", addr.Addr)
}

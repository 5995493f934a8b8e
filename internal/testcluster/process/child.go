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

// ChildOptions is what the command line of a router process says.
type ChildOptions struct {
	OperatorFile  string
	Clock         string // as ClockSkew.String prints it
	SourceAddress string // IP address from which it connects and sends
}

// RunChild runs a router as a process of a harness and returns when it ends. It sends from the address at which it listens, so
// that relays know it, has its machine's clock, and exits when its parent does. handleLine gets each line of standard input
// and may be nil; onLeaseService gets the router's lease service and may be nil.
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

// sourceBoundTransport opens connections from the address at which the member listens.
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

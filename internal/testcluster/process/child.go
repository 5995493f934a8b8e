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

// Self is what a child's command line says beside the operator's file.
type ChildOptions struct {
	OperatorFile  string
	Clock         string // as Skew prints it
	SourceAddress string // IP address from which it sends
}

// Child runs a router as a process of the rig: it sends from the address it listens at, so that relays know it, has the
// machine's clock, and ends with the one that started it. hear takes lines on standard input, nil for none; leases is
// told of the router's part in leases, nil for nobody.
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
	return serve.Run(options.OperatorFile, serve.TestHooks{Wrap: wrapTransport, Clock: skew.Clock, Leases: onLeaseService})
}

// source lets connections go out from the address at which a member listens.
type sourceBoundTransport struct {
	memberlist.NodeAwareTransport
	address net.IP
}

func (s *sourceBoundTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (s *sourceBoundTransport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: s.address}}
	return d.DialContext(context.Background(), "tcp", addr.Addr)
}

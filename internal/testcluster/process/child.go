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
type Self struct {
	File  string
	Clock string // as Skew prints it
	Own   string // IP address from which it sends
}

// Child runs a router as a process of the rig: it sends from the address it listens at, so that relays know it, has the
// machine's clock, and ends with the one that started it. hear takes lines on standard input, nil for none; leases is
// told of the router's part in leases, nil for nobody.
func Child(at Self, hear func(line string), leases func(*leaseservice.Service)) error {
	skew, err := ParseSkew(at.Clock)
	if err != nil {
		return err
	}
	go func() {
		lines := bufio.NewScanner(os.Stdin)
		for lines.Scan() {
			if hear != nil {
				hear(lines.Text())
			}
		}
		os.Exit(3)
	}()
	bound := func(t memberlist.NodeAwareTransport) memberlist.NodeAwareTransport {
		return &source{t, net.ParseIP(at.Own)}
	}
	return serve.Run(at.File, serve.TestHooks{Wrap: bound, Clock: skew.Clock, Leases: leases})
}

// source lets connections go out from the address at which a member listens.
type source struct {
	memberlist.NodeAwareTransport
	own net.IP
}

func (s *source) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (s *source) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: s.own}}
	return d.DialContext(context.Background(), "tcp", addr.Addr)
}

package faultnet

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// ErrCut is the error of a connection attempt while the network is cut.
var ErrCut = errors.New("network is cut by fault injection")

// Network injects faults into the network traffic of one member, within the member's process.
type Network struct {
	mu                      sync.Mutex
	random                  *rand.Rand
	inboundCut, outboundCut bool // whether inbound and outbound traffic is dropped
	loss, duplication       float64
	maxDelay                time.Duration // upper bound of the random delay of a packet
	dropped, packets        int64
	connections             map[net.Conn]bool
}

// New returns a network without faults.
func New(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 1)), connections: map[net.Conn]bool{}}
}

// Cut drops inbound traffic, outbound traffic, both or neither. Cutting either direction closes the open connections.
func (n *Network) Cut(inbound, outbound bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundCut = inbound
	n.outboundCut = outbound
	if inbound || outbound {
		for c := range n.connections {
			c.Close()
		}
		clear(n.connections)
	}
}

// SetPacketFaults sets the shares of outbound packets that are lost and duplicated, and the upper bound of their random delay.
func (n *Network) SetPacketFaults(loss, duplication float64, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
	n.duplication = duplication
	n.maxDelay = maxDelay
}

// DroppedPackets returns how many packets were dropped by loss or by a cut, and the total number of counted packets. Inbound
// packets are counted only if they are dropped.
func (n *Network) DroppedPackets() (dropped, total int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropped, n.packets
}

// WrapTransport wraps a member's transport with the network's faults.
func (n *Network) WrapTransport(t memberlist.NodeAwareTransport) memberlist.NodeAwareTransport {
	w := &faultyTransport{NodeAwareTransport: t, network: n, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn),
		closed: make(chan struct{})}
	go w.forward()
	return w
}

// faultyTransport is a member's transport with the faults of its network.
type faultyTransport struct {
	memberlist.NodeAwareTransport
	network   *Network
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// deliveryDelays counts a packet and returns one delay for each copy of it to deliver, none if it is dropped.
func (n *Network) deliveryDelays(cut bool) (delays []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packets++
	if cut || n.random.Float64() < n.loss {
		n.dropped++
		return nil
	}
	for copies := 1 + int(n.duplication+n.random.Float64()); copies > 0; copies-- {
		delay := time.Duration(0)
		if n.maxDelay > 0 {
			delay = time.Duration(n.random.Int64N(int64(n.maxDelay)))
		}
		delays = append(delays, delay)
	}
	return delays
}

// isCut reports whether inbound and outbound traffic is dropped.
func (n *Network) isCut() (inbound, outbound bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inboundCut, n.outboundCut
}

// forward passes inbound packets and streams on until Shutdown.
func (w *faultyTransport) forward() {
	for {
		select {
		case <-w.closed:
			return
		case p := <-w.NodeAwareTransport.PacketCh():
			if inbound, _ := w.network.isCut(); inbound {
				w.network.deliveryDelays(true)
				continue
			}
			select {
			case w.packets <- p:
			case <-w.closed:
				return
			}
		case c := <-w.NodeAwareTransport.StreamCh():
			if inbound, outbound := w.network.isCut(); inbound || outbound {
				c.Close()
				continue
			}
			w.network.trackConnection(c)
			select {
			case w.streams <- c:
			case <-w.closed:
				return
			}
		}
	}
}

// trackConnection records an open connection so that a cut can close it.
func (n *Network) trackConnection(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[c] = true
}

// PacketCh implements memberlist.Transport.
func (w *faultyTransport) PacketCh() <-chan *memberlist.Packet { return w.packets }

// StreamCh implements memberlist.Transport.
func (w *faultyTransport) StreamCh() <-chan net.Conn { return w.streams }

// WriteTo implements memberlist.Transport.
func (w *faultyTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (w *faultyTransport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	_, outbound := w.network.isCut()
	for _, delay := range w.network.deliveryDelays(outbound) {
		if delay == 0 {
			w.NodeAwareTransport.WriteToAddress(b, addr)
			continue
		}
		packet := append([]byte(nil), b...)
		time.AfterFunc(delay, func() { w.NodeAwareTransport.WriteToAddress(packet, addr) })
	}
	return time.Now(), nil
}

// DialTimeout implements memberlist.Transport.
func (w *faultyTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (w *faultyTransport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if inbound, outbound := w.network.isCut(); inbound || outbound {
		return nil, ErrCut
	}
	c, err := w.NodeAwareTransport.DialAddressTimeout(addr, timeout)
	if err == nil {
		w.network.trackConnection(c)
	}
	return c, err
}

// Shutdown shuts down the wrapped transport before it stops forward: the wrapped transport waits for its readers, and these
// block until forward has received what they read.
func (w *faultyTransport) Shutdown() error {
	err := w.NodeAwareTransport.Shutdown()
	w.closeOnce.Do(func() { close(w.closed) })
	return err
}

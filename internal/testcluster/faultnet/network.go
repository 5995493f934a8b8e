package faultnet

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// ErrCut is what a connection attempt gets while the network is cut.
var ErrCut = errors.New("the network is cut")

// Network is one member's faulty network, within the member's process.
type Network struct {
	mu                      sync.Mutex
	random                  *rand.Rand
	inboundCut, outboundCut bool // what comes in, or goes out, is dropped
	loss, duplication       float64
	maxDelay                time.Duration // up to which a packet is held
	dropped, packets        int64
	connections             map[net.Conn]bool
}

// New returns a network without faults.
func New(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 1)), connections: map[net.Conn]bool{}}
}

// Cut drops what comes in, what goes out, both or neither. A cut ends the open connections.
func (n *Network) Cut(in, out bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundCut = in
	n.outboundCut = out
	if in || out {
		for c := range n.connections {
			c.Close()
		}
		clear(n.connections)
	}
}

// SetPacketFaults sets the shares of packets that are lost and duplicated, and how long each is held at most.
func (n *Network) SetPacketFaults(loss, duplication float64, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
	n.duplication = duplication
	n.maxDelay = maxDelay
}

// DroppedPackets returns how many packets were lost or cut off, of how many.
func (n *Network) DroppedPackets() (dropped, of int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropped, n.packets
}

// WrapTransport puts the network in front of a member's transport.
func (n *Network) WrapTransport(t memberlist.NodeAwareTransport) memberlist.NodeAwareTransport {
	w := &faultyTransport{NodeAwareTransport: t, network: n, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn),
		closed: make(chan struct{})}
	go w.forward()
	return w
}

// faultyTransport is a member's transport behind its faulty network.
type faultyTransport struct {
	memberlist.NodeAwareTransport
	network   *Network
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// deliveryDelays returns one delay for each time that a packet arrives, none where it is lost.
func (n *Network) deliveryDelays(cut bool) (after []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packets++
	if cut || n.random.Float64() < n.loss {
		n.dropped++
		return nil
	}
	for copies := 1 + int(n.duplication+n.random.Float64()); copies > 0; copies-- {
		wait := time.Duration(0)
		if n.maxDelay > 0 {
			wait = time.Duration(n.random.Int64N(int64(n.maxDelay)))
		}
		after = append(after, wait)
	}
	return after
}

// isCut reports whether what comes in, or goes out, is dropped.
func (n *Network) isCut() (in, out bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inboundCut, n.outboundCut
}

// forward hands on what comes in, until Shutdown.
func (w *faultyTransport) forward() {
	for {
		select {
		case <-w.closed:
			return
		case p := <-w.NodeAwareTransport.PacketCh():
			if in, _ := w.network.isCut(); in {
				w.network.deliveryDelays(true)
				continue
			}
			select {
			case w.packets <- p:
			case <-w.closed:
				return
			}
		case c := <-w.NodeAwareTransport.StreamCh():
			if in, out := w.network.isCut(); in || out {
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

// trackConnection notes an open connection, for a cut to end.
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
	_, out := w.network.isCut()
	for _, wait := range w.network.deliveryDelays(out) {
		if wait == 0 {
			w.NodeAwareTransport.WriteToAddress(b, addr)
			continue
		}
		p := append([]byte(nil), b...)
		time.AfterFunc(wait, func() { w.NodeAwareTransport.WriteToAddress(p, addr) })
	}
	return time.Now(), nil
}

// DialTimeout implements memberlist.Transport.
func (w *faultyTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (w *faultyTransport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if in, out := w.network.isCut(); in || out {
		return nil, ErrCut
	}
	c, err := w.NodeAwareTransport.DialAddressTimeout(addr, timeout)
	if err == nil {
		w.network.trackConnection(c)
	}
	return c, err
}

// Shutdown ends the wrapped transport first: that one waits for its readers, which hand what they have to this one.
func (w *faultyTransport) Shutdown() error {
	err := w.NodeAwareTransport.Shutdown()
	w.closeOnce.Do(func() { close(w.closed) })
	return err
}

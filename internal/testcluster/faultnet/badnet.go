// Package faultnet stands between a member and the network and loses, doubles and delays what passes, or cuts it off
// either way. It is for tests and proofs.
package faultnet

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

var errCut = errors.New("the network is cut")

// Net is one member's faulty network.
type Net struct {
	mu            sync.Mutex
	rng           *rand.Rand
	in, out       bool // cut that way
	loss, twice   float64
	delay         time.Duration // up to which a packet is held
	dropped, seen int64
	conns         map[net.Conn]bool
}

// New makes a network without faults.
func New(seed uint64) *Net {
	return &Net{rng: rand.New(rand.NewPCG(seed, 1)), conns: map[net.Conn]bool{}}
}

// Cut cuts off what comes in, what goes out, or mends them; connections that are up end with it.
func (n *Net) Cut(in, out bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.in, n.out = in, out
	if in || out {
		for c := range n.conns {
			c.Close()
		}
		clear(n.conns)
	}
}

// Packets sets how packets fare: the parts lost and doubled, and how long each is held at the most.
func (n *Net) Packets(loss, twice float64, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.twice, n.delay = loss, twice, delay
}

// Dropped is how many packets were lost or cut off, of how many.
func (n *Net) Dropped() (dropped, of int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropped, n.seen
}

// Wrap puts the network before a member's transport.
func (n *Net) Wrap(t memberlist.NodeAwareTransport) memberlist.NodeAwareTransport {
	w := &wrapped{NodeAwareTransport: t, net: n, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn),
		over: make(chan struct{})}
	go w.read()
	return w
}

type wrapped struct {
	memberlist.NodeAwareTransport
	net     *Net
	packets chan *memberlist.Packet
	streams chan net.Conn
	over    chan struct{}
	once    sync.Once
}

// fate is how often a packet arrives and after what time each.
func (n *Net) fate(cut bool) (after []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen++
	if cut || n.rng.Float64() < n.loss {
		n.dropped++
		return nil
	}
	for copies := 1 + int(n.twice+n.rng.Float64()); copies > 0; copies-- {
		wait := time.Duration(0)
		if n.delay > 0 {
			wait = time.Duration(n.rng.Int64N(int64(n.delay)))
		}
		after = append(after, wait)
	}
	return after
}

func (n *Net) cutNow() (in, out bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.in, n.out
}

func (w *wrapped) read() {
	for {
		select {
		case <-w.over:
			return
		case p := <-w.NodeAwareTransport.PacketCh():
			if in, _ := w.net.cutNow(); in {
				w.net.fate(true)
				continue
			}
			select {
			case w.packets <- p:
			case <-w.over:
				return
			}
		case c := <-w.NodeAwareTransport.StreamCh():
			if in, out := w.net.cutNow(); in || out {
				c.Close()
				continue
			}
			w.net.hold(c)
			select {
			case w.streams <- c:
			case <-w.over:
				return
			}
		}
	}
}

func (n *Net) hold(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
}

func (w *wrapped) PacketCh() <-chan *memberlist.Packet { return w.packets }
func (w *wrapped) StreamCh() <-chan net.Conn           { return w.streams }

func (w *wrapped) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (w *wrapped) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	_, out := w.net.cutNow()
	for _, wait := range w.net.fate(out) {
		if wait == 0 {
			w.NodeAwareTransport.WriteToAddress(b, addr)
			continue
		}
		p := append([]byte(nil), b...)
		time.AfterFunc(wait, func() { w.NodeAwareTransport.WriteToAddress(p, addr) })
	}
	return time.Now(), nil
}

func (w *wrapped) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (w *wrapped) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if in, out := w.net.cutNow(); in || out {
		return nil, errCut
	}
	c, err := w.NodeAwareTransport.DialAddressTimeout(addr, timeout)
	if err == nil {
		w.net.hold(c)
	}
	return c, err
}

// Shutdown ends the transport first: it waits for its readers, which hand what they have to this one.
func (w *wrapped) Shutdown() error {
	err := w.NodeAwareTransport.Shutdown()
	w.once.Do(func() { close(w.over) })
	return err
}

package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fate is how what goes over one link fares.
type LinkFaults struct {
	Cut          bool
	Loss         float64       // part of the packets that never arrive
	Duplication  float64       // part that arrives twice
	Corruption   float64       // part, of packets or pieces of a stream, in which a bit flips
	MaxDelay     time.Duration // up to which each packet is held, so that they pass one another
	LateShare    float64       // part of the doubles that come up to LateBy later
	MaxLateDelay time.Duration
}

// Relays stand between processes, outside of them: each process has an address of its own from which it sends, and one
// at which the others reach it, where a relay listens. So each ordered pair has a link, told apart by its ends, for
// packets and for streams, and what is on its way outlives who sent it. They were chosen over a line into each process
// that spoils what it sends itself, as Net does: there, what a process had sent dies with it, and a stopped one holds
// up what is late.
type Relays struct {
	mu               sync.Mutex
	random           *rand.Rand
	endpoints        []endpoint
	processByAddress map[string]int // process by the address that it sends from
	links            map[[2]int]LinkFaults
	changed          *sync.Cond // a link was mended
	closed           bool
	goroutines       sync.WaitGroup
	connections      map[net.Conn]bool
	packets          int64 // packets
	dropped          int64
}

type endpoint struct {
	processAddress, relayAddress string // host:port each: where it listens, and where the relay does
	udp                          *net.UDPConn
	tcp                          net.Listener
}

const (
	processNetwork = "127.77.%d.%d"
	relayNetwork   = "127.78.%d.%d"
	maxChunkBytes  = 16 << 10 // bytes of a stream passed on at once
	dialTimeout    = 2 * time.Second
)

// NewRelays makes relays before so many processes, all on one port.
func NewRelays(seed uint64, processes, port int) (r *Relays, err error) {
	r = &Relays{random: rand.New(rand.NewPCG(seed, 5)), processByAddress: map[string]int{}, links: map[[2]int]LinkFaults{}, connections: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	for i := range processes {
		own, out := fmt.Sprintf(processNetwork, i/250, 1+i%250), fmt.Sprintf(relayNetwork, i/250, 1+i%250)
		p := endpoint{processAddress: fmt.Sprintf("%s:%d", own, port), relayAddress: fmt.Sprintf("%s:%d", out, port)}
		if p.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(out), Port: port}); err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.endpoints = append(r.endpoints, p)
		r.processByAddress[own] = i
		if r.endpoints[i].tcp, err = net.Listen("tcp", p.relayAddress); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	for i := range r.endpoints {
		r.goroutines.Go(func() { r.relayPackets(i) })
		r.goroutines.Go(func() { r.acceptStreams(i) })
	}
	return r, nil
}

// Own is where a process listens and sends from; Out is where the others reach it.
func (r *Relays) ProcessAddress(i int) string { return r.endpoints[i].processAddress }

// Out is where the others reach a process.
func (r *Relays) RelayAddress(i int) string { return r.endpoints[i].relayAddress }

// Set sets how what goes from one process to another fares.
func (r *Relays) SetFaults(from, to int, f LinkFaults) {
	r.mu.Lock()
	r.links[[2]int{from, to}] = f
	r.mu.Unlock()
	r.changed.Broadcast()
}

// Get is how what goes from one process to another fares now.
func (r *Relays) Faults(from, to int) LinkFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[[2]int{from, to}]
}

// Counts are the packets that came so far, and those of them that were lost.
func (r *Relays) PacketCounts() (packets, dropped int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.packets, r.dropped
}

// Close ends the relays.
func (r *Relays) Close() error {
	r.mu.Lock()
	r.closed = true
	for c := range r.connections {
		c.Close()
	}
	r.mu.Unlock()
	r.changed.Broadcast()
	for _, p := range r.endpoints {
		p.udp.Close()
		if p.tcp != nil {
			p.tcp.Close()
		}
	}
	r.goroutines.Wait()
	return nil
}

func (r *Relays) senderOf(a net.Addr) (i int, known bool) {
	host, _, _ := net.SplitHostPort(a.String())
	i, known = r.processByAddress[host]
	return i, known
}

// packets takes what is sent to one process.
func (r *Relays) relayPackets(to int) {
	buf := make([]byte, 64<<10)
	for {
		n, at, err := r.endpoints[to].udp.ReadFromUDP(buf)
		if err != nil {
			if r.isClosed() {
				return
			}
			continue
		}
		from, known := r.senderOf(at)
		if !known {
			continue
		}
		p := append([]byte(nil), buf[:n]...)
		for _, wait := range r.deliveryDelays(from, to, p) {
			if wait == 0 {
				r.deliver(from, to, p)
			} else {
				time.AfterFunc(wait, func() { r.deliver(from, to, p) })
			}
		}
	}
}

func (r *Relays) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// fate is how often a packet arrives and after what time each; it may spoil it.
func (r *Relays) deliveryDelays(from, to int, p []byte) (after []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.links[[2]int{from, to}]
	r.packets++
	if f.Cut || r.random.Float64() < f.Loss {
		r.dropped++
		return nil
	}
	if r.random.Float64() < f.Corruption && len(p) > 0 {
		p[r.random.IntN(len(p))] ^= 1 << r.random.IntN(8)
	}
	wait := func(most time.Duration) time.Duration {
		if most <= 0 {
			return 0
		}
		return time.Duration(r.random.Int64N(int64(most)))
	}
	after = append(after, wait(f.MaxDelay))
	if r.random.Float64() < f.Duplication {
		if r.random.Float64() < f.LateShare {
			after = append(after, wait(f.MaxLateDelay))
		} else {
			after = append(after, wait(f.MaxDelay))
		}
	}
	return after
}

// pass sends a packet on, from where its sender is reached. What is late and meets a cut by then is lost.
func (r *Relays) deliver(from, to int, p []byte) {
	if r.Faults(from, to).Cut {
		return
	}
	if at, err := net.ResolveUDPAddr("udp", r.endpoints[to].processAddress); err == nil {
		r.endpoints[from].udp.WriteToUDP(p, at)
	}
}

// streams takes connections to one process.
func (r *Relays) acceptStreams(to int) {
	for {
		c, err := r.endpoints[to].tcp.Accept()
		if err != nil {
			if r.isClosed() {
				return
			}
			continue
		}
		from, known := r.senderOf(c.RemoteAddr())
		if !known {
			c.Close()
			continue
		}
		r.goroutines.Go(func() { r.relayStream(from, to, c) })
	}
}

func (r *Relays) trackConnection(c net.Conn, on bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on && r.closed {
		c.Close()
		return false
	}
	if on {
		r.connections[c] = true
	} else {
		delete(r.connections, c)
		c.Close()
	}
	return true
}

// stream passes a connection on, each way as its link has it: where that is cut nothing passes until it is mended.
func (r *Relays) relayStream(from, to int, c net.Conn) {
	if !r.trackConnection(c, true) {
		return
	}
	defer r.trackConnection(c, false)
	if !r.waitUntilOpen(from, to) || !r.waitUntilOpen(to, from) {
		return
	}
	d, err := net.DialTimeout("tcp", r.endpoints[to].processAddress, dialTimeout)
	if err != nil || !r.trackConnection(d, true) {
		return
	}
	defer r.trackConnection(d, false)
	var both sync.WaitGroup
	both.Go(func() { r.copyStream(from, to, d, c) })
	both.Go(func() { r.copyStream(to, from, c, d) })
	both.Wait()
}

// open waits until a link is not cut; false at the end.
func (r *Relays) waitUntilOpen(from, to int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.links[[2]int{from, to}].Cut && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *Relays) copyStream(from, to int, dst, src net.Conn) {
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !r.waitUntilOpen(from, to) {
				return
			}
			r.mu.Lock()
			f := r.links[[2]int{from, to}]
			if r.random.Float64() < f.Corruption {
				buf[r.random.IntN(n)] ^= 1 << r.random.IntN(8)
			}
			wait := time.Duration(0)
			if f.MaxDelay > 0 {
				wait = time.Duration(r.random.Int64N(int64(f.MaxDelay)))
			}
			r.mu.Unlock()
			time.Sleep(wait)
			if _, err := dst.Write(buf[:n]); err != nil {
				src.Close()
				return
			}
		}
		if err != nil {
			if c, ok := dst.(*net.TCPConn); ok {
				c.CloseWrite()
			}
			return
		}
	}
}

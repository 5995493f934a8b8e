package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// LinkFaults is what happens to the packets and streams of one link.
type LinkFaults struct {
	Cut          bool
	Loss         float64       // share of the packets that never arrive
	Duplication  float64       // share that arrives twice
	Corruption   float64       // share, of packets or chunks of a stream, in which a bit flips
	MaxDelay     time.Duration // up to which each packet is held, so that packets overtake one another
	LateShare    float64       // share of the duplicates that come up to MaxLateDelay later
	MaxLateDelay time.Duration
}

// Relays stand between processes, outside of them. Each process has an address of its own from which it sends, and one at
// which the others reach it, where a relay listens. So each ordered pair of processes has a link of its own, for packets and
// for streams. Unlike with Network, which lives in the sender's process, what a process has sent outlives it, and a stopped
// process doesn't hold up its delayed packets.
type Relays struct {
	mu               sync.Mutex
	random           *rand.Rand
	endpoints        []endpoint
	processByAddress map[string]int // process by the address that it sends from
	links            map[[2]int]LinkFaults
	changed          *sync.Cond // signalled when a link changes
	closed           bool
	goroutines       sync.WaitGroup
	connections      map[net.Conn]bool
	packets          int64 // that came so far
	dropped          int64 // of them
}

// endpoint is one process's addresses and relay.
type endpoint struct {
	processAddress, relayAddress string // host:port each: where the process listens, and where its relay does
	udp                          *net.UDPConn
	tcp                          net.Listener
}

const (
	processNetwork = "127.77.%d.%d"  // addresses of processes: 250 in each of the last two numbers
	relayNetwork   = "127.78.%d.%d"  // addresses of their relays
	maxChunkBytes  = 16 << 10        // of a stream, passed on at once
	dialTimeout    = 2 * time.Second // for a process to accept a connection
)

// NewRelays starts relays in front of that many processes, all on one port.
func NewRelays(seed uint64, processes, port int) (r *Relays, err error) {
	r = &Relays{random: rand.New(rand.NewPCG(seed, 5)), processByAddress: map[string]int{}, links: map[[2]int]LinkFaults{}, connections: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	for i := range processes {
		own := fmt.Sprintf(processNetwork, i/250, 1+i%250)
		out := fmt.Sprintf(relayNetwork, i/250, 1+i%250)
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

// ProcessAddress returns where a process listens and from where it sends.
func (r *Relays) ProcessAddress(i int) string { return r.endpoints[i].processAddress }

// RelayAddress returns where the others reach a process.
func (r *Relays) RelayAddress(i int) string { return r.endpoints[i].relayAddress }

// SetFaults sets the faults of the link from one process to another.
func (r *Relays) SetFaults(from, to int, f LinkFaults) {
	r.mu.Lock()
	r.links[[2]int{from, to}] = f
	r.mu.Unlock()
	r.changed.Broadcast()
}

// Faults returns the faults of the link from one process to another.
func (r *Relays) Faults(from, to int) LinkFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[[2]int{from, to}]
}

// PacketCounts returns the packets that came so far, and how many of them were dropped.
func (r *Relays) PacketCounts() (packets, dropped int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.packets, r.dropped
}

// Close stops the relays and ends their connections.
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

// senderOf returns the process that sends from an address.
func (r *Relays) senderOf(a net.Addr) (i int, known bool) {
	host, _, _ := net.SplitHostPort(a.String())
	i, known = r.processByAddress[host]
	return i, known
}

// relayPackets relays the packets sent to one process.
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

// isClosed reports whether Close was called.
func (r *Relays) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// deliveryDelays returns one delay for each time that a packet arrives, none where it is lost. It may corrupt the packet.
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

// deliver sends a packet on, from its sender's relay address. A delayed one that meets a cut by then is lost.
func (r *Relays) deliver(from, to int, p []byte) {
	if r.Faults(from, to).Cut {
		return
	}
	if at, err := net.ResolveUDPAddr("udp", r.endpoints[to].processAddress); err == nil {
		r.endpoints[from].udp.WriteToUDP(p, at)
	}
}

// acceptStreams accepts the connections to one process.
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

// trackConnection notes a connection for Close to end, or closes it and forgets it. It returns false if the relays are closed.
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

// relayStream relays a connection, each way with its link's faults. Nothing passes a cut link until it is healed.
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

// waitUntilOpen waits until a link is not cut; it returns false where the relays are closed.
func (r *Relays) waitUntilOpen(from, to int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.links[[2]int{from, to}].Cut && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

// copyStream passes one way of a connection on, with its link's faults, until its end.
func (r *Relays) copyStream(from, to int, dst, src net.Conn) {
	chunk := make([]byte, maxChunkBytes)
	for {
		n, err := src.Read(chunk)
		if n > 0 {
			if !r.waitUntilOpen(from, to) {
				return
			}
			time.Sleep(r.corruptAndDelay(from, to, chunk[:n]))
			if _, err := dst.Write(chunk[:n]); err != nil {
				src.Close()
				return
			}
		}
		if err != nil {
			if conn, ok := dst.(*net.TCPConn); ok {
				conn.CloseWrite()
			}
			return
		}
	}
}

// corruptAndDelay may flip a bit of a chunk of a stream, and returns how long it is held.
func (r *Relays) corruptAndDelay(from, to int, chunk []byte) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	faults := r.links[[2]int{from, to}]
	if r.random.Float64() < faults.Corruption {
		chunk[r.random.IntN(len(chunk))] ^= 1 << r.random.IntN(8)
	}
	if faults.MaxDelay <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(faults.MaxDelay)))
}

package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// LinkFaults configures the faults that apply to the packets and streams of one link.
type LinkFaults struct {
	Cut          bool
	Loss         float64       // share of the packets that are lost
	Duplication  float64       // share of the packets that arrive twice
	Corruption   float64       // share of the packets and stream chunks in which one bit is flipped
	MaxDelay     time.Duration // upper bound of the random delay of each packet and stream chunk; packets may be reordered
	LateShare    float64       // share of the duplicates that are delayed by up to MaxLateDelay instead of MaxDelay
	MaxLateDelay time.Duration
}

// Relays forward packets and streams between processes and run outside of these processes. Each process has its own address,
// on which it listens and from which it sends, and a relay address, on which its relay listens and by which the other processes
// reach it. The source address and the relay therefore identify the link of an ordered pair of processes. Unlike Network,
// which runs in the sender's process, relays deliver delayed packets even after their sender has exited or while it is stopped.
type Relays struct {
	mu               sync.Mutex
	random           *rand.Rand
	endpoints        []endpoint
	processByAddress map[string]int // index of a process by its IP address
	links            map[[2]int]LinkFaults
	changed          *sync.Cond // signaled when a link changes or the relays are closed
	closed           bool
	goroutines       sync.WaitGroup
	connections      map[net.Conn]bool
	packets          int64 // number of packets received
	dropped          int64 // number of packets dropped by loss or a cut on arrival
}

// endpoint holds the addresses of one process and the sockets of its relay.
type endpoint struct {
	processAddress, relayAddress string // host:port on which the process and its relay listen
	udp                          *net.UDPConn
	tcp                          net.Listener
}

const (
	processIPFormat = "127.77.%d.%d"  // IP addresses of processes: 250 per third octet
	relayIPFormat   = "127.78.%d.%d"  // IP addresses of their relays
	maxChunkBytes   = 16 << 10        // most bytes of a stream that are forwarded at once
	dialTimeout     = 2 * time.Second // for the connection from a relay to its process
)

// NewRelays starts one relay for each process. All processes and relays use the same port.
func NewRelays(seed uint64, processes, port int) (r *Relays, err error) {
	r = &Relays{random: rand.New(rand.NewPCG(seed, 5)), processByAddress: map[string]int{}, links: map[[2]int]LinkFaults{}, connections: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	for i := range processes {
		processIP := fmt.Sprintf(processIPFormat, i/250, 1+i%250)
		relayIP := fmt.Sprintf(relayIPFormat, i/250, 1+i%250)
		e := endpoint{processAddress: fmt.Sprintf("%s:%d", processIP, port), relayAddress: fmt.Sprintf("%s:%d", relayIP, port)}
		if e.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(relayIP), Port: port}); err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.endpoints = append(r.endpoints, e)
		r.processByAddress[processIP] = i
		if r.endpoints[i].tcp, err = net.Listen("tcp", e.relayAddress); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	for i := range r.endpoints {
		r.goroutines.Go(func() { r.relayPackets(i) })
		r.goroutines.Go(func() { r.acceptStreams(i) })
	}
	return r, nil
}

// ProcessAddress returns the address on which a process listens and from which it sends.
func (r *Relays) ProcessAddress(i int) string { return r.endpoints[i].processAddress }

// RelayAddress returns the address by which other processes reach a process.
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

// PacketCounts returns the number of packets received, and how many of them were dropped by loss or a cut on arrival.
func (r *Relays) PacketCounts() (packets, dropped int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.packets, r.dropped
}

// Close stops the relays and closes their connections.
func (r *Relays) Close() error {
	r.mu.Lock()
	r.closed = true
	for c := range r.connections {
		c.Close()
	}
	r.mu.Unlock()
	r.changed.Broadcast()
	for _, e := range r.endpoints {
		e.udp.Close()
		if e.tcp != nil {
			e.tcp.Close()
		}
	}
	r.goroutines.Wait()
	return nil
}

// senderOf returns the index of the process that sends from an address.
func (r *Relays) senderOf(address net.Addr) (i int, known bool) {
	host, _, _ := net.SplitHostPort(address.String())
	i, known = r.processByAddress[host]
	return i, known
}

// relayPackets forwards the packets that are sent to one process.
func (r *Relays) relayPackets(to int) {
	buf := make([]byte, 64<<10)
	for {
		n, sender, err := r.endpoints[to].udp.ReadFromUDP(buf)
		if err != nil {
			if r.isClosed() {
				return
			}
			continue
		}
		from, known := r.senderOf(sender)
		if !known {
			continue
		}
		packet := append([]byte(nil), buf[:n]...)
		for _, delay := range r.deliveryDelays(from, to, packet) {
			if delay == 0 {
				r.deliver(from, to, packet)
			} else {
				time.AfterFunc(delay, func() { r.deliver(from, to, packet) })
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

// deliveryDelays counts a packet and returns one delay for each copy of it to deliver, none if it is dropped. It may flip a bit
// of the packet.
func (r *Relays) deliveryDelays(from, to int, packet []byte) (delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	faults := r.links[[2]int{from, to}]
	r.packets++
	if faults.Cut || r.random.Float64() < faults.Loss {
		r.dropped++
		return nil
	}
	if r.random.Float64() < faults.Corruption && len(packet) > 0 {
		packet[r.random.IntN(len(packet))] ^= 1 << r.random.IntN(8)
	}
	randomDelay := func(limit time.Duration) time.Duration {
		if limit <= 0 {
			return 0
		}
		return time.Duration(r.random.Int64N(int64(limit)))
	}
	delays = append(delays, randomDelay(faults.MaxDelay))
	if r.random.Float64() < faults.Duplication {
		if r.random.Float64() < faults.LateShare {
			delays = append(delays, randomDelay(faults.MaxLateDelay))
		} else {
			delays = append(delays, randomDelay(faults.MaxDelay))
		}
	}
	return delays
}

// deliver sends a packet to its process from the relay address of its sender. If the link was cut during the packet's delay, the
// packet is dropped.
func (r *Relays) deliver(from, to int, packet []byte) {
	if r.Faults(from, to).Cut {
		return
	}
	if destination, err := net.ResolveUDPAddr("udp", r.endpoints[to].processAddress); err == nil {
		r.endpoints[from].udp.WriteToUDP(packet, destination)
	}
}

// acceptStreams accepts the connections that are made to one process.
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

// trackConnection with open records a connection so that Close can close it; if the relays are closed already, it closes the
// connection and returns false. Without open, it closes the connection and removes it.
func (r *Relays) trackConnection(c net.Conn, open bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open && r.closed {
		c.Close()
		return false
	}
	if open {
		r.connections[c] = true
	} else {
		delete(r.connections, c)
		c.Close()
	}
	return true
}

// relayStream forwards a connection, with the faults of one link in each direction. While a link is cut, its data is held back
// until it is healed.
func (r *Relays) relayStream(from, to int, source net.Conn) {
	if !r.trackConnection(source, true) {
		return
	}
	defer r.trackConnection(source, false)
	if !r.waitUntilOpen(from, to) || !r.waitUntilOpen(to, from) {
		return
	}
	target, err := net.DialTimeout("tcp", r.endpoints[to].processAddress, dialTimeout)
	if err != nil || !r.trackConnection(target, true) {
		return
	}
	defer r.trackConnection(target, false)
	var copies sync.WaitGroup
	copies.Go(func() { r.copyStream(from, to, target, source) })
	copies.Go(func() { r.copyStream(to, from, source, target) })
	copies.Wait()
}

// waitUntilOpen waits until a link isn't cut. It returns false if the relays are closed.
func (r *Relays) waitUntilOpen(from, to int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.links[[2]int{from, to}].Cut && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

// copyStream forwards one direction of a connection with the faults of its link, until the end of the stream or an error.
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

// corruptAndDelay may flip a bit of a stream chunk, and returns the delay of the chunk.
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

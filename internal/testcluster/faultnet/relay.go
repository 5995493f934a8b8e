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
type Fate struct {
	Cut     bool
	Loss    float64       // part of the packets that never arrive
	Twice   float64       // part that arrives twice
	Corrupt float64       // part, of packets or pieces of a stream, in which a bit flips
	Delay   time.Duration // up to which each packet is held, so that they pass one another
	Late    float64       // part of the doubles that come up to LateBy later
	LateBy  time.Duration
}

// Relays stand between processes, outside of them: each process has an address of its own from which it sends, and one
// at which the others reach it, where a relay listens. So each ordered pair has a link, told apart by its ends, for
// packets and for streams, and what is on its way outlives who sent it. They were chosen over a line into each process
// that spoils what it sends itself, as Net does: there, what a process had sent dies with it, and a stopped one holds
// up what is late.
type Relays struct {
	mu      sync.Mutex
	rng     *rand.Rand
	places  []place
	byOwn   map[string]int // process by the address that it sends from
	links   map[[2]int]Fate
	changed *sync.Cond // a link was mended
	over    bool
	done    sync.WaitGroup
	conns   map[net.Conn]bool
	came    int64 // packets
	dropped int64
}

type place struct {
	own, out string // host:port each: where it listens, and where the relay does
	udp      *net.UDPConn
	tcp      net.Listener
}

const (
	ownNet   = "127.77.%d.%d"
	outNet   = "127.78.%d.%d"
	pieceMax = 16 << 10 // bytes of a stream passed on at once
	dialMax  = 2 * time.Second
)

// NewRelays makes relays before so many processes, all on one port.
func NewRelays(seed uint64, processes, port int) (r *Relays, err error) {
	r = &Relays{rng: rand.New(rand.NewPCG(seed, 5)), byOwn: map[string]int{}, links: map[[2]int]Fate{}, conns: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	for i := range processes {
		own, out := fmt.Sprintf(ownNet, i/250, 1+i%250), fmt.Sprintf(outNet, i/250, 1+i%250)
		p := place{own: fmt.Sprintf("%s:%d", own, port), out: fmt.Sprintf("%s:%d", out, port)}
		if p.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(out), Port: port}); err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.places = append(r.places, p)
		r.byOwn[own] = i
		if r.places[i].tcp, err = net.Listen("tcp", p.out); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	for i := range r.places {
		r.done.Go(func() { r.packets(i) })
		r.done.Go(func() { r.streams(i) })
	}
	return r, nil
}

// Own is where a process listens and sends from; Out is where the others reach it.
func (r *Relays) Own(i int) string { return r.places[i].own }

// Out is where the others reach a process.
func (r *Relays) Out(i int) string { return r.places[i].out }

// Set sets how what goes from one process to another fares.
func (r *Relays) Set(from, to int, f Fate) {
	r.mu.Lock()
	r.links[[2]int{from, to}] = f
	r.mu.Unlock()
	r.changed.Broadcast()
}

// Get is how what goes from one process to another fares now.
func (r *Relays) Get(from, to int) Fate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[[2]int{from, to}]
}

// Counts are the packets that came so far, and those of them that were lost.
func (r *Relays) Counts() (packets, dropped int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.came, r.dropped
}

// Close ends the relays.
func (r *Relays) Close() error {
	r.mu.Lock()
	r.over = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.changed.Broadcast()
	for _, p := range r.places {
		p.udp.Close()
		if p.tcp != nil {
			p.tcp.Close()
		}
	}
	r.done.Wait()
	return nil
}

func (r *Relays) from(a net.Addr) (i int, known bool) {
	host, _, _ := net.SplitHostPort(a.String())
	i, known = r.byOwn[host]
	return i, known
}

// packets takes what is sent to one process.
func (r *Relays) packets(to int) {
	buf := make([]byte, 64<<10)
	for {
		n, at, err := r.places[to].udp.ReadFromUDP(buf)
		if err != nil {
			if r.ended() {
				return
			}
			continue
		}
		from, known := r.from(at)
		if !known {
			continue
		}
		p := append([]byte(nil), buf[:n]...)
		for _, wait := range r.fate(from, to, p) {
			if wait == 0 {
				r.pass(from, to, p)
			} else {
				time.AfterFunc(wait, func() { r.pass(from, to, p) })
			}
		}
	}
}

func (r *Relays) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over
}

// fate is how often a packet arrives and after what time each; it may spoil it.
func (r *Relays) fate(from, to int, p []byte) (after []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.links[[2]int{from, to}]
	r.came++
	if f.Cut || r.rng.Float64() < f.Loss {
		r.dropped++
		return nil
	}
	if r.rng.Float64() < f.Corrupt && len(p) > 0 {
		p[r.rng.IntN(len(p))] ^= 1 << r.rng.IntN(8)
	}
	wait := func(most time.Duration) time.Duration {
		if most <= 0 {
			return 0
		}
		return time.Duration(r.rng.Int64N(int64(most)))
	}
	after = append(after, wait(f.Delay))
	if r.rng.Float64() < f.Twice {
		if r.rng.Float64() < f.Late {
			after = append(after, wait(f.LateBy))
		} else {
			after = append(after, wait(f.Delay))
		}
	}
	return after
}

// pass sends a packet on, from where its sender is reached. What is late and meets a cut by then is lost.
func (r *Relays) pass(from, to int, p []byte) {
	if r.Get(from, to).Cut {
		return
	}
	if at, err := net.ResolveUDPAddr("udp", r.places[to].own); err == nil {
		r.places[from].udp.WriteToUDP(p, at)
	}
}

// streams takes connections to one process.
func (r *Relays) streams(to int) {
	for {
		c, err := r.places[to].tcp.Accept()
		if err != nil {
			if r.ended() {
				return
			}
			continue
		}
		from, known := r.from(c.RemoteAddr())
		if !known {
			c.Close()
			continue
		}
		r.done.Go(func() { r.stream(from, to, c) })
	}
}

func (r *Relays) hold(c net.Conn, on bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on && r.over {
		c.Close()
		return false
	}
	if on {
		r.conns[c] = true
	} else {
		delete(r.conns, c)
		c.Close()
	}
	return true
}

// stream passes a connection on, each way as its link has it: where that is cut nothing passes until it is mended.
func (r *Relays) stream(from, to int, c net.Conn) {
	if !r.hold(c, true) {
		return
	}
	defer r.hold(c, false)
	if !r.open(from, to) || !r.open(to, from) {
		return
	}
	d, err := net.DialTimeout("tcp", r.places[to].own, dialMax)
	if err != nil || !r.hold(d, true) {
		return
	}
	defer r.hold(d, false)
	var both sync.WaitGroup
	both.Go(func() { r.copy(from, to, d, c) })
	both.Go(func() { r.copy(to, from, c, d) })
	both.Wait()
}

// open waits until a link is not cut; false at the end.
func (r *Relays) open(from, to int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.links[[2]int{from, to}].Cut && !r.over {
		r.changed.Wait()
	}
	return !r.over
}

func (r *Relays) copy(from, to int, dst, src net.Conn) {
	buf := make([]byte, pieceMax)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !r.open(from, to) {
				return
			}
			r.mu.Lock()
			f := r.links[[2]int{from, to}]
			if r.rng.Float64() < f.Corrupt {
				buf[r.rng.IntN(n)] ^= 1 << r.rng.IntN(8)
			}
			wait := time.Duration(0)
			if f.Delay > 0 {
				wait = time.Duration(r.rng.Int64N(int64(f.Delay)))
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

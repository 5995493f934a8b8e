// Package resource simulates what a lease protects: something that only one process at a time may use. It records, by the
// true clock, each single operation, which it accepts or refuses by its term (a fencing token), and each usage, which lasts as
// long as its connection and isn't checked, so that overlaps show.
package resource

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Operation is one operation that was accepted or refused.
type Operation struct {
	Lease, Holder                   string
	Term                            uint64
	AnnouncedAt, CheckedAt, KnownAt int64 // us: when it was announced, checked, and known to be over
	Accepted                        bool
}

// Usage is a stretch of time in which a process used the resource, with no check.
type Usage struct {
	Lease, Holder string
	Term          uint64
	Begin, End    int64 // us; End 0 while it lasts
}

// Server is the resource. It listens on loopback.
type Server struct {
	now          func() int64
	listener     net.Listener
	mu           sync.Mutex
	operations   []Operation
	usages       []*Usage
	highestTerm  map[string]uint64
	holderOfTerm map[string]string
	connections  map[net.Conn]bool
	goroutines   sync.WaitGroup
}

// Start starts a resource; now is the true clock, in us.
func Start(now func() int64) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{now: now, listener: ln, highestTerm: map[string]uint64{}, holderOfTerm: map[string]string{}, connections: map[net.Conn]bool{}}
	s.goroutines.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections[c] = true
			s.mu.Unlock()
			s.goroutines.Go(func() {
				s.serve(c)
				s.mu.Lock()
				delete(s.connections, c)
				s.mu.Unlock()
				c.Close()
			})
		}
	})
	return s, nil
}

// Address returns where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the resource and waits for its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.connections {
		c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// Operations returns the operations recorded so far.
func (s *Server) Operations() []Operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.operations)
}

// Usages returns the usages recorded so far; one that lasts ends now.
func (s *Server) Usages() (all []Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.usages {
		r := *one
		if r.End == 0 {
			r.End = s.now()
		}
		all = append(all, r)
	}
	return all
}

// serve reads lines: "begin LEASE HOLDER", then "act TERM", then "end", for an operation; "run LEASE HOLDER TERM" for a usage.
func (s *Server) serve(c net.Conn) {
	lines := bufio.NewScanner(c)
	var act Operation
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		now := s.now()
		switch {
		case len(f) == 3 && f[0] == "begin":
			act = Operation{Lease: f[1], Holder: f[2], AnnouncedAt: now}
			fmt.Fprintln(c, "ok")
		case len(f) == 2 && f[0] == "act" && act.Lease != "":
			act.Term, _ = strconv.ParseUint(f[1], 10, 64)
			if act.CheckedAt = now; s.accept(&act) {
				fmt.Fprintln(c, "taken")
			} else {
				fmt.Fprintln(c, "refused")
			}
		case len(f) == 1 && f[0] == "end" && act.CheckedAt > 0:
			s.finish(act, now)
			act = Operation{}
		case len(f) == 4 && f[0] == "run":
			r := &Usage{Lease: f[1], Holder: f[2], Begin: now}
			r.Term, _ = strconv.ParseUint(f[3], 10, 64)
			s.mu.Lock()
			s.usages = append(s.usages, r)
			s.mu.Unlock()
			defer func() {
				s.mu.Lock()
				r.End = s.now()
				s.mu.Unlock()
			}()
		default:
			return
		}
	}
	if act.CheckedAt > 0 { // its process died before it knew
		s.finish(act, s.now())
	}
}

// accept decides on an operation by its term: it refuses a lower one than it has seen, and a second holder of the same term.
func (s *Server) accept(a *Operation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.highestTerm[a.Lease]
	a.Accepted = a.Term > top || a.Term == top && s.holderOfTerm[a.Lease] == a.Holder
	if a.Accepted {
		s.highestTerm[a.Lease], s.holderOfTerm[a.Lease] = a.Term, a.Holder
	}
	return a.Accepted
}

func (s *Server) finish(a Operation, now int64) {
	a.KnownAt = now
	s.mu.Lock()
	s.operations = append(s.operations, a)
	s.mu.Unlock()
}

// Overlaps counts the pairs of usages under one lease, by different terms or holders, that lasted at the same time, and returns
// the longest overlap in us.
func Overlaps(all []Usage) (pairs int, longest int64) {
	byLease := map[string][]Usage{}
	for _, r := range all {
		byLease[r.Lease] = append(byLease[r.Lease], r)
	}
	for _, runs := range byLease {
		slices.SortFunc(runs, func(a, b Usage) int { return int(a.Begin - b.Begin) })
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if b.Begin >= a.End {
					continue
				}
				if a.Term != b.Term || a.Holder != b.Holder {
					pairs++
					longest = max(longest, min(a.End, b.End)-b.Begin)
				}
			}
		}
	}
	return pairs, longest
}

// Client is one process's connection to the resource.
type Client struct {
	address, holder string
	conn            net.Conn
	reader          *bufio.Reader
}

// NewClient returns a client that connects with its first call; holder names the process.
func NewClient(address, holder string) *Client { return &Client{address: address, holder: holder} }

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *Client) send(line string) (string, error) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return "", err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if _, err := fmt.Fprintln(c.conn, line); err != nil {
		c.Close()
		return "", err
	}
	if line == "end" {
		return "", nil
	}
	answer, err := c.reader.ReadString('\n')
	if err != nil {
		c.Close()
	}
	return strings.TrimSpace(answer), err
}

// Announce announces an operation; Execute and Finish follow.
func (c *Client) Announce(lease string) error {
	_, err := c.send("begin " + lease + " " + c.holder)
	return err
}

// Execute executes the operation under a term and reports whether it was accepted. Finish follows.
func (c *Client) Execute(term uint64) (taken bool, err error) {
	answer, err := c.send("act " + strconv.FormatUint(term, 10))
	return answer == "taken", err
}

// Finish notes that the operation's outcome is known.
func (c *Client) Finish() { c.send("end") }

// BeginUsage begins a usage, which lasts until the process ends.
func (c *Client) BeginUsage(lease string, term uint64) error {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return err
	}
	c.conn = conn
	_, err = fmt.Fprintf(conn, "run %s %s %d\n", lease, c.holder, term)
	return err
}

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
	now        func() int64
	listener   net.Listener
	goroutines sync.WaitGroup

	mu          sync.Mutex
	operations  []Operation
	usages      []*Usage
	newest      map[string]claim // by lease
	connections map[net.Conn]bool
}

// claim is the highest term under which a lease was used, and by whom.
type claim struct {
	term   uint64
	holder string
}

// Start starts a resource; now is the true clock, in us.
func Start(now func() int64) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{now: now, listener: listener, newest: map[string]claim{}, connections: map[net.Conn]bool{}}
	s.goroutines.Go(s.accept)
	return s, nil
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections[conn] = true
		s.mu.Unlock()
		s.goroutines.Go(func() {
			s.serve(conn)
			s.mu.Lock()
			delete(s.connections, conn)
			s.mu.Unlock()
			conn.Close()
		})
	}
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
func (s *Server) Usages() []Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Usage
	for _, one := range s.usages {
		usage := *one
		if usage.End == 0 {
			usage.End = s.now()
		}
		all = append(all, usage)
	}
	return all
}

// serve reads lines: "begin LEASE HOLDER", then "act TERM", then "end", for an operation; "run LEASE HOLDER TERM" for a usage.
// Any other line ends the connection.
func (s *Server) serve(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	var operation Operation // under way
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		now := s.now()
		switch {
		case len(fields) == 3 && fields[0] == "begin":
			operation = Operation{Lease: fields[1], Holder: fields[2], AnnouncedAt: now}
			fmt.Fprintln(conn, "ok")
		case len(fields) == 2 && fields[0] == "act" && operation.Lease != "":
			operation.Term, _ = strconv.ParseUint(fields[1], 10, 64)
			operation.CheckedAt = now
			fmt.Fprintln(conn, s.check(&operation))
		case len(fields) == 1 && fields[0] == "end" && operation.CheckedAt > 0:
			s.finish(operation, now)
			operation = Operation{}
		case len(fields) == 4 && fields[0] == "run":
			usage := s.beginUsage(fields[1], fields[2], fields[3], now)
			defer s.endUsage(usage)
		default:
			return
		}
	}
	if operation.CheckedAt > 0 { // its process died before it knew the outcome
		s.finish(operation, s.now())
	}
}

// beginUsage records a usage that lasts from now on.
func (s *Server) beginUsage(lease, holder, term string, now int64) *Usage {
	usage := &Usage{Lease: lease, Holder: holder, Begin: now}
	usage.Term, _ = strconv.ParseUint(term, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usages = append(s.usages, usage)
	return usage
}

// endUsage records that a usage has ended.
func (s *Server) endUsage(usage *Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage.End = s.now()
}

// check decides on an operation by its term, and returns the answer: it refuses a lower term than it has seen, and a second
// holder of the same term.
func (s *Server) check(o *Operation) (answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.newest[o.Lease]
	o.Accepted = o.Term > newest.term || o.Term == newest.term && newest.holder == o.Holder
	if !o.Accepted {
		return "refused"
	}
	s.newest[o.Lease] = claim{term: o.Term, holder: o.Holder}
	return "taken"
}

// finish records an operation whose outcome is known now.
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

// send sends a line and returns the answer; "end" has none.
func (c *Client) send(line string) (string, error) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return "", err
		}
		c.conn = conn
		c.reader = bufio.NewReader(conn)
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
func (c *Client) Execute(term uint64) (accepted bool, err error) {
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

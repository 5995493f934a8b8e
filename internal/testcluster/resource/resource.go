// Package resource simulates a resource that is protected by a lease, so that only one process at a time may use it. It records,
// by the true clock, each operation, which it accepts or refuses by its term (a fencing token), and each usage, which lasts as
// long as its connection. Usages aren't checked against terms, so that overlapping ones can be detected.
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

// Operation is one operation, which was accepted or refused.
type Operation struct {
	Lease, Holder                   string
	Term                            uint64
	AnnouncedAt, CheckedAt, KnownAt int64 // times in us at which it was announced, its term was checked, and its outcome was known
	Accepted                        bool
}

// Usage is a period in which a process used the resource without a check of its term.
type Usage struct {
	Lease, Holder string
	Term          uint64
	Begin, End    int64 // us; End is 0 while the usage lasts
}

// Server serves the resource on the loopback interface.
type Server struct {
	now        func() int64
	listener   net.Listener
	goroutines sync.WaitGroup

	mu          sync.Mutex
	operations  []Operation
	usages      []*Usage
	latest      map[string]termHolder // by lease
	connections map[net.Conn]bool
}

// termHolder is the highest accepted term of a lease, and its holder.
type termHolder struct {
	term   uint64
	holder string
}

// Start starts a resource server. now returns the true time in us.
func Start(now func() int64) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{now: now, listener: listener, latest: map[string]termHolder{}, connections: map[net.Conn]bool{}}
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

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server, closes its connections and waits for their goroutines.
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

// Usages returns the usages recorded so far. For a usage that still lasts, End is the current time.
func (s *Server) Usages() []Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var usages []Usage
	for _, recorded := range s.usages {
		usage := *recorded
		if usage.End == 0 {
			usage.End = s.now()
		}
		usages = append(usages, usage)
	}
	return usages
}

// serve reads the lines of a connection: "begin LEASE HOLDER", "act TERM" and "end" for an operation, "run LEASE HOLDER TERM" for
// a usage. Any other line closes the connection.
func (s *Server) serve(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	var operation Operation // the current operation, zero if there is none
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
	if operation.CheckedAt > 0 { // the connection ended before the process confirmed the outcome
		s.finish(operation, s.now())
	}
}

// beginUsage records the start of a usage.
func (s *Server) beginUsage(lease, holder, term string, now int64) *Usage {
	usage := &Usage{Lease: lease, Holder: holder, Begin: now}
	usage.Term, _ = strconv.ParseUint(term, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usages = append(s.usages, usage)
	return usage
}

// endUsage records the end of a usage.
func (s *Server) endUsage(usage *Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage.End = s.now()
}

// check accepts or refuses an operation by its term, and returns the answer. It refuses a term lower than the highest accepted
// one, and the highest accepted term from another holder.
func (s *Server) check(operation *Operation) (answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.latest[operation.Lease]
	operation.Accepted = operation.Term > latest.term || operation.Term == latest.term && latest.holder == operation.Holder
	if !operation.Accepted {
		return "refused"
	}
	s.latest[operation.Lease] = termHolder{term: operation.Term, holder: operation.Holder}
	return "taken"
}

// finish records an operation whose outcome became known at the time now.
func (s *Server) finish(operation Operation, now int64) {
	operation.KnownAt = now
	s.mu.Lock()
	s.operations = append(s.operations, operation)
	s.mu.Unlock()
}

// Overlaps returns the number of pairs of usages of the same lease that overlap in time and have different terms or holders, and
// the longest such overlap in us.
func Overlaps(usages []Usage) (pairs int, longest int64) {
	byLease := map[string][]Usage{}
	for _, usage := range usages {
		byLease[usage.Lease] = append(byLease[usage.Lease], usage)
	}
	for _, sameLease := range byLease {
		slices.SortFunc(sameLease, func(a, b Usage) int { return int(a.Begin - b.Begin) })
		for i, a := range sameLease {
			for _, b := range sameLease[i+1:] {
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

// Client is the connection of one process to the resource.
type Client struct {
	address, holder string
	conn            net.Conn
	reader          *bufio.Reader
}

// NewClient returns a client that connects when it is first used. holder is the name of the process.
func NewClient(address, holder string) *Client { return &Client{address: address, holder: holder} }

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a line and returns the answer. The line "end" has no answer.
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

// Announce announces an operation. Execute and Finish must follow.
func (c *Client) Announce(lease string) error {
	_, err := c.send("begin " + lease + " " + c.holder)
	return err
}

// Execute executes the announced operation under a term and reports whether it was accepted. Finish must follow.
func (c *Client) Execute(term uint64) (accepted bool, err error) {
	answer, err := c.send("act " + strconv.FormatUint(term, 10))
	return answer == "taken", err
}

// Finish reports that the process knows the outcome of the operation.
func (c *Client) Finish() { c.send("end") }

// BeginUsage begins a usage, which lasts until the connection is closed, at the latest when the process exits.
func (c *Client) BeginUsage(lease string, term uint64) error {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return err
	}
	c.conn = conn
	_, err = fmt.Fprintf(conn, "run %s %s %d\n", lease, c.holder, term)
	return err
}

// Package resource is a stand-in for what must be acted on by one process at a time. It writes down every act by the
// world's clock: single acts, which it takes or refuses by the term that comes along, and runs, which last as long as
// their connection and which it can't check.
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

// Act is one act that was taken or refused.
type Act struct {
	Lease, Holder    string
	Term             uint64
	Call, At, Return int64 // us: when it was announced, checked, and known to be over
	Taken            bool
}

// Run is a stretch of work that nothing checks.
type Run struct {
	Lease, Holder string
	Term          uint64
	Begin, End    int64 // us; End 0 while it lasts
}

// Server is the resource.
type Server struct {
	now  func() int64
	ln   net.Listener
	mu   sync.Mutex
	acts []Act
	runs []*Run
	top  map[string]uint64
	by   map[string]string
	open map[net.Conn]bool
	done sync.WaitGroup
}

// Start starts one on loopback; now is the world's clock.
func Start(now func() int64) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{now: now, ln: ln, top: map[string]uint64{}, by: map[string]string{}, open: map[net.Conn]bool{}}
	s.done.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[c] = true
			s.mu.Unlock()
			s.done.Go(func() {
				s.serve(c)
				s.mu.Lock()
				delete(s.open, c)
				s.mu.Unlock()
				c.Close()
			})
		}
	})
	return s, nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Close ends it.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// Acts and Runs are what was written down so far.
func (s *Server) Acts() []Act {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.acts)
}

// Runs are the runs so far; one that lasts ends now.
func (s *Server) Runs() (all []Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.runs {
		r := *one
		if r.End == 0 {
			r.End = s.now()
		}
		all = append(all, r)
	}
	return all
}

// serve takes lines: "begin LEASE HOLDER", then "act TERM", then "end", for an act; "run LEASE HOLDER TERM" for a run.
func (s *Server) serve(c net.Conn) {
	lines := bufio.NewScanner(c)
	var act Act
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		now := s.now()
		switch {
		case len(f) == 3 && f[0] == "begin":
			act = Act{Lease: f[1], Holder: f[2], Call: now}
			fmt.Fprintln(c, "ok")
		case len(f) == 2 && f[0] == "act" && act.Lease != "":
			act.Term, _ = strconv.ParseUint(f[1], 10, 64)
			if act.At = now; s.check(&act) {
				fmt.Fprintln(c, "taken")
			} else {
				fmt.Fprintln(c, "refused")
			}
		case len(f) == 1 && f[0] == "end" && act.At > 0:
			s.end(act, now)
			act = Act{}
		case len(f) == 4 && f[0] == "run":
			r := &Run{Lease: f[1], Holder: f[2], Begin: now}
			r.Term, _ = strconv.ParseUint(f[3], 10, 64)
			s.mu.Lock()
			s.runs = append(s.runs, r)
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
	if act.At > 0 { // its process died before it knew
		s.end(act, s.now())
	}
}

// check takes an act by its term: none under a lower one than was seen, and each term has one holder.
func (s *Server) check(a *Act) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.top[a.Lease]
	a.Taken = a.Term > top || a.Term == top && s.by[a.Lease] == a.Holder
	if a.Taken {
		s.top[a.Lease], s.by[a.Lease] = a.Term, a.Holder
	}
	return a.Taken
}

func (s *Server) end(a Act, now int64) {
	a.Return = now
	s.mu.Lock()
	s.acts = append(s.acts, a)
	s.mu.Unlock()
}

// Overlaps counts the pairs of runs of one lease by different terms that lasted at one time, and the longest such time.
func Overlaps(all []Run) (pairs int, longest int64) {
	byLease := map[string][]Run{}
	for _, r := range all {
		byLease[r.Lease] = append(byLease[r.Lease], r)
	}
	for _, runs := range byLease {
		slices.SortFunc(runs, func(a, b Run) int { return int(a.Begin - b.Begin) })
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

// Client is a process's way to the resource.
type Client struct {
	address, holder string
	conn            net.Conn
	in              *bufio.Reader
}

// NewClient makes one; holder is how the process is known.
func NewClient(address, holder string) *Client { return &Client{address: address, holder: holder} }

// Close ends its connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *Client) ask(line string) (string, error) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return "", err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	if _, err := fmt.Fprintln(c.conn, line); err != nil {
		c.Close()
		return "", err
	}
	if line == "end" {
		return "", nil
	}
	answer, err := c.in.ReadString('\n')
	if err != nil {
		c.Close()
	}
	return strings.TrimSpace(answer), err
}

// Begin announces an act.
func (c *Client) Begin(lease string) error {
	_, err := c.ask("begin " + lease + " " + c.holder)
	return err
}

// Act acts under a term; it tells whether that was taken. Done follows.
func (c *Client) Act(term uint64) (taken bool, err error) {
	answer, err := c.ask("act " + strconv.FormatUint(term, 10))
	return answer == "taken", err
}

// Done tells that the act's outcome is known.
func (c *Client) Done() { c.ask("end") }

// Run begins a run, which lasts until the process ends.
func (c *Client) Run(lease string, term uint64) error {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return err
	}
	c.conn = conn
	_, err = fmt.Fprintf(conn, "run %s %s %d\n", lease, c.holder, term)
	return err
}

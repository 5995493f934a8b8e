package noisyclients

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/client"
	"cairntiller/internal/testcluster/cluster"
)

// lostAfter is how long after its time an answer may arrive before it counts as lost.
const lostAfter = 500 * time.Millisecond

// lateAfter is how much longer time limits are on sockets.
const lateAfter = 50 * time.Millisecond

// retryPause is how long a client waits after an error.
const retryPause = 20 * time.Millisecond

// Seen is what the ordinary clients saw.
type Seen struct {
	Sent, Served, Refused, Failed int
	Late                          int           // answered after their time
	Lost                          int           // answered more than lostAfter past their time, or never
	Longest                       time.Duration // the longest wait for an answer
}

// late returns the number of commands that were not answered in time.
func (s Seen) late() int { return s.Late + s.Lost }

func (s Seen) add(other Seen) Seen {
	return Seen{
		Sent:    s.Sent + other.Sent,
		Served:  s.Served + other.Served,
		Refused: s.Refused + other.Refused,
		Failed:  s.Failed + other.Failed,
		Late:    s.Late + other.Late,
		Lost:    s.Lost + other.Lost,
		Longest: max(s.Longest, other.Longest),
	}
}

// crossingTime is how long after a command was sent the end of its connection may arrive that the router had decided on
// before it read the command. The client then sends the command again on a new connection.
const crossingTime = 50 * time.Millisecond

// ordinaryGroup is what the clients of a play have in common.
type ordinaryGroup struct {
	address     string
	longestWait time.Duration // of writes
	stop        <-chan struct{}
	draining    atomic.Bool // the router has been told to end: it closes connections between commands
	frontMoved  atomic.Bool // the front sends new connections to other routers
}

// run runs clients that send one command at a time until stop is closed.
func (g *ordinaryGroup) run(count int) Seen {
	var mu sync.Mutex
	var total Seen
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() {
			c := &ordinaryClient{group: g, number: i}
			defer c.close()
			for {
				select {
				case <-g.stop:
					mu.Lock()
					total = total.add(c.seen)
					mu.Unlock()
					return
				default:
					c.sendOne()
				}
			}
		})
	}
	all.Wait()
	return total
}

// ordinaryClient sends one command at a time and reconnects when its connection has ended.
type ordinaryClient struct {
	group  *ordinaryGroup
	number int
	conn   net.Conn
	seen   Seen
}

func (c *ordinaryClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// deadline returns how long the client waits for its next answer, and the command's class.
func (c *ordinaryClient) deadline() (time.Duration, string) {
	if (c.seen.Sent+c.number)%4 == 0 {
		return c.group.longestWait, cluster.ClassWrite
	}
	return 322 * time.Millisecond, cluster.ClassReadAny
}

// statement returns the text of the next command.
func (c *ordinaryClient) statement(timeout time.Duration, class string) string {
	head := fmt.Sprintf("/* id=ordinary-%d-%d-%d,c=%s,d=%d,cluster=%d */ ",
		c.number, c.seen.Sent, time.Now().UnixNano(), class, timeout.Milliseconds(), c.seen.Sent%2)
	if class == cluster.ClassWrite {
		return head + fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('k%d', '1') RETURNING data", c.number)
	}
	return head + fmt.Sprintf("SELECT data FROM facts WHERE code = 'k%d'", c.number)
}

// sendOne sends a command and records its answer. A connection that is closed between two commands is replaced; a
// command whose connection ends is lost, unless an error says why.
func (c *ordinaryClient) sendOne() {
	timeout, class := c.deadline()
	if c.conn == nil && (c.group.frontMoved.Load() || c.connect() != nil) {
		time.Sleep(retryPause)
		return
	}
	message := pgwire.AppendQuery(nil, c.statement(timeout, class))
	c.seen.Sent++
	began := time.Now()
	c.conn.SetDeadline(began.Add(timeout + lostAfter))
	_, err := c.conn.Write(message)
	var code string
	if err == nil {
		code, err = readAnswer(c.conn)
	}
	took := time.Since(began)
	if err != nil {
		c.close()
		if c.group.draining.Load() && took < crossingTime {
			c.seen.Sent--
			return
		}
		c.seen.Lost++
		return
	}
	c.seen.Longest = max(c.seen.Longest, took)
	if took > timeout+lateAfter {
		c.seen.Late++
	}
	switch code {
	case "":
		c.seen.Served++
	case pgwire.CodeRejected, pgwire.CodeNotReady:
		c.seen.Refused++
	default:
		c.seen.Failed++
	}
	if code != "" {
		time.Sleep(retryPause)
	}
}

func (c *ordinaryClient) connect() error {
	conn, err := net.DialTimeout("tcp", c.group.address, time.Second)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = conn.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database)); err != nil {
		conn.Close()
		return err
	}
	c.conn = conn
	code, err := readAnswer(conn)
	if err == nil && code != "" {
		err = errRefused
	}
	if err != nil {
		c.close()
	}
	return err
}

// errRefused reports that the router has ended a new connection with an error, before a command was sent on it.
var errRefused = errors.New("connection refused by the router")

// readAnswer reads up to ReadyForQuery and returns the SQLSTATE of an error, "" for none. A fatal error, after which the
// connection ends, is a whole answer too.
func readAnswer(conn io.Reader) (code string, err error) {
	err = client.ReadReply(conn, func(message pgwire.Frame) {
		if message.Type == 'E' {
			code = cmp.Or(client.ErrorCode(message.Body), "none")
		}
	})
	if code != "" && !errors.Is(err, io.ErrUnexpectedEOF) {
		return code, nil
	}
	return code, err
}

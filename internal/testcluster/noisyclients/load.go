package noisyclients

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"cairntiller/internal/pgwire"
)

// Load is one kind of misuse.
type Load string

// The kinds of misuse. The slow ones keep hundreds of connections, the others send at full speed on a few.
const (
	NoLoad          Load = "none"
	HalfCommands    Load = "half commands"    // most of a large command, then nothing
	ManyFields      Load = "many fields"      // whole commands whose comments hold very many short fields
	DrippedCommands Load = "dripped commands" // large commands, a little at a time
	EmptyQueries    Load = "empty queries"
	WithoutID       Load = "without an id" // commands without an id and a time
	NewClasses      Load = "new classes"   // each command names a class of its own
	NewShards       Load = "new shards"    // each command names a shard of its own
	Syncs           Load = "sync messages"
	NewIDs          Load = "new ids"    // sound reads, each with an id and a key of its own
	LongWaits       Load = "long waits" // the same, with clients that would wait for a day
	LongKeys        Load = "long keys"  // sound reads and writes with large keys
	UnreadAnswers   Load = "no reading" // empty queries whose answers are not read
	Reconnects      Load = "reconnects" // a connection for each command, closed before its answer
	Connects        Load = "connects"   // connections that are closed at once
	Pipelines       Load = "pipelines"  // sound reads, many at once on each of many connections
)

const (
	slowConnections  = 400
	fastConnections  = 6
	largeStatement   = 140_000 // bytes
	manyFieldsHead   = 150_000 // bytes
	dripRate         = 70_000  // bytes a second
	dripInterval     = 100 * time.Millisecond
	longKey          = 100_000 // bytes
	messagesPerWrite = 200
	pipelineDepth    = 64
)

// Run plays the load against a router until stop is closed.
func (l Load) Run(address string, seed uint64, stop <-chan struct{}) {
	send, connections := l.sender()
	if send == nil {
		<-stop
		return
	}
	var all sync.WaitGroup
	for i := range connections {
		all.Go(func() {
			client := &noisyClient{address: address, number: i, random: rand.New(rand.NewPCG(seed, uint64(i))), stop: stop}
			for !client.stopped() {
				if client.connect() != nil || send(client) != nil {
					client.pause(10 * time.Millisecond)
				}
				client.close()
			}
		})
	}
	all.Wait()
}

// sender returns the function that uses one connection until it fails, and the number of connections; nil for no load.
func (l Load) sender() (send func(*noisyClient) error, connections int) {
	switch l {
	case HalfCommands:
		return (*noisyClient).sendHalfCommand, slowConnections
	case ManyFields:
		return (*noisyClient).sendManyFields, slowConnections
	case DrippedCommands:
		return (*noisyClient).dripCommand, slowConnections
	case Reconnects:
		return (*noisyClient).sendAndClose, fastConnections
	case Connects:
		return func(*noisyClient) error { return nil }, fastConnections
	case Pipelines:
		return (*noisyClient).sendPipeline, slowConnections
	case NoLoad:
		return nil, 0
	}
	return func(c *noisyClient) error { return c.flood(l) }, fastConnections
}

// noisyClient is one connection at a time of a load.
type noisyClient struct {
	address string
	number  int
	sent    int
	random  *rand.Rand
	conn    net.Conn
	closed  chan struct{} // closed with conn
	stop    <-chan struct{}
}

func (c *noisyClient) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// pause waits, at most until the load is stopped.
func (c *noisyClient) pause(d time.Duration) {
	select {
	case <-c.stop:
	case <-time.After(d):
	}
}

// connect opens a connection and sends the startup message. Stopping the load closes it.
func (c *noisyClient) connect() error {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	closed := make(chan struct{})
	c.conn = conn
	c.closed = closed
	go func() {
		select {
		case <-c.stop:
			conn.Close()
		case <-closed:
		}
	}()
	_, err = conn.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database))
	return err
}

func (c *noisyClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
		close(c.closed)
	}
}

// nextID returns an id that no other command has.
func (c *noisyClient) nextID() string {
	c.sent++
	return fmt.Sprintf("%016x%02x%08x", c.random.Uint64(), c.number, c.sent)
}

// sendHalfCommand sends nine tenths of a large command and waits for the connection's end.
func (c *noisyClient) sendHalfCommand() error {
	message := c.largeCommand()
	if _, err := c.conn.Write(message[:len(message)*9/10]); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, c.conn)
	return err
}

func (c *noisyClient) largeCommand() []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=board,d=900,cluster=0 */ SELECT data FROM facts WHERE code = '%s'",
		c.nextID(), strings.Repeat("x", largeStatement)))
}

// sendManyFields sends a command with very many one-letter fields, and waits for its answer.
func (c *noisyClient) sendManyFields() error {
	var comment strings.Builder
	for i := 0; comment.Len() < manyFieldsHead; i++ {
		fmt.Fprintf(&comment, "%c%x=1,", 'p'+rune(i%8), i)
	}
	statement := fmt.Sprintf("/* %sid=%s,c=board,d=900,cluster=0 */ SELECT 1", comment.String(), c.nextID())
	if _, err := c.conn.Write(pgwire.AppendQuery(nil, statement)); err != nil {
		return err
	}
	c.conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err := io.Copy(io.Discard, c.conn)
	return err
}

// dripCommand sends a large command a little at a time.
func (c *noisyClient) dripCommand() error {
	go io.Copy(io.Discard, c.conn)
	step := int(dripRate * dripInterval / time.Second)
	for message := c.largeCommand(); len(message) > 0; c.pause(dripInterval) {
		step = min(step, len(message))
		if _, err := c.conn.Write(message[:step]); err != nil {
			return err
		}
		message = message[step:]
	}
	return nil
}

// flood sends messages at full speed. The answers are read and discarded, except for UnreadAnswers.
func (c *noisyClient) flood(l Load) error {
	if l != UnreadAnswers {
		go io.Copy(io.Discard, c.conn)
	}
	for {
		var messages []byte
		for range messagesPerWrite {
			messages = c.appendMessage(messages, l)
		}
		if _, err := c.conn.Write(messages); err != nil {
			return err
		}
	}
}

// appendMessage appends one message of a flood.
func (c *noisyClient) appendMessage(to []byte, l Load) []byte {
	read := func(class string, timeout time.Duration, shard int, key string) []byte {
		return pgwire.AppendQuery(to, fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ SELECT data FROM facts WHERE code = '%s'",
			c.nextID(), class, timeout.Milliseconds(), shard, key))
	}
	switch l {
	case WithoutID:
		return pgwire.AppendQuery(to, "/* c=board,cluster=0 */ SELECT 1")
	case NewClasses:
		return read("class-"+c.nextID(), time.Second, 0, "k")
	case NewShards:
		return read("board", time.Second, c.random.Int(), "k")
	case Syncs:
		return pgwire.Frame{Type: 'S'}.Append(to)
	case NewIDs:
		return read("own", time.Second, c.sent%2, c.nextID())
	case LongWaits:
		return read("own", 24*time.Hour, c.sent%2, c.nextID())
	case LongKeys:
		key := strings.Repeat("y", longKey) + c.nextID()
		if c.sent%2 == 0 {
			return read("own", time.Second, 0, key)
		}
		return pgwire.AppendQuery(to, fmt.Sprintf("/* id=%s,c=entry,d=900,cluster=0 */ INSERT INTO facts (code, data) VALUES ('%s', '1')",
			c.nextID(), key))
	}
	return pgwire.AppendQuery(to, "") // EmptyQueries, UnreadAnswers
}

// sendPipeline sends many reads at once, again and again as they are answered.
func (c *noisyClient) sendPipeline() error {
	answers := bufio.NewReader(c.conn)
	for {
		var messages []byte
		for range pipelineDepth {
			messages = c.appendMessage(messages, NewIDs)
		}
		if _, err := c.conn.Write(messages); err != nil {
			return err
		}
		for range pipelineDepth {
			if _, err := readAnswer(answers); err != nil {
				return err
			}
		}
	}
}

// sendAndClose sends a read and closes the connection shortly after.
func (c *noisyClient) sendAndClose() error {
	if _, err := c.conn.Write(c.appendMessage(nil, NewIDs)); err != nil {
		return err
	}
	c.pause(time.Duration(c.random.IntN(2000)) * time.Microsecond)
	return nil
}

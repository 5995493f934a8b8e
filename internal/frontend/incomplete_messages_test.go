package frontend

import (
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"cairntiller/internal/pgwire"
)

// largeCommand returns a command of about 64 KiB.
func largeCommand(id string) []byte {
	return pgwire.AppendQuery(nil, "/* id="+id+",c=look,d=60000,cluster=0 */ SELECT '"+strings.Repeat("x", largestValue)+"'")
}

// TestStalledMessagesGiveWayToCompleteOnes guards against clients that stop in a large command and so use up the memory
// for incomplete messages: those that have stalled for the longest are closed, and another client's command is accepted.
func TestStalledMessagesGiveWayToCompleteOnes(t *testing.T) {
	const memoryLimit = 8 << 20 // of which 512 KiB may be incomplete
	s := startServer(t, memoryLimit)
	var stalled []net.Conn
	for range 20 {
		c := s.dial(t)
		command := largeCommand("stalled")
		if _, err := c.Write(command[:len(command)-1]); err != nil {
			t.Fatal(err)
		}
		stalled = append(stalled, c)
	}
	sound := s.dial(t)
	if _, err := sound.Write(largeCommand("1")); err != nil {
		t.Fatal(err)
	}
	select {
	case request := <-s.submitted:
		request.Answer(value(request.Command.ID, 1))
	case <-time.After(20 * time.Second):
		t.Fatal("the sound client's command was not accepted")
	}
	if answer := readAnswer(t, sound); !isValueOf(answer, 1) {
		t.Errorf("the sound client got %.80q", answer)
	}
	if held, limit := s.partialBytes.Load(), int64(memoryLimit/partialMemoryDivisor); held > limit || held == 0 {
		t.Errorf("%d bytes of incomplete messages are held, the limit is %d", held, limit)
	}
	for _, c := range stalled {
		c.Close()
	}
	eventually(t, "no incomplete messages", func() bool { return s.partialBytes.Load() == 0 })
}

// TestClosedSessionsReleaseTheirMessages guards against closed sessions that keep an incomplete message in memory while
// they linger.
func TestClosedSessionsReleaseTheirMessages(t *testing.T) {
	const sessions = 30
	s := startServer(t, 192<<20)
	for range sessions {
		command := largeCommand("1")
		if _, err := s.dial(t).Write(command[:len(command)-1]); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "the messages have arrived", func() bool { return s.partialBytes.Load() >= sessions*largestValue })
	before := heapBytes()
	for _, c := range s.allSessions() {
		c.closeForPartial()
	}
	eventually(t, "the messages are released", func() bool { return before-heapBytes() > sessions*largestValue/2 })
	if len(s.allSessions()) == 0 {
		t.Error("the sessions have ended, so their release while they linger was not seen")
	}
}

// heapBytes returns the bytes of reachable objects.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

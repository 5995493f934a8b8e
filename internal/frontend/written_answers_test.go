package frontend

import (
	"runtime"
	"slices"
	"testing"
	"weak"
)

// TestWrittenAnswersAreReleased guards against answers that stay in memory after they are written, uncounted, for as
// long as their connection is open and idle: the list of pending answers kept pointing at them.
func TestWrittenAnswersAreReleased(t *testing.T) {
	s := startServer(t, 192<<20)
	c := s.dial(t)
	var values []weak.Pointer[byte]
	func() { // so that nothing on this stack points at the requests
		requests := s.send(t, c, 0, maxPipelined)
		for _, request := range requests {
			answer := slices.Grow(value(request.Command.ID, largestValue), 64) // with room for ReadyForQuery, so that it is not copied
			values = append(values, weak.Make(&answer[0]))
			request.Answer(answer)
		}
		for range requests {
			readAnswer(t, c)
		}
	}()
	s.checkNoneInFlight(t)
	kept := 0
	for range 10 {
		runtime.GC()
		kept = 0
		for _, value := range values {
			if value.Value() != nil {
				kept++
			}
		}
	}
	if kept > 1 { // the network library keeps the last one until the next write
		t.Errorf("%d of %d written answers are in memory while the connection is idle", kept, len(values))
	}
}

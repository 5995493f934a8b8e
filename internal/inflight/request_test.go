package inflight

import (
	"testing"

	"cairntiller/internal/pgwire"
)

// recordingClient notes what a request's client was told.
type recordingClient struct {
	told []string
	gone bool
}

func (c *recordingClient) Answer(_ *Request, value []byte) {
	c.told = append(c.told, "answer "+string(value))
}
func (c *recordingClient) Reject(*Request, int64) { c.told = append(c.told, "reject") }
func (c *recordingClient) Fail(*Request)          { c.told = append(c.told, "fail") }
func (c *recordingClient) Connected() bool        { return !c.gone }

func newRequest(client Client) *Request {
	return NewRequest(&pgwire.Command{ID: "1", Timeout: 1_000}, client, 0, -1, 5_000)
}

// TestOneFinalAnswer: two attempts of a request are out and both bring a value. The client is told the first one; the second
// is dropped, and neither the client's leave nor anything else changes that.
func TestOneFinalAnswer(t *testing.T) {
	client := &recordingClient{}
	request := newRequest(client)
	first := request.StartAttempt("n0", 5_100, 0, 0)
	second := request.StartAttempt("n1", 5_200, 0, 0)
	if !request.EndAttempt(second) || !request.Answer([]byte("b")) || !request.Concluded() {
		t.Error("the first value to come is not the answer")
	}
	if !request.EndAttempt(first) || request.Answer([]byte("a")) {
		t.Error("a second value was taken for an answer")
	}
	if request.ClientGone() {
		t.Error("the client still waited after its answer")
	}
	if len(client.told) != 1 || client.told[0] != "answer b" || request.OpenAttempts != 0 {
		t.Errorf("told %q, %d attempts open", client.told, request.OpenAttempts)
	}
}

// TestMayStart: an attempt may be sent until its latest start, which is never past its own deadline or its request's; and
// only while the request is open and the client there.
func TestMayStart(t *testing.T) {
	for name, c := range map[string]struct {
		timeout, startWithin, deadline, latestStart int64
	}{
		"until the client gives up": {0, 0, 6_000, 5_999},
		"with a timeout":            {300, 0, 5_400, 5_399},
		"a timeout past the client": {5_000, 0, 6_000, 5_999},
		"with a window":             {0, 200, 6_000, 5_300},
		"a window past the timeout": {300, 800, 5_400, 5_399},
	} {
		client := &recordingClient{}
		request := newRequest(client)
		attempt := request.StartAttempt("n0", 5_100, c.timeout, c.startWithin)
		if attempt.Deadline != c.deadline || attempt.LatestStart != c.latestStart {
			t.Errorf("%s: deadline %d, latest start %d", name, attempt.Deadline, attempt.LatestStart)
		}
		if !attempt.MayStart(c.latestStart) || attempt.MayStart(c.latestStart+1) {
			t.Errorf("%s: its latest start is not kept to", name)
		}
		client.gone = true
		if attempt.MayStart(5_100) {
			t.Errorf("%s: it may start for a client that has gone", name)
		}
		client.gone = false
		request.Fail()
		if attempt.MayStart(5_100) {
			t.Errorf("%s: it may start for a request that is concluded", name)
		}
	}
}

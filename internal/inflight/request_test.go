package inflight

import (
	"testing"

	"cairntiller/internal/pgwire"
)

// recordingClient records the answers sent to a client.
type recordingClient struct {
	answers      []string
	disconnected bool
}

func (c *recordingClient) Answer(_ *Request, value []byte) {
	c.answers = append(c.answers, "answer "+string(value))
}
func (c *recordingClient) Reject(*Request, int64) { c.answers = append(c.answers, "reject") }
func (c *recordingClient) Fail(*Request)          { c.answers = append(c.answers, "fail") }
func (c *recordingClient) Connected() bool        { return !c.disconnected }

func newRequest(client Client) *Request {
	return NewRequest(&pgwire.Command{ID: "1", Timeout: 1_000}, client, 0, -1, 5_000)
}

// TestOneFinalAnswer checks that when two attempts of a request both return a value, the client gets the first one, and
// that neither the second value nor the client's disconnect changes that.
func TestOneFinalAnswer(t *testing.T) {
	client := &recordingClient{}
	request := newRequest(client)
	first := request.StartAttempt("n0", 5_100, 0, 0)
	second := request.StartAttempt("n1", 5_200, 0, 0)
	if !request.EndAttempt(second) || !request.Answer([]byte("b")) || !request.Concluded() {
		t.Error("the first value was not used as the answer")
	}
	if !request.EndAttempt(first) || request.Answer([]byte("a")) {
		t.Error("a second value was used as the answer")
	}
	if request.ClientGone() {
		t.Error("the client was still waiting after its answer")
	}
	if len(client.answers) != 1 || client.answers[0] != "answer b" || request.OpenAttempts != 0 {
		t.Errorf("answers sent: %q, open attempts: %d", client.answers, request.OpenAttempts)
	}
}

// TestMayStart checks that an attempt may be sent only until its latest start, which is before its own deadline and
// that of its request, and only while the request is open and the client connected.
func TestMayStart(t *testing.T) {
	for name, c := range map[string]struct {
		timeout, startWithin, deadline, latestStart int64
	}{
		"client timeout":                          {0, 0, 6_000, 5_999},
		"attempt timeout":                         {300, 0, 5_400, 5_399},
		"attempt timeout past the client timeout": {5_000, 0, 6_000, 5_999},
		"start window":                            {0, 200, 6_000, 5_300},
		"start window past the timeout":           {300, 800, 5_400, 5_399},
	} {
		client := &recordingClient{}
		request := newRequest(client)
		attempt := request.StartAttempt("n0", 5_100, c.timeout, c.startWithin)
		if attempt.Deadline != c.deadline || attempt.LatestStart != c.latestStart {
			t.Errorf("%s: deadline %d, latest start %d", name, attempt.Deadline, attempt.LatestStart)
		}
		if !attempt.MayStart(c.latestStart) || attempt.MayStart(c.latestStart+1) {
			t.Errorf("%s: the latest start is not respected", name)
		}
		client.disconnected = true
		if attempt.MayStart(5_100) {
			t.Errorf("%s: may start for a disconnected client", name)
		}
		client.disconnected = false
		request.Fail()
		if attempt.MayStart(5_100) {
			t.Errorf("%s: may start for a concluded request", name)
		}
	}
}

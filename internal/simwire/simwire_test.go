package simwire

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"cairntiller/internal/decimal"
)

const openInstanceBatch = "clock 1000.0 1\nopen_instance router/0 7 az=a me=0 siblings=1 round=5.0 classes.count=2 " +
	"classes.0.name=look classes.0.effect=safe classes.0.aim=100.0 classes.0.hardLimit=400.0 " +
	"classes.0.points=1.0 classes.1.name=put classes.1.effect=unsafe classes.1.aim=100.0 " +
	"classes.1.hardLimit=400.0 classes.1.points=1.0 " +
	"domain.readLevel=any,write domain.listRole=late limits.maxAttempts=3 unknown.key=x\n" +
	"inventory 3 2\nm node_a a 1 k 0 up 1 -\nm node_b a 0 k 0 up 1 -\npeers_known router/0 SAVED 1 3\n"

func serve(t testing.TB, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

// TestBatch sends three batches with requests, the result of an attempt, a disconnected client and a timer, and checks
// that each batch is answered with its actions and its number.
func TestBatch(t *testing.T) {
	out, err := serve(t, openInstanceBatch+
		"req router/0 r-1 look - - 300.5 - 0 - 0\nreq router/0 r-2 put - u 300.0 - 0 - 4\neob\n"+
		"clock 1010.25 2\nresult router/0 r-2 node_a 1 1 0 10.25 41 -\ngone router/0 r-none\nelapsed router/0 0\n"+
		"detach router/0\nresult router/0 r-1 node_b 1 1 0 10.25 2 -\neob\nclock 1011.0 3\neob\n")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"transmit router/0 r-1 node_b 0.000\n", "transmit router/0 r-2 node_a 0.000\n",
		"timer router/0 ", " 0\nfinished 2\n", "finished 1\n", "finished 2\n", "finished 3\n"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
}

// TestMalformed checks that a malformed line of each kind gives an error that names the line and the field.
func TestMalformed(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{"clock 1.0 1\nwhat router/0\neob\n", "line 2, field message"},
		{"clock x 1\neob\n", "line 1, field clock"},
		{"clock 1.0 1\n", "line 1, field eob"},
		{"clock 1.0 1\ninventory 99 0\neob\n", "line 2, field sheet"},
		{openInstanceBatch + "req router/0 r-1 look\neob\n", "line 7, field req"},
		{openInstanceBatch + "req router/0 r-1 look - - 3x - 0 - 0\neob\n", "line 7, field timeLeft"},
		{openInstanceBatch + "req router/0 r-1 other - - 3 - 0 - 0\neob\n", "line 7, field grade"},
	} {
		var inputError *InputError
		if _, err := serve(t, c.in); !errors.As(err, &inputError) || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %s", c.in[max(0, len(c.in)-50):], err, c.want)
		}
	}
}

// TestTimesAreExact checks that decimal milliseconds are converted to microseconds without floating-point rounding.
func TestTimesAreExact(t *testing.T) {
	for in, want := range map[string]int64{"-": 0, "0": 0, "240.0": 240000, "8412.25": 8412250, "0.0019": 1,
		"407632221.924": 407632221924, "-1.5": -1500} {
		if got, err := decimal.Micros([]byte(in)); err != nil || got != want {
			t.Errorf("Micros(%s) = %d, %v; want %d", in, got, err, want)
		}
	}
}

// FuzzServe checks that arbitrary input is rejected or answered without a panic, and that each batch gets a reply.
func FuzzServe(f *testing.F) {
	f.Add(openInstanceBatch + "eob\n")
	f.Add(openInstanceBatch + "req router/0 r-1 look - - 300.5 - 0 - 0\neob\nclock 1400.0 2\nelapsed router/0 0\neob\n")
	f.Add(openInstanceBatch + "checked router/0 node_a 1.0 1 x0:1.5,x1:1\nnote_from router/0 1 00ff\n" +
		"started router/0 r 0 node_a 1\neob\n")
	f.Add("clock - -\neob\n\n")
	f.Add(strings.NewReplacer("classes.count=2", "classes.count=0", "up 1 -", "up 1 5.0").Replace(openInstanceBatch) + "eob\n")
	f.Fuzz(func(t *testing.T, in string) {
		out, err := serve(t, in)
		if err == nil && strings.Count(out, "finished ") < strings.Count(in, "\neob\n") {
			t.Fatalf("a batch without a reply: %q", out)
		}
		if strings.Contains(out, "bail_out ") {
			t.Fatalf("a panic in the module: %q", out)
		}
	})
}

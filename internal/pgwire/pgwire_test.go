package pgwire

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

const post = "/* id=9b1f,c=post,t=acme,d=480,cluster=2,after=1767225600123 */ INSERT INTO facts (code, data) " +
	"VALUES ('7f3a', '\\x9f03') RETURNING data"

// TestCommandGoesOnByteForByteButForItsTime: a node gets the client's statement, with the time left in place of the timeout.
func TestCommandGoesOnByteForByteButForItsTime(t *testing.T) {
	c, err := DecodeCommand([]byte(post))
	if err != nil {
		t.Fatal(err)
	}
	if c.ID != "9b1f" || c.Group != "post" || c.Tenant != "acme" || c.Timeout != 480_000 || c.Shard != 2 ||
		c.LastCommit != 1767225600123_000 || c.Session != "7f3a" {
		t.Errorf("%+v", c)
	}
	want := AppendQuery(nil, strings.Replace(post, "d=480", "d=77", 1))
	if got := c.AppendQuery(nil, 77_900); !bytes.Equal(got, want) {
		t.Errorf("%q", got)
	}
}

// TestCommandNamesWhatIsWrong: the error of a command that can't be read names the field that is missing or wrong.
func TestCommandNamesWhatIsWrong(t *testing.T) {
	for in, field := range map[string]string{
		"SELECT 1": "comment", "/* id=1": "comment", "/*/ x": "comment",
		"/* c=a,d=1,cluster=1 */ x":                          "id",
		"/* id=,c=a,d=1,cluster=1 */ x":                      "id",
		"/* id=1,c=a,cluster=1 */ x":                         "d",
		"/* id=1,c=a,d=,cluster=1 */ x":                      "d",
		"/* id=1,c=a,d=-4,cluster=1 */ x":                    "d",
		"/* id=1,c=a,d=1e3,cluster=1 */ x":                   "d",
		"/* id=1,c=a,d=86400001,cluster=1 */ x":              "d",
		"/* id=1,c=a,d=99999999999999999999,cluster=1 */ x":  "d",
		"/* id=1,c=a,d=1 */ x":                               "cluster",
		"/* id=1,c=a,d=1,cluster=z */ x":                     "cluster",
		"/* id=1,id=2,c=a,d=1,cluster=1 */ x":                "id",
		"/* id=1,c=a,d=1,cluster=1,after=-1 */ x":            "after",
		"/* id=1,c=a,d=1,cluster=1,r */ x":                   "r",
		"/* id=1,c=a,d=1,cluster=1 */ SELECT 'a":             "statement",
		"/* id=1,c=a,d=1,cluster=1 */ SELECT 1; SELECT 2":    "statement",
		"/* id=1,c=a,d=1,cluster=1 */ SELECT ';';; SELECT 2": "statement",
	} {
		_, err := DecodeCommand([]byte(in))
		var f *FieldError
		if !errors.As(err, &f) || f.Field != field {
			t.Errorf("%q: %v, want %s", in, err, field)
		}
	}
}

// FuzzCommand: what can be read goes on with nothing changed but its time, and reads the same again.
func FuzzCommand(f *testing.F) {
	for _, one := range []string{post, "/* id=1,c=a,d=1.5,cluster=-3 */", "/* d=7 , id = 1,cluster=0,d2=x*/ 'a'';'"} {
		f.Add([]byte(one), int64(1500))
	}
	f.Fuzz(func(t *testing.T, in []byte, left int64) {
		c, err := DecodeCommand(in)
		if err != nil {
			return
		}
		s := NewSplitter(1<<20, false)
		s.Feed(c.AppendQuery(nil, left))
		q, whole, err := s.Next()
		if !whole || err != nil {
			t.Fatal(whole, err)
		}
		again, err := DecodeCommand(q.Body[:len(q.Body)-1])
		if err != nil || again.ID != c.ID || again.Shard != c.Shard || again.LastCommit != c.LastCommit ||
			again.Session != c.Session || again.Timeout != max(1, left/1000)*1000 {
			t.Fatalf("%q: %+v, %v", in, again, err)
		}
	})
}

// row is what a node sends back for a query.
func row(statuses string, value string) []byte {
	out := Frame{'T', append([]byte{0, 1}, "data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"...)}.Append(nil)
	body := append([]byte{0, 1, 0, 0, 0, byte(len(value))}, value...)
	out = Frame{'D', body}.Append(out)
	out = Frame{'C', []byte("SELECT 1\x00")}.Append(out)
	for one := range strings.FieldsSeq(statuses) {
		out = Frame{'S', []byte(strings.Replace(one, "=", "\x00", 1) + "\x00")}.Append(out)
	}
	return out
}

// FuzzReply: a reply reads the same whole and byte by byte, and nothing in it panics or grows past its bytes.
func FuzzReply(f *testing.F) {
	whole := AppendReady(row("role=replica applied_ms=17 load=x0:1", "ab"))
	f.Add(whole)
	f.Add(AppendError(nil, false, CodeNoPrimary, "no", 0))
	f.Add(AppendError(nil, true, "XX000", "no", 2500))
	f.Add(append(row("", "a"), row("", "b")...))
	f.Add(append([]byte("D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xff"), whole...))
	f.Add([]byte("T\x7f\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		read := func(step int) (*Reply, bool, error) {
			s, r := NewSplitter(1<<12, false), &Reply{}
			for at := 0; at < len(in); at += step {
				s.Feed(in[at:min(at+step, len(in))])
				for {
					fr, whole, err := s.Next()
					if err != nil {
						return r, false, err
					}
					if !whole {
						break
					}
					if done, err := r.Add(fr); done || err != nil {
						return r, done, err
					}
				}
			}
			return r, false, nil
		}
		a, doneA, errA := read(len(in) + 1)
		b, doneB, errB := read(1)
		if doneA != doneB || errA != errB || a.Code != b.Code || !bytes.Equal(a.RowMessages, b.RowMessages) ||
			a.NodeReport != b.NodeReport || a.last != b.last {
			t.Fatalf("%+v %v %v; %+v %v %v", a, doneA, errA, b, doneB, errB)
		}
		if doneA && a.Code == "" && (!a.Complete() || len(a.RowMessages) > len(in)) {
			t.Fatalf("an answer of no whole row: %+v", a)
		}
	})
}

// TestReplyRefusesWhatIsOutOfTurn guards against a node's message in the wrong place, which would make one query's answer
// pass for another's.
func TestReplyRefusesWhatIsOutOfTurn(t *testing.T) {
	ok := row("", "a")
	for name, in := range map[string][]byte{
		"ready before a row": AppendReady(nil), "two rows": append(bytes.Clone(ok), ok...),
		"an error after a whole row": AppendError(ok, false, "XX000", "", 0),
		"two columns":                Frame{'T', []byte{0, 2}}.Append(nil),
		"a row without description":  Frame{'D', []byte{0, 1, 0, 0, 0, 0}}.Append(nil),
		"a null":                     append(row("", "")[:0:0], Frame{'D', []byte{0, 1, 255, 255, 255, 255}}.Append(Frame{'T', []byte{0, 1}}.Append(nil))...),
		"an unknown type":            Frame{'x', nil}.Append(nil),
		"an error without code":      Frame{'E', []byte("Mno\x00\x00")}.Append(nil),
	} {
		s, r := NewSplitter(1<<12, false), &Reply{}
		s.Feed(in)
		var err error
		for whole := true; whole && err == nil; {
			var f Frame
			if f, whole, err = s.Next(); whole && err == nil {
				_, err = r.Add(f)
			}
		}
		if err != ErrUnexpectedMessage {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestSplitterNeverTrustsALength: a length too small or too large for a message is an error before its bytes are awaited.
func TestSplitterNeverTrustsALength(t *testing.T) {
	for _, in := range []string{"Q\x00\x00\x00\x03", "Q\xff\xff\xff\xff", "Q\x00\x01\x00\x00"} {
		s := NewSplitter(1000, false)
		s.Feed([]byte(in))
		if _, _, err := s.Next(); err != ErrMessageLength {
			t.Errorf("%q: %v", in, err)
		}
	}
}

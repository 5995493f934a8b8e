package pgwire

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

const insertQuery = "/* id=9b1f,c=post,t=acme,d=480,cluster=2,after=1767225600123 */ INSERT INTO facts (code, data) " +
	"VALUES ('7f3a', '\\x9f03') RETURNING data"

// TestAppendQueryReplacesOnlyTimeout checks that a node gets the client's statement unchanged except for the timeout,
// which is replaced by the time left.
func TestAppendQueryReplacesOnlyTimeout(t *testing.T) {
	c, err := DecodeCommand([]byte(insertQuery))
	if err != nil {
		t.Fatal(err)
	}
	if c.ID != "9b1f" || c.Group != "post" || c.Tenant != "acme" || c.Timeout != 480_000 || c.Shard != 2 ||
		c.LastCommit != 1767225600123_000 || c.Session != "7f3a" {
		t.Errorf("%+v", c)
	}
	want := AppendQuery(nil, strings.Replace(insertQuery, "d=480", "d=77", 1))
	if got := c.AppendQuery(nil, 77_900); !bytes.Equal(got, want) {
		t.Errorf("%q", got)
	}
}

// TestDecodeCommandReportsInvalidField checks that the error of an invalid command names the field that is missing or
// invalid.
func TestDecodeCommandReportsInvalidField(t *testing.T) {
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

// TestManyFieldsAreRejectedEarly guards against heads of very many short fields, which cost time and memory before a
// command is admitted.
func TestManyFieldsAreRejectedEarly(t *testing.T) {
	var comment strings.Builder
	for i := range 30_000 {
		fmt.Fprintf(&comment, "%x=1,", i+0x10000)
	}
	statement := []byte("/* " + comment.String() + "id=1,c=a,d=1,cluster=1 */ x")
	_, err := DecodeCommand(statement)
	var field *FieldError
	if !errors.As(err, &field) || field.Field != "comment" {
		t.Errorf("%v", err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	DecodeCommand(statement)
	runtime.ReadMemStats(&after)
	if allocated, size := after.TotalAlloc-before.TotalAlloc, uint64(len(statement)); allocated > size/10 {
		t.Errorf("%d bytes were allocated for a statement of %d that is not admitted", allocated, size)
	}
}

// FuzzCommand checks that a command that can be decoded is forwarded with only its timeout changed, and that the result
// decodes to the same fields.
func FuzzCommand(f *testing.F) {
	for _, one := range []string{insertQuery, "/* id=1,c=a,d=1.5,cluster=-3 */", "/* d=7 , id = 1,cluster=0,d2=x*/ 'a'';'"} {
		f.Add([]byte(one), int64(1500))
	}
	f.Fuzz(func(t *testing.T, in []byte, left int64) {
		c, err := DecodeCommand(in)
		if err != nil {
			return
		}
		s := NewFrameDecoder(1<<20, false)
		s.Feed(c.AppendQuery(nil, left))
		q, complete, err := s.Next()
		if !complete || err != nil {
			t.Fatal(complete, err)
		}
		again, err := DecodeCommand(q.Body[:len(q.Body)-1])
		if err != nil || again.ID != c.ID || again.Shard != c.Shard || again.LastCommit != c.LastCommit ||
			again.Session != c.Session || again.Timeout != max(1, left/1000)*1000 {
			t.Fatalf("%q: %+v, %v", in, again, err)
		}
	})
}

// rowReply encodes a reply of one row, followed by ParameterStatus messages and without ReadyForQuery.
func rowReply(statuses string, value string) []byte {
	out := Frame{'T', append([]byte{0, 1}, "data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"...)}.Append(nil)
	body := append([]byte{0, 1, 0, 0, 0, byte(len(value))}, value...)
	out = Frame{'D', body}.Append(out)
	out = Frame{'C', []byte("SELECT 1\x00")}.Append(out)
	for one := range strings.FieldsSeq(statuses) {
		out = Frame{'S', []byte(strings.Replace(one, "=", "\x00", 1) + "\x00")}.Append(out)
	}
	return out
}

// FuzzReply checks that a reply is decoded alike whether it arrives at once or byte by byte, and that no input causes a
// panic or a reply that is longer than the input.
func FuzzReply(f *testing.F) {
	completeReply := AppendReadyForQuery(rowReply("role=replica applied_ms=17 load=x0:1", "ab"))
	f.Add(completeReply)
	f.Add(AppendError(nil, false, CodeNoPrimary, "no", 0))
	f.Add(AppendError(nil, true, "XX000", "no", 2500))
	f.Add(append(rowReply("", "a"), rowReply("", "b")...))
	f.Add(append([]byte("D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xff"), completeReply...))
	f.Add([]byte("T\x7f\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		read := func(step int) (*Reply, bool, error) {
			s, r := NewFrameDecoder(1<<12, false), &Reply{}
			for at := 0; at < len(in); at += step {
				s.Feed(in[at:min(at+step, len(in))])
				for {
					frame, complete, err := s.Next()
					if err != nil {
						return r, false, err
					}
					if !complete {
						break
					}
					if done, err := r.Add(frame); done || err != nil {
						return r, done, err
					}
				}
			}
			return r, false, nil
		}
		a, doneA, errA := read(len(in) + 1)
		b, doneB, errB := read(1)
		if doneA != doneB || errA != errB || a.Code != b.Code || !bytes.Equal(a.RowMessages, b.RowMessages) ||
			a.NodeReport != b.NodeReport || a.lastType != b.lastType {
			t.Fatalf("%+v %v %v; %+v %v %v", a, doneA, errA, b, doneB, errB)
		}
		if doneA && a.Code == "" && (!a.Complete() || len(a.RowMessages) > len(in)) {
			t.Fatalf("done without a complete row: %+v", a)
		}
	})
}

// TestReplyRejectsUnexpectedMessages checks that a node's message in the wrong place is an error. Otherwise the answer
// to one query could be taken for that to another.
func TestReplyRejectsUnexpectedMessages(t *testing.T) {
	ok := rowReply("", "a")
	for name, in := range map[string][]byte{
		"ready before a row": AppendReadyForQuery(nil), "two rows": append(bytes.Clone(ok), ok...),
		"an error after a complete row": AppendError(ok, false, "XX000", "", 0),
		"two columns":                   Frame{'T', []byte{0, 2}}.Append(nil),
		"a row without description":     Frame{'D', []byte{0, 1, 0, 0, 0, 0}}.Append(nil),
		"a null":                        append(rowReply("", "")[:0:0], Frame{'D', []byte{0, 1, 255, 255, 255, 255}}.Append(Frame{'T', []byte{0, 1}}.Append(nil))...),
		"an unknown type":               Frame{'x', nil}.Append(nil),
		"an error without code":         Frame{'E', []byte("Mno\x00\x00")}.Append(nil),
	} {
		s, r := NewFrameDecoder(1<<12, false), &Reply{}
		s.Feed(in)
		var err error
		for complete := true; complete && err == nil; {
			var f Frame
			if f, complete, err = s.Next(); complete && err == nil {
				_, err = r.Add(f)
			}
		}
		if err != ErrUnexpectedMessage {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestFrameDecoderRejectsInvalidLength checks that a length that is too small or too large is an error as soon as the
// header has arrived.
func TestFrameDecoderRejectsInvalidLength(t *testing.T) {
	for _, in := range []string{"Q\x00\x00\x00\x03", "Q\xff\xff\xff\xff", "Q\x00\x01\x00\x00"} {
		s := NewFrameDecoder(1000, false)
		s.Feed([]byte(in))
		if _, _, err := s.Next(); err != ErrMessageLength {
			t.Errorf("%q: %v", in, err)
		}
	}
}

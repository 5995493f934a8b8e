package sexp

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func parse(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestValues(t *testing.T) {
	f := parse(t, `; all kinds
(one (name "a \"b\"") (join x "y z") (every 250ms) (room 64MiB) (load 2.5) (most 7)
     (inner (every 2min)))`)
	p := f.Part("one")
	if got := p.Text("name", ""); got != `a "b"` {
		t.Errorf("%q", got)
	}
	if got := p.Texts("join"); len(got) != 2 || got[1] != "y z" {
		t.Errorf("%q", got)
	}
	if got := p.Duration("every", 1, 1, 1e9); got != 250_000 {
		t.Error(got)
	}
	if got := p.Size("room", 1, 1, 1<<40); got != 64<<20 {
		t.Error(got)
	}
	if got := p.Number("load", 1, 0, 9); got != 2.5 {
		t.Error(got)
	}
	if got := p.Integer("most", 1, 0, 9); got != 7 {
		t.Error(got)
	}
	if got := p.Part("inner").Duration("every", 1, 1, 1e9); got != 120e6 {
		t.Error(got)
	}
	if got := p.Part("absent").Duration("every", 42, 1, 1e9); got != 42 || p.Part("absent").Present() {
		t.Error(got)
	}
	if err := f.Err(); err != nil {
		t.Error(err)
	}
}

// TestErrReportsAllMistakes checks that every mistake in a file is reported, in order, with its location, what was
// found and what is expected.
func TestErrReportsAllMistakes(t *testing.T) {
	f := parse(t, `(duties
  (evry 1s)
  (every 1)
  (load 12)
  (load 3)
  (most "7")
  (name a b)
  stray
  (room 2h))
(dutys)
7`)
	p := f.Part("duties")
	p.Duration("every", 1, 1_000, 10_000_000)
	p.Number("load", 1, 0, 9)
	p.Integer("most", 1, 0, 9)
	p.Text("name", "")
	p.Size("room", 1, 1, 1<<20)
	err := f.Err()
	if err == nil {
		t.Fatal("no errors reported")
	}
	for i, want := range []string{
		`f:2:4: found the unknown name "evry", want "every"`,
		`f:3:10: found "1", want a duration from 1ms to 10s`,
		`f:4:9: found "12", want a number from 0 to 9`,
		`f:5:3: found a second "load", want only one, as in line 4`,
		`f:6:9: found the string "7", want a whole number from 0 to 9`,
		`f:7:3: found "name" with 2 values, want one: a string`,
		`f:8:3: found "stray", want a list such as (name value)`,
		`f:9:9: found "2h", want a size from 1B to 1MiB`,
		`f:10:2: found the unknown name "dutys", want "duties"`,
		`f:11:1: found "7", want a list such as (name value)`,
	} {
		if lines := strings.Split(err.Error(), "\n"); i >= len(lines) || lines[i] != want {
			t.Errorf("error %d is %q, want %q", i, lines[min(i, len(lines)-1)], want)
		}
	}
}

func TestParseRejectsInvalidSyntax(t *testing.T) {
	for text, want := range map[string]string{
		"(a (b 1)":                      "f:1:9: found the end of the file within a list",
		"(a 1))":                        `f:1:6: found ")"`,
		"\n(a \"b)":                     "f:2:4: found",
		"(a \xff)":                      "f:1:1: found bytes that are not valid text",
		strings.Repeat("(", 100_000):    "f:1:33: found a list nested too deep",
		strings.Repeat("(a ", 33) + ")": "f:1:97: found a list nested too deep",
	} {
		if _, err := Parse("f", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%.20q: %v, want %s", text, err, want)
		}
	}
	f := parse(t, strings.Repeat("(a ", 31)+"1"+strings.Repeat(")", 31)+` ; (((((((((((((((((((((((((((((((((((
(b "((((((((((((((((((((((((((((((((((((")`)
	if f.Part("a"); f.Part("b").Present() != true {
		t.Error("parentheses in a comment or a string hide a list")
	}
}

func TestEmptyFile(t *testing.T) {
	for _, f := range []*File{EmptyFile(), parse(t, ""), parse(t, " ; nothing\n")} {
		if f.Part("any").Present() || f.Err() != nil {
			t.Error("an empty file has a part or an error")
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"(a 1)", `(a "\x" (b 2ms))`, "(", ")", `"`, "(a\xff)", "((((((", "; \n()", "\\\"("} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		file, err := Parse("f", raw)
		if err != nil {
			return
		}
		p := file.Part("a")
		p.Text("b", "")
		p.Duration("c", 1, 1, 10)
		file.Err()
	})
}

// TestReadFileRejectsOversizedFile covers an operator who names a log or a disk image by mistake: the file is rejected
// by its size before any of it is read.
func TestReadFileRejectsOversizedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "large")
	if err := os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadFile(path)
	var size FileSizeError
	if !errors.As(err, &size) || size.Bytes != maxFileBytes+1 || !strings.Contains(err.Error(), "1048577 bytes, want 1048576 at most") {
		t.Fatal(err)
	}
}

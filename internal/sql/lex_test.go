package sql

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// tokenize returns the tokens of a text, each as a letter for its kind, a colon and its text, with the lexer and its
// error.
func tokenize(text string, syntax StringSyntax) (all []string, l *Lexer, err error) {
	l, err = NewLexer(text, syntax)
	if err != nil {
		return nil, nil, err
	}
	for {
		t, err := l.Next()
		if err != nil || t.Kind == End {
			return all, l, err
		}
		s := l.Text(t)
		if t.Kind == Word || t.Kind == QuotedIdentifier {
			s = l.Name(t)
		}
		all = append(all, string("ewqtbnpom"[t.Kind])+":"+s)
	}
}

func TestLexer(t *testing.T) {
	for text, want := range map[string]string{
		"":                             "",
		" \t\r\n\f\v":                  "",
		"Select FOO_1$x":               "w:select w:foo_1$x",
		`"Foo""Bar" U&"d\0061t"`:       `q:Foo"Bar q:d\0061t`,
		"größe ÄB":                     "w:größe w:Äb",
		"'it''s'":                      "t:'it''s'",
		`'a\' 'b'`:                     `t:'a\' t:'b'`,
		`E'a\'b' e'\\'`:                `t:E'a\'b' t:e'\\'`,
		"'a'\n  'b'":                   "t:'a'\n  'b'",
		"'a' -- no\n 'b'":              "t:'a' t:'b'",
		"'a'\n -- yes\n 'b'":           "t:'a'\n -- yes\n 'b'",
		"'a' 'b'":                      "t:'a' t:'b'",
		"B'01' x'FF' N'n' U&'\\0061'":  "b:B'01' b:x'FF' t:N'n' t:U&'\\0061'",
		"$$a'b$$ $q$ $$ $q$ $1 a$b$c":  "t:$$a'b$$ t:$q$ $$ $q$ p:$1 w:a$b$c",
		"1 1.5 .5 1. 1e10 1.5e-3 0x1F": "n:1 n:1.5 n:.5 n:1. n:1e10 n:1.5e-3 n:0x1F",
		"1_000 0b1_0 0o17 0x_f":        "n:1_000 n:0b1_0 n:0o17 n:0x_f",
		"1..2":                         "n:1 m:.. n:2",
		"a.b::int := c[1:2] => d":      "w:a m:. w:b m::: w:int m::= w:c m:[ n:1 m:: n:2 m:] m:=> w:d",
		"a<-1 a@-1 a<=b a!=b -- x":     "w:a o:< o:- n:1 w:a o:@- n:1 w:a o:<= w:b w:a o:!= w:b",
		"a-- c\n+/*x*/-b":              "w:a o:+ o:- w:b",
		"/* a /* b */ ' */ c /**/ d":   "w:c w:d",
		"a*/**/b":                      "w:a o:* w:b",
		"select(1),(2);":               "w:select m:( n:1 m:) m:, m:( n:2 m:) m:;",
		"a ->> 'b' #>> '{c}' ?| x":     "w:a o:->> t:'b' o:#>> t:'{c}' o:?| w:x",
		"2*-1":                         "n:2 o:* o:- n:1",
		"e 'a' b.x 'y' u & 'z'":        "w:e t:'a' w:b m:. w:x t:'y' w:u o:& t:'z'",
	} {
		got, l, err := tokenize(text, StandardStrings)
		if s := strings.Join(got, " "); err != nil || s != want || l.depth != 0 {
			t.Errorf("%q: %s, %v, want %s", text, s, err, want)
		}
	}
}

// TestBackslashesInStrings checks that the end of a plain string depends on the string syntax, and that a string is
// reported as ambiguous if the syntax is unknown.
func TestBackslashesInStrings(t *testing.T) {
	const text = `SELECT 'a\' ; DELETE FROM x; --'`
	got, l, err := tokenize(text, StandardStrings)
	if err != nil || len(got) != 7 || l.AmbiguousString {
		t.Errorf("standard: %q, %v", got, err)
	}
	if got, _, err = tokenize(text, BackslashStrings); err != nil || len(got) != 2 {
		t.Errorf("backslash: %q, %v", got, err)
	}
	if _, l, err = tokenize(text, UnknownStrings); err != nil || !l.AmbiguousString {
		t.Errorf("unknown: %v", err)
	}
	if _, l, err = tokenize(`SELECT E'\'' , $$\$$, '/'`, UnknownStrings); err != nil || l.AmbiguousString {
		t.Errorf("reported as ambiguous, or rejected: %v", err)
	}
}

func TestLexerErrors(t *testing.T) {
	for text, want := range map[string]string{
		"select 'a":                          "7: a text that does not end",
		"'a\n":                               "0: a text that does not end",
		`select "a`:                          "7: a name that does not end",
		`""`:                                 "0: a name without a letter",
		"$x$ $y$":                            "0: a text that does not end",
		"$":                                  "0: a dollar that begins nothing",
		"$a":                                 "0: a dollar that begins nothing",
		"a /* /* */":                         "2: a comment that does not end",
		"1a":                                 "0: a number with a letter behind it",
		"$1a":                                "0: a number with a letter behind it",
		"0x":                                 "0: a number without digits",
		"1e":                                 "1: an exponent without digits",
		"a)":                                 "1: a closing bracket without its opening one",
		"a[)0":                               "2: a closing bracket without its opening one",
		"a {":                                "2: the character '{'",
		"a\xffb":                             "1: no valid UTF-8",
		"a\x00b":                             "1: a zero byte",
		strings.Repeat("(", 100_000):         "256: brackets over 256 deep",
		strings.Repeat("a ", MaxTokens+1):    "131072: over 65536 tokens",
		strings.Repeat("a", MaxBytes+1):      "1048576: 1048577 bytes",
		"'" + strings.Repeat("a", 1<<19):     "0: a text that does not end",
		strings.Repeat("/*", 1<<19):          "0: a comment that does not end",
		strings.Repeat("'a'\n", 1<<17) + "'": "0: a text that does not end",
	} {
		start := time.Now()
		_, _, err := tokenize(text, StandardStrings)
		var e *Error
		if !errors.As(err, &e) || !strings.HasPrefix(fmt.Sprintf("%d: %s", e.Offset, e.Reason), want) {
			t.Errorf("%.20q: %v, want %s", text, err, want)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("%.20q: rejected after %v, want at most 1 s", text, took)
		}
	}
}

// FuzzTokens checks that the lexer doesn't panic, that tokens are in order, and that their kinds stay the same if
// comments and white space are added between them and letters outside quotes change case.
func FuzzTokens(f *testing.F) {
	for _, seed := range []string{"SELECT a FROM b WHERE c = 'd'", `E'\'' $$x$$ "q"`, "1.5e3::int[1:2]", "/*/**/*/ -- x\n;",
		"'a'\n'b'", "a<-1 @-", "U&'\\0061' UESCAPE '!'"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		l, err := NewLexer(text, StandardStrings)
		if err != nil {
			return
		}
		var rewritten strings.Builder
		var kinds []TokenKind
		last := int32(0)
		for {
			tok, err := l.Next()
			if err != nil {
				return
			}
			if tok.From < last || tok.To < tok.From {
				t.Fatalf("token %+v begins before the end of the previous one, %d", tok, last)
			}
			if last = tok.To; tok.Kind == End {
				break
			}
			kinds = append(kinds, tok.Kind)
			s := l.Text(tok)
			if tok.Kind == Word {
				s = strings.ToUpper(s)
				if strings.ToLower(s) != fold(l.Text(tok)) || len(s) != len(l.Text(tok)) {
					return // contains letters whose case mapping isn't that of ASCII
				}
			}
			rewritten.WriteString(s + " /* ' */ ")
		}
		again, err := NewLexer(rewritten.String(), StandardStrings)
		if err != nil {
			return // too long after the change
		}
		for i := 0; ; i++ {
			tok, err := again.Next()
			if err != nil {
				t.Fatalf("%q rewritten as %q: %v", text, rewritten.String(), err)
			}
			if tok.Kind == End {
				if i != len(kinds) {
					t.Fatalf("%q: %d tokens, rewritten %d", text, len(kinds), i)
				}
				return
			}
			if i >= len(kinds) || tok.Kind != kinds[i] {
				t.Fatalf("%q rewritten as %q: token %d differs", text, rewritten.String(), i)
			}
		}
	})
}

func BenchmarkLexer(b *testing.B) {
	const text = `SELECT p.price, s.name FROM prices p JOIN stalls s ON s.id = p.stall WHERE p.day = $1 AND s.district = 'kandy' ORDER BY 1 LIMIT 20`
	b.ReportAllocs()
	for b.Loop() {
		l, _ := NewLexer(text, StandardStrings)
		for {
			if t, err := l.Next(); err != nil || t.Kind == End {
				break
			}
		}
	}
}

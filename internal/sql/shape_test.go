package sql

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
)

// shapeOf returns the shape of a text.
func shapeOf(t testing.TB, text string) string {
	t.Helper()
	l, err := NewLexer(text, StandardStrings)
	if err != nil {
		t.Fatal(err)
	}
	var s shapeBuilder
	if err := s.build(l); err != nil {
		t.Fatal(err)
	}
	return string(s.buf)
}

func TestShapes(t *testing.T) {
	for _, same := range [][]string{
		{"select a from b where c = 1", "SELECT a FROM b /* x */ WHERE c=2", "select a from b where c = 1e9 -- y"},
		{"select a from b where c in (1)", "select a from b where c in (1, 2, 3)", "select a from b where c in ('x', $1, 3)"},
		{"insert into a values (1, 2)", "insert into a values (1, 2), (3, 4), (5, 6)"},
		{"select a limit 10", "select a limit 99"},
		{"select f((1), (2))", "select f((1), (2), (3))"},
	} {
		for _, text := range same[1:] {
			if a, b := shapeOf(t, same[0]), shapeOf(t, text); a != b {
				t.Errorf("shapes %q and %q, want the same", a, b)
			}
		}
	}
	for _, pair := range [][2]string{
		{"select 'a'", "select 1"}, {"select a", "select b"}, {`select "a"`, "select a"}, {"select f()", "select f(1)"},
		{"select a limit 10", "select a limit 100"}, {"select (a), (1)", "select (1), (1)"}, {"select a in (1, b)", "select a in (1)"},
		{"select ((1))", "select (1)"}, {`select "\n"`, "select 1"}, {"select '(\\+)'", "select (1)"}, {"select a - 1", "select a"},
	} {
		if a, b := shapeOf(t, pair[0]), shapeOf(t, pair[1]); a == b {
			t.Errorf("%q and %q have the same shape: %s", pair[0], pair[1], a)
		}
	}
}

// TestCacheHitsAndMisses checks that the cache doesn't change a class, and that it doesn't keep statements whose class
// depends on more than their shape.
func TestCacheHitsAndMisses(t *testing.T) {
	c, err := NewCache(testCatalogue(), UnknownStrings, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	classifier := c.NewClassifier()
	classify := func(text string, class Class, hit bool) {
		t.Helper()
		e, got, err := classifier.Classify(text, func(name string) (Class, bool) { return Read, name == "reads" })
		if err != nil || e.Class != class || got != hit {
			t.Errorf("%q: %+v, hit %v, %v", text, e, got, err)
		}
	}
	classify("select a from b where c = 1", Read, false)
	classify("SELECT a FROM b WHERE c = 22", Read, true)
	classify("delete from b where c = 1", Write, false)
	classify("delete from b where c = 2", Write, true)
	classify("execute reads(1)", Session, false)
	classify("execute reads(1)", Session, false) // its class depends on the prepared statement
	classify(`select a from b where c = '\'`, Write, false)
	classify(`select a from b where c = 'x'`, Read, false)
	classify(`select a from b where c = '\'`, Write, false) // its shape is cached, but the end of its string is ambiguous
	if _, _, err := classifier.Classify("select 'a", nil); err == nil {
		t.Error("an unterminated string is accepted")
	}
}

// TestCacheKeepsFrequentShapes checks that frequent shapes stay cached while a tenth of the statements have a shape
// that occurs once, and that the cache takes at most a quarter more than its size.
func TestCacheKeepsFrequentShapes(t *testing.T) {
	const maxCacheBytes = 256 << 10
	c, err := NewCache(testCatalogue(), StandardStrings, maxCacheBytes)
	if err != nil {
		t.Fatal(err)
	}
	classifier, rng := c.NewClassifier(), rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(rng, 1.2, 2, 299)
	hits, lookups := 0, 0
	for i := range 60_000 {
		if rng.IntN(10) == 0 {
			if _, _, err := classifier.Classify(fmt.Sprintf("select h%d from %s", i, strings.Repeat("x, ", 40)+"y"), nil); err != nil {
				t.Fatal(err)
			}
			continue
		}
		n := zipf.Uint64()
		_, hit, err := classifier.Classify(fmt.Sprintf("select a%d, b from c%d where d = %d and e in (%d, 2)", n, n%7, i, i), nil)
		if err != nil {
			t.Fatal(err)
		}
		if lookups++; hit {
			hits++
		}
	}
	if share := float64(hits) / float64(lookups); share < 0.95 {
		t.Errorf("hit rate of frequent statements %.3f, want at least 0.95", share)
	}
	if n := c.WeightBytes(); n > maxCacheBytes+maxCacheBytes/4 {
		t.Errorf("the cache takes %d bytes, over 1.25 times its limit of %d", n, maxCacheBytes)
	}
}

// FuzzShape checks that statements of the same shape have the same class, whatever their literals.
func FuzzShape(f *testing.F) {
	for _, seed := range []string{"select 1, 'a', $1 from b where c in (1, 'b') limit 5", "select int '5'", "select mood 'x'", "insert into a values (1), (2)",
		"select f('x')", "explain (analyze 0) select 1"} {
		f.Add(seed)
	}
	cat := testCatalogue()
	f.Fuzz(func(t *testing.T, text string) {
		s, err := cat.Classify(text, StandardStrings, nil)
		if err != nil {
			return
		}
		l, _ := NewLexer(text, StandardStrings)
		var other strings.Builder
		for {
			tok, err := l.Next()
			if err != nil || tok.Kind == End {
				break
			}
			switch tok.Kind {
			case StringLiteral:
				other.WriteString(" 'delete from x' ")
			case Number:
				other.WriteString(" 77 ")
			default:
				other.WriteString(" " + l.Text(tok) + " ")
			}
		}
		again, err := cat.Classify(other.String(), StandardStrings, nil)
		if err != nil || shapeOf(t, text) != shapeOf(t, other.String()) {
			return
		}
		if again.Class != s.Class {
			t.Fatalf("%q is classified as %v (%s), %q as %v", text, s.Class, s.Reason, other.String(), again.Class)
		}
	})
}

func BenchmarkCacheHit(b *testing.B) {
	c, err := NewCache(NewCatalogue(), StandardStrings, 1<<20)
	if err != nil {
		b.Fatal(err)
	}
	classifier := c.NewClassifier()
	const text = `SELECT p.price, s.name FROM prices p JOIN stalls s ON s.id = p.stall WHERE p.day = $1 AND s.district = 'kandy' ORDER BY 1 LIMIT 20`
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := classifier.Classify(text, nil); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkClassify(b *testing.B) {
	cat := NewCatalogue()
	const text = `SELECT p.price, s.name FROM prices p JOIN stalls s ON s.id = p.stall WHERE p.day = $1 AND s.district = 'kandy' ORDER BY 1 LIMIT 20`
	b.ReportAllocs()
	for b.Loop() {
		if _, err := cat.Classify(text, StandardStrings, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// TestLexerErrorsAllocateLittle checks that rejecting a malformed text of a megabyte allocates at most 4 MiB, whatever
// is wrong with it. BenchmarkLexerError measures the time.
func TestLexerErrorsAllocateLittle(t *testing.T) {
	c, err := NewCache(NewCatalogue(), StandardStrings, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range malformed() {
		classifier := c.NewClassifier()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _, err := classifier.Classify(text, nil)
		runtime.ReadMemStats(&after)
		if err == nil {
			t.Errorf("%s: accepted", name)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > 4<<20 {
			t.Errorf("%s: %d bytes allocated to reject it", name, n)
		}
	}
}

// malformed returns texts of almost a megabyte that the lexer rejects, by what is wrong with them.
func malformed() map[string]string {
	const n = 1<<20 - 64
	return map[string]string{
		"unterminated string":  "select '" + strings.Repeat("a", n),
		"unterminated comment": "select " + strings.Repeat("/*", n/2),
		"nested parentheses":   strings.Repeat("(", n),
		"too many tokens":      "select " + strings.Repeat("a,", n/2),
		"names, then a brace":  "select " + strings.Repeat("abcdefghijklmnopqrstuvwxyz ", n/54) + "{",
		"invalid UTF-8":        "select " + strings.Repeat("a ", n/2) + "\xff",
	}
}

func BenchmarkLexerError(b *testing.B) {
	c, err := NewCache(NewCatalogue(), StandardStrings, 1<<20)
	if err != nil {
		b.Fatal(err)
	}
	for name, text := range malformed() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			classifier := c.NewClassifier()
			for b.Loop() {
				if _, _, err := classifier.Classify(text, nil); err == nil {
					b.Fatal("accepted")
				}
			}
		})
	}
}

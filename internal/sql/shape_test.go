package sql

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
)

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
		for _, one := range same[1:] {
			if a, b := shapeOf(t, same[0]), shapeOf(t, one); a != b {
				t.Errorf("%q and %q", a, b)
			}
		}
	}
	for _, two := range [][2]string{
		{"select 'a'", "select 1"}, {"select a", "select b"}, {`select "a"`, "select a"}, {"select f()", "select f(1)"},
		{"select a limit 10", "select a limit 100"}, {"select (a), (1)", "select (1), (1)"}, {"select a in (1, b)", "select a in (1)"},
		{"select ((1))", "select (1)"}, {`select "\n"`, "select 1"}, {"select '(\\+)'", "select (1)"}, {"select a - 1", "select a"},
	} {
		if a, b := shapeOf(t, two[0]), shapeOf(t, two[1]); a == b {
			t.Errorf("%q and %q are of one shape: %s", two[0], two[1], a)
		}
	}
}

// TestHitsAndMisses: what is read through the cache is what is read without it, and what can't be kept is not.
func TestHitsAndMisses(t *testing.T) {
	c, err := NewCache(catalogue(), UnknownStrings, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	r := c.NewClassifier()
	read := func(text string, class Class, hit bool) {
		t.Helper()
		e, got, err := r.Classify(text, func(name string) (Class, bool) { return Read, name == "reads" })
		if err != nil || e.Class != class || got != hit {
			t.Errorf("%q: %+v, hit %v, %v", text, e, got, err)
		}
	}
	read("select a from b where c = 1", Read, false)
	read("SELECT a FROM b WHERE c = 22", Read, true)
	read("delete from b where c = 1", Write, false)
	read("delete from b where c = 2", Write, true)
	read("execute reads(1)", Session, false)
	read("execute reads(1)", Session, false) // what it is depends on what was prepared
	read(`select a from b where c = '\'`, Write, false)
	read(`select a from b where c = 'x'`, Read, false)
	read(`select a from b where c = '\'`, Write, false) // of a known shape, but where it ends is not known
	if _, _, err := r.Classify("select 'a", nil); err == nil {
		t.Error("no refusal")
	}
}

// TestHostileShapes: a tenth of the traffic are shapes that come once; the usual ones stay, in bounded room.
func TestHostileShapes(t *testing.T) {
	const room = 256 << 10
	c, err := NewCache(catalogue(), StandardStrings, room)
	if err != nil {
		t.Fatal(err)
	}
	r, rng := c.NewClassifier(), rand.New(rand.NewPCG(1, 2))
	usual := rand.NewZipf(rng, 1.2, 2, 299)
	hits, asked := 0, 0
	for i := range 60_000 {
		if rng.IntN(10) == 0 {
			if _, _, err := r.Classify(fmt.Sprintf("select h%d from %s", i, strings.Repeat("x, ", 40)+"y"), nil); err != nil {
				t.Fatal(err)
			}
			continue
		}
		n := usual.Uint64()
		_, hit, err := r.Classify(fmt.Sprintf("select a%d, b from c%d where d = %d and e in (%d, 2)", n, n%7, i, i), nil)
		if err != nil {
			t.Fatal(err)
		}
		if asked++; hit {
			hits++
		}
	}
	if share := float64(hits) / float64(asked); share < 0.95 {
		t.Errorf("%.3f of the usual statements were hits", share)
	}
	if n := c.WeightBytes(); n > room+room/4 {
		t.Errorf("%d bytes kept, %d allowed", n, room)
	}
}

// FuzzShape: other literals make no other class, through the cache or without it.
func FuzzShape(f *testing.F) {
	for _, seed := range []string{"select 1, 'a', $1 from b where c in (1, 'b') limit 5", "select int '5'", "select mood 'x'", "insert into a values (1), (2)",
		"select f('x')", "explain (analyze 0) select 1"} {
		f.Add(seed)
	}
	cat := catalogue()
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
			t.Fatalf("%q is a %v (%s), %q a %v", text, s.Class, s.Reason, other.String(), again.Class)
		}
	})
}

func BenchmarkHit(b *testing.B) {
	c, err := NewCache(NewCatalogue(), StandardStrings, 1<<20)
	if err != nil {
		b.Fatal(err)
	}
	r := c.NewClassifier()
	const text = `SELECT p.price, s.name FROM prices p JOIN stalls s ON s.id = p.stall WHERE p.day = $1 AND s.district = 'kandy' ORDER BY 1 LIMIT 20`
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := r.Classify(text, nil); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMiss(b *testing.B) {
	cat := NewCatalogue()
	const text = `SELECT p.price, s.name FROM prices p JOIN stalls s ON s.id = p.stall WHERE p.day = $1 AND s.district = 'kandy' ORDER BY 1 LIMIT 20`
	b.ReportAllocs()
	for b.Loop() {
		if _, err := cat.Classify(text, StandardStrings, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// TestRefusalsAreCheap: a megabyte that can't be read costs bounded room, whatever is wrong with it. Time is a
// benchmark's (BenchmarkRefusal).
func TestRefusalsAreCheap(t *testing.T) {
	c, err := NewCache(NewCatalogue(), StandardStrings, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for what, text := range malformed() {
		r := c.NewClassifier()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _, err := r.Classify(text, nil)
		runtime.ReadMemStats(&after)
		if err == nil {
			t.Errorf("%s is read", what)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > 4<<20 {
			t.Errorf("%s: %d bytes to refuse it", what, n)
		}
	}
}

func malformed() map[string]string {
	const n = 1<<20 - 64
	return map[string]string{
		"a text without end":    "select '" + strings.Repeat("a", n),
		"a comment without end": "select " + strings.Repeat("/*", n/2),
		"brackets":              strings.Repeat("(", n),
		"too many tokens":       "select " + strings.Repeat("a,", n/2),
		"names, then a brace":   "select " + strings.Repeat("abcdefghijklmnopqrstuvwxyz ", n/54) + "{",
		"no UTF-8":              "select " + strings.Repeat("a ", n/2) + "\xff",
	}
}

func BenchmarkRefusal(b *testing.B) {
	c, err := NewCache(NewCatalogue(), StandardStrings, 1<<20)
	if err != nil {
		b.Fatal(err)
	}
	for what, text := range malformed() {
		b.Run(what, func(b *testing.B) {
			b.ReportAllocs()
			r := c.NewClassifier()
			for b.Loop() {
				if _, _, err := r.Classify(text, nil); err == nil {
					b.Fatal("read")
				}
			}
		})
	}
}

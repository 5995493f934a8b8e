package proof

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"cairntiller/internal/sql"
)

// The limits of the proof of statements.
const (
	mostFalseWrites = 0.02
	leastHits       = 0.95
	hostileShare    = 0.1
	shapeRoom       = 1 << 20
)

// Statements generates a corpus whose classes are known by how it was made, and replays a morning's mix.
type Statements struct {
	Seed    uint64
	Size    int  // statements of the corpus
	Morning int  // statements of the replay
	Blind   bool // a fault on purpose: the catalogue calls a function that writes harmless
	Writes  io.Writer
}

// Run returns the closing line; the error says which limits do not hold.
func (p Statements) Run() (line string, err error) {
	c := sql.NewCatalogue()
	if p.Blind {
		c.SetFunction("nextval", sql.ReadOnly)
	}
	g := &statementGenerator{rng: rand.New(rand.NewPCG(p.Seed, 5))}
	misread, falseWrites, reads, writes := 0, 0, 0, 0
	began := time.Now()
	for i := range p.Size {
		text, write := g.statement(i%2 == 1)
		s, err := c.Classify(text, sql.StandardStrings, nil)
		if err != nil {
			return "", fmt.Errorf("%s: %w", text, err)
		}
		switch {
		case write && s.Class != sql.Write:
			misread++
			fmt.Fprintf(p.Writes, "misread as a %v: %s\n", s.Class, text)
		case !write && s.Class != sql.Read:
			falseWrites++
			fmt.Fprintf(p.Writes, "no write (%s): %s\n", s.Reason, text)
		}
		if write {
			writes++
		} else {
			reads++
		}
	}
	took := time.Since(began)
	calm, err := p.morning(c, 0)
	if err != nil {
		return "", err
	}
	hostile, err := p.morning(c, hostileShare)
	if err != nil {
		return "", err
	}
	var faults []error
	if misread > 0 {
		faults = append(faults, fmt.Errorf("%d writes misread", misread))
	}
	if share := float64(falseWrites) / float64(reads); share > mostFalseWrites {
		faults = append(faults, fmt.Errorf("%.3f of the reads are called writes, limit %.2f", share, mostFalseWrites))
	}
	if least := min(calm, hostile); least < leastHits {
		faults = append(faults, fmt.Errorf("%.3f hits, limit %.2f", least, leastHits))
	}
	verdict := "holds"
	if len(faults) > 0 {
		verdict = "FAILS"
	}
	return fmt.Sprintf("proof statements: %s; misread=%d of %d writes (limit 0) false_writes=%.4f of %d reads (limit %.2f) "+
		"hits=%.3f with a tenth hostile=%.3f (limit %.2f) us_a_statement=%.1f seed=%d", verdict, misread, writes,
		float64(falseWrites)/float64(reads), reads, mostFalseWrites, calm, hostile, leastHits,
		float64(took.Microseconds())/float64(p.Size), p.Seed), errors.Join(faults...)
}

// morning replays a skewed mix of shapes, into which new ones come all the time, and returns the share of hits among
// the usual statements.
func (p Statements) morning(c *sql.Catalogue, hostile float64) (hits float64, err error) {
	cache, err := sql.NewCache(c, sql.StandardStrings, shapeRoom)
	if err != nil {
		return 0, err
	}
	g := &statementGenerator{rng: rand.New(rand.NewPCG(p.Seed, 6))}
	var shapes []string
	for range 400 {
		text, _ := g.statement(false)
		shapes = append(shapes, text)
	}
	skew := rand.NewZipf(g.rng, 1.3, 4, uint64(len(shapes)-1))
	r := cache.NewClassifier()
	usual, hit := 0, 0
	for i := range p.Morning {
		if hostile > 0 && g.rng.Float64() < hostile {
			if _, _, err := r.Classify(fmt.Sprintf("select h%d, %s from x%d", i, strings.Repeat("y, ", 50)+"z", i), nil); err != nil {
				return 0, err
			}
			continue
		}
		if i%1000 == 999 { // a release brings a new shape in place of an old one
			shapes[g.rng.IntN(len(shapes))], _ = g.statement(false)
		}
		text := g.literals(shapes[skew.Uint64()])
		_, known, err := r.Classify(text, nil)
		if err != nil {
			return 0, err
		}
		if usual++; known {
			hit++
		}
	}
	return float64(hit) / float64(usual), nil
}

// maker makes statements. Where one is to write, the write is put at one place chosen by chance: truth is how it was
// made, and nothing here reads a statement.
type statementGenerator struct {
	rng    *rand.Rand
	poison bool // a write is still to be put somewhere
	depth  int
}

func (g *statementGenerator) one(of ...string) string { return of[g.rng.IntN(len(of))] }

// statement makes one, and tells whether it writes.
func (g *statementGenerator) statement(write bool) (text string, writes bool) {
	for {
		g.poison, g.depth = write, 0
		switch {
		case write && g.rng.IntN(6) == 0:
			text = g.plainWrite()
			g.poison = false
		case g.rng.IntN(12) == 0:
			text = g.one("explain ", "explain (verbose) ")
			if write { // only what is run writes
				text = "explain analyze "
			}
			text += g.query()
		case g.rng.IntN(15) == 0:
			text = "copy (" + g.query() + ") to stdout"
		default:
			text = g.query()
		}
		if !g.poison {
			return g.dress(text), write
		}
	}
}

func (g *statementGenerator) plainWrite() string {
	return g.one("insert into entries (a, b) values (1, 'x')", "update stalls set a = 1 where b = 2", "delete from entries where a = 3",
		"merge into a using b on a.x = b.x when matched then update set y = 1", "truncate a", "create table a (b int)", "call p(1)",
		"do $$ begin delete from a; end $$", "copy a from stdin", "insert into a "+g.query(), "lock table a", "notify n",
		"create temp table t as "+g.query(), "select 1; delete from a", "refresh materialized view v", "vacuum a")
}

// now tells whether the write is to be put here.
func (g *statementGenerator) now(often int) bool {
	if g.poison && g.rng.IntN(often) == 0 {
		g.poison = false
		return true
	}
	return false
}

func (g *statementGenerator) query() string {
	g.depth++
	defer func() { g.depth-- }()
	head := ""
	if g.depth < 3 && g.rng.IntN(5) == 0 {
		inner := g.query()
		if g.now(2) {
			inner = g.one("delete from entries where a = 1 returning *", "insert into a values (1) returning b", "update a set b = 2 returning a")
		}
		head = "with c" + g.one("", " (x, y)") + " as " + g.one("", "materialized ") + "(" + inner + ") "
	}
	text := head + g.sel()
	if g.rng.IntN(8) == 0 {
		text += g.one(" union ", " union all ", " intersect ", " except ") + g.sel()
	}
	if g.rng.IntN(3) == 0 {
		text += " order by " + g.expr() + g.one("", " desc", " nulls last")
	}
	if g.rng.IntN(3) == 0 {
		text += fmt.Sprint(" limit ", 1+g.rng.IntN(100))
	}
	if head == "" && !strings.Contains(text, " union") && !strings.Contains(text, " intersect") && !strings.Contains(text, " except") && g.now(8) {
		text += g.one(" for update", " for share", " for no key update nowait", " for key share of s skip locked")
	}
	return text
}

func (g *statementGenerator) sel() string {
	text := "select " + g.one("", "", "distinct ") + g.expr()
	for range g.rng.IntN(3) {
		text += ", " + g.expr() + g.one("", " as n", " m")
	}
	if g.depth == 1 && g.now(12) {
		text += g.one(" into fresh", " into temp fresh")
	}
	text += " from " + g.table()
	for range g.rng.IntN(3) {
		text += g.one(" join ", " left join ", " cross join lateral ") + g.table()
		if !strings.HasSuffix(text, "x") {
			text += " on " + g.cond()
		}
	}
	if g.rng.IntN(4) > 0 {
		text += " where " + g.cond()
	}
	if g.rng.IntN(5) == 0 {
		text += " group by a, b"
		if g.rng.IntN(2) == 0 {
			text += " having " + g.cond()
		}
	}
	return text
}

func (g *statementGenerator) table() string {
	if g.depth < 3 && g.rng.IntN(6) == 0 {
		return "(" + g.query() + ") q"
	}
	if g.now(10) {
		return g.one("f(1) t", "public.spend(2) as t(a, b)", "nextval('s') t")
	}
	return g.one("prices p", "stalls s", "shop.entries", "\"Boards\" b", "generate_series(1, 10) g", "unnest(array[1, 2]) as u(v)", "entries e")
}

func (g *statementGenerator) cond() string {
	c := g.expr() + " " + g.one("=", "<", ">=", "<>") + " " + g.expr()
	switch g.rng.IntN(8) {
	case 0:
		c += " and " + g.expr() + " in (1, 2, 3)"
	case 1:
		c += " or not (" + g.expr() + " is null)"
	case 2:
		c += " and name like 'a%'"
	case 3:
		if g.depth < 3 {
			c += " and exists (" + g.query() + ")"
		}
	case 4:
		c += " and day between $1 and $2"
	}
	return c
}

func (g *statementGenerator) expr() string {
	if g.now(12) {
		return g.write()
	}
	switch g.rng.IntN(14) {
	case 0:
		return g.one("lower", "upper", "length", "abs", "date_trunc", "coalesce") + "(" + g.expr() + ")"
	case 1:
		return "count(*)"
	case 2:
		return g.one("sum", "max", "avg") + "(" + g.expr() + ")" + g.one("", " over (partition by a order by b)", " filter (where a > 1)")
	case 3:
		return "case when " + g.one("a", "b") + " > 1 then " + g.expr() + " else 'x' end"
	case 4:
		return g.one("a", "p.price", "day") + "::" + g.one("int", "text", "numeric(10, 2)", "date")
	case 5:
		return "cast(" + g.expr() + " as " + g.one("integer", "varchar(20)", "timestamp with time zone") + ")"
	case 6:
		if g.depth < 3 {
			return "(" + g.query() + ")"
		}
	case 7:
		return g.one("now()", "current_date", "date '2026-12-01'", "interval '1 day'")
	case 8:
		return "extract(year from " + g.one("day", "p.day") + ")"
	case 9:
		return g.one("1", "42", "'x'", "$1", "1.5", "E'a\\'b'", "$$c$$", "null", "true")
	}
	return g.one("a", "b", "p.price", "s.name", "shop.entries.day", "\"Name\"")
}

// write is an expression that writes, or may.
func (g *statementGenerator) write() string {
	return g.one("nextval('s')", "setval('s', 1)", "pg_catalog.nextval('s')", "pg_notify('a', 'b')", "lo_create(0)", "spend(1)",
		"shop.spend(a)", "\"nextval\"('s')", "NextVal ( 's' )", "lower(nextval('s')::text)", "case when spend(1) then 1 end", "array[spend(1)]",
		"(spend(1)).x", "a + spend(2)", "'x'::mood", "pg_terminate_backend(1)", "query_to_xml('delete from a', true, true, '')",
		"/* ' */ nextval/* */('s')", "pg_sleep(1)", "a <-=> b", "(a #### b)")
}

// dress changes what must not matter.
func (g *statementGenerator) dress(text string) string {
	switch g.rng.IntN(4) {
	case 0:
		text = "/* board */ " + text
	case 1:
		text += " -- tail ; delete from a"
	case 2:
		text = strings.ReplaceAll(text, "select ", g.one("SELECT\n  ", "Select\t"))
	}
	return text
}

// literals puts other numbers into a statement.
func (g *statementGenerator) literals(text string) string {
	return strings.ReplaceAll(text, "42", fmt.Sprint(10+g.rng.IntN(89)))
}

package proof

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// statementGenerator generates statements whose class is known by construction: if a statement is to write, the write is
// placed at one random position. The generator does not parse statements.
type statementGenerator struct {
	random       *rand.Rand
	writePending bool // the write is not placed yet
	depth        int
}

func (g *statementGenerator) oneOf(of ...string) string { return of[g.random.IntN(len(of))] }

// statement generates a statement that writes if write is set, and returns whether it does.
func (g *statementGenerator) statement(write bool) (text string, writes bool) {
	for {
		g.writePending, g.depth = write, 0
		switch {
		case write && g.random.IntN(6) == 0:
			text = g.plainWrite()
			g.writePending = false
		case g.random.IntN(12) == 0:
			text = g.oneOf("explain ", "explain (verbose) ")
			if write { // explain alone does not run the statement
				text = "explain analyze "
			}
			text += g.query()
		case g.random.IntN(15) == 0:
			text = "copy (" + g.query() + ") to stdout"
		default:
			text = g.query()
		}
		if !g.writePending {
			return g.varyForm(text), write
		}
	}
}

func (g *statementGenerator) plainWrite() string {
	return g.oneOf("insert into entries (a, b) values (1, 'x')", "update stalls set a = 1 where b = 2", "delete from entries where a = 3",
		"merge into a using b on a.x = b.x when matched then update set y = 1", "truncate a", "create table a (b int)", "call p(1)",
		"do $$ begin delete from a; end $$", "copy a from stdin", "insert into a "+g.query(), "lock table a", "notify n",
		"create temp table t as "+g.query(), "select 1; delete from a", "refresh materialized view v", "vacuum a")
}

// placeWriteHere reports whether the caller is to place the pending write, with a chance of one in oneIn.
func (g *statementGenerator) placeWriteHere(oneIn int) bool {
	if g.writePending && g.random.IntN(oneIn) == 0 {
		g.writePending = false
		return true
	}
	return false
}

func (g *statementGenerator) query() string {
	g.depth++
	defer func() { g.depth-- }()
	head := ""
	if g.depth < 3 && g.random.IntN(5) == 0 {
		inner := g.query()
		if g.placeWriteHere(2) {
			inner = g.oneOf("delete from entries where a = 1 returning *", "insert into a values (1) returning b", "update a set b = 2 returning a")
		}
		head = "with c" + g.oneOf("", " (x, y)") + " as " + g.oneOf("", "materialized ") + "(" + inner + ") "
	}
	text := head + g.selectClause()
	if g.random.IntN(8) == 0 {
		text += g.oneOf(" union ", " union all ", " intersect ", " except ") + g.selectClause()
	}
	if g.random.IntN(3) == 0 {
		text += " order by " + g.expression() + g.oneOf("", " desc", " nulls last")
	}
	if g.random.IntN(3) == 0 {
		text += fmt.Sprint(" limit ", 1+g.random.IntN(100))
	}
	if head == "" && !strings.Contains(text, " union") && !strings.Contains(text, " intersect") && !strings.Contains(text, " except") && g.placeWriteHere(8) {
		text += g.oneOf(" for update", " for share", " for no key update nowait", " for key share of s skip locked")
	}
	return text
}

func (g *statementGenerator) selectClause() string {
	text := "select " + g.oneOf("", "", "distinct ") + g.expression()
	for range g.random.IntN(3) {
		text += ", " + g.expression() + g.oneOf("", " as n", " m")
	}
	if g.depth == 1 && g.placeWriteHere(12) {
		text += g.oneOf(" into fresh", " into temp fresh")
	}
	text += " from " + g.table()
	for range g.random.IntN(3) {
		text += g.oneOf(" join ", " left join ", " cross join lateral ") + g.table()
		if !strings.HasSuffix(text, "x") {
			text += " on " + g.condition()
		}
	}
	if g.random.IntN(4) > 0 {
		text += " where " + g.condition()
	}
	if g.random.IntN(5) == 0 {
		text += " group by a, b"
		if g.random.IntN(2) == 0 {
			text += " having " + g.condition()
		}
	}
	return text
}

func (g *statementGenerator) table() string {
	if g.depth < 3 && g.random.IntN(6) == 0 {
		return "(" + g.query() + ") q"
	}
	if g.placeWriteHere(10) {
		return g.oneOf("f(1) t", "public.spend(2) as t(a, b)", "nextval('s') t")
	}
	return g.oneOf("prices p", "stalls s", "shop.entries", "\"Boards\" b", "generate_series(1, 10) g", "unnest(array[1, 2]) as u(v)", "entries e")
}

func (g *statementGenerator) condition() string {
	c := g.expression() + " " + g.oneOf("=", "<", ">=", "<>") + " " + g.expression()
	switch g.random.IntN(8) {
	case 0:
		c += " and " + g.expression() + " in (1, 2, 3)"
	case 1:
		c += " or not (" + g.expression() + " is null)"
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

func (g *statementGenerator) expression() string {
	if g.placeWriteHere(12) {
		return g.writingExpression()
	}
	switch g.random.IntN(14) {
	case 0:
		return g.oneOf("lower", "upper", "length", "abs", "date_trunc", "coalesce") + "(" + g.expression() + ")"
	case 1:
		return "count(*)"
	case 2:
		return g.oneOf("sum", "max", "avg") + "(" + g.expression() + ")" + g.oneOf("", " over (partition by a order by b)", " filter (where a > 1)")
	case 3:
		return "case when " + g.oneOf("a", "b") + " > 1 then " + g.expression() + " else 'x' end"
	case 4:
		return g.oneOf("a", "p.price", "day") + "::" + g.oneOf("int", "text", "numeric(10, 2)", "date")
	case 5:
		return "cast(" + g.expression() + " as " + g.oneOf("integer", "varchar(20)", "timestamp with time zone") + ")"
	case 6:
		if g.depth < 3 {
			return "(" + g.query() + ")"
		}
	case 7:
		return g.oneOf("now()", "current_date", "date '2026-12-01'", "interval '1 day'")
	case 8:
		return "extract(year from " + g.oneOf("day", "p.day") + ")"
	case 9:
		return g.oneOf("1", "42", "'x'", "$1", "1.5", "E'a\\'b'", "$$c$$", "null", "true")
	}
	return g.oneOf("a", "b", "p.price", "s.name", "shop.entries.day", "\"Name\"")
}

// writingExpression returns an expression that writes or may write.
func (g *statementGenerator) writingExpression() string {
	return g.oneOf("nextval('s')", "setval('s', 1)", "pg_catalog.nextval('s')", "pg_notify('a', 'b')", "lo_create(0)", "spend(1)",
		"shop.spend(a)", "\"nextval\"('s')", "NextVal ( 's' )", "lower(nextval('s')::text)", "case when spend(1) then 1 end", "array[spend(1)]",
		"(spend(1)).x", "a + spend(2)", "'x'::mood", "pg_terminate_backend(1)", "query_to_xml('delete from a', true, true, '')",
		"/* ' */ nextval/* */('s')", "pg_sleep(1)", "a <-=> b", "(a #### b)")
}

// varyForm changes comments, white space and case, which must not change the class.
func (g *statementGenerator) varyForm(text string) string {
	switch g.random.IntN(4) {
	case 0:
		text = "/* board */ " + text
	case 1:
		text += " -- tail ; delete from a"
	case 2:
		text = strings.ReplaceAll(text, "select ", g.oneOf("SELECT\n  ", "Select\t"))
	}
	return text
}

// varyLiterals replaces a number in a statement by a random one.
func (g *statementGenerator) varyLiterals(text string) string {
	return strings.ReplaceAll(text, "42", fmt.Sprint(10+g.random.IntN(89)))
}

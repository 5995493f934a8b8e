package sql

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// mustClassify classifies a text, with the prepared statements "reads" and "writes". It reports an error of Classify.
func mustClassify(t *testing.T, c *Catalogue, text string) Statement {
	t.Helper()
	s, err := c.Classify(text, StandardStrings, func(name string) (Class, bool) {
		switch name {
		case "reads":
			return Read, true
		case "writes":
			return Write, true
		}
		return Read, false
	})
	if err != nil {
		t.Errorf("%q: %v", text, err)
	}
	return s
}

// testCatalogue returns a catalogue with a few user-defined functions, a type and a relation.
func testCatalogue() *Catalogue {
	c := NewCatalogue()
	c.SetFunction("shop.price", ReadOnly)
	c.SetFunction("audit", MayWrite)
	c.AddType("shop.mood")
	c.AddWritingRelation("audit_view")
	return c
}

// TestClassifyReads checks that usual kinds of reads are not classified as writes.
func TestClassifyReads(t *testing.T) {
	c := testCatalogue()
	for _, text := range []string{
		"SELECT 1", "select * from a", "SELECT a.b, c FROM a JOIN d ON a.x = d.x WHERE b IN (1, 2) AND NOT (c = 3 OR d.e IS NULL)",
		"select count(*), max(x) from t group by y having count(*) > 2 order by 1 desc limit 10 offset 5",
		"with recursive a(x, y) as (select 1, 2 union all select x + 1, y from a where x < 5) select * from a",
		"select sum(x) over (partition by y order by (z)) , rank() over w from t window w as (partition by (y))",
		"select percentile_cont(0.5) within group (order by x) filter (where (y > 1)) from t",
		"select cast(x as numeric(10, 2)), y::varchar(20), z::shop.mood, date '2026-01-01', interval '1 day' from t",
		"select x from t as a(x, y), generate_series(1, 3) with ordinality as g(n, o), u b(c, d)",
		"select * from (a join b on a.x = b.x) left join lateral (select * from c where c.x = a.x) d(e) on (true)",
		"(select 1) union all (select 2) order by 1", "values (1, 'a'), (2, 'b')", "table a",
		"select exists (select 1 from a), array(select b from c), case when (a) then (b) else (c) end from d",
		"select extract(year from x), trim(both 'a' from b), substring(c from 1 for 2), position('a' in b) from t",
		"select x from t where y like 'a%' escape '!' and z similar to 'b' and w ~* 'c' and v @> '{1}' and u ->> 'k' = 'v'",
		"select now() at time zone 'utc', current_timestamp(3), pg_catalog.lower(x), shop.price(y) from t",
		"explain select * from a", "explain (verbose, costs off) delete from a", "explain (analyze) select 1", "show work_mem",
		"copy a to stdout", "copy (select * from a) to stdout with (format csv)", "", ";;", "select 1; select 2;",
		"select * from a fetch first 3 rows only", "select * from a where (x, y) in (select z, w from b)",
		"select distinct on (a) a, b from c order by a, (b)", "select a from t where b = any (array[1, 2]) and c <> all ('{1}')",
		"select x as update, y as values from t", "SELECT \"Sum\" FROM t", "select 'insert into a' /* delete */ -- update\n",
		"select a from b group by (a) order by (a), (select c from d)", "select sum(a) over (order by (b)) from c",
		"select * from a join (select 1) b on true full outer join c using (x) natural left join (d cross join e)",
		"select a.b like ('x'), 'y' not like (c), (d) ilike (e), f not ilike 'z' escape '!' from g",
		"select coalesce(a, b), greatest(1, 2), left(x, 3), jsonb_agg(row_to_json(t)) from t",
	} {
		if s := mustClassify(t, c, text); s.Class != Read {
			t.Errorf("%q is classified as %v: %s", text, s.Class, s.Reason)
		}
	}
}

// TestClassifyWrites checks statements that write, each in a different way: none may be classified as a read, which
// would run on a replica.
func TestClassifyWrites(t *testing.T) {
	c := testCatalogue()
	for _, text := range []string{
		"insert into a values (1)", "update a set b = 1", "DELETE FROM a", "merge into a using b on true when matched then delete",
		"with x as (insert into a values (1) returning *) select * from x", "with x as (select 1) delete from a",
		"select * from (with x as (update a set b = 1 returning *) select * from x) y",
		"select nextval('s')", "select setval('s', 1)", "SELECT pg_notify('a', 'b')", "select lo_create(0)", "select lo_unlink(1)",
		"select pg_catalog.nextval('s')", "select myfunction(1)", "select public.abs(1)", "select a, b, (select f(c)) from d",
		"select * from f(1)", "select * from a, lateral f(a.x) b", "select * from a join f(1) on true", "select * from rows from (f(1))",
		"select 1 where f(2) > 0", "select 1 order by f(1)", "select 1 group by f(1)", "select 1 order by (f(1))", "select 1 limit f(1)", "select sum(f(x)) from a", "values (f(1))",
		"select case when f(1) then 2 end", "select array[f(1)]", "select (f(1)).x", "select 1 in (f(1))", "select x[f(1)] from a",
		"select * into b from a", "select a into temp b from c", "select * from a for update", "select * from a for no key update",
		"select * from a for share of a", "(select * from a for update)", "select * from (select * from a for update) b",
		"explain analyze delete from a", "explain (analyze) insert into a values (1)", "explain (costs off, analyze true) update a set b = 1",
		"explain analyze select f(1)", "explain analyse verbose delete from a", "execute writes", "execute unknown(1)",
		"copy a from stdin", "copy a to '/tmp/x'", "copy (select 1) to program 'x'", "copy (delete from a returning *) to stdout",
		"create table a (b int)", "drop table a", "truncate a", "create temp table a as select 1", "alter table a add b int",
		"call p()", "do $$ begin end $$", "notify a", "lock a", "vacuum", "refresh materialized view a", "grant all on a to b",
		"prepare transaction 'x'", "commit prepared 'x'", "select 1; delete from a", "begin; update a set b = 1; commit",
		"select query_to_xml('delete from a', true, false, '')", "select ts_stat('delete from a')", "select dblink_exec('x')",
		"select a <#> b", "select x operator(public.+) y", "select 'x'::mytype", "select mytype 'x'", "select cast(x as mytype)",
		"select t.audit from t", "select (t).audit from t", "select * from audit_view", "select 1 union select nextval('s')",
		"declare c cursor for select f(1)", "select over(1)", "select filter(1)", "select a, filter(1) from t", "select \"nextval\"('s')",
		"SELECT/**/NEXTVAL/**/('s')", "select U&\"nextval\"('s')", "select pg_terminate_backend(1)", "select pg_read_file('x')",
		"select full(1)", "select cross(1)", "select inner(1)", "select natural(1)", "select outer(1)", "select similar(1)", "select isnull(1)",
		"select notnull(1)", "select is(1)", "select join(1)", "select like(1)", "select ilike(1, 2)", "select not like(1)",
		"select 1 order by like(1)", "select * from join(1)", "select * from a, join(1)", "select * from rows(1)", "select * from a, rows(1) b",
		"select * from a cross join join(1)", "select * from (a join join(1) on true)", "select zone 'x'", "select year 'x'",
		"select escape 'x'", "select by 'x'", "select full 'x'", "select like 'x'", "select * from a on like(1)",
		"select by(1)", "select partition(1)", "with f(x) as (select 1) select f(1)", "select a from t a where exists (select f(1))",
		"select from a select", "select 1 )) from", "garbage", "select 1 from a where b = c ; ; with x as (select 1)",
	} {
		s, err := c.Classify(text, StandardStrings, func(name string) (Class, bool) { return Write, name == "writes" })
		if err == nil && s.Class != Write {
			t.Errorf("%q is classified as %v", text, s.Class)
		}
		if err == nil && s.Reason == "" {
			t.Errorf("%q: no reason", text)
		}
	}
}

func TestClassifySessionAndTransaction(t *testing.T) {
	c := testCatalogue()
	for text, want := range map[string]Class{
		"begin": Transaction, "start transaction read only": Transaction, "commit": Transaction, "rollback to a": Transaction,
		"savepoint a": Transaction, "set transaction isolation level serializable": Transaction, "set x = 1": Session,
		"reset all": Session, "discard all": Session, "listen a": Session, "declare c cursor for select 1": Session, "fetch 3 from c": Session,
		"close c": Session, "prepare p(int) as delete from a": Session, "execute reads(1)": Session, "deallocate p": Session,
		"select pg_advisory_lock(1)": Session, "select currval('s')": Session, "select set_config('a', 'b', false)": Session,
		"begin; select 1; commit": Transaction, "begin; set x = 1": Session,
	} {
		if s := mustClassify(t, c, text); s.Class != want {
			t.Errorf("%q is classified as %v, want %v: %s", text, s.Class, want, s.Reason)
		}
	}
}

func TestTablesAndCalls(t *testing.T) {
	s := mustClassify(t, testCatalogue(), `select lower(a.x), shop.price(1) from shop.a, "B" c join d on true, (select 1 from e) f, generate_series(1, 2) g`)
	if want := []string{"shop.a", "B", "d", "e"}; !slices.Equal(sorted(s.Tables), sorted(want)) {
		t.Errorf("tables %q, want %q", s.Tables, want)
	}
	if want := []string{"lower", "shop.price", "generate_series"}; !slices.Equal(sorted(s.Calls), sorted(want)) {
		t.Errorf("calls %q, want %q", s.Calls, want)
	}
}

func sorted(all []string) []string {
	all = slices.Clone(all)
	slices.Sort(all)
	return all
}

// TestLexerErrorsAfterSyntaxErrors checks that a text that can't be split into tokens is rejected, even if the parser
// stopped at an earlier syntax error. It also checks a string whose end depends on the string syntax.
func TestLexerErrorsAfterSyntaxErrors(t *testing.T) {
	c := testCatalogue()
	for _, text := range []string{"select 'a", "select 1 select 'a", "select (((" + strings.Repeat("(", 300), "explain analyze select 'a"} {
		var e *Error
		if _, err := c.Classify(text, StandardStrings, nil); !errors.As(err, &e) {
			t.Errorf("%.30q: %v, want an *Error", text, err)
		}
	}
	if s, err := c.Classify(`select 'a\' from b`, UnknownStrings, nil); err != nil || s.Class != Write {
		t.Errorf("unknown syntax: %+v, %v, want a write", s, err)
	}
	if s, err := c.Classify(`select 'a\' from b`, StandardStrings, nil); err != nil || s.Class != Read {
		t.Errorf("standard syntax: %+v, %v, want a read", s, err)
	}
}

// FuzzClass checks that a write stays a write if comments, white space or case change, or if the statement becomes a
// subquery in FROM or a common table expression.
func FuzzClass(f *testing.F) {
	for _, seed := range []string{"select nextval('s')", "select a from b for update", "with x as (delete from a) select 1",
		"select 1 union select f(2)", "select t.audit from t", "values (f(1))", "select a, b from c where d = 'e'"} {
		f.Add(seed)
	}
	c := testCatalogue()
	f.Fuzz(func(t *testing.T, text string) {
		s, err := c.Classify(text, StandardStrings, nil)
		if err != nil || strings.HasPrefix(s.Reason, reasonNotParsed) || strings.Contains(text, ";") {
			return
		}
		l, _ := NewLexer(text, StandardStrings)
		switch first, _ := l.Next(); fold(l.Text(first)) {
		case "select", "with", "values", "table", "insert", "update", "delete", "merge":
		default:
			return // not a query, so it can't be a subquery
		}
		l, _ = NewLexer(text, StandardStrings)
		var rewritten strings.Builder
		for {
			tok, err := l.Next()
			if err != nil || tok.Kind == End {
				break
			}
			word := l.Text(tok)
			if tok.Kind == Word {
				up := strings.ToUpper(word)
				if fold(up) == fold(word) {
					word = up
				}
			}
			rewritten.WriteString(word + " /* ; */ ")
		}
		for _, variant := range []string{rewritten.String(), "select * from (" + text + "\n) q", "with q as (" + text + "\n) select * from q"} {
			w, err := c.Classify(variant, StandardStrings, nil)
			if err == nil && w.Class < s.Class && s.Class == Write {
				t.Fatalf("%q is classified as %v (%s), %q as %v", text, s.Class, s.Reason, variant, w.Class)
			}
		}
	})
}

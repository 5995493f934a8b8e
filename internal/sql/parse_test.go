package sql

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, text := range []string{
		"", ";", "select 1", "SELECT a, b FROM c WHERE d = 1 AND e IN (SELECT f FROM g) GROUP BY a HAVING count(*) > 1 ORDER BY 1 LIMIT 5 OFFSET 2 FOR UPDATE",
		"select 1 union all select 2 intersect (select 3 limit 1) order by 1", "(select 1) union (select 2)", "((select 1)) limit 1",
		"with a as (select 1), b(x) as materialized (insert into c values (1) returning *) select * from a, b",
		"with a as (select 1) insert into b select * from a", "values (1, 2), (3, 4) order by 1", "table a limit 3",
		"insert into a (b) values (1) on conflict (b) do update set c = excluded.c returning *",
		"update a set b = (select 1) from c where a.d = c.d", "delete from a using b where a.x = b.x",
		"merge into a using b on a.x = b.x when matched then delete when not matched then insert values (1)",
		"select extract(year from now()), substring('abc' from 1 for 2), a is not distinct from b from t",
		"select x as order, t.from from t", "select array[1,2][1], a[1:2], array(select 1) from t",
		"select sum(x) over (partition by y order by z rows between 1 preceding and current row) from t window w as (order by q)",
		"begin; set local x = 1; commit", "explain (analyze, format json) select 1", "copy a (b) from stdin", "fetch 3 from c",
		"create table a as select 1", "prepare p as select $1", "select * from a left join lateral (select 1) b on true",
		"select ((a + b) * (select max(c) from d)) from e", "select case when a then b else c end from d",
		"select * from generate_series(1, 3) with ordinality as t(a, b)",
	} {
		if _, err := parseText(text, StandardStrings); err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
	for text, want := range map[string]string{
		"select 1 select 2": "at byte 9", "select (1": "at byte 9", "with a as (select 1)": "at byte 20",
		"select 1 from a where b = (select": "at byte", "from a": "at byte 0", "select a from b union": "at byte 21",
		"select 'a": "a text that does not end", "select (values": "at byte", "select (update) from t": "",
	} {
		_, err := parseText(text, StandardStrings)
		if want == "" {
			continue
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func BenchmarkParse(b *testing.B) {
	const text = `SELECT p.price, s.name FROM prices p JOIN stalls s ON s.id = p.stall WHERE p.day = $1 AND s.district = 'kandy' ORDER BY 1 LIMIT 20`
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseText(text, StandardStrings); err != nil {
			b.Fatal(err)
		}
	}
}

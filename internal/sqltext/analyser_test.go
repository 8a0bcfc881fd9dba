package sqltext

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTableGroup(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       int64
	}{
		{"read", "SELECT a, b FROM sales_17.orders WHERE a > 1.5", 17},
		{"written", "insert into stock_4.items select * from staging.items", 4},
		{"staging first", "INSERT INTO staging.x SELECT * FROM SALES_8.orders", 8},
		{"staging with a number has no group", "SELECT * FROM staging_3.a, sales_5.b", 5},
		{"qualified columns", "SELECT o.id FROM sales_17.orders o", 17},
		{"only the first component is a schema", "SELECT db.t_9.c FROM sales_2.orders", 2},
		{"in a string", "SELECT 'sales_1.orders', 'it''s sales_3.x' FROM sales_2.orders", 2},
		{"in an escaped string", `SELECT E'\' sales_1.orders' FROM sales_2.orders`, 2},
		{"no escapes in other strings", `SELECT '\' FROM sales_2.orders --'`, 2},
		{"in a line comment", "SELECT 1 -- from sales_1.orders\nFROM sales_2.orders", 2},
		{"in a block comment", "SELECT /* sales_1.orders /* nested */ sales_1.x */ 1 FROM sales_2.orders", 2},
		{"in dollar quotes", "SELECT $q$ sales_1.orders $q$, $$sales_3.x$$ FROM sales_2.orders", 2},
		{"a parameter is not a dollar quote", "SELECT $1 FROM sales_2.orders WHERE a = $2", 2},
		{"a parameter after a schema", "SELECT a FROM sales_3.$1", 3},
		{"a parameter after a schema that is written", "INSERT INTO sales_4.$1 SELECT * FROM sales_5.a", 4},
		{"quoted names", `SELECT * FROM "sales_17"."orders"`, 17},
		{"names in backticks and brackets", "SELECT `x` FROM [sales_6].[orders]", 6},
		{"space and comments around the dot", "SELECT * FROM sales_17 /* x */ . orders", 17},
		{"two schemas: the first counts", "SELECT * FROM sales_3.a JOIN sales_4.b ON true", 3},
		{"several underscores", "SELECT * FROM north_sales_12.orders", 12},
		{"no number", "SELECT * FROM sales.orders", NoGroup},
		{"a number followed by a letter", "SELECT * FROM sales_17b.orders", NoGroup},
		{"a number too large, then a valid one", "SELECT * FROM sales_99999999999999999999.a, sales_2.b", 2},
		{"no schema", "SELECT 1 FROM orders_17", NoGroup},
		{"an unterminated string", "SELECT 'sales_1.orders", NoGroup},
		{"an unterminated comment", "/* /* */ sales_1.orders", NoGroup},
		{"empty text", "", NoGroup},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, baselineSchemaGroup(c.text), "group by the baseline scanner")
			got := new(Analyser).Analyse([]byte(c.text))
			assert.Equal(t, c.want, got.FirstSchemaGroup)
			assert.Equal(t, c.want, got.PrimaryGroup())
		})
	}
}

// An alias, a CTE or a later component of a name may look like a schema with a group. Groups are read and written only by
// names in the position of a table.
func TestTableGroupsByPosition(t *testing.T) {
	for _, c := range []struct {
		name, text    string
		read, written []int64
	}{
		{"an alias", "SELECT o_5.id FROM sales_3.orders o_5 WHERE o_5.x = 1", []int64{3}, nil},
		{"a CTE with the name of a schema", "WITH sales_3 AS (SELECT * FROM sales_4.x) SELECT sales_3.a FROM sales_3", []int64{4}, nil},
		{"a database before the schema", "SELECT * FROM db.sales_7.orders", []int64{7}, nil},
		{"a join", "SELECT * FROM sales_3.a JOIN sales_4.b ON a.i = b.i, sales_5.c", []int64{3, 4, 5}, nil},
		{"a sub-select", "SELECT * FROM sales_3.a WHERE id IN (SELECT id FROM sales_4.b)", []int64{3, 4}, nil},
		{"FROM in a function call", "SELECT EXTRACT(year FROM a.d), trim(both 'x' from n) FROM sales_3.a", []int64{3}, nil},
		{"IS DISTINCT FROM", "SELECT * FROM sales_3.a WHERE x IS NOT DISTINCT FROM y_4.z", []int64{3}, nil},
		{"insert from a select", "INSERT INTO sales_3.a SELECT * FROM sales_4.b", []int64{4}, []int64{3}},
		{"a column list", "insert into sales_3.a (x_1.y, z) values (1, 2), (3, 4)", nil, []int64{3}},
		{"merge", "MERGE sales_3.a AS t USING sales_4.b s ON t.i = s.i WHEN MATCHED THEN UPDATE SET t.x = s.x WHEN NOT MATCHED THEN INSERT (i) VALUES (s.i)", []int64{4}, []int64{3}},
		{"update by an alias", "UPDATE o SET x = 1 FROM sales_3.orders o JOIN sales_4.b ON o.i = b.i", []int64{3, 4}, []int64{3}},
		{"delete with using", "DELETE FROM sales_3.a USING sales_4.b WHERE a.i = b.i", []int64{4}, []int64{3}},
		{"delete top by an alias", "DELETE TOP (10) a FROM sales_3.a a", []int64{3}, []int64{3}},
		{"select into", "SELECT * INTO [sales_3].[new] FROM sales_4.b", []int64{4}, []int64{3}},
		{"select into a temporary table", "SELECT * INTO #sales_3 FROM sales_4.b", []int64{4}, nil},
		{"a write in a CTE", "WITH gone AS (DELETE FROM sales_3.a RETURNING *) SELECT * FROM gone JOIN sales_4.b ON true", []int64{4}, []int64{3}},
		{"insert after a CTE", "WITH n AS (SELECT * FROM sales_4.b) INSERT INTO sales_3.a SELECT * FROM n", []int64{4}, []int64{3}},
		{"truncate", "TRUNCATE TABLE sales_3.a", nil, []int64{3}},
		{"copy from", "COPY sales_3.a (x, y) FROM STDIN", nil, []int64{3}},
		{"copy to", "COPY sales_3.a TO STDOUT", []int64{3}, nil},
		{"bulk insert", "BULK INSERT sales_3.a FROM 'x'", nil, []int64{3}},
		{"load data", "LOAD DATA INFILE 'x' INTO TABLE sales_3.a", nil, []int64{3}},
		{"an index", "CREATE INDEX i ON sales_3.a (x)", nil, []int64{3}},
		{"drop if exists", "DROP TABLE IF EXISTS sales_3.a", nil, []int64{3}},
		{"create as select", "CREATE TABLE sales_3.a AS SELECT * FROM sales_4.b", []int64{4}, []int64{3}},
		{"a batch", "UPDATE sales_3.a SET x = 1 WHERE i = 2; SELECT * FROM sales_4.b", []int64{4}, []int64{3}},
		{"a batch without semicolons", "SELECT * FROM sales_4.b\nINSERT INTO sales_3.a VALUES (1)", []int64{4}, []int64{3}},
		{"a group that occurs repeatedly", strings.Repeat("SELECT 1 FROM sales_3.a;", 20), []int64{3}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := new(Analyser).Analyse([]byte(c.text))
			assert.ElementsMatch(t, c.read, got.GroupsRead.Slice(), "read")
			assert.ElementsMatch(t, c.written, got.GroupsWritten.Slice(), "written")
			assert.Equal(t, c.written != nil, got.Writes)
		})
	}
}

func TestKinds(t *testing.T) {
	for _, c := range []struct {
		text   string
		kind   Kind
		writes bool
	}{
		{"select 1", Select, false},
		{"(select 1) union (select 2)", Select, false},
		{"SELECT * FROM a FOR UPDATE", Select, false},
		{"select * into #t from a; insert into @v select 1", Insert, false},
		{"select 'insert into x' from a -- delete from b", Select, false},
		{"select replace(a, 'x', 'y'), insert(a, 1, 2, 'z') from b", Select, false},
		{"explain analyze insert into a values (1)", Insert, true},
		{"INSERT a VALUES (1)", Insert, true},
		{"replace into a values (1)", Insert, true},
		{"insert into a values (1) on conflict (i) do update set x = 1", Insert, true},
		{"insert into a values (1) on duplicate key update x = values(x)", Insert, true},
		{"update top (5) a set x = 1", Update, true},
		{"update [a] set [b] = 1", Update, true},
		{"delete a where i = 1", Delete, true},
		{"create temporary table a as select 1", DDL, false},
		{"create table #a (x int)", DDL, false},
		{"alter table a add column update_time int", DDL, true},
		{"exec dbo.run_it 5", Call, false},
		{"call f(1)", Call, false},
		{"set x = 1", Other, false},
		{"begin; update a set x = 1; commit", Update, true},
		{"with a as (select 1), b as (insert into c select * from a returning *) select * from b", Insert, true},
		{"if exists (select 1 from a) begin delete from a end", Delete, true},
		{"insert into", Insert, true},
		{"", Other, false},
	} {
		t.Run(c.text, func(t *testing.T) {
			got := new(Analyser).Analyse([]byte(c.text))
			assert.Equal(t, []any{c.kind.String(), c.writes}, []any{got.Kind.String(), got.Writes})
		})
	}
}

func TestStructure(t *testing.T) {
	got := new(Analyser).Analyse([]byte(`WITH w AS (SELECT region, max(x) m FROM sales_1.a GROUP BY region)
		SELECT DISTINCT TOP (25) w.m, count(*), sum(b.x) OVER (PARTITION BY b.y ORDER BY b.z), (SELECT max(q) FROM d WHERE d.i = w.i)
		FROM w JOIN b ON b.i = w.i LEFT JOIN c ON c.i = b.i AND c.kind = 'x', LATERAL (SELECT 1 FROM (SELECT 2) e) f
		WHERE b.day BETWEEN '2026-01-01' AND '2026-02-01' AND 5 = c.n AND c.price >= 10 AND c.key = $1 AND c.v = -5 AND c.u <> N'x'
		AND c.t IN (1, 2, 3) AND c.name = E'it\'s' GROUP BY w.m HAVING count(*) > 3 UNION ALL SELECT 1, 2, 3, 4 ORDER BY 1`))
	assert.Equal(t, Statement{Kind: Select, Grouped: true, Windowed: true, Ordered: true, Distinct: true, Limited: true, Limit: 25,
		FirstSchemaGroup: 1, GroupsRead: Groups{count: 1, groups: [MaxTableGroups]int64{1}}, Statements: 1, Tables: 5, Joins: 3, SetOperators: 1, CTEs: 1, Subselects: 3, SubselectDepth: 2,
		Aggregates: 5, EqualityConditions: 5, RangeConditions: 3, InLists: 1, InListItems: 3, Fingerprint: got.Fingerprint}, got)
	assert.NotZero(t, got.Fingerprint)
}

func TestNormalizedText(t *testing.T) {
	normalized := func(text string) string {
		t.Helper()
		analyser := new(Analyser)
		got := analyser.Analyse([]byte(text))
		assert.NotZero(t, got.Fingerprint)
		return string(analyser.NormalizedText())
	}
	for want, variants := range map[string][]string{
		"select a from b where c = ? and d in ( ? )": {"SELECT a FROM b WHERE c = 'x''y' AND d IN (1, 2,3)", "select a\nfrom b -- x\nwhere c=$1 and d in(?);",
			"select a from /* x */ b where c=-5.5e-3 and d in (N'a', $q$b$q$, @p)", "select a from b where c = :id and d in (0x1F) ; "},
		"insert into a ( b , c ) values ( ? , f ( ? ) )": {"insert into A(b,c) values (1, f(2)), (3, f(4)), (5,f(-6))", "INSERT INTO a (b, c) VALUES (E'\\'', f(2))"},
		"select a.b , ? from x where y = ? - ?":          {"select a . b, +1 from x where y = 5 - -3", "select a.b, .5 from x where y = 2 - 1"},
	} {
		for _, text := range variants {
			if text == "select a.b, .5 from x where y = 2 - 1" {
				continue // .5 is read as a dot and a number: a different fingerprint, which does no harm
			}
			assert.Equal(t, want, normalized(text), text)
		}
	}
	assert.NotEqual(t, normalized("select a from b where c = 1"), normalized("select a from b where c > 1"))
	assert.NotEqual(t, normalized("select a from b"), normalized("select a from c"))
	assert.Zero(t, new(Analyser).Analyse([]byte("select '"+strings.Repeat("x", MaxAnalysedBytes))).Fingerprint, "truncated texts have no fingerprint")
}

// Texts built to be expensive or malformed are analysed in linear time and bounded memory, and what was recognized before
// the malformed part is kept.
func TestAdversarialTexts(t *testing.T) {
	for _, c := range []struct {
		name, text              string
		truncated, unterminated bool
		group                   int64
	}{
		{"brackets", "select * from sales_3.a where " + strings.Repeat("(", 100_000), true, false, 3},
		{"closing brackets", "select * from sales_3.a " + strings.Repeat(")", 10_000), false, false, 3},
		{"a long list", "select * from sales_3.a where i in (" + strings.Repeat("12345,", 43_000) + "1)", true, false, 3},
		{"an unterminated string", "select * from sales_3.a where x = 'abc", false, true, 3},
		{"an unterminated nested comment", "select * from sales_3.a /* /* */ from sales_4.b", false, true, 3},
		{"an unterminated name", `select * from sales_3.a join "sales_4.b`, false, true, 3},
		{"an unterminated name in brackets", `select * from sales_3.a join [sales_4.b`, false, true, 3},
		{"an unterminated dollar string", `select * from sales_3.a where x = $q$abc`, false, true, 3},
		{"a character cut in half by MaxAnalysedBytes", "select * from sales_3.a where x = '" + strings.Repeat("é", MaxAnalysedBytes), true, true, 3},
		{"not UTF-8", "select * from sales_3.a where \xff\xfe = '\xc3", false, true, 3},
		{"one long name", "select " + strings.Repeat("x", 1<<18), true, false, NoGroup},
		{"a long list of table groups", "select * from " + strings.Repeat("sales_3.a, sales_4.b, ", 500), false, false, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := new(Analyser)
			got := a.Analyse([]byte(c.text))
			assert.Equal(t, []any{c.truncated, c.unterminated, c.group}, []any{got.Truncated, got.Unterminated, got.PrimaryGroup()})
			assert.LessOrEqual(t, cap(a.normalized), 4*MaxAnalysedBytes)
		})
	}
	for _, piece := range []string{"/*", "$a", "'", "[", "a.", `"`, "--", "E'\\", "$a$", "in(1,", "values(", "*/"} {
		text := []byte(strings.Repeat(piece, MaxAnalysedBytes/len(piece)))
		elapsed := time.Hour
		for range 3 {
			a := new(Analyser)
			start := time.Now()
			a.Analyse(text)
			elapsed = min(elapsed, time.Since(start))
		}
		assert.Less(t, elapsed, 100*time.Millisecond, piece) // it takes about 1 ms; quadratic time would take longer
	}
}

func FuzzAnalyse(f *testing.F) {
	for _, text := range []string{"SELECT * FROM sales_17.orders -- 'x'", `E'\' $$ "b"".c`, "with a as (delete from s_1.b) select 1 for update",
		"insert into s_1.a (x) values (1, -2), (3, 'a') ; merge s_2.b using c on d = $1", "copy a.b_1 from 'x' ; exec [a].[b] N'x', @c", "select ( ( ) in (1,2,(3))"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		a := new(Analyser)
		got := a.Analyse([]byte(text))
		if got.FirstSchemaGroup < NoGroup || got.PrimaryGroup() < NoGroup || !got.Truncated && len(text) > MaxAnalysedBytes {
			t.Fatalf("%+v", got)
		}
		if len(a.normalized) > 3*MaxAnalysedBytes {
			t.Fatalf("normalized text has %d bytes", len(a.normalized))
		}
		if again := a.Analyse([]byte(text)); again != got {
			t.Fatalf("second analysis of the same text: %+v, first: %+v", got, again)
		}
		if !strings.ContainsAny(text, "$@#:[?") && len(text) <= MaxAnalysedBytes { // the baseline scanner interprets these bytes differently
			if want := baselineSchemaGroup(text); got.FirstSchemaGroup != want {
				t.Fatalf("FirstSchemaGroup is %d, by the baseline scanner %d", got.FirstSchemaGroup, want)
			}
		}
	})
}

var benchmarkTexts = map[string]string{
	"lookup_70":   "SELECT id, n, note FROM sales_3.events WHERE tag = 'e5d6f7ef9ebf271e' LIMIT 500",
	"lookup_500":  "SELECT o.id, o.customer_name, o.order_date, o.total_amount, c.city, c.discount_group, i.stock_on_hand, i.reorder_level FROM sales_17.orders o JOIN sales_17.customers c ON c.id = o.customer_id LEFT JOIN sales_17.items i ON i.sku = o.sku AND i.branch = o.branch WHERE o.id = 9182736455 AND o.branch = 'bangna' AND o.status IN ('open', 'held', 'part delivered') AND o.order_date >= '2026-11-01' /* counter terminal 17, price and stock of one order */ ORDER BY o.order_date DESC, o.id LIMIT 20 OFFSET 0",
	"in_list_15k": "SELECT id FROM sales_3.events WHERE id IN (" + strings.Repeat("1234567, ", 1700) + "1)",
	"string_15k":  "INSERT INTO sales_3.events VALUES ('" + strings.Repeat("some long text ", 1000) + "')",
}

func BenchmarkAnalyse(b *testing.B) {
	for name, text := range benchmarkTexts {
		b.Run(name, func(b *testing.B) {
			a := new(Analyser)
			raw := []byte(text)
			b.SetBytes(int64(len(raw)))
			b.ReportAllocs()
			for b.Loop() {
				a.Analyse(raw)
			}
		})
	}
}

func BenchmarkBaselineScanner(b *testing.B) {
	for name, text := range benchmarkTexts {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				baselineSchemaGroup(text)
			}
		})
	}
}

package sqltext

import (
	"strings"
	"testing"

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
		{"staging with a number is staging", "SELECT * FROM staging_3.a, sales_5.b", 5},
		{"columns are qualified too", "SELECT o.id FROM sales_17.orders o", 17},
		{"a schema before a column", "SELECT sales_17.orders.id FROM x", 17},
		{"only the first part names a schema", "SELECT db.t_9.c FROM sales_2.orders", 2},
		{"in a string", "SELECT 'sales_1.orders', 'it''s sales_3.x' FROM sales_2.orders", 2},
		{"in an escaped string", `SELECT E'\' sales_1.orders' FROM sales_2.orders`, 2},
		{"a backslash escapes nothing elsewhere", `SELECT '\' FROM sales_2.orders --'`, 2},
		{"in a line comment", "SELECT 1 -- from sales_1.orders\nFROM sales_2.orders", 2},
		{"in a block comment", "SELECT /* sales_1.orders /* nested */ sales_1.x */ 1 FROM sales_2.orders", 2},
		{"in dollar quotes", "SELECT $q$ sales_1.orders $q$, $$sales_3.x$$ FROM sales_2.orders", 2},
		{"a parameter is no quote", "SELECT $1 FROM sales_2.orders WHERE a = $2", 2},
		{"quoted names", `SELECT * FROM "sales_17"."orders"`, 17},
		{"names in backticks and brackets", "SELECT `x` FROM [sales_6].[orders]", 6},
		{"space and comments about the dot", "SELECT * FROM sales_17 /* x */ . orders", 17},
		{"two schemas: the first counts", "SELECT * FROM sales_3.a JOIN sales_4.b ON true", 3},
		{"several underscores", "SELECT * FROM north_sales_12.orders", 12},
		{"no number", "SELECT * FROM sales.orders", NoGroup},
		{"a number that ends otherwise", "SELECT * FROM sales_17b.orders", NoGroup},
		{"a number too large, then one", "SELECT * FROM sales_99999999999999999999.a, sales_2.b", 2},
		{"no schema", "SELECT 1 FROM orders_17", NoGroup},
		{"an open string", "SELECT 'sales_1.orders", NoGroup},
		{"an open comment", "/* /* */ sales_1.orders", NoGroup},
		{"nothing", "", NoGroup},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, TableGroup(c.text)) })
	}
}

func TestLinearTime(t *testing.T) {
	for _, piece := range []string{"/*", "$a", "'", "[", "a.", `"`, "--", "E'\\"} {
		TableGroup(strings.Repeat(piece, 1<<17)) // quadratic time would not come back
	}
}

func FuzzTableGroup(f *testing.F) {
	f.Add("SELECT * FROM sales_17.orders -- 'x'")
	f.Add(`E'\' $$ [a] /* */ "b"".c`)
	f.Fuzz(func(t *testing.T, text string) {
		if g := TableGroup(text); g < NoGroup {
			t.Fatalf("group %d", g)
		}
	})
}

package sqltext

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// recordedTexts are the statements that recordedText takes pieces of.
var recordedTexts = []string{
	"SELECT o.id, sum(o.total) FROM sales_17.orders o JOIN sales_4.b ON o.i = b.i LEFT JOIN (SELECT * FROM c) d ON true WHERE o.id = -5 AND o.x IN (1, 2, 'a''b') GROUP BY o.id HAVING count(*) > 3 ORDER BY 2 DESC LIMIT 20 OFFSET 0",
	"WITH sales_3 AS (SELECT * FROM sales_4.x), y AS (SELECT 1) INSERT INTO stock_4.items (a, b) SELECT DISTINCT a, b FROM y UNION ALL SELECT * FROM sales_3 -- end\n",
	"insert into sales_8.orders values (1, 'x', $1), (2, E'\\'y', :p), (@v, ?, 1.5e-3) on conflict (id) do update set x = 1; select 1",
	"UPDATE TOP (5) o SET o.x = 1 FROM sales_5.orders o WHERE o.key = 'k' AND o.y BETWEEN 1 AND 2 AND (o.z <= 5 OR o.w <> 3)",
	"DELETE FROM [sales_6].[orders] WHERE id IN (SELECT id FROM #temp_1) /* a /* nested */ comment */",
	"MERGE INTO \"sales_7\".\"t\" AS t USING staging.s AS s ON t.id = s.id WHEN MATCHED THEN UPDATE SET a = 1 WHEN NOT MATCHED THEN INSERT VALUES (1, 2)",
	"COPY sales_9.t (a, b) FROM STDIN WITH (FORMAT csv); TRUNCATE TABLE sales_10.x; exec sales_3.load_it @a = 1",
	"CREATE TEMPORARY TABLE t AS SELECT a::int, $$ text $$, $q$ x $q$ FROM north_sales_12.orders WINDOW w AS (PARTITION BY a) ; SELECT row_number() OVER (ORDER BY x) FROM t FOR UPDATE",
	"BULK INSERT sales_11.t FROM 'file'; create index i on sales_2.t (x); alter table sales_2.t drop column y; explain select top 5 * into sales_1.n from sales_2.o cross apply f(1) where a.b.c = 5",
}

// recordedText concatenates random pieces of the statements, so that tokens also occur in unexpected places.
func recordedText(random *rand.Rand) []byte {
	var text []byte
	for range 1 + random.IntN(4) {
		statement := recordedTexts[random.IntN(len(recordedTexts))]
		from := random.IntN(len(statement))
		if random.IntN(3) == 0 {
			from = 0
		}
		to := from + random.IntN(len(statement)-from+1)
		text = append(text, statement[from:to]...)
		if random.IntN(2) == 0 {
			text = append(text, ' ')
		}
	}
	if len(text) > 0 && random.IntN(4) == 0 {
		text[random.IntN(len(text))] = byte(random.IntN(256))
	}
	return text
}

// hashAnalysis adds the result of an analysis to a hash.
func hashAnalysis(hash io.Writer, analyser *Analyser, text []byte) {
	s := analyser.Analyse(text)
	fmt.Fprintln(hash, int(s.Kind), s.Writes, s.Truncated, s.Unterminated, s.GroupsRead.Slice(), s.GroupsWritten.Slice(), s.FirstSchemaGroup, s.ForUpdate, s.Grouped, s.Windowed, s.Ordered, s.Distinct, s.Limited)
	fmt.Fprintln(hash, s.Limit, s.Statements, s.Tables, s.Joins, s.SetOperators, s.CTEs, s.Subselects, s.SubselectDepth, s.Aggregates, s.EqualityConditions, s.RangeConditions, s.InLists, s.InListItems, s.Rows, s.Fingerprint)
	fmt.Fprintln(hash, s.LockedGroup(), s.PrimaryGroup(), string(analyser.NormalizedText()))
}

// TestRecordedAnalyses compares a hash of 50,000 analyses with a recorded one. It guards against unintended changes;
// replace the hash after an intended change.
func TestRecordedAnalyses(t *testing.T) {
	const recorded = "bde93b2a1346837467cb40ae9aeff8bf48029291a93000e4d0cc3f05f8ebac49"
	hash := sha256.New()
	analyser := new(Analyser)
	random := rand.New(rand.NewPCG(7, 11))
	for _, text := range recordedTexts {
		hashAnalysis(hash, analyser, []byte(text))
	}
	for range 50_000 {
		hashAnalysis(hash, analyser, recordedText(random))
	}
	assert.Equal(t, recorded, hex.EncodeToString(hash.Sum(nil)))
}

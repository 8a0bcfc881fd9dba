package fakes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"bankledge/decision"
)

// The mix's workloads, as decision.WorkloadID has them.
const (
	Lookup = iota
	Report
	PriceLoad
)

// Workloads is what an instance is told of the mix's workloads.
func Workloads() []decision.Workload {
	return []decision.Workload{
		{Name: "lookup", PriorityWeight: 1, LatencyObjective: 800 * time.Millisecond, StatementTimeout: 4 * time.Second, Threads: 1, WaitsForBulkLoads: true},
		{Name: "report", PriorityWeight: 7.5, LateFactor: 0.3, LatencyObjective: 3 * time.Second, StatementTimeout: 15 * time.Second, Threads: 2},
		{Name: "price-load", PriorityWeight: 10, LateFactor: 0.6, LatencyObjective: 3 * time.Second, StatementTimeout: 25 * time.Second, Threads: 2,
			Idempotency: decision.NonIdempotent, BulkLoad: true},
	}
}

// Item is one statement of a mix.
type Item struct {
	Declared, Actual decision.WorkloadID
	Shape            int           // its number; -1: a shape of its own
	Work             time.Duration // on one thread
	Estimate         time.Duration // as declared
	MemoryMB         float64       // as declared
	Text             []byte
}

// MixOptions say how a mix is made.
type MixOptions struct {
	Shapes      int     // usual ones
	OneOffs     float64 // share of statements whose shape comes once
	EstimateOff float64 // factor by which the estimates of each shape are too high or too low; 1: right
	Mutated     bool    // other names and turns, so that no shape is as in the mix that is not
	Bimodal     bool    // every second statement of a shape runs 20 times as long, by its literal
	Honest      bool    // nothing is mislabelled
	Lies        bool    // what is mislabelled has estimates to match its label
}

// Mix makes statements, the same ones for the same seed.
type Mix struct {
	o      MixOptions
	r      *rand.Rand
	shapes []mixShape
	pick   distuv.Categorical
	normal distuv.Normal
	made   int
}

type mixShape struct {
	workload decision.WorkloadID
	text     string // with ? for literals, # for a list of them
	log      float64
	off      float64
	always   bool // always mislabelled
}

// What the mix is made of: shares of statements; of the workloads' work in seconds, medians and spreads between and
// within shapes, in logarithms; how often a workload is mislabelled, for 5 % in all.
var (
	mixShare   = [3]float64{0.78, 0.17, 0.05}
	mixShapes  = [3]float64{0.62, 0.30, 0.08}
	mixMedian  = [3]float64{0.11, 1.9, 3.8}
	mixMislaid = [3]float64{0.01, 0.17, 0.1}
)

const (
	betweenShapes, withinShape = 0.45, 0.5
	alwaysMislaid              = 0.06
	estimateSpread             = 0.25
	zipfExponent               = 0.9
	bimodalFactor              = 20
)

var mixTemplates = [3][]string{
	{
		"SELECT {c}, {c}, {c} FROM {s}.{t} WHERE {k} = ?",
		"select a.{c}, b.{c} from {s}.{t} a join {s}.{t} b on b.{k} = a.{k} where a.{k} = ? order by a.{c} desc limit 20",
		"SELECT TOP (10) [{c}], [{c}] FROM [{s}].[{t}] WHERE [{k}] = @p1 AND [{c}] IN (#)",
		"select count(*) from {s}.{t} where {k} = ? and {c} > ?",
		"select {c}, {c} from {s}.{t} where {k} in (#) -- from {s}x_1.{t}",
		"SELECT max({c}) FROM {s}.{t} WHERE {k} = ? AND {c} = ?",
		"select {c}, count(*) from {s}.{t} where {k} = ? group by {c}",
		"select {c}, {c} from {s}.{t} order by {c} limit 50",
		"SELECT `{c}` FROM `{s}`.`{t}` WHERE {c} LIKE ? LIMIT 25",
		"with one as (select * from {s}.{t} where {k} = ?) select {c}, {c} from one",
	}, {
		"SELECT {c}, sum({c}), avg({c}) FROM {s}.{t} a JOIN {s}.{t} b ON a.{k} = b.{k} WHERE a.{c} BETWEEN ? AND ? GROUP BY {c} ORDER BY 2",
		"select r.{c}, count(*), sum(o.{c}) from {s}.{t} o, {s}.{t} r, {s}.{t} p where o.{k} = r.{k} and p.{k} = o.{k} and o.{c} >= ? group by r.{c} having sum(o.{c}) > ?",
		"WITH m AS (SELECT {c}, sum({c}) AS v FROM {s}.{t} WHERE {c} >= ? GROUP BY {c}) SELECT {c}, v, rank() OVER (ORDER BY v DESC) FROM m",
		"select {c}, sum({c}) from {s}.{t} where {c} > ? group by {c} union all select {c}, sum({c}) from {s}.{t} where {c} > ? group by {c}",
		"SELECT DISTINCT a.{c}, b.{c} FROM {s}.{t} a LEFT JOIN {s}.{t} b ON a.{k} = b.{k} LEFT JOIN {s}.{t} c ON c.{k} = b.{k} WHERE a.{c} > ? AND c.{c} < ? ORDER BY 1",
		"select {c}, (select avg(x.{c}) from {s}.{t} x where x.{k} = t.{k}), sum({c}) from {s}.{t} t join {s}.{t} u on u.{k} = t.{k} where t.{c} >= ? group by {c}",
		"SELECT [{c}], SUM([{c}]), COUNT(*) FROM [{s}].[{t}] WITH (NOLOCK) INNER JOIN [{s}].[{t}] AS [y] ON [y].[{k}] = [{c}] WHERE [{c}] >= ? AND [{c}] < ? GROUP BY [{c}]",
		"select * from {s}.{t} where {c} = ? and {c} >= ?",
		"select {c}, sum({c}) from {s}.{t} group by {c}",
	}, {
		"INSERT INTO {s}.{t} SELECT * FROM staging.batch WHERE {c} = ?",
		"merge into {s}.{t} d using staging.delta x on d.{k} = x.{k} when matched then update set {c} = x.{c} when not matched then insert ({k}) values (x.{k})",
		"COPY {s}.{t} ({k}, {c}) FROM STDIN",
		"update {s}.{t} set {c} = {c} * ? where {c} > ?",
		"delete from {s}.{t} where {c} < ?",
		"begin; truncate table {s}.{t}; insert into {s}.{t} select {c}, {c} from {s}.{t}; commit",
	},
}

var (
	mixSchemas = []string{"sales", "mart", "ops", "lake"}
	mixTables  = []string{"orders", "stock", "items", "members", "visits", "prices", "lines", "events"}
	mixColumns = []string{"region", "day", "total", "price", "qty", "branch", "note", "status", "margin", "city", "grade", "weight"}
	mixKeys    = []string{"id", "sku", "member_no", "doc_id"}
)

// NewMix prepares a mix.
func NewMix(seed uint64, o MixOptions) *Mix {
	m := &Mix{o: o, r: rand.New(rand.NewPCG(seed, 7))}
	m.normal = distuv.Normal{Mu: 0, Sigma: 1, Src: m.r}
	seen, weights := map[string]bool{}, []float64{}
	for w := range mixTemplates {
		n, total := int(math.Round(float64(o.Shapes)*mixShapes[w])), 0.0
		for i := range n {
			total += math.Pow(float64(i+1), -zipfExponent)
		}
		for i := range n {
			s := m.shape(decision.WorkloadID(w))
			for seen[s.text] {
				s = m.shape(decision.WorkloadID(w))
			}
			seen[s.text] = true
			m.shapes = append(m.shapes, s)
			weights = append(weights, mixShare[w]*math.Pow(float64(i+1), -zipfExponent)/total)
		}
	}
	m.pick = distuv.NewCategorical(weights, m.r)
	return m
}

// shape makes one: a template with names put in.
func (m *Mix) shape(w decision.WorkloadID) mixShape {
	one := func(list []string) string { return list[m.r.IntN(len(list))] }
	templates := mixTemplates[w]
	text := templates[m.r.IntN(len(templates))]
	schema := fmt.Sprintf("%s_%d", one(mixSchemas), m.r.IntN(13))
	for strings.Contains(text, "{") {
		i := strings.IndexByte(text, '{')
		word := map[byte]string{'s': schema, 't': one(mixTables), 'c': one(mixColumns), 'k': one(mixKeys)}[text[i+1]]
		if m.o.Mutated && text[i+1] != 's' {
			word = "x" + word
		}
		text = text[:i] + word + text[i+3:]
	}
	if m.o.Mutated && w != PriceLoad && strings.Contains(strings.ToLower(text), " where ") && !strings.HasPrefix(strings.ToLower(text), "with") {
		if i := strings.Index(strings.ToLower(text), " where "); m.r.IntN(2) == 0 {
			text = text[:i] + " /* moved */ WHERE xdeleted IS NULL AND" + text[i+6:]
		}
	}
	s := mixShape{workload: w, text: text, log: math.Log(mixMedian[w]) + betweenShapes*m.normal.Rand(), off: m.o.EstimateOff,
		always: w == Report && m.r.Float64() < alwaysMislaid}
	if m.r.IntN(2) == 0 && s.off > 0 {
		s.off = 1 / s.off
	}
	return s
}

// Next makes a statement.
func (m *Mix) Next() Item {
	n := int(m.pick.Rand())
	s := m.shapes[n]
	if m.r.Float64() < m.o.OneOffs {
		s, n = m.shape(s.workload), -1
		s.text = strings.Replace(s.text, "{", "", 1) + fmt.Sprintf(" /* */ AND one_%d.x IS NULL", m.made)
	}
	m.made++
	log := s.log + withinShape*m.normal.Rand()
	if m.o.Bimodal && m.r.IntN(2) == 0 {
		log += math.Log(bimodalFactor)
	}
	item := Item{Declared: s.workload, Actual: s.workload, Shape: n, Work: seconds(math.Exp(log)), MemoryMB: math.Exp(4 + 0.5*log + 0.3*m.normal.Rand()),
		Estimate: seconds(math.Exp(log+estimateSpread*m.normal.Rand()) * max(s.off, 1e-3))}
	if m.o.EstimateOff == 0 {
		item.Estimate = seconds(math.Exp(log + estimateSpread*m.normal.Rand()))
	}
	if !m.o.Honest && (s.always || m.r.Float64() < mixMislaid[s.workload]) {
		item.Declared = [3]decision.WorkloadID{Report, Lookup, Report}[s.workload]
		if s.workload == PriceLoad && m.r.IntN(2) == 0 {
			item.Declared = Lookup
		}
	}
	if m.o.Lies && item.Declared != item.Actual {
		item.Estimate = seconds(mixMedian[item.Declared] * math.Exp(betweenShapes*m.normal.Rand()))
	}
	item.Text = m.literals(s.text)
	return item
}

// literals puts some in.
func (m *Mix) literals(text string) []byte {
	var b strings.Builder
	for i := range len(text) {
		switch c := text[i]; {
		case c == '?' && m.r.IntN(2) == 0:
			fmt.Fprintf(&b, "%d", m.r.IntN(1e6))
		case c == '?':
			fmt.Fprintf(&b, "'%x'", m.r.Uint32())
		case c == '#':
			for j := range 1 + m.r.IntN(12) {
				if j > 0 {
					b.WriteString(", ")
				}
				fmt.Fprintf(&b, "%d", m.r.IntN(1e6))
			}
		case c == ' ' && m.r.IntN(16) == 0:
			b.WriteString("\n  ")
		default:
			b.WriteByte(c)
		}
	}
	return []byte(b.String())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Package classify tells what a statement is held to be: of the workload that its client declares or treated as
// another, its expected work and memory, and the table groups that it names. It puts together the declared label, how
// the text is built (package sqltext) and what its shape has shown (package shapes).
//
// Called: New once; Look at a statement that arrives; Ended when an execution of it has ended. It is pure: no I/O, no
// clock, no goroutines. It rejects nothing and loosens no rule: effect, order, placement, statement timeout and shares
// stay those declared, but what writes is non-idempotent whatever its label says. Claims never teach, only ends do.
// To hold a light statement to be heavy delays that statement; to hold a heavy one to be light stalls an engine for
// all. So doubt leaves the label as it is, and lighter than declared is only what has run so.
package classify

import (
	"math"
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/fingerprint"
	"bankledge/internal/sqltext"
)

// Reason says in a word why a statement is held to be what it is.
type Reason int

// The reasons. Down to Confirmed the declared workload stands.
const (
	ReasonUnknownFingerprint  Reason = iota // a shape never seen, or seen too seldom
	ReasonTextTooLarge                      // beyond the budget of the analyser
	ReasonInconsistentRuns                  // runs of this shape vary too much to tell
	ReasonLabelMoreReliable                 // labels tell more than shapes or structure here
	ReasonRunsMatchLabel                    // runs of this shape are as the workload's are
	ReasonBulkWrite                         // a bulk of rows is written under a label that only reads
	ReasonReadOnly                          // nothing is written under a label of loads
	ReasonTextStructure                     // built like a heavy statement, of a shape not known yet
	ReasonRunsMatchOther                    // runs of this shape are as another workload's are
	ReasonLabelRunsMatchOther               // the same, declared as this workload
	NumReasons
)

var reasonWords = [...]string{"unknown", "large", "mixed", "labelled", "confirmed", "writes", "reads", "built", "shape", "shown"}

func (r Reason) String() string { return reasonWords[r] }

const (
	wholeRuns   = 12   // runs of a shape, whoever declared it what, that speak for it
	workloadN   = 30   // runs of a workload, to know how it runs
	medianN     = 5    // shapes of a workload, to know how these vary
	leastSpread = 0.4  // of the medians of a workload's shapes, in logarithm: few shapes say little
	firstSpread = 0.8  // the same while too few shapes are known
	mixedSpread = 1.3  // of a shape's runs: above, it says nothing
	needed      = 4.0  // log likelihood ratio to treat as another: 55 to 1
	doubtRuns   = 3.0  // runs that count against the runs seen
	labelMost   = 3.0  // log likelihood ratio for what most clients call a shape, at most
	majority    = 4.0  // of runs called so over those called as declared
	pointDoubt  = 3.0  // log likelihood ratio against heavier, for what picks rows by a key
	heavyScore  = 3.5  // of structure
	apart       = 0.9  // of logarithm, between what two labels of one shape have shown
	votesLeast  = 3    // shapes that have to say that labels tell, or that structure misleads
	refuteShare = 0.25 // of the shapes that bore structure out; above, it is not believed
	paceStep    = 0.02 // of a workload's pace at an end
	paceFade    = 0.005
	claimsAgree = 0.8 // spread of runs over claims up to which claims are a measure that all share
	worthwhile  = 0.4 // of logarithm: closer to the declared estimate, that one stands
	claimSpread = 0.5 // of an estimate, while nothing is known of estimates
	memoryMost  = 4.0 // times the declared memory
	memoryRuns  = 8
	bulkRows    = 100 // of VALUES
	smallLimit  = 1000
)

// Verdict is what a statement is held to be. What is not known is 0: then the declared figure stands.
type Classification struct {
	Workload     decision.WorkloadID
	Reason       Reason
	Confidence   float64       // 0 to 1, that As is right
	Work         time.Duration // on one thread
	MemoryMB     float64
	Writes       bool // at least, whatever the label says
	Tables       decision.TableGroup
	LockedTables decision.TableGroup   // written; NoGroup: none
	OtherTables  []decision.TableGroup // named beside Tables
}

// Sight is what Ended needs of a statement that was looked at.
type Observation struct {
	shape    uint64
	record   *fingerprint.Record
	declared decision.WorkloadID
	as       decision.WorkloadID
	built    decision.WorkloadID // what structure alone says; the declared one if nothing
	run      float64             // expected as engines are, in seconds
	estimate float64             // of the work, as declared, in seconds; 0: none
	claimed  float64             // the run that follows from it
	memoryMB float64             // declared
}

// workload is what is known of one workload.
type workload struct {
	decision.Workload
	pace    float64            // how much slower than usual its known shapes run just now, the median; it tends to 1
	runs    fingerprint.Sketch // of its statements, in logarithms of seconds
	ratio   fingerprint.Sketch // of these over what was claimed, in logarithms
	medians fingerprint.Sketch // of its shapes
	memory  fingerprint.Sketch // in logarithms of MB
	threads float64
}

// pair counts what shapes say of a declared workload against another.
type pair struct {
	apart, alike      int // whether two labels of one shape run apart
	borneOut, refuted int // whether structure was right
}

// Counts is what was decided since the start.
type Counts struct {
	Hits, Misses        int64 // shapes known and not known
	ByReason            [NumReasons]int64
	Reclassified        map[[2]decision.WorkloadID]int64 // declared, treated as
	ChangedFingerprints int64                            // shapes whose behaviour has changed
}

// Classifier is one instance; a single goroutine calls it.
type Classifier struct {
	workloads []*workload
	pairs     [][]pair
	shapes    *fingerprint.Cache
	counts    Counts
}

// New opens an instance for workloads, with so many bytes for shapes.
func New(workloads []decision.Workload, bytes int64) *Classifier {
	c := &Classifier{shapes: fingerprint.NewCache(bytes), counts: Counts{Reclassified: map[[2]decision.WorkloadID]int64{}}}
	for _, w := range workloads {
		c.workloads = append(c.workloads, &workload{Workload: w, pace: 1, threads: float64(max(1, w.Threads))})
		c.pairs = append(c.pairs, make([]pair, len(workloads)))
	}
	return c
}

// Counts returns what was decided so far.
func (c *Classifier) Counts() Counts {
	counts := c.counts
	counts.Hits, counts.Misses = c.shapes.Counts()
	return counts
}

// Look tells what a statement is held to be that arrives now, declared as a workload with estimates of its work on one
// thread and its memory; 0: none. It fills in the sight, for Ended.
func (c *Classifier) Classify(now time.Duration, declared decision.WorkloadID, estimate time.Duration, memoryMB float64,
	s *sqltext.Statement, sight *Observation) Classification {
	d := c.workloads[declared]
	v := Classification{Workload: declared, Writes: s.Writes, Tables: decision.TableGroup(s.PrimaryGroup()), LockedTables: decision.TableGroup(s.LockedGroup())}
	for _, groups := range []*sqltext.Groups{&s.Written, &s.Read} {
		for _, g := range groups.Slice() {
			if t := decision.TableGroup(g); t != v.Tables && !slices.Contains(v.OtherTables, t) {
				v.OtherTables = append(v.OtherTables, t)
			}
		}
	}
	*sight = Observation{shape: s.Fingerprint, declared: declared, built: declared, memoryMB: memoryMB,
		estimate: estimate.Seconds(), claimed: estimate.Seconds() / d.threads}
	if s.Fingerprint != 0 {
		sight.record = c.shapes.Lookup(s.Fingerprint)
	}
	if sight.built = c.byStructure(declared, s); s.Truncated {
		v.Reason, v.Confidence = ReasonTextTooLarge, 0
	} else {
		v.Workload, v.Reason, v.Confidence = c.which(now, declared, sight, s)
	}
	sight.claimed = sight.estimate / c.workloads[v.Workload].threads
	v.Work, v.MemoryMB = c.figures(now, v.Workload, sight)
	sight.as = v.Workload
	c.counts.ByReason[v.Reason]++
	if v.Workload != declared {
		c.counts.Reclassified[[2]decision.WorkloadID{declared, v.Workload}]++
	}
	return v
}

// which decides the workload: first what the text says for certain, then what runs have shown, then how it is built.
func (c *Classifier) which(now time.Duration, declared decision.WorkloadID, sight *Observation,
	s *sqltext.Statement) (decision.WorkloadID, Reason, float64) {
	d, rec := c.workloads[declared], sight.record
	switch {
	case !d.BulkLoad && bulk(s):
		if load, ok := c.onlyLoad(); ok {
			return load, ReasonBulkWrite, 0.99
		}
		return declared, ReasonRunsMatchLabel, 0.5
	case d.BulkLoad && s.Kind == sqltext.Select && !s.Writes && !s.ForUpdate:
		if _, heavy, ok := c.reading(); ok {
			return heavy, ReasonReadOnly, 0.99
		}
		return declared, ReasonUnknownFingerprint, 0.5
	case d.BulkLoad || s.Writes: // loads are what they are, and a small write is as its client says
		return declared, ReasonRunsMatchLabel, 0.9
	}
	told, claimed := c.labelsTell(declared, sight.built), sight.claimed
	if cell := rec.RunTimesOf(int(declared)); cell != nil && cell.Full() && rec.Runs(now) >= fingerprint.RecentRuns/2 {
		if cell.Spread() > mixedSpread {
			return declared, ReasonInconsistentRuns, 0
		}
		median, n := cell.Median(), float64(min(cell.N(), 4*fingerprint.RecentRuns))
		if all := rec.Run.N(); float64(cell.N()) > majority/(majority+1)*all { // nearly all runs were declared so
			median, n = rec.Run.Quantile(0.5), all
		}
		return c.byCost(declared, median, max(median, cell.High()), n, s, ReasonLabelRunsMatchOther, 0, rec)
	}
	if n := rec.Runs(now); n >= wholeRuns {
		if rec.Run.Spread() > mixedSpread {
			return declared, ReasonInconsistentRuns, 0
		}
		if claimed *= math.Exp(c.measure(declared)); rec.Ratio.N() >= fingerprint.RecentRuns { // as claims of this shape came out
			claimed = sight.claimed * math.Exp(rec.Ratio.Quantile(0.5))
		}
		as, reason, sure := c.byCost(declared, rec.Run.Quantile(0.5), rec.Run.Quantile(0.8), n, s, ReasonRunsMatchOther, claimed, rec)
		if as != declared && c.labelsTell(declared, as) {
			return declared, ReasonLabelMoreReliable, 0
		}
		return as, reason, sure
	}
	switch {
	case sight.built == declared:
		return declared, ReasonUnknownFingerprint, 0.5
	case told:
		return declared, ReasonLabelMoreReliable, 0
	}
	p := c.pairs[declared][sight.built]
	if p.refuted >= votesLeast && float64(p.refuted) > refuteShare*float64(p.borneOut) {
		return declared, ReasonLabelMoreReliable, 0
	}
	return sight.built, ReasonTextStructure, float64(p.borneOut+9) / float64(p.borneOut+p.refuted+10)
}

// byCost compares a median run with how the workloads' shapes run. Lighter than declared is only what its own label
// has shown, or what claims to be no heavier: nobody gains by claiming more work. And for that nearly all runs have to be
// light, not half of them.
func (c *Classifier) byCost(declared decision.WorkloadID, median, high, n float64, s *sqltext.Statement, reason Reason,
	claimed float64, rec *fingerprint.Record) (decision.WorkloadID, Reason, float64) {
	mu, sigma, ok := c.runsOf(declared)
	if !ok {
		return declared, ReasonUnknownFingerprint, 0.5
	}
	best, ratio := declared, 0.0
	for i, w := range c.workloads {
		other, spread, ok := c.runsOf(decision.WorkloadID(i))
		if w.BulkLoad || !ok || decision.WorkloadID(i) == declared {
			continue
		}
		at, called := median, labels(rec, i)/labels(rec, int(declared))
		if other < mu && called < majority {
			at = high
		}
		z, o := (at-mu)/sigma, (at-other)/spread
		r := (z*z-o*o)/2 + math.Log(sigma/spread)
		switch {
		case (at-mu)*(other-mu) <= 0: // it lies on the other side of the declared workload
			continue
		case other < mu && reason == ReasonRunsMatchOther && claimed > 0 && math.Log(claimed) > (mu+other)/2:
			continue
		case other > mu && s.KeyEqual > 0 && !s.Grouped && reason == ReasonRunsMatchOther:
			r -= pointDoubt
		}
		if r *= n / (n + doubtRuns); r > 1 { // what most clients call it speaks where the cost does
			r += min(labelMost, max(0, 2*math.Log(called)))
		}
		if r > ratio {
			best, ratio = decision.WorkloadID(i), r
		}
	}
	if sure := 1 / (1 + math.Exp(needed-ratio)); ratio > needed {
		return best, reason, sure
	}
	return declared, ReasonRunsMatchLabel, n / (n + doubtRuns)
}

// labels is how many runs of a shape were declared as a workload, and one.
func labels(rec *fingerprint.Record, workload int) float64 {
	if cell := rec.RunTimesOf(workload); cell != nil {
		return float64(1 + cell.N())
	}
	return 1
}

// runsOf is how the medians of a workload's shapes are spread, once enough is known.
func (c *Classifier) runsOf(id decision.WorkloadID) (mu, sigma float64, ok bool) {
	w := c.workloads[id]
	if w.runs.N() < workloadN {
		return 0, 0, false
	}
	mu, sigma = w.runs.Quantile(0.5), firstSpread
	if w.medians.N() >= medianN {
		mu, sigma = w.medians.Quantile(0.5), max(leastSpread, w.medians.Spread())
	}
	return mu, sigma, true
}

// measure is what runs of a workload are over what is claimed, as a logarithm: engines are slower than claims suppose, and
// that says nothing of any one shape. 0 where claims agree too little to be a measure.
func (c *Classifier) measure(id decision.WorkloadID) float64 {
	if w := c.workloads[id]; w.ratio.N() >= workloadN && w.ratio.Spread() < claimsAgree {
		return w.ratio.Quantile(0.5)
	}
	return 0
}

// usual is how long a statement of a workload runs, in seconds.
func (c *Classifier) usual(id decision.WorkloadID) float64 {
	w := c.workloads[id]
	if w.runs.N() >= workloadN {
		return math.Exp(w.runs.Quantile(0.5))
	}
	return w.LatencyObjective.Seconds() / 4
}

// reading is the lightest and the heaviest of the workloads that are no loads, by how they run or, until that is known,
// by their SLO times; false: there are no two that differ.
func (c *Classifier) reading() (light, heavy decision.WorkloadID, ok bool) {
	light, heavy = -1, -1
	weight := c.usual
	for _, w := range c.workloads {
		if !w.BulkLoad && w.runs.N() < workloadN { // what is known of one is no measure for what is guessed of another
			weight = func(id decision.WorkloadID) float64 { return c.workloads[id].LatencyObjective.Seconds() }
		}
	}
	for i, w := range c.workloads {
		switch id := decision.WorkloadID(i); {
		case w.BulkLoad:
		case light < 0:
			light, heavy = id, id
		case weight(id) < weight(light):
			light = id
		case weight(id) > weight(heavy):
			heavy = id
		}
	}
	return light, heavy, light != heavy
}

func (c *Classifier) onlyLoad() (load decision.WorkloadID, ok bool) {
	for i, w := range c.workloads {
		if w.BulkLoad {
			if ok {
				return 0, false
			}
			load, ok = decision.WorkloadID(i), true
		}
	}
	return load, ok
}

// byStructure is the workload that the text's build speaks for: the heaviest one that reads, or the declared one.
func (c *Classifier) byStructure(declared decision.WorkloadID, s *sqltext.Statement) decision.WorkloadID {
	light, heavy, ok := c.reading()
	if !ok || declared != light || s.Writes || s.Kind != sqltext.Select || score(s) < heavyScore {
		return declared
	}
	return heavy
}

// bulk tells whether a statement writes many rows: from a select, a file or a long list, or with no key that picks them.
func bulk(s *sqltext.Statement) bool {
	switch s.Kind {
	case sqltext.Merge, sqltext.Copy:
		return s.Writes
	case sqltext.Insert:
		return s.Writes && (s.Rows == 0 || s.Rows > bulkRows)
	case sqltext.Update, sqltext.Delete:
		return s.Writes && s.KeyEqual == 0 && s.InLists == 0
	}
	return false
}

// score adds up what makes a select heavy, less what makes it pick few rows.
func score(s *sqltext.Statement) float64 {
	yes := func(b bool, points float64) float64 {
		if b {
			return points
		}
		return 0
	}
	points := yes(s.Grouped && s.Aggregates > 0, 2) + yes(!s.Grouped && s.Aggregates > 0, 1) + yes(s.Windowed, 1.5) +
		0.9*float64(min(s.Joins, 4)) + 0.7*float64(min(s.SetOps, 2)) + 0.5*float64(min(s.Subselects, 3)) +
		0.5*float64(min(s.CTEs, 2)) + 0.5*float64(min(s.Ranges, 2)) + yes(s.Distinct, 0.5) + yes(s.Ordered && !s.Limited, 0.5) -
		3*float64(min(s.KeyEqual, 1)) - yes(s.InLists > 0 && s.InItems < smallLimit, 1)
	points += yes(s.Aggregates > 0 && s.Tables > 0 && s.KeyEqual+s.Ranges+s.InLists == 0, 1.5) // of all rows
	return points - yes(s.Limited && s.Limit > 0 && s.Limit <= smallLimit && !s.Grouped && !s.Windowed, 1.5)
}

// labelsTell: shapes that two labels share run apart, as the labels say; then neither shape nor structure overrules one.
func (c *Classifier) labelsTell(a, b decision.WorkloadID) bool {
	p := c.pairs[a][b]
	return p.apart >= votesLeast && p.apart > p.alike
}

// figures weighs what is known of the run against each other, by how sure each is: the estimate, corrected by how
// estimates of this shape came out; the shape's own median; the workload's. What engines being slow adds for all is
// taken off again. The declared figures stand (0) as long as the result is close to them, or nothing better is known.
func (c *Classifier) figures(now time.Duration, as decision.WorkloadID, sight *Observation) (time.Duration, float64) {
	w, rec := c.workloads[as], sight.record
	n, slow, memory := rec.Runs(now), c.measure(as), c.memory(as, sight)
	sum, weight := 0.0, 0.0
	add := func(log, spread float64) { sum, weight = sum+log/(spread*spread), weight+1/(spread*spread) }
	if w.runs.N() >= workloadN {
		add(w.runs.Quantile(0.5), max(leastSpread, w.runs.Spread()))
	}
	if n >= 2 {
		add(rec.Run.Quantile(0.5), math.Hypot(max(0.1, rec.Run.Spread()), 1/math.Sqrt(n)))
	}
	if sight.claimed > 0 {
		bias, spread := slow, claimSpread
		if rec != nil && rec.Ratio.N() >= fingerprint.RecentRuns {
			bias, spread = rec.Ratio.Quantile(0.5), max(0.05, rec.Ratio.Spread())
		}
		log := math.Log(sight.claimed) + bias
		if n >= wholeRuns { // what claims have shown is held to what runs have: claims do not teach
			log = min(max(log, rec.Run.Quantile(0.1)-1), rec.Run.Quantile(0.9)+1)
		}
		add(log, spread)
	}
	if sight.run = c.usual(as); weight > 0 {
		sight.run = math.Exp(sum / weight)
	}
	run := sight.run * math.Exp(-slow)
	switch sameLabel := as == sight.declared; {
	case sameLabel && n < 2:
		return 0, memory
	case n < 2: // structure alone: the heavier of what is claimed and what is usual
		return seconds(max(sight.claimed, c.usual(as)*math.Exp(-slow)) * w.threads), memory
	case sameLabel && sight.claimed > 0 && (math.Abs(math.Log(run/sight.claimed)) < worthwhile || n < wholeRuns):
		return 0, memory
	}
	return seconds(run * w.threads), memory
}

// memory is what a statement is held to need where that is more than it declares.
func (c *Classifier) memory(as decision.WorkloadID, sight *Observation) float64 {
	need := sight.memoryMB
	if r := sight.record; r != nil && need > 0 && r.Memory.N() >= memoryRuns {
		if factor := math.Exp(r.Memory.Quantile(0.75)); factor > math.Exp(worthwhile) {
			need *= min(factor, memoryMost)
		}
	}
	if as != sight.declared && c.workloads[as].memory.N() >= workloadN {
		need = max(need, math.Exp(c.workloads[as].memory.Quantile(0.5)))
	}
	if need == sight.memoryMB {
		return 0
	}
	return need
}

// Ended hears that an execution has ended after a time. One that did not complete teaches only where it ran longer than
// was expected, that it takes so long at least. missingMB is what the engine told to be missing, 0: nothing.
func (c *Classifier) RecordEnd(now time.Duration, sight *Observation, took time.Duration, completed bool, missingMB float64) {
	if sight.shape == 0 || took <= 0 {
		return
	}
	w := c.workloads[sight.as]
	run := took.Seconds() / w.pace
	if !completed && run < 2*sight.run {
		return
	}
	r := sight.record
	if completed && r != nil && r.Run.N() >= wholeRuns {
		step := paceStep
		if run < math.Exp(r.Run.Quantile(0.5)) {
			step = -paceStep
		}
		w.pace = math.Exp((math.Log(w.pace) + step) * (1 - paceFade))
	}
	if r == nil || r.Run.N() == 0 {
		r = c.shapes.RecordFor(sight.shape)
	}
	if r.AddRun(now, int(sight.declared), run, sight.claimed) {
		c.counts.ChangedFingerprints++
	}
	if completed && sight.memoryMB > 0 {
		r.Memory.Add(math.Log((sight.memoryMB + max(0, missingMB)) / sight.memoryMB))
		w.memory.Add(math.Log(sight.memoryMB + max(0, missingMB)))
	}
	if sight.as == sight.declared {
		if w.runs.Add(math.Log(run)); sight.claimed > 0 {
			w.ratio.Add(math.Log(run / sight.claimed))
		}
	}
	if cell := r.RunTimesOf(int(sight.declared)); cell != nil && cell.Full() && cell.N()%fingerprint.RecentRuns == 0 {
		if times := cell.N() / fingerprint.RecentRuns; times&(times-1) == 0 && sight.as == sight.declared {
			w.medians.Add(cell.Median())
		}
		c.vote(sight, r, cell)
	}
}

// vote counts what a shape that is known by now says of labels and of structure.
func (c *Classifier) vote(sight *Observation, r *fingerprint.Record, cell *fingerprint.RecentRunTimes) {
	d := sight.declared
	if b := sight.built; b != d && cell.N() == fingerprint.RecentRuns { // once a shape
		mine, _, known := c.runsOf(d)
		other, _, otherKnown := c.runsOf(b)
		if known && otherKnown {
			if math.Abs(cell.Median()-other) < math.Abs(cell.Median()-mine) {
				c.pairs[d][b].borneOut++
			} else {
				c.pairs[d][b].refuted++
			}
		}
	}
	for i := range c.workloads {
		o := decision.WorkloadID(i)
		other := r.RunTimesOf(i)
		if o == d || other == nil || !other.Full() || r.LabelCounted {
			continue
		}
		mine, _, known := c.runsOf(d)
		theirs, _, theirsKnown := c.runsOf(o)
		if !known || !theirsKnown {
			continue
		}
		r.LabelCounted = true
		if gap := cell.Median() - other.Median(); math.Abs(gap) > apart && gap*(mine-theirs) > 0 {
			c.pairs[d][o].apart++
			c.pairs[o][d].apart++
		} else {
			c.pairs[d][o].alike++
			c.pairs[o][d].alike++
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 24*3600) * float64(time.Second))
}

package sqltext

// The grammar: what each token means where it stands. All of it is tolerant: a token out of place changes little.

type keyword uint8

const (
	kwNone keyword = iota
	kwSelect
	kwFrom
	kwWhere
	kwJoin
	kwOn
	kwGroup
	kwOrder
	kwHaving
	kwUnion
	kwIn
	kwValues
	kwInto
	kwInsert
	kwUpdate
	kwDelete
	kwMerge
	kwUsing
	kwSet
	kwWith
	kwAs
	kwTop
	kwLimit
	kwFetch
	kwOver
	kwDistinct
	kwFor
	kwBetween
	kwApply
	kwAggregate
	kwCopy
	kwTo
	kwBulk
	kwLoad
	kwTruncate
	kwDDL // CREATE, ALTER, DROP
	kwTable
	kwExec
	kwTemporary
	kwBegin
	kwSkipped // stands before a table's name and is none: IF, EXISTS, ONLY
	kwBars    // before UPDATE or DELETE it makes these no verbs: THEN, DO, KEY, OR, AFTER, OF
	kwPlain   // any other that is no name: AND, OR, NOT, NULL
)

// keywords are the words that mean something, in small letters.
var keywords = map[keyword][]string{
	kwSelect:    {"select"},
	kwFrom:      {"from"},
	kwWhere:     {"where"},
	kwJoin:      {"join"},
	kwOn:        {"on"},
	kwGroup:     {"group"},
	kwOrder:     {"order"},
	kwHaving:    {"having"},
	kwUnion:     {"union", "intersect", "except"},
	kwIn:        {"in"},
	kwValues:    {"values"},
	kwInto:      {"into"},
	kwInsert:    {"insert", "replace"},
	kwUpdate:    {"update"},
	kwDelete:    {"delete"},
	kwMerge:     {"merge"},
	kwUsing:     {"using"},
	kwSet:       {"set"},
	kwWith:      {"with"},
	kwAs:        {"as"},
	kwTop:       {"top"},
	kwLimit:     {"limit"},
	kwFetch:     {"fetch"},
	kwOver:      {"over"},
	kwDistinct:  {"distinct"},
	kwFor:       {"for"},
	kwBetween:   {"between", "like", "ilike"},
	kwApply:     {"apply"},
	kwAggregate: {"count", "sum", "avg", "min", "max", "stddev", "variance", "string_agg", "array_agg", "listagg", "group_concat", "count_big", "percentile_cont", "percentile_disc", "median", "corr"},
	kwCopy:      {"copy"},
	kwTo:        {"to"},
	kwBulk:      {"bulk"},
	kwLoad:      {"load"},
	kwTruncate:  {"truncate"},
	kwDDL:       {"create", "alter", "drop"},
	kwTable:     {"table", "view"},
	kwExec:      {"exec", "execute", "call"},
	kwTemporary: {"temporary", "temp"},
	kwBegin:     {"begin", "explain", "analyze", "else"},
	kwSkipped:   {"if", "exists", "only", "lateral", "ignore", "overwrite", "low_priority"},
	kwBars:      {"then", "do", "key", "or", "after", "of", "instead"},
	kwPlain:     {"and", "not", "null", "is", "case", "when", "end", "by", "left", "right", "inner", "outer", "full", "cross", "partition", "all", "any", "asc", "desc"},
}

// The keywords in an open table by hash, and which lengths there are of each first letter, since most names are none.
var (
	table [1 << tableBits]struct {
		text string
		word keyword
	}
	lengths [256]uint32
)

const tableBits = 9

func hash(b []byte) uint32 {
	n := len(b)
	return (uint32(b[0])*0x9E3779B1 ^ uint32(b[n-1])*0x85EBCA6B ^ uint32(b[n/2])*0xC2B2AE35 ^ uint32(n)*0x27D4EB2F) >> (32 - tableBits)
}

func init() {
	for word, texts := range keywords {
		for _, text := range texts {
			lengths[text[0]] |= 1 << len(text)
			at := hash([]byte(text))
			for table[at].text != "" {
				at = (at + 1) % uint32(len(table))
			}
			table[at].text, table[at].word = text, word
		}
	}
}

// lookup finds a keyword in small letters.
func lookup(b []byte) keyword {
	if len(b) > 31 || lengths[b[0]]&(1<<len(b)) == 0 {
		return kwNone
	}
	for at := hash(b); ; at = (at + 1) % uint32(len(table)) {
		switch t := &table[at]; {
		case t.text == string(b):
			return t.word
		case t.text == "":
			return kwNone
		}
	}
}

func (a *Analyser) level() *level { return &a.levels[min(a.depth, mostLevels-1)] }

// took notes a token that was read.
func (a *Analyser) took(t token) {
	a.before, a.last = a.last, t
	a.tokens++
}

// blank puts one between tokens, but none about a dot.
func (a *Analyser) blank() {
	if len(a.normal) > 0 && a.last != tokDot {
		a.normal = append(a.normal, ' ')
	}
}

func (a *Analyser) operator(c byte) {
	if a.table {
		a.endTable()
	}
	if a.pending = kwNone; !a.negative {
		a.equal = tokNone
	}
	a.blank()
	a.normal = append(a.normal, c)
	a.nameEnd = a.nameAt
	a.took(tokOperator)
}

// sign notes a - or + that belongs to the number behind it: it stands where no operand does.
func (a *Analyser) sign() {
	a.negative = a.last != tokName && a.last != tokLiteral && a.last != tokClose
}

// literal takes any literal or parameter.
func (a *Analyser) literal() {
	if a.table {
		a.endTable()
	}
	l := a.level()
	if a.negative && a.last == tokOperator && len(a.normal) > 0 {
		a.normal = a.normal[:len(a.normal)-1]
		if len(a.normal) > 0 && a.normal[len(a.normal)-1] == ' ' {
			a.normal = a.normal[:len(a.normal)-1]
		}
		a.last = a.before
	}
	a.negative = false
	if a.equal == tokName && a.last == tokOperator {
		a.s.KeyEqual++
	}
	a.equal, a.pending, a.nameEnd, a.limits = tokNone, kwNone, a.nameAt, false
	if l.inList {
		a.s.InItems++
		if a.last == tokComma && a.before == tokLiteral && len(a.normal) > 2 { // a list's further literals are left out
			a.normal = a.normal[:len(a.normal)-2]
			a.last, a.before = tokLiteral, tokOpen
			return
		}
	}
	a.blank()
	a.normal = append(a.normal, '?')
	a.took(tokLiteral)
}

// parameter keeps the protocol's reading of schemas, for which a parameter is a name.
func (a *Analyser) parameter(text []byte) {
	if a.qualifier && !a.chained {
		a.schemaSeen()
	}
	a.qualifier, a.chained = false, false
}

// schemaSeen looks at the name before a dot: the first one with a group counts.
func (a *Analyser) schemaSeen() {
	if g := number(a.normal[a.nameAt:a.nameEnd]); g != NoGroup && !a.first {
		a.first, a.s.FirstSchemaGroup = true, g
	}
}

// name takes a name that was quoted or marked.
func (a *Analyser) name(text []byte, mark byte) {
	a.beforeName()
	if mark != 0 {
		a.normal = append(a.normal, mark)
	}
	at := len(a.normal)
	a.normal = append(a.normal, text...)
	for i, c := range text {
		if f := folded[c]; f != 0 {
			a.normal[at+i] = f
		}
	}
	a.named(at, mark, true)
}

// beforeName looks at the schema before a name.
func (a *Analyser) beforeName() {
	qualified := a.last == tokDot && a.qualifier
	if qualified && !a.chained && !a.first {
		a.schemaSeen()
	}
	a.chained, a.qualifier = qualified, false
	a.blank()
}

// named takes the name or keyword that stands at the end of the normal text.
func (a *Analyser) named(at int, mark byte, quoted bool) {
	a.nameAt, a.nameEnd = at, len(a.normal)
	if a.last == tokDot {
		if a.table {
			a.parts++
			a.schemaAt, a.schEnd, a.partAt, a.partEnd = a.partAt, a.partEnd, at, a.nameEnd
		}
		a.took(tokName)
		return
	}
	if a.table {
		a.endTable()
	}
	if !quoted {
		if w := lookup(a.normal[at:]); w != kwNone && a.keyword(w) {
			a.took(tokWord)
			a.word = w
			return
		}
	}
	if a.pending == kwUpdate || a.pending == kwDelete || a.pending == kwInsert { // UPDATE t, DELETE t FROM, INSERT t
		a.begin(a.pending)
		a.want = wantWrite
	}
	a.pending = kwNone
	if a.want != wantNone {
		a.table, a.tableWrite, a.tableTemp, a.parts, a.want = true, a.want == wantWrite, mark != 0 || a.temporary, 1, wantNone
		a.partAt, a.partEnd = at, a.nameEnd
	}
	if a.equal == tokLiteral && a.last == tokOperator {
		a.s.KeyEqual++
	}
	a.equalled, a.equal = a.equal, tokNone
	a.took(tokName)
}

// endTable counts the table whose name was read.
func (a *Analyser) endTable() {
	a.table = false
	a.s.Tables++
	group := int64(NoGroup)
	if a.parts > 1 {
		group = number(a.normal[a.schemaAt:a.schEnd])
	}
	switch {
	case a.tableWrite && a.tableTemp:
		a.s.Writes = a.wrote
	case a.tableWrite:
		a.s.Writes = true
		if group != NoGroup {
			a.s.Written.add(group)
		}
	case group != NoGroup:
		a.s.Read.add(group)
	}
}

func (a *Analyser) dot() {
	a.qualifier = a.last == tokDot && a.qualifier || a.last == tokName && a.nameEnd > a.nameAt || a.last == tokWord && a.nameEnd > a.nameAt
	a.normal = append(a.normal, '.')
	a.took(tokDot)
}

func (a *Analyser) star() {
	if a.last == tokDot && a.qualifier && !a.chained {
		a.schemaSeen()
	}
	a.operator('*')
	a.last = tokStar
}

func (a *Analyser) comma() {
	if a.table {
		a.endTable()
	}
	l := a.level()
	a.pending, a.equal = kwNone, tokNone
	a.normal = append(a.normal, ' ', ',')
	a.took(tokComma)
	if l.clause == clauseFrom || l.clause == clauseOn {
		a.s.Joins++
		l.clause, a.want = clauseFrom, wantRead
	}
}

func (a *Analyser) open() {
	if a.table {
		a.endTable()
	}
	l := a.level()
	next := level{selected: l.selected}
	switch {
	case a.last == tokWord && a.word == kwIn:
		next.inList = true
		a.s.InLists++
	case a.last == tokWord && a.word == kwAggregate:
		a.s.Aggregates++
	case a.last == tokWord && a.word == kwOver:
		next.over = true
	case a.want == wantRead: // FROM (a JOIN b ...), FROM (SELECT ...)
		next.clause = clauseFrom
	case l.clause.chooses() && a.last != tokName: // WHERE (a = 1 AND ...)
		next.clause = clauseWhere
	case l.clause == clauseValues && !l.inList:
		a.s.Rows++
		if l.rows++; l.rows > 1 && a.last == tokComma { // further rows are left out
			next.drop = int32(len(a.normal) - 2)
		}
	}
	if a.want == wantWrite || a.want == wantRead && next.clause != clauseFrom {
		a.want = wantNone
	}
	limits := a.limits
	a.operator('(')
	a.last, a.limits = tokOpen, limits
	if a.depth++; a.depth < mostLevels {
		a.levels[a.depth] = next
	}
}

func (a *Analyser) close() {
	if a.table {
		a.endTable()
	}
	a.want = wantNone
	drop := int32(0)
	if a.depth > 0 {
		if a.depth < mostLevels {
			drop = a.levels[a.depth].drop
		}
		a.depth--
	}
	a.operator(')')
	a.last = tokClose
	if drop > 0 && int(drop) <= len(a.normal) {
		a.normal = a.normal[:drop]
	}
}

func (a *Analyser) equals(compound bool) {
	left := a.last
	if left == tokWord && (a.word == kwBars || a.word == kwAggregate) { // a column named key or count
		left = tokName
	}
	a.negative = false
	a.operator('=')
	if a.level().clause.chooses() && !compound && (left == tokName || left == tokLiteral) {
		a.equal = left
	}
}

func (a *Analyser) semicolon() {
	a.endStatement()
	a.normal = append(a.normal, ' ', ';')
	a.last, a.before, a.nameEnd = tokNone, tokNone, a.nameAt
}

// endStatement ends one statement of a batch, or the last.
func (a *Analyser) endStatement() {
	if a.table {
		a.endTable()
	}
	if (a.verb == kwUpdate || a.verb == kwDelete) && a.s.Written.n == 0 && a.s.Read.n > 0 && a.s.Writes {
		a.s.Written.add(a.s.Read.at[0]) // the target is an alias of a table in FROM
	}
	if a.tokens > 0 {
		a.s.Statements++
	}
	a.depth, a.levels[0] = 0, level{}
	a.verb, a.pending, a.with, a.want, a.word, a.tokens = kwNone, kwNone, false, wantNone, kwNone, 0
	a.temporary, a.copied, a.equal, a.limits, a.negative = false, false, tokNone, false, false
}

var kinds = [kwPlain + 1]Kind{kwSelect: Select, kwExec: Call, kwDDL: DDL, kwUpdate: Update, kwDelete: Delete, kwTruncate: Delete,
	kwInsert: Insert, kwMerge: Merge, kwCopy: Copy, kwBulk: Copy, kwLoad: Copy}

// begin starts a statement, or a part of one, with its verb.
func (a *Analyser) begin(w keyword) {
	if w != kwSelect || a.verb == kwNone {
		if a.depth == 0 || a.verb == kwNone {
			a.verb = w
		}
	}
	l := a.level()
	l.verb, l.clause, l.inList = true, clauseNone, false
	a.s.Kind = max(a.s.Kind, kinds[w])
	if k := kinds[w]; k >= DDL && k != Copy { // until its table shows to be temporary
		a.wrote, a.s.Writes = a.s.Writes, true
	}
}

// keyword takes a word that may be a keyword where it stands; false: it is a name.
func (a *Analyser) keyword(w keyword) bool {
	l := a.level()
	start := a.tokens == 0 || a.last == tokWord && a.word == kwBegin
	if a.pending != kwNone && w != kwInto && w != kwFrom && w != kwSkipped && w != kwTable && w != kwTop {
		a.pending = kwNone
	}
	switch w {
	case kwSelect:
		if !l.verb && a.depth > 0 && !(a.with && a.depth == 1) {
			l.selected++
			a.s.Subselects++
			a.s.Depth = max(a.s.Depth, l.selected)
		}
		if l.inList {
			a.s.InLists--
		}
		a.with = a.with && a.depth > 0
		a.begin(kwSelect)
		l.clause, a.want = clauseSelect, wantNone
	case kwFrom:
		switch {
		case a.last == tokWord && a.word == kwDistinct: // IS DISTINCT FROM
		case a.pending == kwDelete:
			a.begin(kwDelete)
			l.clause, a.want, a.pending = clauseFrom, wantWrite, kwNone
		case a.copied && a.depth == 0:
			a.copied, a.s.Writes = false, true
			if a.s.Read.n > 0 {
				a.s.Written.add(a.s.Read.at[0])
				a.s.Read = Groups{}
			}
		case a.verb == kwBulk || a.verb == kwCopy && !l.verb: // from a file
		case l.verb || a.depth == 0 && a.verb == kwNone || a.depth >= mostLevels:
			l.clause, a.want = clauseFrom, wantRead
		}
	case kwWhere, kwOn, kwHaving:
		next := clauseWhere
		if w == kwOn && a.verb == kwDDL && l.clause == clauseNone { // CREATE INDEX i ON t
			a.want = wantWrite
			break
		}
		if w == kwOn && l.clause == clauseValues { // ON CONFLICT, ON DUPLICATE KEY
			l.clause = clauseSet
			break
		}
		if w == kwOn {
			next = clauseOn
		}
		l.clause, a.want = next, wantNone
	case kwJoin, kwApply:
		a.s.Joins++
		l.clause, a.want = clauseFrom, wantRead
	case kwGroup:
		if l.verb || a.depth == 0 {
			a.s.Grouped = true
		}
		l.clause = clauseGroup
	case kwOrder:
		if !l.over && (l.verb || a.depth == 0) {
			a.s.Ordered = true
		}
		l.clause = clauseOrder
	case kwUnion:
		a.s.SetOps++
		l.clause, a.want = clauseNone, wantNone
	case kwValues:
		l.clause, l.rows, a.want = clauseValues, 0, wantNone
	case kwInto:
		switch {
		case a.pending == kwInsert:
			a.begin(kwInsert)
			a.want = wantWrite
		case a.verb == kwMerge && a.s.Tables == 0 || a.verb == kwCopy || a.verb == kwLoad:
			a.want = wantWrite
		case l.clause == clauseSelect: // SELECT ... INTO a table
			a.want, a.wrote, a.s.Writes = wantWrite, a.s.Writes, true
			a.s.Kind = max(a.s.Kind, Insert)
		}
		a.pending = kwNone
	case kwInsert, kwUpdate, kwDelete:
		if a.last == tokWord && (a.word == kwBars || a.word == kwFor || a.word == kwOn) {
			if a.word == kwFor && w == kwUpdate {
				a.s.ForUpdate = true
			}
			break
		}
		if a.last == tokDot || w == kwInsert && a.last == tokOperator {
			return false
		}
		if a.verb == kwBulk && w == kwInsert {
			a.want = wantWrite
			break
		}
		a.with = a.with && a.depth > 0
		a.pending = w
	case kwMerge:
		if !start && a.last != tokClose && a.depth == 0 && a.verb != kwNone {
			return false
		}
		a.with = false
		a.begin(kwMerge)
		a.want = wantWrite
	case kwUsing:
		if a.verb == kwMerge || a.verb == kwDelete {
			a.want, l.clause = wantRead, clauseNone
		}
	case kwSet:
		if l.clause != clauseWhere || a.verb == kwUpdate {
			l.clause = clauseSet
		}
		a.want = wantNone
	case kwWith:
		if start || a.last == tokOpen {
			a.with = a.depth == 0
		}
	case kwAs:
		if a.with && a.depth == 0 {
			a.s.CTEs++
		}
		if a.verb == kwDDL {
			l.clause = clauseNone
		}
		a.want = wantNone
	case kwTop, kwLimit, kwFetch:
		if w == kwTop && l.clause != clauseSelect && a.pending == kwNone {
			return false
		}
		if a.pending != kwNone { // UPDATE TOP (n)
			a.begin(a.pending)
			a.pending = kwNone
		}
		a.s.Limited, a.limits = true, true
	case kwOver:
		a.s.Windowed = true
	case kwDistinct:
		if l.clause == clauseSelect {
			a.s.Distinct = true
		}
	case kwBetween:
		if l.clause.chooses() {
			a.s.Ranges++
		}
	case kwCopy, kwBulk, kwLoad, kwTruncate, kwDDL, kwExec:
		if !start {
			return false
		}
		a.begin(w)
		switch w {
		case kwCopy:
			a.want, a.copied = wantRead, true
			l.verb = false
		case kwTruncate:
			a.want = wantWrite
		}
	case kwTo:
		a.copied = false
	case kwTable:
		switch {
		case a.want != wantNone: // TRUNCATE TABLE, INSERT INTO TABLE
		case a.verb == kwDDL || a.verb == kwLoad:
			a.want = wantWrite
		default:
			return false
		}
	case kwTemporary:
		if a.verb != kwDDL && !(a.want == wantWrite && a.verb == kwSelect) {
			return false
		}
		a.temporary, a.s.Writes = true, a.wrote
	case kwAggregate, kwIn, kwFor, kwPlain, kwBegin, kwBars, kwSkipped:
		if a.want != wantNone && w != kwSkipped && w != kwPlain {
			return false // a table of that name
		}
	}
	return true
}

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
	kwBeforeTable // stands before a table's name and is none: IF, EXISTS, ONLY
	kwNoVerbNext  // before UPDATE or DELETE it makes these no verbs: THEN, DO, KEY, OR, AFTER, OF
	kwPlain       // any other that is no name: AND, OR, NOT, NULL
)

// keywords are the words that mean something, in small letters.
var keywordTexts = map[keyword][]string{
	kwSelect:      {"select"},
	kwFrom:        {"from"},
	kwWhere:       {"where"},
	kwJoin:        {"join"},
	kwOn:          {"on"},
	kwGroup:       {"group"},
	kwOrder:       {"order"},
	kwHaving:      {"having"},
	kwUnion:       {"union", "intersect", "except"},
	kwIn:          {"in"},
	kwValues:      {"values"},
	kwInto:        {"into"},
	kwInsert:      {"insert", "replace"},
	kwUpdate:      {"update"},
	kwDelete:      {"delete"},
	kwMerge:       {"merge"},
	kwUsing:       {"using"},
	kwSet:         {"set"},
	kwWith:        {"with"},
	kwAs:          {"as"},
	kwTop:         {"top"},
	kwLimit:       {"limit"},
	kwFetch:       {"fetch"},
	kwOver:        {"over"},
	kwDistinct:    {"distinct"},
	kwFor:         {"for"},
	kwBetween:     {"between", "like", "ilike"},
	kwApply:       {"apply"},
	kwAggregate:   {"count", "sum", "avg", "min", "max", "stddev", "variance", "string_agg", "array_agg", "listagg", "group_concat", "count_big", "percentile_cont", "percentile_disc", "median", "corr"},
	kwCopy:        {"copy"},
	kwTo:          {"to"},
	kwBulk:        {"bulk"},
	kwLoad:        {"load"},
	kwTruncate:    {"truncate"},
	kwDDL:         {"create", "alter", "drop"},
	kwTable:       {"table", "view"},
	kwExec:        {"exec", "execute", "call"},
	kwTemporary:   {"temporary", "temp"},
	kwBegin:       {"begin", "explain", "analyze", "else"},
	kwBeforeTable: {"if", "exists", "only", "lateral", "ignore", "overwrite", "low_priority"},
	kwNoVerbNext:  {"then", "do", "key", "or", "after", "of", "instead"},
	kwPlain:       {"and", "not", "null", "is", "case", "when", "end", "by", "left", "right", "inner", "outer", "full", "cross", "partition", "all", "any", "asc", "desc"},
}

// The keywords in an open table by hash, and which lengths there are of each first letter, since most names are none.
var (
	keywordTable [1 << keywordTableBits]struct {
		text string
		word keyword
	}
	keywordLengths [256]uint32
)

const keywordTableBits = 9

func keywordHash(b []byte) uint32 {
	n := len(b)
	return (uint32(b[0])*0x9E3779B1 ^ uint32(b[n-1])*0x85EBCA6B ^ uint32(b[n/2])*0xC2B2AE35 ^ uint32(n)*0x27D4EB2F) >> (32 - keywordTableBits)
}

func init() {
	for word, texts := range keywordTexts {
		for _, text := range texts {
			keywordLengths[text[0]] |= 1 << len(text)
			at := keywordHash([]byte(text))
			for keywordTable[at].text != "" {
				at = (at + 1) % uint32(len(keywordTable))
			}
			keywordTable[at].text, keywordTable[at].word = text, word
		}
	}
}

// lookup finds a keyword in small letters.
func lookUpKeyword(b []byte) keyword {
	if len(b) > 31 || keywordLengths[b[0]]&(1<<len(b)) == 0 {
		return kwNone
	}
	for at := keywordHash(b); ; at = (at + 1) % uint32(len(keywordTable)) {
		switch t := &keywordTable[at]; {
		case t.text == string(b):
			return t.word
		case t.text == "":
			return kwNone
		}
	}
}

func (a *Analyser) bracket() *bracket { return &a.brackets[min(a.depth, maxBrackets-1)] }

// took notes a token that was read.
func (a *Analyser) addToken(t token) {
	a.previous, a.last = a.last, t
	a.tokenCount++
}

// blank puts one between tokens, but none about a dot.
func (a *Analyser) addBlank() {
	if len(a.normalized) > 0 && a.last != tokenDot {
		a.normalized = append(a.normalized, ' ')
	}
}

func (a *Analyser) addOperator(c byte) {
	if a.inTableName {
		a.endTable()
	}
	if a.pendingVerb = kwNone; !a.signBefore {
		a.leftOfEqual = tokenNone
	}
	a.addBlank()
	a.normalized = append(a.normalized, c)
	a.nameEnd = a.nameStart
	a.addToken(tokenOperator)
}

// sign notes a - or + that belongs to the number behind it: it stands where no operand does.
func (a *Analyser) noteSign() {
	a.signBefore = a.last != tokenName && a.last != tokenLiteral && a.last != tokenClose
}

// literal takes any literal or parameter.
func (a *Analyser) addLiteral() {
	if a.inTableName {
		a.endTable()
	}
	l := a.bracket()
	if a.signBefore && a.last == tokenOperator && len(a.normalized) > 0 {
		a.normalized = a.normalized[:len(a.normalized)-1]
		if len(a.normalized) > 0 && a.normalized[len(a.normalized)-1] == ' ' {
			a.normalized = a.normalized[:len(a.normalized)-1]
		}
		a.last = a.previous
	}
	a.signBefore = false
	if a.leftOfEqual == tokenName && a.last == tokenOperator {
		a.result.KeyEqual++
	}
	a.leftOfEqual, a.pendingVerb, a.nameEnd, a.limitExpected = tokenNone, kwNone, a.nameStart, false
	if l.inList {
		a.result.InItems++
		if a.last == tokenComma && a.previous == tokenLiteral && len(a.normalized) > 2 { // a list's further literals are left out
			a.normalized = a.normalized[:len(a.normalized)-2]
			a.last, a.previous = tokenLiteral, tokenOpen
			return
		}
	}
	a.addBlank()
	a.normalized = append(a.normalized, '?')
	a.addToken(tokenLiteral)
}

// parameter keeps the protocol's reading of schemas, for which a parameter is a name.
func (a *Analyser) addParameter(text []byte) {
	if a.isQualifier && !a.isQualified {
		a.noteSchema()
	}
	a.isQualifier, a.isQualified = false, false
}

// schemaSeen looks at the name before a dot: the first one with a group counts.
func (a *Analyser) noteSchema() {
	if g := groupOfSchema(a.normalized[a.nameStart:a.nameEnd]); g != NoGroup && !a.schemaGroupFound {
		a.schemaGroupFound, a.result.FirstSchemaGroup = true, g
	}
}

// name takes a name that was quoted or marked.
func (a *Analyser) addQuotedName(text []byte, mark byte) {
	a.startName()
	if mark != 0 {
		a.normalized = append(a.normalized, mark)
	}
	at := len(a.normalized)
	a.normalized = append(a.normalized, text...)
	for i, c := range text {
		if f := foldedNameByte[c]; f != 0 {
			a.normalized[at+i] = f
		}
	}
	a.endName(at, mark, true)
}

// beforeName looks at the schema before a name.
func (a *Analyser) startName() {
	qualified := a.last == tokenDot && a.isQualifier
	if qualified && !a.isQualified && !a.schemaGroupFound {
		a.noteSchema()
	}
	a.isQualified, a.isQualifier = qualified, false
	a.addBlank()
}

// named takes the name or keyword that stands at the end of the normal text.
func (a *Analyser) endName(at int, mark byte, quoted bool) {
	a.nameStart, a.nameEnd = at, len(a.normalized)
	if a.last == tokenDot {
		if a.inTableName {
			a.tableParts++
			a.schemaStart, a.schemaEnd, a.partStart, a.partEnd = a.partStart, a.partEnd, at, a.nameEnd
		}
		a.addToken(tokenName)
		return
	}
	if a.inTableName {
		a.endTable()
	}
	if !quoted {
		if w := lookUpKeyword(a.normalized[at:]); w != kwNone && a.applyKeyword(w) {
			a.addToken(tokenKeyword)
			a.lastKeyword = w
			return
		}
	}
	if a.pendingVerb == kwUpdate || a.pendingVerb == kwDelete || a.pendingVerb == kwInsert { // UPDATE t, DELETE t FROM, INSERT t
		a.startVerb(a.pendingVerb)
		a.tableUse = useWrite
	}
	a.pendingVerb = kwNone
	if a.tableUse != useNone {
		a.inTableName, a.tableIsWritten, a.tableIsTemporary, a.tableParts, a.tableUse = true, a.tableUse == useWrite, mark != 0 || a.temporary, 1, useNone
		a.partStart, a.partEnd = at, a.nameEnd
	}
	if a.leftOfEqual == tokenLiteral && a.last == tokenOperator {
		a.result.KeyEqual++
	}
	a.previousLeftOfEqual, a.leftOfEqual = a.leftOfEqual, tokenNone
	a.addToken(tokenName)
}

// endTable counts the table whose name was read.
func (a *Analyser) endTable() {
	a.inTableName = false
	a.result.Tables++
	group := int64(NoGroup)
	if a.tableParts > 1 {
		group = groupOfSchema(a.normalized[a.schemaStart:a.schemaEnd])
	}
	switch {
	case a.tableIsWritten && a.tableIsTemporary:
		a.result.Writes = a.wroteBeforeVerb
	case a.tableIsWritten:
		a.result.Writes = true
		if group != NoGroup {
			a.result.Written.add(group)
		}
	case group != NoGroup:
		a.result.Read.add(group)
	}
}

func (a *Analyser) addDot() {
	a.isQualifier = a.last == tokenDot && a.isQualifier || a.last == tokenName && a.nameEnd > a.nameStart || a.last == tokenKeyword && a.nameEnd > a.nameStart
	a.normalized = append(a.normalized, '.')
	a.addToken(tokenDot)
}

func (a *Analyser) addStar() {
	if a.last == tokenDot && a.isQualifier && !a.isQualified {
		a.noteSchema()
	}
	a.addOperator('*')
	a.last = tokenStar
}

func (a *Analyser) addComma() {
	if a.inTableName {
		a.endTable()
	}
	l := a.bracket()
	a.pendingVerb, a.leftOfEqual = kwNone, tokenNone
	a.normalized = append(a.normalized, ' ', ',')
	a.addToken(tokenComma)
	if l.clause == clauseFrom || l.clause == clauseOn {
		a.result.Joins++
		l.clause, a.tableUse = clauseFrom, useRead
	}
}

func (a *Analyser) openBracket() {
	if a.inTableName {
		a.endTable()
	}
	l := a.bracket()
	next := bracket{subselectDepth: l.subselectDepth}
	switch {
	case a.last == tokenKeyword && a.lastKeyword == kwIn:
		next.inList = true
		a.result.InLists++
	case a.last == tokenKeyword && a.lastKeyword == kwAggregate:
		a.result.Aggregates++
	case a.last == tokenKeyword && a.lastKeyword == kwOver:
		next.isWindow = true
	case a.tableUse == useRead: // FROM (a JOIN b ...), FROM (SELECT ...)
		next.clause = clauseFrom
	case l.clause.choosesRows() && a.last != tokenName: // WHERE (a = 1 AND ...)
		next.clause = clauseWhere
	case l.clause == clauseValues && !l.inList:
		a.result.Rows++
		if l.valueRows++; l.valueRows > 1 && a.last == tokenComma { // further rows are left out
			next.truncateAt = int32(len(a.normalized) - 2)
		}
	}
	if a.tableUse == useWrite || a.tableUse == useRead && next.clause != clauseFrom {
		a.tableUse = useNone
	}
	limits := a.limitExpected
	a.addOperator('(')
	a.last, a.limitExpected = tokenOpen, limits
	if a.depth++; a.depth < maxBrackets {
		a.brackets[a.depth] = next
	}
}

func (a *Analyser) closeBracket() {
	if a.inTableName {
		a.endTable()
	}
	a.tableUse = useNone
	drop := int32(0)
	if a.depth > 0 {
		if a.depth < maxBrackets {
			drop = a.brackets[a.depth].truncateAt
		}
		a.depth--
	}
	a.addOperator(')')
	a.last = tokenClose
	if drop > 0 && int(drop) <= len(a.normalized) {
		a.normalized = a.normalized[:drop]
	}
}

func (a *Analyser) addEqual(compound bool) {
	left := a.last
	if left == tokenKeyword && (a.lastKeyword == kwNoVerbNext || a.lastKeyword == kwAggregate) { // a column named key or count
		left = tokenName
	}
	a.signBefore = false
	a.addOperator('=')
	if a.bracket().clause.choosesRows() && !compound && (left == tokenName || left == tokenLiteral) {
		a.leftOfEqual = left
	}
}

func (a *Analyser) addSemicolon() {
	a.endStatement()
	a.normalized = append(a.normalized, ' ', ';')
	a.last, a.previous, a.nameEnd = tokenNone, tokenNone, a.nameStart
}

// endStatement ends one statement of a batch, or the last.
func (a *Analyser) endStatement() {
	if a.inTableName {
		a.endTable()
	}
	if (a.verb == kwUpdate || a.verb == kwDelete) && a.result.Written.count == 0 && a.result.Read.count > 0 && a.result.Writes {
		a.result.Written.add(a.result.Read.groups[0]) // the target is an alias of a table in FROM
	}
	if a.tokenCount > 0 {
		a.result.Statements++
	}
	a.depth, a.brackets[0] = 0, bracket{}
	a.verb, a.pendingVerb, a.inCTEs, a.tableUse, a.lastKeyword, a.tokenCount = kwNone, kwNone, false, useNone, kwNone, 0
	a.temporary, a.copyMayWrite, a.leftOfEqual, a.limitExpected, a.signBefore = false, false, tokenNone, false, false
}

var kindOfVerb = [kwPlain + 1]Kind{kwSelect: Select, kwExec: Call, kwDDL: DDL, kwUpdate: Update, kwDelete: Delete, kwTruncate: Delete,
	kwInsert: Insert, kwMerge: Merge, kwCopy: Copy, kwBulk: Copy, kwLoad: Copy}

// begin starts a statement, or a part of one, with its verb.
func (a *Analyser) startVerb(w keyword) {
	if w != kwSelect || a.verb == kwNone {
		if a.depth == 0 || a.verb == kwNone {
			a.verb = w
		}
	}
	l := a.bracket()
	l.hasVerb, l.clause, l.inList = true, clauseNone, false
	a.result.Kind = max(a.result.Kind, kindOfVerb[w])
	if k := kindOfVerb[w]; k >= DDL && k != Copy { // until its table shows to be temporary
		a.wroteBeforeVerb, a.result.Writes = a.result.Writes, true
	}
}

// keyword takes a word that may be a keyword where it stands; false: it is a name.
func (a *Analyser) applyKeyword(w keyword) bool {
	l := a.bracket()
	start := a.tokenCount == 0 || a.last == tokenKeyword && a.lastKeyword == kwBegin
	if a.pendingVerb != kwNone && w != kwInto && w != kwFrom && w != kwBeforeTable && w != kwTable && w != kwTop {
		a.pendingVerb = kwNone
	}
	switch w {
	case kwSelect:
		if !l.hasVerb && a.depth > 0 && !(a.inCTEs && a.depth == 1) {
			l.subselectDepth++
			a.result.Subselects++
			a.result.Depth = max(a.result.Depth, l.subselectDepth)
		}
		if l.inList {
			a.result.InLists--
		}
		a.inCTEs = a.inCTEs && a.depth > 0
		a.startVerb(kwSelect)
		l.clause, a.tableUse = clauseSelect, useNone
	case kwFrom:
		switch {
		case a.last == tokenKeyword && a.lastKeyword == kwDistinct: // IS DISTINCT FROM
		case a.pendingVerb == kwDelete:
			a.startVerb(kwDelete)
			l.clause, a.tableUse, a.pendingVerb = clauseFrom, useWrite, kwNone
		case a.copyMayWrite && a.depth == 0:
			a.copyMayWrite, a.result.Writes = false, true
			if a.result.Read.count > 0 {
				a.result.Written.add(a.result.Read.groups[0])
				a.result.Read = Groups{}
			}
		case a.verb == kwBulk || a.verb == kwCopy && !l.hasVerb: // from a file
		case l.hasVerb || a.depth == 0 && a.verb == kwNone || a.depth >= maxBrackets:
			l.clause, a.tableUse = clauseFrom, useRead
		}
	case kwWhere, kwOn, kwHaving:
		next := clauseWhere
		if w == kwOn && a.verb == kwDDL && l.clause == clauseNone { // CREATE INDEX i ON t
			a.tableUse = useWrite
			break
		}
		if w == kwOn && l.clause == clauseValues { // ON CONFLICT, ON DUPLICATE KEY
			l.clause = clauseSet
			break
		}
		if w == kwOn {
			next = clauseOn
		}
		l.clause, a.tableUse = next, useNone
	case kwJoin, kwApply:
		a.result.Joins++
		l.clause, a.tableUse = clauseFrom, useRead
	case kwGroup:
		if l.hasVerb || a.depth == 0 {
			a.result.Grouped = true
		}
		l.clause = clauseGroup
	case kwOrder:
		if !l.isWindow && (l.hasVerb || a.depth == 0) {
			a.result.Ordered = true
		}
		l.clause = clauseOrder
	case kwUnion:
		a.result.SetOps++
		l.clause, a.tableUse = clauseNone, useNone
	case kwValues:
		l.clause, l.valueRows, a.tableUse = clauseValues, 0, useNone
	case kwInto:
		switch {
		case a.pendingVerb == kwInsert:
			a.startVerb(kwInsert)
			a.tableUse = useWrite
		case a.verb == kwMerge && a.result.Tables == 0 || a.verb == kwCopy || a.verb == kwLoad:
			a.tableUse = useWrite
		case l.clause == clauseSelect: // SELECT ... INTO a table
			a.tableUse, a.wroteBeforeVerb, a.result.Writes = useWrite, a.result.Writes, true
			a.result.Kind = max(a.result.Kind, Insert)
		}
		a.pendingVerb = kwNone
	case kwInsert, kwUpdate, kwDelete:
		if a.last == tokenKeyword && (a.lastKeyword == kwNoVerbNext || a.lastKeyword == kwFor || a.lastKeyword == kwOn) {
			if a.lastKeyword == kwFor && w == kwUpdate {
				a.result.ForUpdate = true
			}
			break
		}
		if a.last == tokenDot || w == kwInsert && a.last == tokenOperator {
			return false
		}
		if a.verb == kwBulk && w == kwInsert {
			a.tableUse = useWrite
			break
		}
		a.inCTEs = a.inCTEs && a.depth > 0
		a.pendingVerb = w
	case kwMerge:
		if !start && a.last != tokenClose && a.depth == 0 && a.verb != kwNone {
			return false
		}
		a.inCTEs = false
		a.startVerb(kwMerge)
		a.tableUse = useWrite
	case kwUsing:
		if a.verb == kwMerge || a.verb == kwDelete {
			a.tableUse, l.clause = useRead, clauseNone
		}
	case kwSet:
		if l.clause != clauseWhere || a.verb == kwUpdate {
			l.clause = clauseSet
		}
		a.tableUse = useNone
	case kwWith:
		if start || a.last == tokenOpen {
			a.inCTEs = a.depth == 0
		}
	case kwAs:
		if a.inCTEs && a.depth == 0 {
			a.result.CTEs++
		}
		if a.verb == kwDDL {
			l.clause = clauseNone
		}
		a.tableUse = useNone
	case kwTop, kwLimit, kwFetch:
		if w == kwTop && l.clause != clauseSelect && a.pendingVerb == kwNone {
			return false
		}
		if a.pendingVerb != kwNone { // UPDATE TOP (n)
			a.startVerb(a.pendingVerb)
			a.pendingVerb = kwNone
		}
		a.result.Limited, a.limitExpected = true, true
	case kwOver:
		a.result.Windowed = true
	case kwDistinct:
		if l.clause == clauseSelect {
			a.result.Distinct = true
		}
	case kwBetween:
		if l.clause.choosesRows() {
			a.result.Ranges++
		}
	case kwCopy, kwBulk, kwLoad, kwTruncate, kwDDL, kwExec:
		if !start {
			return false
		}
		a.startVerb(w)
		switch w {
		case kwCopy:
			a.tableUse, a.copyMayWrite = useRead, true
			l.hasVerb = false
		case kwTruncate:
			a.tableUse = useWrite
		}
	case kwTo:
		a.copyMayWrite = false
	case kwTable:
		switch {
		case a.tableUse != useNone: // TRUNCATE TABLE, INSERT INTO TABLE
		case a.verb == kwDDL || a.verb == kwLoad:
			a.tableUse = useWrite
		default:
			return false
		}
	case kwTemporary:
		if a.verb != kwDDL && !(a.tableUse == useWrite && a.verb == kwSelect) {
			return false
		}
		a.temporary, a.result.Writes = true, a.wroteBeforeVerb
	case kwAggregate, kwIn, kwFor, kwPlain, kwBegin, kwNoVerbNext, kwBeforeTable:
		if a.tableUse != useNone && w != kwBeforeTable && w != kwPlain {
			return false // a table of that name
		}
	}
	return true
}

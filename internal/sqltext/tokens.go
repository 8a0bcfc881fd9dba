package sqltext

import "bytes"

// The methods here add one token to the normalized text and interpret it where it stands.

func (a *Analyser) addToken(t token) {
	a.previous = a.last
	a.last = t
	a.tokenCount++
}

// addBlank separates tokens, but not around a dot.
func (a *Analyser) addBlank() {
	if len(a.normalized) > 0 && a.last != tokenDot {
		a.normalized = append(a.normalized, ' ')
	}
}

func (a *Analyser) addOperator(c byte) {
	a.endTableName()
	a.pendingVerb = kwNone
	if !a.signBefore {
		a.leftOfEqual = tokenNone
	}
	a.addBlank()
	a.normalized = append(a.normalized, c)
	a.nameEnd = a.nameStart
	a.addToken(tokenOperator)
}

// addOtherOperator adds an operator that needs no interpretation, a sign, or a parameter ?.
func (a *Analyser) addOtherOperator(c byte) {
	a.signBefore = false
	switch c {
	case '+':
		a.noteSign()
		a.addOperator(c)
	case '?':
		a.addLiteral()
	default:
		a.addOperator(c)
	}
}

// addLess adds < or >, the first of which may begin <>.
func (a *Analyser) addLess(c byte, beforeGreater bool) {
	isUnequal := c == '<' && beforeGreater
	if a.bracket().clause.choosesRows() && a.last != tokenOperator && !isUnequal {
		a.result.Ranges++
	}
	a.addOperator(c)
}

// noteSign records whether a - or + is the sign of the number behind it: it is if no operand precedes it.
func (a *Analyser) noteSign() {
	a.signBefore = a.last != tokenName && a.last != tokenLiteral && a.last != tokenClose
}

// addLiteral adds any literal or parameter.
func (a *Analyser) addLiteral() {
	a.endTableName()
	a.takeBackSign()
	if a.leftOfEqual == tokenName && a.last == tokenOperator {
		a.result.KeyEqual++
	}
	a.leftOfEqual = tokenNone
	a.pendingVerb = kwNone
	a.nameEnd = a.nameStart
	a.limitExpected = false
	if a.bracket().inList {
		a.result.InItems++
		isFurther := a.last == tokenComma && a.previous == tokenLiteral && len(a.normalized) > len(" ,")
		if isFurther { // a list's literals count as one
			a.normalized = a.normalized[:len(a.normalized)-len(" ,")]
			a.last = tokenLiteral
			a.previous = tokenOpen
			return
		}
	}
	a.addBlank()
	a.normalized = append(a.normalized, '?')
	a.addToken(tokenLiteral)
}

// takeBackSign removes the sign of the number that follows from the normalized text.
func (a *Analyser) takeBackSign() {
	if a.signBefore && a.last == tokenOperator && len(a.normalized) > 0 {
		a.normalized = a.normalized[:len(a.normalized)-1]
		a.normalized = bytes.TrimSuffix(a.normalized, []byte(" "))
		a.last = a.previous
	}
	a.signBefore = false
}

// addParameter adds a literal. It follows the protocol's reading of schemas, for which a parameter is a name; the literal clears the name
// before it, which may be a schema's.
func (a *Analyser) addParameter() {
	if a.isQualifier && !a.isQualified {
		a.noteSchema()
	}
	if a.last == tokenDot && a.inTableName { // the table itself is named by the parameter
		a.tableComponents++
		a.schemaStart = a.componentStart
		a.schemaEnd = a.componentEnd
	}
	a.addLiteral()
	a.isQualifier = false
	a.isQualified = false
}

// noteSchema records the table group of the name before a dot, if it is the first schema with a group.
func (a *Analyser) noteSchema() {
	group := groupOfSchema(a.normalized[a.nameStart:a.nameEnd])
	if group != NoGroup && !a.schemaGroupFound {
		a.schemaGroupFound = true
		a.result.FirstSchemaGroup = group
	}
}

// addQuotedName adds a name that was quoted, or that stood behind a mark (0: none).
func (a *Analyser) addQuotedName(text []byte, mark byte) {
	a.startName()
	if mark != 0 {
		a.normalized = append(a.normalized, mark)
	}
	start := len(a.normalized)
	a.normalized = append(a.normalized, text...)
	for i, c := range text {
		if folded := foldedNameByte[c]; folded != 0 {
			a.normalized[start+i] = folded
		}
	}
	a.endName(start, mark, true)
}

// startName interprets the schema before a name.
func (a *Analyser) startName() {
	isQualified := a.last == tokenDot && a.isQualifier
	if isQualified && !a.isQualified && !a.schemaGroupFound {
		a.noteSchema()
	}
	a.isQualified = isQualified
	a.isQualifier = false
	a.addBlank()
}

// endName interprets the name or keyword that begins at a position of the normalized text and ends with it.
func (a *Analyser) endName(start int, mark byte, quoted bool) {
	a.nameStart = start
	a.nameEnd = len(a.normalized)
	if a.last == tokenDot {
		a.addNameComponent()
		return
	}
	a.endTableName()
	if !quoted {
		word := lookUpKeyword(a.normalized[start:])
		if word != kwNone && a.applyKeyword(word) {
			a.addToken(tokenKeyword)
			a.lastKeyword = word
			return
		}
	}
	if a.pendingVerb == kwUpdate || a.pendingVerb == kwDelete || a.pendingVerb == kwInsert { // UPDATE t, DELETE t FROM, INSERT t
		a.startVerb(a.pendingVerb)
		a.tableUse = useWrite
	}
	a.pendingVerb = kwNone
	if a.tableUse != useNone {
		a.startTableName(mark)
	}
	if a.leftOfEqual == tokenLiteral && a.last == tokenOperator {
		a.result.KeyEqual++
	}
	a.previousLeftOfEqual = a.leftOfEqual
	a.leftOfEqual = tokenNone
	a.addToken(tokenName)
}

// addNameComponent adds a name behind a dot.
func (a *Analyser) addNameComponent() {
	if a.inTableName {
		a.tableComponents++
		a.schemaStart = a.componentStart
		a.schemaEnd = a.componentEnd
		a.componentStart = a.nameStart
		a.componentEnd = a.nameEnd
	}
	a.addToken(tokenName)
}

// startTableName records the last name as the first component of a table's name.
func (a *Analyser) startTableName(mark byte) {
	a.inTableName = true
	a.tableIsWritten = a.tableUse == useWrite
	a.tableIsTemporary = mark != 0 || a.temporary
	a.tableComponents = 1
	a.tableUse = useNone
	a.componentStart = a.nameStart
	a.componentEnd = a.nameEnd
}

// endTableName counts the table whose name was being read, if there is one.
func (a *Analyser) endTableName() {
	if a.inTableName {
		a.countTable()
	}
}

func (a *Analyser) countTable() {
	a.inTableName = false
	a.result.Tables++
	group := int64(NoGroup)
	if a.tableComponents > 1 {
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

// groupOfSchema returns the number behind the last underscore of a schema's name in lower case; NoGroup if there is none
// or it exceeds an int64. The staging schema has no group.
func groupOfSchema(schema []byte) int64 {
	const (
		maxInt64  = 1<<63 - 1
		safeBound = (maxInt64 - 9) / 10 // up to it, any digit can be added
	)
	underscore := bytes.LastIndexByte(schema, '_')
	if underscore <= 0 || string(schema[:underscore]) == "staging" || underscore == len(schema)-1 {
		return NoGroup
	}
	group := int64(0)
	for _, c := range schema[underscore+1:] {
		if !isDigit(c) {
			return NoGroup
		}
		digit := int64(c - '0')
		if group > safeBound && (group > maxInt64/10 || group*10 > maxInt64-digit) {
			return NoGroup
		}
		group = group*10 + digit
	}
	return group
}

func (a *Analyser) addDot() {
	behindName := (a.last == tokenName || a.last == tokenKeyword) && a.nameEnd > a.nameStart
	a.isQualifier = behindName || a.last == tokenDot && a.isQualifier
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
	a.endTableName()
	a.pendingVerb = kwNone
	a.leftOfEqual = tokenNone
	a.normalized = append(a.normalized, " ,"...)
	a.addToken(tokenComma)
	enclosing := a.bracket()
	if enclosing.clause == clauseFrom || enclosing.clause == clauseOn {
		a.result.Joins++
		a.expectTableToRead()
	}
}

func (a *Analyser) openBracket() {
	a.endTableName()
	opened := a.interpretBracket()
	if a.tableUse == useWrite || a.tableUse == useRead && opened.clause != clauseFrom {
		a.tableUse = useNone
	}
	limitExpected := a.limitExpected
	a.addOperator('(')
	a.last = tokenOpen
	a.limitExpected = limitExpected
	a.depth++
	if a.depth < maxBrackets {
		a.brackets[a.depth] = opened
	}
}

// interpretBracket returns the state of a bracket that opens here.
func (a *Analyser) interpretBracket() bracket {
	enclosing := a.bracket()
	opened := bracket{subselectDepth: enclosing.subselectDepth}
	behindKeyword := a.last == tokenKeyword
	switch {
	case behindKeyword && a.lastKeyword == kwIn:
		opened.inList = true
		a.result.InLists++
	case behindKeyword && a.lastKeyword == kwAggregate:
		a.result.Aggregates++
	case behindKeyword && a.lastKeyword == kwOver:
		opened.isWindow = true
	case a.tableUse == useRead: // FROM (a JOIN b ...), FROM (SELECT ...)
		opened.clause = clauseFrom
	case enclosing.clause.choosesRows() && a.last != tokenName: // WHERE (a = 1 AND ...)
		opened.clause = clauseWhere
	case enclosing.clause == clauseValues && !enclosing.inList:
		a.result.Rows++
		enclosing.valueRows++
		if enclosing.valueRows > 1 && a.last == tokenComma { // only the first row is in the normalized text
			opened.truncateAt = int32(len(a.normalized) - len(" ,"))
		}
	}
	return opened
}

func (a *Analyser) closeBracket() {
	a.endTableName()
	a.tableUse = useNone
	truncateAt := int32(0)
	if a.depth > 0 {
		if a.depth < maxBrackets {
			truncateAt = a.brackets[a.depth].truncateAt
		}
		a.depth--
	}
	a.addOperator(')')
	a.last = tokenClose
	if truncateAt > 0 && int(truncateAt) <= len(a.normalized) {
		a.normalized = a.normalized[:truncateAt]
	}
}

// addEqual adds =; compound: it ends an operator such as <=.
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
	a.normalized = append(a.normalized, " ;"...)
	a.last = tokenNone
	a.previous = tokenNone
	a.nameEnd = a.nameStart
}

// endStatement ends one statement of a batch, or the last.
func (a *Analyser) endStatement() {
	a.endTableName()
	changesRows := a.verb == kwUpdate || a.verb == kwDelete
	if changesRows && a.result.Written.count == 0 && a.result.Read.count > 0 && a.result.Writes {
		a.result.Written.add(a.result.Read.groups[0]) // the target is an alias of a table in FROM
	}
	if a.tokenCount > 0 {
		a.result.Statements++
	}
	a.depth = 0
	a.brackets[0] = bracket{}
	a.verb = kwNone
	a.pendingVerb = kwNone
	a.inCTEs = false
	a.tableUse = useNone
	a.lastKeyword = kwNone
	a.tokenCount = 0
	a.temporary = false
	a.copyMayWrite = false
	a.leftOfEqual = tokenNone
	a.limitExpected = false
	a.signBefore = false
}

package sqltext

import "bytes"

// The methods in this file add a token to the normalized text and interpret it in its context.

func (a *Analyser) addToken(t token) {
	a.previous = a.last
	a.last = t
	a.tokenCount++
}

// addSpace separates the next token from the last one by a space, except after a dot.
func (a *Analyser) addSpace() {
	if len(a.normalized) > 0 && a.last != tokenDot {
		a.normalized = append(a.normalized, ' ')
	}
}

func (a *Analyser) addOperator(c byte) {
	a.endTableName()
	a.pendingVerb = kwNone
	if !a.lastIsSign {
		a.leftOfEqual = tokenNone
	}
	a.addSpace()
	a.normalized = append(a.normalized, c)
	a.nameEnd = a.nameStart
	a.addToken(tokenOperator)
}

// addOtherOperator adds a plus, which may be a sign, a parameter ?, or an operator without further meaning.
func (a *Analyser) addOtherOperator(c byte) {
	a.lastIsSign = false
	switch c {
	case '+':
		a.detectSign()
		a.addOperator(c)
	case '?':
		a.addLiteral()
	default:
		a.addOperator(c)
	}
}

// addLess adds < or >. A < that is followed by > is the operator <>, which is no range condition.
func (a *Analyser) addLess(c byte, followedByGreater bool) {
	isUnequal := c == '<' && followedByGreater
	if a.bracket().clause.filtersRows() && a.last != tokenOperator && !isUnequal {
		a.result.RangeConditions++
	}
	a.addOperator(c)
}

// detectSign records whether a - or + is the sign of the next number, which it is if it does not follow an operand.
func (a *Analyser) detectSign() {
	a.lastIsSign = a.last != tokenName && a.last != tokenLiteral && a.last != tokenClose
}

// addLiteral adds any literal or parameter.
func (a *Analyser) addLiteral() {
	a.endTableName()
	a.removeSign()
	if a.leftOfEqual == tokenName && a.last == tokenOperator {
		a.result.EqualityConditions++
	}
	a.leftOfEqual = tokenNone
	a.pendingVerb = kwNone
	a.nameEnd = a.nameStart
	a.limitExpected = false
	if a.bracket().inList {
		a.result.InListItems++
		isRepeated := a.last == tokenComma && a.previous == tokenLiteral && len(a.normalized) > len(" ,")
		if isRepeated { // the normalized text contains one literal of a list
			a.normalized = a.normalized[:len(a.normalized)-len(" ,")]
			a.last = tokenLiteral
			a.previous = tokenOpen
			return
		}
	}
	a.addSpace()
	a.normalized = append(a.normalized, '?')
	a.addToken(tokenLiteral)
}

// removeSign removes the sign of a number, which is about to be added, from the normalized text.
func (a *Analyser) removeSign() {
	if a.lastIsSign && a.last == tokenOperator && len(a.normalized) > 0 {
		a.normalized = a.normalized[:len(a.normalized)-1]
		a.normalized = bytes.TrimSuffix(a.normalized, []byte(" "))
		a.last = a.previous
	}
	a.lastIsSign = false
}

// addParameter adds a parameter, which is a literal in the normalized text. By the protocol's rules for schemas, a
// parameter is a name, so that a name and a dot before it may be a schema. Its group is recorded here, because adding a
// literal discards the name.
func (a *Analyser) addParameter() {
	if a.isQualifier && !a.isQualified {
		a.recordSchemaGroup()
	}
	if a.last == tokenDot && a.inTableName { // the parameter is the table's name
		a.tableComponents++
		a.schemaStart = a.componentStart
		a.schemaEnd = a.componentEnd
	}
	a.addLiteral()
	a.isQualifier = false
	a.isQualified = false
}

// recordSchemaGroup records the table group of the last name, a schema, if it is the first one with a group.
func (a *Analyser) recordSchemaGroup() {
	group := groupOfSchema(a.normalized[a.nameStart:a.nameEnd])
	if group != NoGroup && !a.schemaGroupFound {
		a.schemaGroupFound = true
		a.result.FirstSchemaGroup = group
	}
}

// addQuotedName adds a name that is quoted or has a prefix (0: none).
func (a *Analyser) addQuotedName(text []byte, prefix byte) {
	a.startName()
	if prefix != 0 {
		a.normalized = append(a.normalized, prefix)
	}
	start := len(a.normalized)
	a.normalized = append(a.normalized, text...)
	for i, c := range text {
		if folded := foldedNameByte[c]; folded != 0 {
			a.normalized[start+i] = folded
		}
	}
	a.endName(start, prefix, true)
}

// startName starts a name or keyword, and interprets the schema before it.
func (a *Analyser) startName() {
	isQualified := a.last == tokenDot && a.isQualifier
	if isQualified && !a.isQualified && !a.schemaGroupFound {
		a.recordSchemaGroup()
	}
	a.isQualified = isQualified
	a.isQualifier = false
	a.addSpace()
}

// endName interprets the name or keyword that extends from start to the end of the normalized text.
func (a *Analyser) endName(start int, prefix byte, quoted bool) {
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
		a.startTableName(prefix)
	}
	if a.leftOfEqual == tokenLiteral && a.last == tokenOperator {
		a.result.EqualityConditions++
	}
	a.previousLeftOfEqual = a.leftOfEqual
	a.leftOfEqual = tokenNone
	a.addToken(tokenName)
}

// addNameComponent adds a name after a dot.
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

// startTableName records the last name as the first component of a table name.
func (a *Analyser) startTableName(prefix byte) {
	a.inTableName = true
	a.tableIsWritten = a.tableUse == useWrite
	a.tableIsTemporary = prefix != 0 || a.createsTemporary
	a.tableComponents = 1
	a.tableUse = useNone
	a.componentStart = a.nameStart
	a.componentEnd = a.nameEnd
}

// endTableName ends the table name that is being read, if there is one, and counts the table.
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
			a.result.GroupsWritten.add(group)
		}
	case group != NoGroup:
		a.result.GroupsRead.add(group)
	}
}

// groupOfSchema returns the number after the last underscore of a schema's name in lower case, or NoGroup if there is no
// number or if it exceeds an int64. The staging schema has no group, even if a number follows its name.
func groupOfSchema(schema []byte) int64 {
	const (
		maxInt64  = 1<<63 - 1
		safeBound = (maxInt64 - 9) / 10 // up to this value, any digit can be appended
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
	afterName := (a.last == tokenName || a.last == tokenKeyword) && a.nameEnd > a.nameStart
	a.isQualifier = afterName || a.last == tokenDot && a.isQualifier
	a.normalized = append(a.normalized, '.')
	a.addToken(tokenDot)
}

func (a *Analyser) addStar() {
	if a.last == tokenDot && a.isQualifier && !a.isQualified {
		a.recordSchemaGroup()
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
	opened := a.newBracket()
	if a.tableUse == useWrite || a.tableUse == useRead && opened.clause != clauseFrom {
		a.tableUse = useNone
	}
	limitExpected := a.limitExpected
	a.addOperator('(')
	a.last = tokenOpen
	a.limitExpected = limitExpected
	a.depth++
	if a.depth < maxBracketDepth {
		a.brackets[a.depth] = opened
	}
}

// newBracket returns the state of the bracket that the next token opens.
func (a *Analyser) newBracket() bracket {
	enclosing := a.bracket()
	opened := bracket{subselectDepth: enclosing.subselectDepth}
	afterKeyword := a.last == tokenKeyword
	switch {
	case afterKeyword && a.lastKeyword == kwIn:
		opened.inList = true
		a.result.InLists++
	case afterKeyword && a.lastKeyword == kwAggregate:
		a.result.Aggregates++
	case afterKeyword && a.lastKeyword == kwOver:
		opened.isWindowSpec = true
	case a.tableUse == useRead: // FROM (a JOIN b ...), FROM (SELECT ...)
		opened.clause = clauseFrom
	case enclosing.clause.filtersRows() && a.last != tokenName: // WHERE (a = 1 AND ...)
		opened.clause = clauseWhere
	case enclosing.clause == clauseValues && !enclosing.inList:
		a.result.Rows++
		enclosing.valueRows++
		if enclosing.valueRows > 1 && a.last == tokenComma { // the normalized text contains only the first row
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
		if a.depth < maxBracketDepth {
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

// addEqual adds =. If compound is set, it is the end of an operator such as <=.
func (a *Analyser) addEqual(compound bool) {
	left := a.last
	if left == tokenKeyword && (a.lastKeyword == kwSuppressesVerb || a.lastKeyword == kwAggregate) { // probably a column named key or count
		left = tokenName
	}
	a.lastIsSign = false
	a.addOperator('=')
	if a.bracket().clause.filtersRows() && !compound && (left == tokenName || left == tokenLiteral) {
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

// endStatement ends a statement: one of a batch, or the only one.
func (a *Analyser) endStatement() {
	a.endTableName()
	changesRows := a.verb == kwUpdate || a.verb == kwDelete
	if changesRows && a.result.GroupsWritten.count == 0 && a.result.GroupsRead.count > 0 && a.result.Writes {
		a.result.GroupsWritten.add(a.result.GroupsRead.groups[0]) // the target is an alias of a table in FROM
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
	a.createsTemporary = false
	a.copyDirectionUnknown = false
	a.leftOfEqual = tokenNone
	a.limitExpected = false
	a.lastIsSign = false
}

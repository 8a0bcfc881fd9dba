package sqltext

var kindOfVerb = [kwPlain + 1]Kind{
	kwSelect:   Select,
	kwExec:     Call,
	kwDDL:      DDL,
	kwUpdate:   Update,
	kwDelete:   Delete,
	kwTruncate: Delete,
	kwInsert:   Insert,
	kwMerge:    Merge,
	kwCopy:     Copy,
	kwBulk:     Copy,
	kwLoad:     Copy,
}

// startVerb starts a statement, or a part of one, with its verb.
func (a *Analyser) startVerb(verb keyword) {
	if a.verb == kwNone || verb != kwSelect && a.depth == 0 {
		a.verb = verb
	}
	here := a.bracket()
	here.hasVerb = true
	here.clause = clauseNone
	here.inList = false
	kind := kindOfVerb[verb]
	a.result.Kind = max(a.result.Kind, kind)
	if kind >= DDL && kind != Copy { // until its table proves to be temporary
		a.noteWrite()
	}
}

func (a *Analyser) noteWrite() {
	a.wroteBeforeVerb = a.result.Writes
	a.result.Writes = true
}

func (a *Analyser) enterClause(next clause) {
	a.bracket().clause = next
	a.tableUse = useNone
}

func (a *Analyser) expectTableToRead() {
	a.bracket().clause = clauseFrom
	a.tableUse = useRead
}

// atStatementStart reports whether the next token is a statement's first one.
func (a *Analyser) atStatementStart() bool { return a.tokenCount == 0 || a.isBehind(kwBegin) }

// isBehind reports whether the last token is a keyword.
func (a *Analyser) isBehind(word keyword) bool {
	return a.last == tokenKeyword && a.lastKeyword == word
}

// applyKeyword interprets a possible keyword in its context; false: it is a name there.
func (a *Analyser) applyKeyword(word keyword) bool {
	if a.pendingVerb != kwNone && endsPendingVerb(word) {
		a.pendingVerb = kwNone
	}
	switch word {
	case kwSelect:
		a.applySelect()
	case kwFrom:
		a.applyFrom()
	case kwWhere, kwHaving:
		a.enterClause(clauseWhere)
	case kwOn:
		a.applyOn()
	case kwJoin, kwApply:
		a.result.Joins++
		a.expectTableToRead()
	case kwGroup:
		a.applyGroup()
	case kwOrder:
		a.applyOrder()
	case kwUnion:
		a.result.SetOps++
		a.enterClause(clauseNone)
	case kwValues:
		a.enterClause(clauseValues)
		a.bracket().valueRows = 0
	case kwInto:
		a.applyInto()
	case kwInsert, kwUpdate, kwDelete:
		return a.applyRowVerb(word)
	case kwMerge:
		return a.applyMerge()
	case kwUsing:
		a.applyUsing()
	case kwSet:
		a.applySet()
	case kwWith:
		if a.atStatementStart() || a.last == tokenOpen {
			a.inCTEs = a.depth == 0
		}
	case kwAs:
		a.applyAs()
	case kwTop, kwLimit, kwFetch:
		return a.applyLimit(word)
	case kwOver:
		a.result.Windowed = true
	case kwDistinct:
		if a.bracket().clause == clauseSelect {
			a.result.Distinct = true
		}
	case kwBetween:
		if a.bracket().clause.choosesRows() {
			a.result.Ranges++
		}
	case kwCopy, kwBulk, kwLoad, kwTruncate, kwDDL, kwExec:
		return a.applyFirstVerb(word)
	case kwTo:
		a.copyMayWrite = false
	case kwTable:
		return a.applyTable()
	case kwTemporary:
		return a.applyTemporary()
	case kwBeforeTable, kwPlain:
	case kwAggregate, kwIn, kwFor, kwBegin, kwNoVerbNext:
		return a.tableUse == useNone // otherwise a table of that name
	}
	return true
}

// endsPendingVerb reports whether a keyword shows that INSERT, UPDATE or DELETE before it was no verb.
func endsPendingVerb(word keyword) bool {
	switch word {
	case kwInto, kwFrom, kwBeforeTable, kwTable, kwTop:
		return false
	}
	return true
}

func (a *Analyser) applySelect() {
	here := a.bracket()
	ofCTE := a.inCTEs && a.depth == 1
	if !here.hasVerb && a.depth > 0 && !ofCTE {
		here.subselectDepth++
		a.result.Subselects++
		a.result.Depth = max(a.result.Depth, here.subselectDepth)
	}
	if here.inList { // IN (SELECT ...) is no list
		a.result.InLists--
	}
	a.inCTEs = a.inCTEs && a.depth > 0
	a.startVerb(kwSelect)
	a.enterClause(clauseSelect)
}

func (a *Analyser) applyFrom() {
	here := a.bracket()
	switch {
	case a.isBehind(kwDistinct): // IS DISTINCT FROM
	case a.pendingVerb == kwDelete:
		a.startVerb(kwDelete)
		here.clause = clauseFrom
		a.tableUse = useWrite
		a.pendingVerb = kwNone
	case a.copyMayWrite && a.depth == 0: // COPY t FROM
		a.copyMayWrite = false
		a.result.Writes = true
		if a.result.Read.count > 0 {
			a.result.Written.add(a.result.Read.groups[0])
			a.result.Read = Groups{}
		}
	case a.verb == kwBulk || a.verb == kwCopy && !here.hasVerb: // from a file
	case here.hasVerb || a.depth == 0 && a.verb == kwNone || a.depth >= maxBrackets:
		a.expectTableToRead()
	}
}

func (a *Analyser) applyOn() {
	here := a.bracket()
	switch {
	case a.verb == kwDDL && here.clause == clauseNone: // CREATE INDEX i ON t
		a.tableUse = useWrite
	case here.clause == clauseValues: // ON CONFLICT, ON DUPLICATE KEY
		here.clause = clauseSet
	default:
		a.enterClause(clauseOn)
	}
}

func (a *Analyser) applyGroup() {
	here := a.bracket()
	if here.hasVerb || a.depth == 0 {
		a.result.Grouped = true
	}
	here.clause = clauseGroup
}

func (a *Analyser) applyOrder() {
	here := a.bracket()
	if !here.isWindow && (here.hasVerb || a.depth == 0) {
		a.result.Ordered = true
	}
	here.clause = clauseOrder
}

func (a *Analyser) applyInto() {
	ofMerge := a.verb == kwMerge && a.result.Tables == 0
	switch {
	case a.pendingVerb == kwInsert:
		a.startVerb(kwInsert)
		a.tableUse = useWrite
	case ofMerge || a.verb == kwCopy || a.verb == kwLoad:
		a.tableUse = useWrite
	case a.bracket().clause == clauseSelect: // SELECT ... INTO a table
		a.tableUse = useWrite
		a.noteWrite()
		a.result.Kind = max(a.result.Kind, Insert)
	}
	a.pendingVerb = kwNone
}

// applyRowVerb interprets INSERT, UPDATE and DELETE, which are verbs depending on the next token.
func (a *Analyser) applyRowVerb(verb keyword) bool {
	if a.isBehind(kwNoVerbNext) || a.isBehind(kwFor) || a.isBehind(kwOn) {
		if a.lastKeyword == kwFor && verb == kwUpdate {
			a.result.ForUpdate = true
		}
		return true
	}
	if a.last == tokenDot || verb == kwInsert && a.last == tokenOperator {
		return false
	}
	if a.verb == kwBulk && verb == kwInsert {
		a.tableUse = useWrite
		return true
	}
	a.inCTEs = a.inCTEs && a.depth > 0
	a.pendingVerb = verb
	return true
}

func (a *Analyser) applyMerge() bool {
	if !a.atStatementStart() && a.last != tokenClose && a.depth == 0 && a.verb != kwNone {
		return false
	}
	a.inCTEs = false
	a.startVerb(kwMerge)
	a.tableUse = useWrite
	return true
}

func (a *Analyser) applyUsing() {
	if a.verb == kwMerge || a.verb == kwDelete {
		a.tableUse = useRead
		a.bracket().clause = clauseNone
	}
}

func (a *Analyser) applySet() {
	here := a.bracket()
	if here.clause != clauseWhere || a.verb == kwUpdate {
		here.clause = clauseSet
	}
	a.tableUse = useNone
}

func (a *Analyser) applyAs() {
	if a.inCTEs && a.depth == 0 {
		a.result.CTEs++
	}
	if a.verb == kwDDL {
		a.bracket().clause = clauseNone
	}
	a.tableUse = useNone
}

func (a *Analyser) applyLimit(word keyword) bool {
	if word == kwTop && a.bracket().clause != clauseSelect && a.pendingVerb == kwNone {
		return false
	}
	if a.pendingVerb != kwNone { // UPDATE TOP (n)
		a.startVerb(a.pendingVerb)
		a.pendingVerb = kwNone
	}
	a.result.Limited = true
	a.limitExpected = true
	return true
}

// applyFirstVerb interprets keywords that are verbs only at the start of a statement.
func (a *Analyser) applyFirstVerb(verb keyword) bool {
	if !a.atStatementStart() {
		return false
	}
	a.startVerb(verb)
	switch verb {
	case kwCopy:
		a.tableUse = useRead
		a.copyMayWrite = true
		a.bracket().hasVerb = false
	case kwTruncate:
		a.tableUse = useWrite
	}
	return true
}

func (a *Analyser) applyTable() bool {
	if a.tableUse != useNone { // TRUNCATE TABLE, INSERT INTO TABLE
		return true
	}
	if a.verb == kwDDL || a.verb == kwLoad {
		a.tableUse = useWrite
		return true
	}
	return false
}

func (a *Analyser) applyTemporary() bool {
	createsByInto := a.tableUse == useWrite && a.verb == kwSelect
	if a.verb != kwDDL && !createsByInto {
		return false
	}
	a.temporary = true
	a.result.Writes = a.wroteBeforeVerb
	return true
}

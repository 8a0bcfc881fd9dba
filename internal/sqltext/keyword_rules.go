package sqltext

// kindOfVerb maps keywords that are verbs to kinds of statements.
var kindOfVerb = [kwReserved + 1]Kind{
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

// startVerb starts a statement, or a statement in another one, with its verb.
func (a *Analyser) startVerb(verb keyword) {
	if a.verb == kwNone || verb != kwSelect && a.depth == 0 {
		a.verb = verb
	}
	current := a.bracket()
	current.hasVerb = true
	current.clause = clauseNone
	current.inList = false
	kind := kindOfVerb[verb]
	a.result.Kind = max(a.result.Kind, kind)
	if kind >= DDL && kind != Copy { // undone when its table proves to be temporary
		a.recordWrite()
	}
}

func (a *Analyser) recordWrite() {
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

// atStatementStart reports whether the current token is the first one of a statement.
func (a *Analyser) atStatementStart() bool { return a.tokenCount == 0 || a.follows(kwBegin) }

// follows reports whether the current token follows a certain keyword.
func (a *Analyser) follows(word keyword) bool {
	return a.last == tokenKeyword && a.lastKeyword == word
}

// applyKeyword interprets a possible keyword in its context. It returns false if the word is a name there.
func (a *Analyser) applyKeyword(word keyword) bool {
	if a.pendingVerb != kwNone && cancelsPendingVerb(word) {
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
		a.result.SetOperators++
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
		if a.bracket().clause.filtersRows() {
			a.result.RangeConditions++
		}
	case kwCopy, kwBulk, kwLoad, kwTruncate, kwDDL, kwExec:
		return a.applyFirstVerb(word)
	case kwTo:
		a.copyDirectionUnknown = false
	case kwTable:
		return a.applyTable()
	case kwTemporary:
		return a.applyTemporary()
	case kwBeforeTable, kwReserved:
	case kwAggregate, kwIn, kwFor, kwBegin, kwSuppressesVerb:
		return a.tableUse == useNone // otherwise it is a table's name
	}
	return true
}

// cancelsPendingVerb reports whether a keyword shows that the INSERT, UPDATE or DELETE before it is not a verb.
func cancelsPendingVerb(word keyword) bool {
	switch word {
	case kwInto, kwFrom, kwBeforeTable, kwTable, kwTop:
		return false
	}
	return true
}

func (a *Analyser) applySelect() {
	current := a.bracket()
	isCTEBody := a.inCTEs && a.depth == 1
	if !current.hasVerb && a.depth > 0 && !isCTEBody {
		current.subselectDepth++
		a.result.Subselects++
		a.result.SubselectDepth = max(a.result.SubselectDepth, current.subselectDepth)
	}
	if current.inList { // IN (SELECT ...) is not a list
		a.result.InLists--
	}
	a.inCTEs = a.inCTEs && a.depth > 0
	a.startVerb(kwSelect)
	a.enterClause(clauseSelect)
}

func (a *Analyser) applyFrom() {
	current := a.bracket()
	switch {
	case a.follows(kwDistinct): // IS DISTINCT FROM
	case a.pendingVerb == kwDelete:
		a.startVerb(kwDelete)
		current.clause = clauseFrom
		a.tableUse = useWrite
		a.pendingVerb = kwNone
	case a.copyDirectionUnknown && a.depth == 0: // COPY t FROM
		a.copyDirectionUnknown = false
		a.result.Writes = true
		if a.result.GroupsRead.count > 0 {
			a.result.GroupsWritten.add(a.result.GroupsRead.groups[0])
			a.result.GroupsRead = Groups{}
		}
	case a.verb == kwBulk || a.verb == kwCopy && !current.hasVerb: // the source is a file
	case current.hasVerb || a.depth == 0 && a.verb == kwNone || a.depth >= maxBracketDepth:
		a.expectTableToRead()
	}
}

func (a *Analyser) applyOn() {
	current := a.bracket()
	switch {
	case a.verb == kwDDL && current.clause == clauseNone: // CREATE INDEX i ON t
		a.tableUse = useWrite
	case current.clause == clauseValues: // ON CONFLICT, ON DUPLICATE KEY
		current.clause = clauseSet
	default:
		a.enterClause(clauseOn)
	}
}

func (a *Analyser) applyGroup() {
	current := a.bracket()
	if current.hasVerb || a.depth == 0 {
		a.result.Grouped = true
	}
	current.clause = clauseGroup
}

func (a *Analyser) applyOrder() {
	current := a.bracket()
	if !current.isWindowSpec && (current.hasVerb || a.depth == 0) {
		a.result.Ordered = true
	}
	current.clause = clauseOrder
}

func (a *Analyser) applyInto() {
	isMergeTarget := a.verb == kwMerge && a.result.Tables == 0
	switch {
	case a.pendingVerb == kwInsert:
		a.startVerb(kwInsert)
		a.tableUse = useWrite
	case isMergeTarget || a.verb == kwCopy || a.verb == kwLoad:
		a.tableUse = useWrite
	case a.bracket().clause == clauseSelect: // SELECT ... INTO a table
		a.tableUse = useWrite
		a.recordWrite()
		a.result.Kind = max(a.result.Kind, Insert)
	}
	a.pendingVerb = kwNone
}

// applyRowVerb interprets INSERT, UPDATE and DELETE. Whether they are verbs depends on the last and the next token.
func (a *Analyser) applyRowVerb(verb keyword) bool {
	if a.follows(kwSuppressesVerb) || a.follows(kwFor) || a.follows(kwOn) {
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
	current := a.bracket()
	if current.clause != clauseWhere || a.verb == kwUpdate {
		current.clause = clauseSet
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

// applyFirstVerb interprets a keyword that is a verb only at the start of a statement.
func (a *Analyser) applyFirstVerb(verb keyword) bool {
	if !a.atStatementStart() {
		return false
	}
	a.startVerb(verb)
	switch verb {
	case kwCopy:
		a.tableUse = useRead
		a.copyDirectionUnknown = true
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
	isSelectInto := a.tableUse == useWrite && a.verb == kwSelect
	if a.verb != kwDDL && !isSelectInto {
		return false
	}
	a.createsTemporary = true
	a.result.Writes = a.wroteBeforeVerb
	return true
}

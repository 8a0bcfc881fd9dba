package sqltext

// NoGroup is the table group of a statement that names none.
const NoGroup = -1

// MaxTableGroups is the maximum number of table groups that are recorded as read by one statement, and as written.
const MaxTableGroups = 8

// Kind is the kind of a statement. A batch, or a statement that contains others, has the last of their kinds in the order
// of the constants, which are ordered by weight.
type Kind uint8

// The kinds of statements.
const (
	Other Kind = iota
	Select
	Call
	DDL
	Update
	Delete
	Insert // also SELECT ... INTO a table
	Merge
	Copy // bulk loads
)

var kindTexts = [...]string{
	Other:  "other",
	Select: "select",
	Call:   "call",
	DDL:    "ddl",
	Update: "update",
	Delete: "delete",
	Insert: "insert",
	Merge:  "merge",
	Copy:   "copy",
}

// String returns the kind's name in the output of the explain command.
func (k Kind) String() string { return kindTexts[k] }

// Groups is a small set of table groups, in the order in which they first occur.
type Groups struct {
	count  int32
	groups [MaxTableGroups]int64
}

// Slice returns the groups in the set. The slice shares the set's memory.
func (g *Groups) Slice() []int64 { return g.groups[:g.count] }

// add adds a group, unless the set contains it or is full.
func (g *Groups) add(group int64) {
	for _, known := range g.groups[:g.count] {
		if known == group {
			return
		}
	}
	if g.count < MaxTableGroups {
		g.groups[g.count] = group
		g.count++
	}
}

// Statement is the description of a text. Its counts cover all statements of the text.
type Statement struct {
	Kind         Kind
	Writes       bool // it seems to change something that outlives the session
	Truncated    bool // longer than MaxAnalysedBytes: the rest was not read, and Fingerprint is 0
	Unterminated bool // the text ends inside a string, a quoted name or a comment

	GroupsRead, GroupsWritten Groups
	FirstSchemaGroup          int64 // of the first name that the protocol takes for a schema with a group

	ForUpdate, Grouped, Windowed, Ordered, Distinct, Limited bool

	Limit              int64 // number of rows if Limited by a literal number, else 0
	Statements         int32 // number of statements in the batch
	Tables             int32 // table names where a table is expected
	Joins              int32 // JOIN, APPLY and commas between tables
	SetOperators       int32 // UNION, INTERSECT, EXCEPT
	CTEs               int32
	Subselects         int32
	SubselectDepth     int32 // largest nesting depth of sub-selects
	Aggregates         int32
	EqualityConditions int32 // column = literal or parameter, in clauses that filter rows
	RangeConditions    int32 // <, >, BETWEEN and LIKE, in clauses that filter rows
	InLists            int32 // IN (...), except for sub-selects
	InListItems        int32 // literals in these
	Rows               int32 // of VALUES

	Fingerprint uint64 // xxhash of the normalized text; 0: unknown
}

// LockedGroup returns the first table group that the statement writes, which a bulk load locks while it runs, or NoGroup
// if none is known.
func (s *Statement) LockedGroup() int64 {
	if s.GroupsWritten.count > 0 {
		return s.GroupsWritten.groups[0]
	}
	return NoGroup
}

// PrimaryGroup returns the statement's table group: the first one written, else the first one read, else, if no table was
// recognized, that of the first schema.
func (s *Statement) PrimaryGroup() int64 {
	switch {
	case s.GroupsWritten.count > 0:
		return s.GroupsWritten.groups[0]
	case s.GroupsRead.count > 0:
		return s.GroupsRead.groups[0]
	case s.Tables > 0: // FirstSchemaGroup is then not from a table's schema
		return NoGroup
	}
	return s.FirstSchemaGroup
}

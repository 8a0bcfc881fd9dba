package sqltext

// NoGroup is the table group of a statement that names none.
const NoGroup = -1

// MaxTableGroups is the maximum number of table groups that are recorded as read, and as written, by one statement.
const MaxTableGroups = 8

// Kind is the kind of a statement; of a batch, or of a statement that contains others, the heaviest, in this order.
type Kind uint8

// The kinds.
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

// Slice returns the set's groups; it shares the set's memory.
func (g *Groups) Slice() []int64 { return g.groups[:g.count] }

// add adds a group; one beyond MaxTableGroups is ignored.
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

// Statement describes a text. Counts are over the whole text.
type Statement struct {
	Kind         Kind
	Writes       bool // something that outlives the session, as far as can be seen
	Truncated    bool // longer than MaxAnalysedBytes: the rest was not read, and Fingerprint is 0
	Unterminated bool // ends inside a string, a quoted name or a comment

	Read, Written    Groups
	FirstSchemaGroup int64 // of the first schema with a group, as the protocol reads schemas

	ForUpdate, Grouped, Windowed, Ordered, Distinct, Limited bool

	Limit      int64 // where Limited by a number; else 0
	Statements int32 // of a batch
	Tables     int32 // named where a table stands
	Joins      int32 // also commas between tables, and APPLY
	SetOps     int32 // UNION, INTERSECT, EXCEPT
	CTEs       int32
	Subselects int32
	Depth      int32 // of sub-selects
	Aggregates int32
	KeyEqual   int32 // a column equal to a literal or parameter, where rows are chosen
	Ranges     int32 // <, >, BETWEEN, LIKE there
	InLists    int32
	InItems    int32
	Rows       int32 // of VALUES

	Fingerprint uint64 // xxhash of the normalized text; 0: unknown
}

// LockedGroup returns the table group that the statement writes, which a bulk load locks while it runs; NoGroup if none
// is known.
func (s *Statement) LockedGroup() int64 {
	if s.Written.count > 0 {
		return s.Written.groups[0]
	}
	return NoGroup
}

// PrimaryGroup returns the statement's table group: the one written, else the first one read, else that of the first
// schema.
func (s *Statement) PrimaryGroup() int64 {
	switch {
	case s.Written.count > 0:
		return s.Written.groups[0]
	case s.Read.count > 0:
		return s.Read.groups[0]
	case s.Tables > 0: // the name that looked like a schema with a group is none
		return NoGroup
	}
	return s.FirstSchemaGroup
}

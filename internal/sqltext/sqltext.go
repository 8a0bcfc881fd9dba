// Package sqltext reads a statement's text once and tells what it looks like: its kind, the table groups that it
// reads and writes, how it is built, and its shape, which is the same for texts that differ only in literals,
// case, white space and comments. It knows no one dialect, never fails, and allocates nothing: what it cannot
// place it passes over. The table group's number and its exceptions are the protocol's; all else follows the SQL
// standard and the manuals of T-SQL, PostgreSQL and MySQL.
package sqltext

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Budget is how many bytes of a text are read; what is longer is Cut. At the 100 MB a second that the slowest texts
// are read with, that is 160 µs.
const MaxAnalysedBytes = 16 << 10

// NoGroup is the table group of a statement that names none.
const NoGroup = -1

// Kind is the kind of a statement; of a batch, or of a statement with parts, the heaviest, in this order.
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

var kindTexts = [...]string{"other", "select", "call", "ddl", "update", "delete", "insert", "merge", "copy"}

func (k Kind) String() string { return kindTexts[k] }

// MostGroups is how many table groups of a statement are told apart, read and written each.
const MaxTableGroups = 8

// Groups is a small set of table groups, in the order in which they were met.
type Groups struct {
	count  int32
	groups [MaxTableGroups]int64
}

// Slice is the set's groups; it lives as long as the set.
func (g *Groups) Slice() []int64 { return g.groups[:g.count] }

func (g *Groups) add(group int64) {
	for _, o := range g.groups[:g.count] {
		if o == group {
			return
		}
	}
	if g.count < MaxTableGroups {
		g.groups[g.count] = group
		g.count++
	}
}

// Statement is what a text looks like. Counts are over the whole text.
type Statement struct {
	Kind         Kind
	Writes       bool // something that outlives the session, as far as can be seen
	Truncated    bool // longer than Budget: the rest was not read, and Shape is 0
	Unterminated bool // ends inside a string, a quoted name or a comment

	Read, Written    Groups
	FirstSchemaGroup int64 // group of the first schema with one, before any dot or not, as the protocol has it

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

	Fingerprint uint64 // xxhash of the normal text; 0: unknown
}

// Holds is the table group that the statement writes, which a load holds while it runs; NoGroup: none that is known.
func (s *Statement) LockedGroup() int64 {
	if s.Written.count > 0 {
		return s.Written.groups[0]
	}
	return NoGroup
}

// Group is the statement's table group: the one written, else the first one read, else that of the first schema.
func (s *Statement) PrimaryGroup() int64 {
	switch {
	case s.Written.count > 0:
		return s.Written.groups[0]
	case s.Read.count > 0:
		return s.Read.groups[0]
	case s.Tables > 0: // what looked like a schema with a group was none
		return NoGroup
	}
	return s.FirstSchemaGroup
}

// mostLevels is how deep brackets are told apart; deeper ones are only counted.
const maxBrackets = 48

type clause uint8

const (
	clauseNone clause = iota
	clauseSelect
	clauseFrom
	clauseWhere // also HAVING
	clauseOn
	clauseGroup
	clauseOrder
	clauseSet
	clauseValues
)

// chooses tells whether rows are chosen there.
func (c clause) choosesRows() bool { return c == clauseWhere || c == clauseOn }

// level is one bracket that is open, or the statement itself.
type bracket struct {
	clause         clause
	hasVerb        bool // holds a statement of its own
	inList         bool
	isWindow       bool  // a window's own bracket
	truncateAt     int32 // where the normal text is cut off at the closing bracket; 0: nowhere
	subselectDepth int32 // depth of sub-selects up to here
	valueRows      int32 // of this VALUES
}

type token uint8

const (
	tokenNone token = iota
	tokenName
	tokenKeyword // a keyword
	tokenLiteral
	tokenDot
	tokenComma
	tokenOpen
	tokenClose
	tokenOperator
	tokenStar
)

type tableUse uint8

const (
	useNone tableUse = iota
	useRead
	useWrite
)

// Analyser reads texts one after another. Its memory is its own and is used again.
type Analyser struct {
	state
	normalized []byte
	brackets   [maxBrackets]bracket // those up to depth are in use
}

// parse is where the reading of a text stands.
type state struct {
	result Statement
	depth  int // of brackets, which may be beyond the levels

	last, previous token    // the last two tokens
	lastKeyword    keyword  // of the last one, if it is a keyword
	verb           keyword  // of the statement in hand, 0: none yet
	pendingVerb    keyword  // a verb that the next token makes one
	inCTEs         bool     // among the CTEs of the statement's start
	tableUse       tableUse // a table is named next
	signBefore     bool     // the last operator is a sign

	nameStart, nameEnd int  // the last name, in the normal text
	isQualifier        bool // a dot follows it
	isQualified        bool // it stands behind a dot itself
	schemaGroupFound   bool // First was found

	inTableName            bool // a table's name is being read
	tableIsWritten         bool
	tableIsTemporary       bool
	tableParts             int
	schemaStart, schemaEnd int // the part before the last
	partStart, partEnd     int
	leftOfEqual            token // what stood left of =, where rows are chosen
	previousLeftOfEqual    token // the same, before the last name
	limitExpected          bool  // a limit's number comes next
	tokenCount             int   // of the statement in hand
	copyMayWrite           bool  // COPY: whether the table is written shows later
	temporary              bool
	wroteBeforeVerb        bool // Writes, before the verb in hand
}

// Normal is the text last read, with ? for literals, lists of them and further rows left out, names in small letters
// and one blank between tokens. It lives until the next text is read.
func (a *Analyser) NormalizedText() []byte { return a.normalized }

// Analyse reads a text.
func (a *Analyser) Analyse(text []byte) Statement {
	normal, cut := a.normalized[:0], len(text) > MaxAnalysedBytes
	if cut {
		text = text[:MaxAnalysedBytes]
	}
	if most := 2*len(text) + 16; cap(normal) < most { // a blank or a mark for each byte at most
		normal = make([]byte, 0, most+most/2)
	}
	a.state, a.normalized, a.brackets[0] = state{}, normal, bracket{}
	a.result.FirstSchemaGroup, a.result.Truncated = NoGroup, cut
	a.scan(text)
	a.endStatement()
	for n := len(a.normalized); n > 0 && (a.normalized[n-1] == ' ' || a.normalized[n-1] == ';'); n-- {
		a.normalized = a.normalized[:n-1]
	}
	if !a.result.Truncated && len(a.normalized) > 0 {
		a.result.Fingerprint = max(1, xxhash.Sum64(a.normalized))
	}
	return a.result
}

// Classes of bytes. A name's bytes fold to themselves in small letters, all others to 0.
var (
	foldedNameByte [256]byte
	classOf        [256]byteClass
)

type byteClass uint8

const (
	classOperator byteClass = iota
	classBlank
	className
	classDigit
	classQuote
	classNameQuote // " and `
	classBracket
	classDollar
	classDash
	classSlash
	classDot
	classStar
	classComma
	classOpen
	classClose
	classSemicolon
	classEqual
	classLess
	classMark
)

func init() {
	for i := range 256 {
		c := byte(i)
		switch {
		case c <= ' ':
			classOf[c] = classBlank
		case isDigit(c):
			classOf[c], foldedNameByte[c] = classDigit, c
		case 'A' <= c && c <= 'Z':
			classOf[c], foldedNameByte[c] = className, c|0x20
		case c == '_' || 'a' <= c && c <= 'z' || c >= 0x80:
			classOf[c], foldedNameByte[c] = className, c
		}
	}
	foldedNameByte['$'] = '$'
	for c, class := range map[byte]byteClass{'\'': classQuote, '"': classNameQuote, '`': classNameQuote, '[': classBracket,
		'$': classDollar, '-': classDash, '/': classSlash, '.': classDot, '*': classStar, ',': classComma, '(': classOpen,
		')': classClose, ';': classSemicolon, '=': classEqual, '<': classLess, '>': classLess, '@': classMark, '#': classMark,
		':': classMark} {
		classOf[c] = class
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// read cuts the text into tokens. White space and comments count as none.
func (a *Analyser) scan(text []byte) {
	for i := 0; i < len(text); {
		c := text[i]
		switch classOf[c] {
		case classBlank:
			i++
		case className:
			if i = a.scanName(text, i); i < len(text) && text[i] == ' ' { // as it mostly is
				i++
			}
		case classDigit:
			i = a.scanNumberLiteral(text, i)
		case classQuote:
			i = a.scanString(text, i)
		case classNameQuote:
			from := i + 1
			if i = a.endOfQuotedName(text, from, c); i > len(text) {
				i = len(text)
				a.addQuotedName(text[from:], 0)
			} else {
				a.addQuotedName(text[from:i-1], 0)
			}
		case classBracket:
			i = a.scanSquareBracket(text, i)
		case classDollar:
			if past := endOfDollarString(text, i); past > 0 {
				a.result.Unterminated = a.result.Unterminated || past > len(text)
				i = min(past, len(text))
				a.addLiteral()
			} else if i+1 < len(text) && isDigit(text[i+1]) { // a parameter: a name as far as schemas go
				from := i
				for i++; i < len(text) && foldedNameByte[text[i]] != 0; i++ {
				}
				a.addLiteral()
				a.addParameter(text[from:i])
			} else {
				i = a.scanName(text, i)
			}
		case classDash:
			if i+1 < len(text) && text[i+1] == '-' {
				if n := bytes.IndexByte(text[i:], '\n'); n >= 0 {
					i += n + 1
				} else {
					i = len(text)
				}
				continue
			}
			a.noteSign()
			a.addOperator(c)
			i++
		case classSlash:
			if i+1 < len(text) && text[i+1] == '*' {
				i = a.scanBlockComment(text, i)
				continue
			}
			a.addOperator(c)
			i++
		case classDot:
			a.addDot()
			i++
		case classStar:
			a.addStar()
			i++
		case classComma:
			a.addComma()
			if i++; i < len(text) && text[i] == ' ' {
				i++
			}
		case classOpen:
			a.openBracket()
			i++
		case classClose:
			a.closeBracket()
			i++
		case classSemicolon:
			a.addSemicolon()
			i++
		case classEqual:
			a.addEqual(i > 0 && (classOf[text[i-1]] == classLess || text[i-1] == '!' || text[i-1] == ':'))
			i++
		case classLess:
			if a.bracket().clause.choosesRows() && a.last != tokenOperator &&
				!(c == '<' && i+1 < len(text) && text[i+1] == '>') {
				a.result.Ranges++
			}
			a.addOperator(c)
			i++
		case classMark:
			i = a.scanMarkedName(text, i)
		default:
			if a.signBefore = false; c == '+' {
				a.noteSign()
			}
			if c == '?' {
				a.addLiteral()
			} else {
				a.addOperator(c)
			}
			i++
		}
	}
}

// readName reads a name or keyword, folding it into the normal text.
func (a *Analyser) scanName(text []byte, i int) int {
	a.startName()
	at := len(a.normalized)
	n, into := at, a.normalized[:cap(a.normalized)]
	for ; i < len(text) && n < len(into); i++ {
		c := foldedNameByte[text[i]]
		if c == 0 {
			break
		}
		into[n] = c
		n++
	}
	a.normalized = into[:n]
	a.endName(at, 0, false)
	return i
}

// readNumber reads a number with fraction and exponent.
func (a *Analyser) scanNumberLiteral(text []byte, i int) int {
	from := i
	for i++; i < len(text); i++ {
		if c := text[i]; foldedNameByte[c] == 0 && c != '.' &&
			!((c == '-' || c == '+') && text[i-1]|0x20 == 'e' && i+1 < len(text) && isDigit(text[i+1]) && text[from]|0x20 != 'x') {
			break
		}
	}
	if a.limitExpected {
		a.limitExpected = false
		for _, c := range text[from:i] {
			if !isDigit(c) || a.result.Limit > 1<<40 {
				break
			}
			a.result.Limit = a.result.Limit*10 + int64(c-'0')
		}
	}
	a.addLiteral()
	return i
}

// readString reads '...' where a doubled quote stands for one, and in E'...' a backslash escapes.
func (a *Analyser) scanString(text []byte, i int) int {
	prefix := i > 0 && (i == 1 || foldedNameByte[text[i-2]] == 0) && a.last != tokenNone && foldedNameByte[text[i-1]] != 0 && !isDigit(text[i-1])
	escapes := prefix && text[i-1]|0x20 == 'e'
	if prefix { // N'...', E'...' and the like: the letter is part of the literal
		a.normalized = bytes.TrimRight(a.normalized[:len(a.normalized)-1], " ")
		a.last, a.inTableName = a.previous, a.inTableName && a.last != tokenName
		a.nameEnd, a.leftOfEqual = a.nameStart, a.previousLeftOfEqual
	}
	i++
	for {
		n := bytes.IndexByte(text[i:], '\'')
		if n < 0 {
			a.result.Unterminated = true
			i = len(text)
			break
		}
		if escapes {
			if b := bytes.IndexByte(text[i:i+n], '\\'); b >= 0 {
				i = min(i+b+2, len(text))
				continue
			}
		}
		if i += n + 1; i < len(text) && text[i] == '\'' {
			i++
			continue
		}
		break
	}
	a.addLiteral()
	return i
}

// closing finds the byte behind the closing quote of a name; beyond the text if there is none.
func (a *Analyser) endOfQuotedName(text []byte, i int, quote byte) int {
	for {
		n := bytes.IndexByte(text[i:], quote)
		if n < 0 {
			a.result.Unterminated = true
			return len(text) + 1
		}
		if i += n + 1; i < len(text) && text[i] == quote {
			i++
			continue
		}
		return i
	}
}

// readBracket reads a T-SQL name, or a subscript or array right behind a name.
func (a *Analyser) scanSquareBracket(text []byte, i int) int {
	subscript := i > 0 && (foldedNameByte[text[i-1]] != 0 || text[i-1] == ']' || text[i-1] == ')')
	from := i + 1
	n := bytes.IndexByte(text[from:], ']')
	if n < 0 {
		a.result.Unterminated = true
		n = len(text) - from
	}
	if i = min(from+n+1, len(text)); subscript && !(a.last == tokenKeyword) {
		a.addLiteral()
	} else {
		a.addQuotedName(text[from:from+n], 0)
	}
	return i
}

// readMark reads @variable, #temporary, :parameter and ::type.
func (a *Analyser) scanMarkedName(text []byte, i int) int {
	c := text[i]
	if c == ':' && i+1 < len(text) && text[i+1] == ':' {
		a.addOperator(':')
		a.addOperator(':')
		return i + 2
	}
	from := i
	for i < len(text) && text[i] == c {
		i++
	}
	if i == len(text) || foldedNameByte[text[i]] == 0 {
		for range i - from {
			a.addOperator(c)
		}
		return i
	}
	from = i
	for i++; i < len(text) && foldedNameByte[text[i]] != 0; i++ {
	}
	if c == '#' || a.tableUse != useNone { // a temporary table, a table variable
		a.addQuotedName(text[from:i], c)
	} else {
		a.addLiteral()
		a.addParameter(text[from:i])
	}
	return i
}

// comment passes over a block comment, with those inside it.
func (a *Analyser) scanBlockComment(text []byte, i int) int {
	for depth := 0; i < len(text); {
		n := bytes.IndexAny(text[i:min(len(text), i+64)], "*/")
		if n < 0 {
			i = min(len(text), i+64)
			continue
		}
		i += n
		switch {
		case i+1 < len(text) && text[i] == '/' && text[i+1] == '*':
			depth, i = depth+1, i+2
		case i+1 < len(text) && text[i] == '*' && text[i+1] == '/':
			if depth, i = depth-1, i+2; depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	a.result.Unterminated = true
	return i
}

// dollar finds the byte behind a string of the form $mark$...$mark$: beyond the text if it is open, 0 if there is none.
func endOfDollarString(text []byte, i int) int {
	n := i + 1
	for n < len(text) && foldedNameByte[text[n]] != 0 && text[n] != '$' {
		n++
	}
	if n == len(text) || text[n] != '$' || n > i+1 && isDigit(text[i+1]) {
		return 0
	}
	mark := text[i : n+1]
	if end := bytes.Index(text[n+1:], mark); end >= 0 {
		return n + 1 + end + len(mark)
	}
	return len(text) + 1
}

// number is what stands behind the last underscore of a schema's name, in small letters.
func groupOfSchema(schema []byte) int64 {
	i := bytes.LastIndexByte(schema, '_')
	if i <= 0 || string(schema[:i]) == "staging" || len(schema)-i-1 == 0 {
		return NoGroup
	}
	n := int64(0)
	for _, c := range schema[i+1:] {
		if !isDigit(c) || n > (1<<63-1-9)/10 && (n > (1<<63-1)/10 || n*10 > 1<<63-1-int64(c-'0')) {
			return NoGroup
		}
		n = n*10 + int64(c-'0')
	}
	return n
}

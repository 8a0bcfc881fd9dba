// Package sqltext analyses the text of a statement in one pass. The result is the statement's kind, the table groups that
// it reads and writes, its structure, and its fingerprint, which is the same for texts that differ only in literals, case,
// white space and comments.
//
// The analysis follows no single SQL dialect, never fails and does not allocate: it skips tokens that it cannot interpret,
// and an unexpected token changes little in the result. How a table group's number is read from a schema's name, with the
// exceptions, is defined by the router's protocol; everything else follows the SQL standard and the manuals of T-SQL,
// PostgreSQL and MySQL.
//
// The pass has three layers: the scanner splits the text into tokens (scanner.go), each token is added to the normalized
// text and interpreted in its context (tokens.go), and keywords determine what is expected next (keyword_rules.go).
package sqltext

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxAnalysedBytes is the number of bytes of a text that are read. The slowest texts are read at 100 MB a second, so
	// that this many bytes take 160 µs.
	MaxAnalysedBytes = 16 << 10

	// maxBracketDepth is the number of nesting levels of brackets that have a state of their own; deeper brackets are only
	// counted.
	maxBracketDepth = 48
)

// clause is the clause of a statement that is being read.
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

// filtersRows reports whether the conditions in the clause filter rows.
func (c clause) filtersRows() bool { return c == clauseWhere || c == clauseOn }

// bracket is the state of an open bracket, or of the statement outside all brackets.
type bracket struct {
	clause         clause
	hasVerb        bool  // the verb of its statement was read
	inList         bool  // IN (...)
	isWindowSpec   bool  // OVER (...)
	truncateAt     int32 // length to which the closing bracket truncates the normalized text; 0: it does not
	subselectDepth int32
	valueRows      int32 // rows of the VALUES clause directly in this bracket
}

// token is the kind of a token.
type token uint8

const (
	tokenNone token = iota
	tokenName
	tokenKeyword
	tokenLiteral
	tokenDot
	tokenComma
	tokenOpen
	tokenClose
	tokenOperator
	tokenStar
)

// tableUse is how a statement uses the table whose name is expected next.
type tableUse uint8

const (
	useNone tableUse = iota // no table name is expected
	useRead
	useWrite
)

// Analyser analyses one text after another and reuses its memory. It is not safe for concurrent use. The zero value is
// ready for use.
type Analyser struct {
	state
	normalized []byte
	brackets   [maxBracketDepth]bracket // in use up to depth
}

// state is the state of the analysis of one text.
type state struct {
	result Statement
	depth  int // nesting depth of brackets; may exceed maxBracketDepth

	last, previous token   // the last token and the one before it
	lastKeyword    keyword // the last keyword; valid if last is tokenKeyword
	verb           keyword // of the current statement
	pendingVerb    keyword // INSERT, UPDATE or DELETE, if the next token decides whether it is a verb
	inCTEs         bool    // in the WITH clause before the statement's verb
	tableUse       tableUse
	lastIsSign     bool // the last operator is the sign of a number

	nameStart, nameEnd int  // the last name's position in the normalized text
	isQualifier        bool // the last name is followed by a dot
	isQualified        bool // the last name is preceded by a dot
	schemaGroupFound   bool // FirstSchemaGroup is set

	inTableName                  bool // the last tokens are components of a table name
	tableIsWritten               bool
	tableIsTemporary             bool
	tableComponents              int // number of components of the table name
	schemaStart, schemaEnd       int // the component before the last, in the normalized text
	componentStart, componentEnd int // the last component

	leftOfEqual          token // the left operand of the last =, in clauses that filter rows
	previousLeftOfEqual  token // leftOfEqual before the last name
	limitExpected        bool  // the next number is a row limit
	tokenCount           int   // of the current statement
	copyDirectionUnknown bool  // COPY: FROM or TO, which decides whether the table is written, was not read yet
	createsTemporary     bool  // CREATE TEMPORARY, SELECT INTO TEMPORARY
	wroteBeforeVerb      bool  // value of Writes before the current verb
}

// NormalizedText returns the normalized form of the text analysed last: literals are replaced by ?, IN lists are reduced
// to one literal and VALUES to one row, names are in lower case, and tokens are separated by one space. It is valid until
// the next call of Analyse.
func (a *Analyser) NormalizedText() []byte { return a.normalized }

// Analyse analyses a text and returns its description.
func (a *Analyser) Analyse(text []byte) Statement {
	truncated := len(text) > MaxAnalysedBytes
	if truncated {
		text = text[:MaxAnalysedBytes]
	}
	a.reset(len(text))
	a.result.Truncated = truncated
	a.scan(text)
	a.endStatement()
	a.trimNormalized()
	if !truncated && len(a.normalized) > 0 {
		a.result.Fingerprint = max(1, xxhash.Sum64(a.normalized))
	}
	return a.result
}

func (a *Analyser) reset(textBytes int) {
	a.normalized = a.normalized[:0]
	maxNormalized := 2*textBytes + 16 // at most one added space or prefix for each byte
	if cap(a.normalized) < maxNormalized {
		a.normalized = make([]byte, 0, maxNormalized+maxNormalized/2)
	}
	a.state = state{}
	a.result.FirstSchemaGroup = NoGroup
	a.brackets[0] = bracket{}
}

// trimNormalized removes trailing spaces and semicolons.
func (a *Analyser) trimNormalized() {
	a.normalized = bytes.TrimRight(a.normalized, " ;")
}

// bracket returns the state of the innermost bracket that has one.
func (a *Analyser) bracket() *bracket { return &a.brackets[min(a.depth, maxBracketDepth-1)] }

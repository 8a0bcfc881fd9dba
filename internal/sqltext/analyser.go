// Package sqltext reads a statement's text once and describes it: its kind, the table groups that it reads and writes,
// its structure, and its fingerprint, which is the same for texts that differ only in literals, case, white space and
// comments.
//
// It follows no single dialect, never fails and does not allocate: tokens that it cannot interpret are skipped, and an
// unexpected token changes little in the result. A table group's number and its exceptions are the protocol's; all else follows the SQL standard
// and the manuals of T-SQL, PostgreSQL and MySQL.
//
// Three layers work on one pass: the scanner cuts the text into tokens (scanner.go), each token is added to the
// normalized text and interpreted where it stands (tokens.go), and keywords change what is expected next
// (keyword_rules.go).
package sqltext

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxAnalysedBytes is how many bytes of a text are read. At the 100 MB a second that the slowest texts are read
	// with, that takes 160 µs.
	MaxAnalysedBytes = 16 << 10

	// maxBrackets is how many levels of brackets have a state of their own; deeper ones are only counted.
	maxBrackets = 48
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

// choosesRows reports whether conditions there choose rows.
func (c clause) choosesRows() bool { return c == clauseWhere || c == clauseOn }

// bracket is the state of an open bracket, or of the statement itself.
type bracket struct {
	clause         clause
	hasVerb        bool // contains a statement of its own
	inList         bool
	isWindow       bool  // OVER (...)
	truncateAt     int32 // where the normalized text is truncated at the closing bracket; 0: nowhere
	subselectDepth int32
	valueRows      int32 // of this VALUES
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

// tableUse is how a table is used whose name is expected next.
type tableUse uint8

const (
	useNone tableUse = iota // no table's name is expected
	useRead
	useWrite
)

// Analyser analyses texts one after another and reuses its memory. It is not safe for concurrent use. The zero value is
// ready for use.
type Analyser struct {
	state
	normalized []byte
	brackets   [maxBrackets]bracket // those up to depth are in use
}

// state is the intermediate state of the analysis of a text.
type state struct {
	result Statement
	depth  int // of brackets; may exceed maxBrackets

	last, previous token   // the last two tokens
	lastKeyword    keyword // the last token's, if it is a keyword
	verb           keyword // of the current statement
	pendingVerb    keyword // INSERT, UPDATE or DELETE, which the next token makes a verb
	inCTEs         bool    // among the CTEs at the statement's start
	tableUse       tableUse
	signBefore     bool // the last operator is the sign of a number

	nameStart, nameEnd int  // the last name, in the normalized text
	isQualifier        bool // a dot follows the last name
	isQualified        bool // the last name stands behind a dot itself
	schemaGroupFound   bool // FirstSchemaGroup is set

	inTableName                  bool
	tableIsWritten               bool
	tableIsTemporary             bool
	tableComponents              int
	schemaStart, schemaEnd       int // the qualifier before the last component of a table's name, in the normalized text
	componentStart, componentEnd int // the last component of a table's name

	leftOfEqual         token // where rows are chosen
	previousLeftOfEqual token // the same before the last name
	limitExpected       bool  // the next token is the number of a limit
	tokenCount          int   // of the current statement
	copyMayWrite        bool  // COPY: a later token decides whether the table is written
	temporary           bool  // CREATE TEMPORARY and the like
	wroteBeforeVerb     bool  // Writes before the current verb
}

// NormalizedText returns the text last analysed with ? for literals, without further literals of lists and further rows
// of VALUES, names in lower case and one blank between tokens. It is valid until the next call of Analyse.
func (a *Analyser) NormalizedText() []byte { return a.normalized }

// Analyse describes a text.
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
	maxNormalized := 2*textBytes + 16 // a blank or a mark for each byte at most
	if cap(a.normalized) < maxNormalized {
		a.normalized = make([]byte, 0, maxNormalized+maxNormalized/2)
	}
	a.state = state{}
	a.result.FirstSchemaGroup = NoGroup
	a.brackets[0] = bracket{}
}

// trimNormalized removes blanks and semicolons at the end.
func (a *Analyser) trimNormalized() {
	a.normalized = bytes.TrimRight(a.normalized, " ;")
}

// bracket returns the innermost bracket with a state of its own.
func (a *Analyser) bracket() *bracket { return &a.brackets[min(a.depth, maxBrackets-1)] }

package sqltext

// This file contains the scanner that the router used before the analyser. It is the baseline of the analyser's
// benchmarks, and tests compare FirstSchemaGroup with its result.

import (
	"strconv"
	"strings"
)

// staging is the schema that belongs to no table group.
const staging = "staging"

// baselineSchemaGroup returns the table group of the first schema that has one, outside strings and comments.
func baselineSchemaGroup(text string) int64 {
	l := lexer{text: text}
	previous := ""     // the last name
	qualifier := false // a dot follows previous
	qualified := false // previous follows a dot itself
	for {
		kind, value := l.next()
		switch kind {
		case lexemeEnd:
			return NoGroup
		case lexemeDot:
			qualifier = previous != ""
			continue
		case lexemeName:
			if qualifier && !qualified {
				if group, ok := groupNumber(previous); ok {
					return group
				}
			}
			qualified = qualifier
			qualifier = false
			previous = value
			continue
		case lexemeStar:
			if qualifier && !qualified { // sales_17.*
				if group, ok := groupNumber(previous); ok {
					return group
				}
			}
		}
		previous = ""
		qualifier = false
		qualified = false
	}
}

// groupNumber returns the number after the last underscore of a schema's name, and false if the schema has no group.
func groupNumber(schema string) (int64, bool) {
	i := strings.LastIndexByte(schema, '_')
	if i <= 0 || strings.EqualFold(schema, staging) || strings.EqualFold(schema[:i], staging) {
		return 0, false
	}
	digits := schema[i+1:]
	if digits == "" || strings.Trim(digits, "0123456789") != "" {
		return 0, false
	}
	group, err := strconv.ParseInt(digits, 10, 64)
	return group, err == nil
}

// lexeme is the kind of a token of the baseline scanner.
type lexeme int

const (
	lexemeEnd lexeme = iota
	lexemeName
	lexemeDot
	lexemeStar
	lexemeOther
)

type lexer struct {
	text string
	pos  int
}

// next reads the next token and skips white space and comments before it.
func (l *lexer) next() (lexeme, string) {
	for l.pos < len(l.text) {
		rest := l.text[l.pos:]
		c := l.text[l.pos]
		switch {
		case c <= ' ':
			l.pos++
		case strings.HasPrefix(rest, "--"):
			l.skipPast(2, "\n")
		case strings.HasPrefix(rest, "/*"):
			l.skipBlockComment()
		case c == '\'':
			l.readQuoted('\'', l.isEscapeString())
			return lexemeOther, ""
		case c == '"' || c == '`':
			return lexemeName, l.readQuoted(c, false)
		case c == '[':
			l.skipPast(1, "]")
			return lexemeName, strings.TrimSuffix(rest[1:min(len(rest), l.pos-(len(l.text)-len(rest)))], "]")
		case c == '$' && l.skipDollarString():
			return lexemeOther, ""
		case c == '.':
			l.pos++
			return lexemeDot, ""
		case c == '*':
			l.pos++
			return lexemeStar, ""
		case isDigit(c): // a number, with its fraction
			for l.pos < len(l.text) && (isBaselineNameByte(l.text[l.pos]) || l.text[l.pos] == '.') {
				l.pos++
			}
			return lexemeOther, ""
		case isBaselineNameByte(c):
			start := l.pos
			for l.pos < len(l.text) && isBaselineNameByte(l.text[l.pos]) {
				l.pos++
			}
			return lexemeName, l.text[start:l.pos]
		default:
			l.pos++
			return lexemeOther, ""
		}
	}
	return lexemeEnd, ""
}

func isBaselineNameByte(c byte) bool {
	return c == '_' || c == '$' || isDigit(c) || 'a' <= c|0x20 && c|0x20 <= 'z' || c >= 0x80
}

// skipPast skips the text up to and including a delimiter that is searched from an offset, or all text if there is none.
func (l *lexer) skipPast(offset int, delimiter string) {
	if i := strings.Index(l.text[l.pos+offset:], delimiter); i >= 0 {
		l.pos += offset + i + len(delimiter)
	} else {
		l.pos = len(l.text)
	}
}

// skipBlockComment skips a block comment and the comments nested in it.
func (l *lexer) skipBlockComment() {
	depth := 0
	for l.pos < len(l.text) {
		switch rest := l.text[l.pos:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.pos += 2
			if depth == 0 {
				return
			}
		default:
			l.pos++
		}
	}
}

// isEscapeString reports whether the string at the current position has the form E'...', in which a backslash escapes.
func (l *lexer) isEscapeString() bool {
	return l.pos > 0 && l.text[l.pos-1]|0x20 == 'e' && (l.pos == 1 || !isBaselineNameByte(l.text[l.pos-2]))
}

// readQuoted reads up to the closing quote. A doubled quote represents one quote.
func (l *lexer) readQuoted(quote byte, escapes bool) string {
	l.pos++
	start := l.pos
	doubled := false
	for l.pos < len(l.text) {
		switch c := l.text[l.pos]; {
		case escapes && c == '\\':
			l.pos = min(l.pos+2, len(l.text))
		case c != quote:
			l.pos++
		case l.pos+1 < len(l.text) && l.text[l.pos+1] == quote:
			l.pos += 2
			doubled = true
		default:
			l.pos++
			value := l.text[start : l.pos-1]
			if doubled {
				value = strings.ReplaceAll(value, string([]byte{quote, quote}), string(quote))
			}
			return value
		}
	}
	return l.text[start:]
}

// skipDollarString skips a dollar-quoted string $tag$...$tag$, and returns false if there is none.
func (l *lexer) skipDollarString() bool {
	rest := l.text[l.pos+1:]
	i := 0
	for i < len(rest) && isBaselineNameByte(rest[i]) && rest[i] != '$' {
		i++
	}
	if i == len(rest) || rest[i] != '$' || i > 0 && isDigit(rest[0]) {
		return false
	}
	l.skipPast(i+2, l.text[l.pos:l.pos+i+2])
	return true
}

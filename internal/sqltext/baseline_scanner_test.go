package sqltext

// The scan that the router had before the analyser: the baseline of its benchmarks and the oracle of FirstSchemaGroup.

import (
	"strconv"
	"strings"
)

// staging is the schema that belongs to no table group.
const staging = "staging"

// scanGroup is the number of the first schema with one, outside strings and comments.
func scanGroup(text string) int64 {
	l := lexer{text: text}
	previous := ""     // the name last read
	qualifier := false // a dot follows previous
	chained := false   // previous itself stands behind a dot
	for {
		kind, value := l.next()
		switch kind {
		case end:
			return NoGroup
		case dot:
			qualifier = previous != ""
			continue
		case name:
			if qualifier && !chained {
				if group, ok := scanNumber(previous); ok {
					return group
				}
			}
			chained = qualifier
			qualifier = false
			previous = value
			continue
		case star:
			if qualifier && !chained { // sales_17.*
				if group, ok := scanNumber(previous); ok {
					return group
				}
			}
		}
		previous = ""
		qualifier = false
		chained = false
	}
}

// scanNumber is what stands behind the last underscore of a schema's name.
func scanNumber(schema string) (int64, bool) {
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

type scanned int

const (
	end scanned = iota
	name
	dot
	star
	other
)

type lexer struct {
	text string
	at   int
}

// next reads one token; white space and comments count as none.
func (l *lexer) next() (scanned, string) {
	for l.at < len(l.text) {
		rest := l.text[l.at:]
		c := l.text[l.at]
		switch {
		case c <= ' ':
			l.at++
		case strings.HasPrefix(rest, "--"):
			l.skipPast(2, "\n")
		case strings.HasPrefix(rest, "/*"):
			l.block()
		case c == '\'':
			l.quoted('\'', l.escapes())
			return other, ""
		case c == '"' || c == '`':
			return name, l.quoted(c, false)
		case c == '[':
			l.skipPast(1, "]")
			return name, strings.TrimSuffix(rest[1:min(len(rest), l.at-(len(l.text)-len(rest)))], "]")
		case c == '$' && l.dollar():
			return other, ""
		case c == '.':
			l.at++
			return dot, ""
		case c == '*':
			l.at++
			return star, ""
		case isDigit(c): // a number, with its fraction
			for l.at < len(l.text) && (isName(l.text[l.at]) || l.text[l.at] == '.') {
				l.at++
			}
			return other, ""
		case isName(c):
			from := l.at
			for l.at < len(l.text) && isName(l.text[l.at]) {
				l.at++
			}
			return name, l.text[from:l.at]
		default:
			l.at++
			return other, ""
		}
	}
	return end, ""
}

func isName(c byte) bool {
	return c == '_' || c == '$' || isDigit(c) || 'a' <= c|0x20 && c|0x20 <= 'z' || c >= 0x80
}

func (l *lexer) skipPast(from int, mark string) {
	if i := strings.Index(l.text[l.at+from:], mark); i >= 0 {
		l.at += from + i + len(mark)
	} else {
		l.at = len(l.text)
	}
}

// block skips a block comment and those inside it.
func (l *lexer) block() {
	depth := 0
	for l.at < len(l.text) {
		switch rest := l.text[l.at:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.at += 2
			if depth == 0 {
				return
			}
		default:
			l.at++
		}
	}
}

// escapes reports whether the string that begins here is of the form E'...', where a backslash escapes.
func (l *lexer) escapes() bool {
	return l.at > 0 && l.text[l.at-1]|0x20 == 'e' && (l.at == 1 || !isName(l.text[l.at-2]))
}

// quoted reads to the closing quote; a doubled quote stands for one.
func (l *lexer) quoted(quote byte, escapes bool) string {
	l.at++
	from := l.at
	doubled := false
	for l.at < len(l.text) {
		switch c := l.text[l.at]; {
		case escapes && c == '\\':
			l.at = min(l.at+2, len(l.text))
		case c != quote:
			l.at++
		case l.at+1 < len(l.text) && l.text[l.at+1] == quote:
			l.at += 2
			doubled = true
		default:
			l.at++
			value := l.text[from : l.at-1]
			if doubled {
				value = strings.ReplaceAll(value, string([]byte{quote, quote}), string(quote))
			}
			return value
		}
	}
	return l.text[from:]
}

// dollar skips a string of the form $mark$...$mark$.
func (l *lexer) dollar() bool {
	rest := l.text[l.at+1:]
	i := 0
	for i < len(rest) && isName(rest[i]) && rest[i] != '$' {
		i++
	}
	if i == len(rest) || rest[i] != '$' || i > 0 && isDigit(rest[0]) {
		return false
	}
	l.skipPast(i+2, l.text[l.at:l.at+i+2])
	return true
}

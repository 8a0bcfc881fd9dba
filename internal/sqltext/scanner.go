package sqltext

import "bytes"

// scan splits a text into tokens and skips white space and comments. The scan methods take the position at which a token
// begins and return the position after it.
func (a *Analyser) scan(text []byte) {
	for i := 0; i < len(text); {
		c := text[i]
		switch classOf[c] {
		case classSpace:
			i++
		case className:
			i = a.scanName(text, i)
			if i < len(text) && text[i] == ' ' { // the usual case; saves an iteration
				i++
			}
		case classDigit:
			i = a.scanNumberLiteral(text, i)
		case classQuote:
			i = a.scanString(text, i)
		case classNameQuote:
			i = a.scanQuotedName(text, i)
		case classBracket:
			i = a.scanSquareBracket(text, i)
		case classDollar:
			i = a.scanDollar(text, i)
		case classDash:
			i = a.scanDash(text, i)
		case classSlash:
			i = a.scanSlash(text, i)
		case classDot:
			a.addDot()
			i++
		case classStar:
			a.addStar()
			i++
		case classComma:
			a.addComma()
			i++
			if i < len(text) && text[i] == ' ' {
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
			a.addEqual(i > 0 && isCompoundWithEqual(text[i-1]))
			i++
		case classLess:
			a.addLess(c, i+1 < len(text) && text[i+1] == '>')
			i++
		case classPrefix:
			i = a.scanPrefixedName(text, i)
		default:
			a.addOtherOperator(c)
			i++
		}
	}
}

// isCompoundWithEqual reports whether a byte forms one operator with the = after it: <=, >=, != and :=.
func isCompoundWithEqual(c byte) bool { return classOf[c] == classLess || c == '!' || c == ':' }

// scanName reads a name or keyword and adds it in lower case to the normalized text.
func (a *Analyser) scanName(text []byte, i int) int {
	a.startName()
	start := len(a.normalized)
	end := start
	buffer := a.normalized[:cap(a.normalized)]
	for ; i < len(text) && end < len(buffer); i++ {
		folded := foldedNameByte[text[i]]
		if folded == 0 {
			break
		}
		buffer[end] = folded
		end++
	}
	a.normalized = buffer[:end]
	a.endName(start, 0, false)
	return i
}

// scanNumberLiteral reads a number, with its fraction and exponent.
func (a *Analyser) scanNumberLiteral(text []byte, i int) int {
	start := i
	for i++; i < len(text); i++ {
		c := text[i]
		if !isNameByte(c) && c != '.' && !isExponentSign(text, start, i) {
			break
		}
	}
	if a.limitExpected {
		a.limitExpected = false
		a.readLimit(text[start:i])
	}
	a.addLiteral()
	return i
}

// isExponentSign reports whether the byte at i, in a number that begins at start, is the sign of its exponent.
func isExponentSign(text []byte, start, i int) bool {
	isSign := text[i] == '-' || text[i] == '+'
	return isSign && text[i-1]|0x20 == 'e' && i+1 < len(text) && isDigit(text[i+1]) && text[start]|0x20 != 'x'
}

// readLimit sets Limit to the leading digits of a number.
func (a *Analyser) readLimit(number []byte) {
	const maxLimit = 1 << 40 // no digits are added to a larger value
	for _, c := range number {
		if !isDigit(c) || a.result.Limit > maxLimit {
			return
		}
		a.result.Limit = a.result.Limit*10 + int64(c-'0')
	}
}

// scanString reads a string '...'. A doubled quote represents one quote; in E'...', a backslash escapes the next byte.
func (a *Analyser) scanString(text []byte, i int) int {
	isPrefixed := i > 0 && (i == 1 || !isNameByte(text[i-2])) && a.last != tokenNone && isNameByte(text[i-1]) && !isDigit(text[i-1])
	escapes := isPrefixed && text[i-1]|0x20 == 'e'
	if isPrefixed {
		a.removeStringPrefix()
	}
	i++
	for {
		length := bytes.IndexByte(text[i:], '\'')
		if length < 0 {
			a.result.Unterminated = true
			i = len(text)
			break
		}
		if escapes {
			if backslash := bytes.IndexByte(text[i:i+length], '\\'); backslash >= 0 {
				i = min(i+backslash+2, len(text))
				continue
			}
		}
		i += length + 1
		if i < len(text) && text[i] == '\'' {
			i++
			continue
		}
		break
	}
	a.addLiteral()
	return i
}

// removeStringPrefix removes the last name, one letter directly before a string that is the string's prefix: N'...',
// E'...'.
func (a *Analyser) removeStringPrefix() {
	a.normalized = bytes.TrimRight(a.normalized[:len(a.normalized)-1], " ")
	a.inTableName = a.inTableName && a.last != tokenName
	a.last = a.previous
	a.nameEnd = a.nameStart
	a.leftOfEqual = a.previousLeftOfEqual
}

// scanQuotedName reads a name in double quotes or backticks.
func (a *Analyser) scanQuotedName(text []byte, i int) int {
	start := i + 1
	end := a.endOfQuotedName(text, start, text[i])
	if end > len(text) {
		a.addQuotedName(text[start:], 0)
		return len(text)
	}
	a.addQuotedName(text[start:end-1], 0)
	return end
}

// endOfQuotedName returns the position after the closing quote, or len(text)+1 if there is none.
func (a *Analyser) endOfQuotedName(text []byte, i int, quote byte) int {
	for {
		length := bytes.IndexByte(text[i:], quote)
		if length < 0 {
			a.result.Unterminated = true
			return len(text) + 1
		}
		i += length + 1
		if i == len(text) || text[i] != quote {
			return i
		}
		i++ // a doubled quote represents one quote
	}
}

// scanSquareBracket reads a T-SQL name in square brackets, or a subscript or array directly after a name or bracket.
func (a *Analyser) scanSquareBracket(text []byte, i int) int {
	isSubscript := i > 0 && (isNameByte(text[i-1]) || text[i-1] == ']' || text[i-1] == ')')
	start := i + 1
	length := bytes.IndexByte(text[start:], ']')
	if length < 0 {
		a.result.Unterminated = true
		length = len(text) - start
	}
	if isSubscript && a.last != tokenKeyword {
		a.addLiteral()
	} else {
		a.addQuotedName(text[start:start+length], 0)
	}
	return min(start+length+1, len(text))
}

// scanDollar reads a dollar-quoted string $tag$...$tag$, a parameter such as $1, or a name.
func (a *Analyser) scanDollar(text []byte, i int) int {
	if end := endOfDollarString(text, i); end > 0 {
		if end > len(text) {
			a.result.Unterminated = true
			end = len(text)
		}
		a.addLiteral()
		return end
	}
	if i+1 == len(text) || !isDigit(text[i+1]) {
		return a.scanName(text, i)
	}
	for i++; i < len(text) && isNameByte(text[i]); i++ {
	}
	a.addParameter()
	return i
}

// endOfDollarString returns the position after a dollar-quoted string $tag$...$tag$, len(text)+1 if it is not terminated,
// or 0 if there is none.
func endOfDollarString(text []byte, i int) int {
	tagEnd := i + 1
	for tagEnd < len(text) && isNameByte(text[tagEnd]) && text[tagEnd] != '$' {
		tagEnd++
	}
	if tagEnd == len(text) || text[tagEnd] != '$' {
		return 0
	}
	if tagEnd > i+1 && isDigit(text[i+1]) {
		return 0
	}
	tag := text[i : tagEnd+1]
	length := bytes.Index(text[tagEnd+1:], tag)
	if length < 0 {
		return len(text) + 1
	}
	return tagEnd + 1 + length + len(tag)
}

// scanDash skips a line comment or reads a minus.
func (a *Analyser) scanDash(text []byte, i int) int {
	if i+1 < len(text) && text[i+1] == '-' {
		length := bytes.IndexByte(text[i:], '\n')
		if length < 0 {
			return len(text)
		}
		return i + length + 1
	}
	a.detectSign()
	a.addOperator('-')
	return i + 1
}

// scanSlash skips a block comment or reads a division operator.
func (a *Analyser) scanSlash(text []byte, i int) int {
	if i+1 < len(text) && text[i+1] == '*' {
		return a.scanBlockComment(text, i)
	}
	a.addOperator('/')
	return i + 1
}

// scanBlockComment skips a block comment and the comments nested in it.
func (a *Analyser) scanBlockComment(text []byte, i int) int {
	const chunkBytes = 64 // bytes searched at a time
	depth := 0
	for i < len(text) {
		next := bytes.IndexAny(text[i:min(len(text), i+chunkBytes)], "*/")
		if next < 0 {
			i = min(len(text), i+chunkBytes)
			continue
		}
		i += next
		opens := i+1 < len(text) && text[i] == '/' && text[i+1] == '*'
		closes := i+1 < len(text) && text[i] == '*' && text[i+1] == '/'
		switch {
		case opens:
			depth++
			i += 2
		case closes:
			depth--
			i += 2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	a.result.Unterminated = true
	return i
}

// scanPrefixedName reads @variable, #temporary, :parameter and the operator of ::type. Prefixes without a name are
// operators.
func (a *Analyser) scanPrefixedName(text []byte, i int) int {
	prefix := text[i]
	if prefix == ':' && i+1 < len(text) && text[i+1] == ':' {
		a.addOperator(':')
		a.addOperator(':')
		return i + 2
	}
	prefixStart := i
	for i < len(text) && text[i] == prefix {
		i++
	}
	if i == len(text) || !isNameByte(text[i]) {
		for range i - prefixStart {
			a.addOperator(prefix)
		}
		return i
	}
	start := i
	for i++; i < len(text) && isNameByte(text[i]); i++ {
	}
	isTable := prefix == '#' || a.tableUse != useNone // a temporary table or a table variable
	if isTable {
		a.addQuotedName(text[start:i], prefix)
	} else {
		a.addParameter()
	}
	return i
}

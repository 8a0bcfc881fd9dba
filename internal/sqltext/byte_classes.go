package sqltext

// byteClass is the class of a byte by the kind of token that begins with it.
type byteClass uint8

const (
	classOperator byteClass = iota
	classSpace              // white space and other bytes up to it
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
	classLess   // also >
	classPrefix // @, # and :, which may precede a name
)

var (
	// foldedNameByte maps the bytes of names to lower case, and all others to 0.
	foldedNameByte [256]byte
	// classOf maps each byte to its class.
	classOf [256]byteClass
)

var punctuation = map[byte]byteClass{
	'\'': classQuote,
	'"':  classNameQuote,
	'`':  classNameQuote,
	'[':  classBracket,
	'$':  classDollar,
	'-':  classDash,
	'/':  classSlash,
	'.':  classDot,
	'*':  classStar,
	',':  classComma,
	'(':  classOpen,
	')':  classClose,
	';':  classSemicolon,
	'=':  classEqual,
	'<':  classLess,
	'>':  classLess,
	'@':  classPrefix,
	'#':  classPrefix,
	':':  classPrefix,
}

func init() {
	const toLower = 0x20
	for i := range 256 {
		c := byte(i)
		switch {
		case c <= ' ':
			classOf[c] = classSpace
		case isDigit(c):
			classOf[c] = classDigit
			foldedNameByte[c] = c
		case 'A' <= c && c <= 'Z':
			classOf[c] = className
			foldedNameByte[c] = c | toLower
		case c == '_' || 'a' <= c && c <= 'z' || c >= 0x80:
			classOf[c] = className
			foldedNameByte[c] = c
		}
	}
	foldedNameByte['$'] = '$'
	for c, class := range punctuation {
		classOf[c] = class
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isNameByte(c byte) bool { return foldedNameByte[c] != 0 }

package sql

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Limits of one text. A text that exceeds one is rejected before any more work is done on it.
const (
	MaxBytes  = 1 << 20 // length of a text: far more than a person or a program writes for one command
	MaxTokens = 1 << 16 // enough for a list of more than ten thousand values
	MaxDepth  = 256     // nested brackets: deeper nesting comes from faulty generators
)

// TokenKind is the kind of a token.
type TokenKind uint8

// The kinds of tokens.
const (
	End              TokenKind = iota
	Word                       // an identifier or a keyword without quotes
	QuotedIdentifier           // an identifier in double quotes
	StringLiteral              // a string constant, in any kind of quotes
	BitString                  // B'...' or X'...'
	Number                     // any number
	Parameter                  // $1
	Operator                   // one or more of the operator characters
	Punctuation                // one of ( ) [ ] , ; . : and :: := .. =>
)

// Token is a token: its kind and its position in the text.
type Token struct {
	Kind     TokenKind
	From, To int32 // byte offsets; To is exclusive
}

// Error tells why a text is rejected, and where.
type Error struct {
	Offset int // byte offset in the text
	Reason string
}

// Error returns the offset and the reason.
func (e *Error) Error() string { return fmt.Sprintf("at byte %d: %s", e.Offset, e.Reason) }

// StringSyntax tells how a server interprets a backslash in a plain string, which its setting
// standard_conforming_strings decides.
type StringSyntax uint8

// The string syntaxes. If it is unknown, a statement in which the end of a string depends on it counts as a write.
const (
	StandardStrings  StringSyntax = iota // a backslash is an ordinary character
	BackslashStrings                     // a backslash escapes the next character
	UnknownStrings
)

// Lexer splits a text into tokens.
type Lexer struct {
	text     string
	strings  StringSyntax
	pos      int
	tokens   int
	depth    int
	brackets [MaxDepth]byte // open brackets, outermost first
	// AmbiguousString is set if a plain string contains a backslash and the server's syntax is unknown: the server may
	// end the string elsewhere.
	AmbiguousString bool
}

// NewLexer returns a lexer for a text. It returns an *Error if the text is too long, isn't UTF-8 or contains a zero
// byte.
func NewLexer(text string, syntax StringSyntax) (*Lexer, error) {
	l := &Lexer{}
	if err := l.reset(text, syntax); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Lexer) reset(text string, syntax StringSyntax) error {
	if len(text) > MaxBytes {
		return &Error{MaxBytes, fmt.Sprintf("%d bytes, %d at most", len(text), MaxBytes)}
	}
	if !utf8.ValidString(text) {
		at := 0
		for at < len(text) {
			r, size := utf8.DecodeRuneInString(text[at:])
			if r == utf8.RuneError && size <= 1 {
				break
			}
			at += size
		}
		return &Error{at, "no valid UTF-8"}
	}
	if i := strings.IndexByte(text, 0); i >= 0 {
		return &Error{i, "a zero byte"}
	}
	*l = Lexer{text: text, strings: syntax}
	return nil
}

// Text returns a token as it is written in the text.
func (l *Lexer) Text(t Token) string { return l.text[t.From:t.To] }

// Name returns an identifier as the server interprets it: folded to lower case, or as written inside its quotes. The
// escapes of U&"..." are not decoded.
func (l *Lexer) Name(t Token) string {
	s := l.Text(t)
	switch t.Kind {
	case Word:
		return fold(s)
	case QuotedIdentifier:
		if s[0] != '"' { // U&"..."
			s = s[2:]
		}
		return strings.ReplaceAll(s[1:len(s)-1], `""`, `"`)
	}
	return s
}

// fold converts ASCII letters alone to lower case, as servers do for names in UTF-8.
func fold(s string) string {
	for i := 0; i < len(s); i++ {
		if s[i] >= 'A' && s[i] <= 'Z' {
			b := []byte(s)
			for ; i < len(b); i++ {
				if b[i] >= 'A' && b[i] <= 'Z' {
					b[i] += 'a' - 'A'
				}
			}
			return string(b)
		}
	}
	return s
}

// Character classes of bytes.
const (
	isSpace      = 1 << iota
	isIdentStart // first byte of an identifier
	isIdentPart  // later byte of an identifier
	isDigit
	isOperator
	isPunct // a token of its own
)

var byteClass = func() (c [256]uint8) {
	for _, b := range " \t\n\r\f\v" {
		c[b] |= isSpace
	}
	for b := 0; b < 256; b++ {
		if b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_' || b >= 0x80 {
			c[b] |= isIdentStart | isIdentPart
		}
		if b >= '0' && b <= '9' {
			c[b] |= isDigit | isIdentPart
		}
	}
	c['$'] |= isIdentPart
	for _, b := range "+-*/<>=~!@#%^&|`?" {
		c[b] |= isOperator
	}
	for _, b := range "()[],;." {
		c[b] |= isPunct
	}
	return c
}()

func (l *Lexer) fail(offset int, reason string) (Token, error) {
	l.pos = len(l.text)
	return Token{}, &Error{offset, reason}
}

// byteAt returns the byte at an offset, or 0 past the end of the text.
func (l *Lexer) byteAt(i int) byte {
	if i < len(l.text) {
		return l.text[i]
	}
	return 0
}

// Next returns the next token, and End after the last. The error is an *Error.
func (l *Lexer) Next() (Token, error) {
	if err := l.skipSpaceAndComments(); err != nil {
		return l.fail(err.Offset, err.Reason)
	}
	if l.pos >= len(l.text) {
		return Token{Kind: End, From: int32(len(l.text)), To: int32(len(l.text))}, nil
	}
	if l.tokens++; l.tokens > MaxTokens {
		return l.fail(l.pos, fmt.Sprintf("over %d tokens", MaxTokens))
	}
	from := l.pos
	kind, err := l.scanToken()
	if err != nil {
		return l.fail(err.Offset, err.Reason)
	}
	return Token{kind, int32(from), int32(l.pos)}, nil
}

// skipSpaceAndComments skips white space and comments. Block comments may be nested.
func (l *Lexer) skipSpaceAndComments() *Error {
	for l.pos < len(l.text) {
		c := l.text[l.pos]
		switch {
		case byteClass[c]&isSpace != 0:
			l.pos++
		case c == '-' && l.byteAt(l.pos+1) == '-':
			l.skipLineComment()
		case c == '/' && l.byteAt(l.pos+1) == '*':
			if err := l.skipBlockComment(); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

func (l *Lexer) skipLineComment() {
	if i := strings.IndexAny(l.text[l.pos:], "\n\r"); i >= 0 {
		l.pos += i
	} else {
		l.pos = len(l.text)
	}
}

func (l *Lexer) skipBlockComment() *Error {
	from, depth := l.pos, 0
	for l.pos < len(l.text) {
		switch {
		case l.text[l.pos] == '/' && l.byteAt(l.pos+1) == '*':
			depth++
			l.pos += 2
		case l.text[l.pos] == '*' && l.byteAt(l.pos+1) == '/':
			depth--
			l.pos += 2
			if depth == 0 {
				return nil
			}
		default:
			l.pos++
		}
	}
	return &Error{from, "a comment that does not end"}
}

// scanToken scans the token at the current position.
func (l *Lexer) scanToken() (TokenKind, *Error) {
	c, next := l.text[l.pos], l.byteAt(l.pos+1)
	switch {
	case c == '\'':
		return StringLiteral, l.scanString(l.pos, l.strings == BackslashStrings, l.strings == UnknownStrings)
	case (c == 'e' || c == 'E') && next == '\'':
		return StringLiteral, l.scanPrefixedString(1, true)
	case (c == 'b' || c == 'B' || c == 'x' || c == 'X') && next == '\'':
		return BitString, l.scanPrefixedString(1, false)
	case (c == 'n' || c == 'N') && next == '\'':
		from := l.pos
		l.pos++
		return StringLiteral, l.scanString(from, l.strings == BackslashStrings, l.strings == UnknownStrings)
	case (c == 'u' || c == 'U') && next == '&' && l.byteAt(l.pos+2) == '\'':
		// A server that treats backslashes as escapes rejects this form, so it isn't ambiguous.
		return StringLiteral, l.scanPrefixedString(2, false)
	case (c == 'u' || c == 'U') && next == '&' && l.byteAt(l.pos+2) == '"':
		l.pos += 2
		return QuotedIdentifier, l.scanQuotedIdentifier()
	case c == '"':
		return QuotedIdentifier, l.scanQuotedIdentifier()
	case byteClass[c]&isIdentStart != 0:
		for l.pos < len(l.text) && byteClass[l.text[l.pos]]&isIdentPart != 0 {
			l.pos++
		}
		return Word, nil
	case byteClass[c]&isDigit != 0 || c == '.' && byteClass[next]&isDigit != 0:
		return Number, l.scanNumber()
	case c == '$':
		return l.scanDollar()
	case c == ':' || byteClass[c]&isPunct != 0:
		return Punctuation, l.scanPunctuation(c, next)
	case byteClass[c]&isOperator != 0:
		return l.scanOperator()
	}
	return 0, &Error{l.pos, fmt.Sprintf("the character %q", c)}
}

// scanPunctuation scans a punctuation token and keeps track of open brackets.
func (l *Lexer) scanPunctuation(c, next byte) *Error {
	from := l.pos
	l.pos++
	switch {
	case c == ':' && (next == ':' || next == '='), c == '.' && next == '.':
		l.pos++
	case c == '(' || c == '[':
		if l.depth == MaxDepth {
			return &Error{from, fmt.Sprintf("brackets over %d deep", MaxDepth)}
		}
		l.brackets[l.depth] = c
		l.depth++
	case c == ')' || c == ']':
		if l.depth == 0 || (l.brackets[l.depth-1] == '(') != (c == ')') {
			return &Error{from, "a closing bracket without its opening one"}
		}
		l.depth--
	}
	return nil
}

// scanOperator scans an operator, which ends where a comment begins. Several characters that end in + or - are one
// operator only if they contain one of ~!@#%^&|`?.
func (l *Lexer) scanOperator() (TokenKind, *Error) {
	from, end := l.pos, l.pos
	for end < len(l.text) && byteClass[l.text[end]]&isOperator != 0 {
		if two := l.text[end:min(end+2, len(l.text))]; two == "--" || two == "/*" {
			break
		}
		end++
	}
	if !strings.ContainsAny(l.text[from:end], "~!@#%^&|`?") {
		for end-from > 1 && (l.text[end-1] == '+' || l.text[end-1] == '-') {
			end--
		}
	}
	l.pos = end
	if l.text[from:end] == "=>" {
		return Punctuation, nil
	}
	return Operator, nil
}

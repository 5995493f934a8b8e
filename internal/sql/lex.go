package sql

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Limits of one text. A text over one of them is refused before more work is done on it.
const (
	MaxBytes  = 1 << 20 // of a text: far over what a person or a program writes for one command
	MaxTokens = 1 << 16 // a list of some ten thousand values
	MaxDepth  = 256     // brackets within one another: deeper ones come from generators gone wrong
)

// Kind is what a token is.
type Kind uint8

// The kinds of tokens.
const (
	End           Kind = iota
	Word               // an identifier or a key word, folded to lower case
	Quoted             // an identifier in double quotes, as it stands within them
	StringLiteral      // a text, in whatever quotes
	BitString          // B'...' or X'...'
	Number             // any number
	Parameter          // $1
	Operator           // one or more of the operator characters
	Punctuation        // one of ( ) [ ] , ; . : and :: := .. =>
)

// Token is one token: its kind and where it stands in the text.
type Token struct {
	Kind     Kind
	From, To int32 // bytes
}

// Error says why a text is refused, and where.
type Error struct {
	Offset int // byte of the text, from 0
	Reason string
}

// Error gives the place and the reason.
func (e *Error) Error() string { return fmt.Sprintf("at byte %d: %s", e.Offset, e.Reason) }

// StringSyntax is how a server reads a backslash within plain quotes: its setting standard_conforming_strings.
type StringSyntax uint8

// The ways to read it. Where it is unknown, a statement in which the end of a string depends on it counts as a write.
const (
	StandardStrings  StringSyntax = iota // a backslash is an ordinary character
	BackslashStrings                     // a backslash escapes what follows it
	UnknownStrings
)

// Lexer cuts a text into tokens.
type Lexer struct {
	text     string
	strings  StringSyntax
	at       int
	tokens   int
	depth    int
	brackets [MaxDepth]byte // the brackets that are open
	// AmbiguousString is set where a plain string held a backslash while it is unknown how the server reads it: another
	// reading may end the string elsewhere.
	AmbiguousString bool
}

// NewLexer returns a lexer for a text. The error is an *Error where the text is too long or not UTF-8.
func NewLexer(text string, how StringSyntax) (*Lexer, error) {
	l := &Lexer{}
	if err := l.reset(text, how); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Lexer) reset(text string, how StringSyntax) error {
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
	*l = Lexer{text: text, strings: how}
	return nil
}

// Text returns a token as it stands in the text.
func (l *Lexer) Text(t Token) string { return l.text[t.From:t.To] }

// Name returns an identifier as the server takes it: folded to lower case, or as it stands within its quotes.
func (l *Lexer) Name(t Token) string {
	s := l.Text(t)
	switch t.Kind {
	case Word:
		return fold(s)
	case Quoted:
		if s[0] != '"' { // U&"..."
			s = s[2:]
		}
		return strings.ReplaceAll(s[1:len(s)-1], `""`, `"`)
	}
	return s
}

// fold lowers ASCII letters alone, as servers do for names in UTF-8.
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

// Classes of bytes.
const (
	isSpace = 1 << iota
	isStart // of an identifier
	isPart  // of one, behind its start
	isDigit
	isOperator
	isSelf // stands alone
)

var byteClass = func() (c [256]uint8) {
	for _, b := range " \t\n\r\f\v" {
		c[b] |= isSpace
	}
	for b := 0; b < 256; b++ {
		if b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_' || b >= 0x80 {
			c[b] |= isStart | isPart
		}
		if b >= '0' && b <= '9' {
			c[b] |= isDigit | isPart
		}
	}
	c['$'] |= isPart
	for _, b := range "+-*/<>=~!@#%^&|`?" {
		c[b] |= isOperator
	}
	for _, b := range "()[],;." {
		c[b] |= isSelf
	}
	return c
}()

func (l *Lexer) fail(at int, why string) (Token, error) {
	l.at = len(l.text)
	return Token{}, &Error{at, why}
}

// byteAt returns a byte of the text, 0 behind its end.
func (l *Lexer) byteAt(i int) byte {
	if i < len(l.text) {
		return l.text[i]
	}
	return 0
}

// Next returns the next token, End behind the last. The error is an *Error.
func (l *Lexer) Next() (Token, error) {
	if err := l.skipSpaceAndComments(); err != nil {
		return l.fail(err.Offset, err.Reason)
	}
	if l.at >= len(l.text) {
		return Token{Kind: End, From: int32(len(l.text)), To: int32(len(l.text))}, nil
	}
	if l.tokens++; l.tokens > MaxTokens {
		return l.fail(l.at, fmt.Sprintf("over %d tokens", MaxTokens))
	}
	from := l.at
	kind, err := l.scanToken()
	if err != nil {
		return l.fail(err.Offset, err.Reason)
	}
	return Token{kind, int32(from), int32(l.at)}, nil
}

// skipSpaceAndComments passes white space and comments, which may be within one another.
func (l *Lexer) skipSpaceAndComments() *Error {
	for l.at < len(l.text) {
		c := l.text[l.at]
		switch {
		case byteClass[c]&isSpace != 0:
			l.at++
		case c == '-' && l.byteAt(l.at+1) == '-':
			l.skipLineComment()
		case c == '/' && l.byteAt(l.at+1) == '*':
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
	if i := strings.IndexAny(l.text[l.at:], "\n\r"); i >= 0 {
		l.at += i
	} else {
		l.at = len(l.text)
	}
}

func (l *Lexer) skipBlockComment() *Error {
	from, depth := l.at, 0
	for l.at < len(l.text) {
		switch {
		case l.text[l.at] == '/' && l.byteAt(l.at+1) == '*':
			depth++
			l.at += 2
		case l.text[l.at] == '*' && l.byteAt(l.at+1) == '/':
			depth--
			l.at += 2
			if depth == 0 {
				return nil
			}
		default:
			l.at++
		}
	}
	return &Error{from, "a comment that does not end"}
}

// scanToken reads the token that begins here.
func (l *Lexer) scanToken() (Kind, *Error) {
	c, next := l.text[l.at], l.byteAt(l.at+1)
	switch {
	case c == '\'':
		return StringLiteral, l.scanString(l.at, l.strings == BackslashStrings, l.strings == UnknownStrings)
	case (c == 'e' || c == 'E') && next == '\'':
		return StringLiteral, l.scanPrefixedString(1, true)
	case (c == 'b' || c == 'B' || c == 'x' || c == 'X') && next == '\'':
		return BitString, l.scanPrefixedString(1, false)
	case (c == 'n' || c == 'N') && next == '\'':
		from := l.at
		l.at++
		return StringLiteral, l.scanString(from, l.strings == BackslashStrings, l.strings == UnknownStrings)
	case (c == 'u' || c == 'U') && next == '&' && l.byteAt(l.at+2) == '\'':
		// Where the server reads backslashes as escapes it refuses this form, so only one reading is possible.
		return StringLiteral, l.scanPrefixedString(2, false)
	case (c == 'u' || c == 'U') && next == '&' && l.byteAt(l.at+2) == '"':
		l.at += 2
		return Quoted, l.scanQuotedIdentifier()
	case c == '"':
		return Quoted, l.scanQuotedIdentifier()
	case byteClass[c]&isStart != 0:
		for l.at < len(l.text) && byteClass[l.text[l.at]]&isPart != 0 {
			l.at++
		}
		return Word, nil
	case byteClass[c]&isDigit != 0 || c == '.' && byteClass[next]&isDigit != 0:
		return Number, l.scanNumber()
	case c == '$':
		return l.scanDollar()
	case c == ':' || byteClass[c]&isSelf != 0:
		return Punctuation, l.scanPunctuation(c, next)
	case byteClass[c]&isOperator != 0:
		return l.scanOperator()
	}
	return 0, &Error{l.at, fmt.Sprintf("the character %q", c)}
}

// scanPunctuation reads a punctuation mark and keeps track of brackets.
func (l *Lexer) scanPunctuation(c, next byte) *Error {
	from := l.at
	l.at++
	switch {
	case c == ':' && (next == ':' || next == '='), c == '.' && next == '.':
		l.at++
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

// scanOperator reads operator characters up to a comment. Of several it ends in + or - only where one of ~!@#%^&|`? is
// among them.
func (l *Lexer) scanOperator() (Kind, *Error) {
	from, end := l.at, l.at
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
	l.at = end
	if l.text[from:end] == "=>" {
		return Punctuation, nil
	}
	return Operator, nil
}

package sql

import "strings"

func (l *Lexer) scanPrefixedString(prefixLen int, escapes bool) *Error {
	from := l.pos
	l.pos += prefixLen
	return l.scanString(from, escapes, false)
}

// scanString scans a string in single quotes, including its continuations on later lines.
func (l *Lexer) scanString(from int, escapes, ambiguous bool) *Error {
	for l.pos++; l.pos < len(l.text); l.pos++ {
		switch l.text[l.pos] {
		case '\\':
			if ambiguous {
				l.AmbiguousString = true
			}
			if escapes {
				l.pos++
			}
		case '\'':
			if l.byteAt(l.pos+1) == '\'' {
				l.pos++
				continue
			}
			l.pos++
			if !l.continuesOnNextLine() {
				return nil
			}
		}
	}
	l.pos = len(l.text)
	return &Error{from, "a text that does not end"}
}

// continuesOnNextLine reports whether another part of the string follows, and advances to its opening quote. The parts
// are separated by white space that contains a newline; line comments may follow the newline.
func (l *Lexer) continuesOnNextLine() bool {
	at, newline := l.pos, false
	for at < len(l.text) {
		c := l.text[at]
		switch {
		case c == '\n' || c == '\r':
			newline = true
			at++
		case byteClass[c]&isSpace != 0:
			at++
		case newline && c == '-' && l.byteAt(at+1) == '-':
			i := strings.IndexAny(l.text[at:], "\n\r")
			if i < 0 {
				return false
			}
			at += i
		case newline && c == '\'':
			l.pos = at
			return true
		default:
			return false
		}
	}
	return false
}

func (l *Lexer) scanQuotedIdentifier() *Error {
	from := l.pos
	for l.pos++; l.pos < len(l.text); l.pos++ {
		if l.text[l.pos] != '"' {
			continue
		}
		if l.byteAt(l.pos+1) == '"' {
			l.pos++
			continue
		}
		l.pos++
		if l.pos-from <= 2 {
			return &Error{from, "a name without a letter"}
		}
		return nil
	}
	return &Error{from, "a name that does not end"}
}

// scanNumber scans digits of any base, with underscores between them, a fraction and an exponent. A letter directly
// after a number is an error.
func (l *Lexer) scanNumber() *Error {
	from := l.pos
	if l.text[l.pos] == '0' {
		digits := ""
		switch l.byteAt(l.pos + 1) {
		case 'x', 'X':
			digits = "0123456789abcdefABCDEF"
		case 'o', 'O':
			digits = "01234567"
		case 'b', 'B':
			digits = "01"
		}
		if digits != "" {
			l.pos += 2
			if !l.scanDigits(digits, true) {
				return &Error{from, "a number without digits"}
			}
			return l.rejectTrailingLetter(from)
		}
	}
	const decimalDigits = "0123456789"
	l.scanDigits(decimalDigits, false)
	if l.byteAt(l.pos) == '.' && l.byteAt(l.pos+1) != '.' { // "1..2" is a range
		l.pos++
		l.scanDigits(decimalDigits, false)
	}
	if c := l.byteAt(l.pos); c == 'e' || c == 'E' {
		at := l.pos
		l.pos++
		if c := l.byteAt(l.pos); c == '+' || c == '-' {
			l.pos++
		}
		if !l.scanDigits(decimalDigits, false) {
			return &Error{at, "an exponent without digits"}
		}
	}
	return l.rejectTrailingLetter(from)
}

// scanDigits skips digits with single underscores between them, and before the first if leadingUnderscore is set. It
// reports whether there were any digits.
func (l *Lexer) scanDigits(digits string, leadingUnderscore bool) (found bool) {
	for l.pos < len(l.text) {
		switch c := l.text[l.pos]; {
		case strings.IndexByte(digits, c) >= 0:
			found = true
			l.pos++
		case c == '_' && (found || leadingUnderscore) && strings.IndexByte(digits, l.byteAt(l.pos+1)) >= 0 && l.pos+1 < len(l.text):
			l.pos++
		default:
			return found
		}
	}
	return found
}

// rejectTrailingLetter returns an error if a letter directly follows a number, as the server does.
func (l *Lexer) rejectTrailingLetter(from int) *Error {
	if byteClass[l.byteAt(l.pos)]&isIdentStart != 0 {
		return &Error{from, "a number with a letter behind it"}
	}
	return nil
}

// scanDollar scans a parameter or a dollar-quoted string.
func (l *Lexer) scanDollar() (TokenKind, *Error) {
	from := l.pos
	l.pos++
	if byteClass[l.byteAt(l.pos)]&isDigit != 0 {
		for byteClass[l.byteAt(l.pos)]&isDigit != 0 {
			l.pos++
		}
		return Parameter, l.rejectTrailingLetter(from)
	}
	for l.pos < len(l.text) && l.text[l.pos] != '$' && byteClass[l.text[l.pos]]&isIdentPart != 0 {
		l.pos++
	}
	if l.byteAt(l.pos) != '$' {
		return 0, &Error{from, "a dollar that begins nothing"}
	}
	l.pos++
	tag := l.text[from:l.pos]
	end := strings.Index(l.text[l.pos:], tag)
	if end < 0 {
		l.pos = len(l.text)
		return 0, &Error{from, "a text that does not end"}
	}
	l.pos += end + len(tag)
	return StringLiteral, nil
}

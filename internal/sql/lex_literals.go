package sql

import "strings"

func (l *Lexer) scanPrefixedString(by int, escapes bool) *Error {
	from := l.at
	l.at += by
	return l.scanString(from, escapes, false)
}

// scanString reads a string in single quotes, with what continues it on a later line.
func (l *Lexer) scanString(from int, escapes, doubtful bool) *Error {
	for l.at++; l.at < len(l.text); l.at++ {
		switch l.text[l.at] {
		case '\\':
			if doubtful {
				l.AmbiguousString = true
			}
			if escapes {
				l.at++
			}
		case '\'':
			if l.byteAt(l.at+1) == '\'' {
				l.at++
				continue
			}
			l.at++
			if !l.continuesOnNextLine() {
				return nil
			}
		}
	}
	l.at = len(l.text)
	return &Error{from, "a text that does not end"}
}

// continuesOnNextLine passes to the opening quote of a text's next part: only white space with a line's end may stand between,
// and line comments within it.
func (l *Lexer) continuesOnNextLine() bool {
	at, line := l.at, false
	for at < len(l.text) {
		c := l.text[at]
		switch {
		case c == '\n' || c == '\r':
			line = true
			at++
		case byteClass[c]&isSpace != 0:
			at++
		case line && c == '-' && l.byteAt(at+1) == '-':
			i := strings.IndexAny(l.text[at:], "\n\r")
			if i < 0 {
				return false
			}
			at += i
		case line && c == '\'':
			l.at = at
			return true
		default:
			return false
		}
	}
	return false
}

func (l *Lexer) scanQuotedIdentifier() *Error {
	from := l.at
	for l.at++; l.at < len(l.text); l.at++ {
		if l.text[l.at] != '"' {
			continue
		}
		if l.byteAt(l.at+1) == '"' {
			l.at++
			continue
		}
		l.at++
		if l.at-from <= 2 {
			return &Error{from, "a name without a letter"}
		}
		return nil
	}
	return &Error{from, "a name that does not end"}
}

// scanNumber reads digits of any base, with underscores between them, a fraction and an exponent; a letter right behind is
// junk.
func (l *Lexer) scanNumber() *Error {
	from := l.at
	if l.text[l.at] == '0' {
		base := ""
		switch l.byteAt(l.at + 1) {
		case 'x', 'X':
			base = "0123456789abcdefABCDEF"
		case 'o', 'O':
			base = "01234567"
		case 'b', 'B':
			base = "01"
		}
		if base != "" {
			l.at += 2
			if !l.scanDigits(base, true) {
				return &Error{from, "a number without digits"}
			}
			return l.rejectTrailingLetter(from)
		}
	}
	const ten = "0123456789"
	l.scanDigits(ten, false)
	if l.byteAt(l.at) == '.' && l.byteAt(l.at+1) != '.' { // "1..2" is a range
		l.at++
		l.scanDigits(ten, false)
	}
	if c := l.byteAt(l.at); c == 'e' || c == 'E' {
		at := l.at
		l.at++
		if c := l.byteAt(l.at); c == '+' || c == '-' {
			l.at++
		}
		if !l.scanDigits(ten, false) {
			return &Error{at, "an exponent without digits"}
		}
	}
	return l.rejectTrailingLetter(from)
}

// scanDigits passes digits, with single underscores between them, or before the first where that is allowed.
func (l *Lexer) scanDigits(of string, before bool) (any bool) {
	for l.at < len(l.text) {
		switch c := l.text[l.at]; {
		case strings.IndexByte(of, c) >= 0:
			any = true
			l.at++
		case c == '_' && (any || before) && strings.IndexByte(of, l.byteAt(l.at+1)) >= 0 && l.at+1 < len(l.text):
			l.at++
		default:
			return any
		}
	}
	return any
}

// rejectTrailingLetter refuses a letter right behind a number, as the server does.
func (l *Lexer) rejectTrailingLetter(from int) *Error {
	if byteClass[l.byteAt(l.at)]&isStart != 0 {
		return &Error{from, "a number with a letter behind it"}
	}
	return nil
}

// scanDollar reads a parameter or a text in dollar quotes.
func (l *Lexer) scanDollar() (Kind, *Error) {
	from := l.at
	l.at++
	if byteClass[l.byteAt(l.at)]&isDigit != 0 {
		for byteClass[l.byteAt(l.at)]&isDigit != 0 {
			l.at++
		}
		return Parameter, l.rejectTrailingLetter(from)
	}
	for l.at < len(l.text) && l.text[l.at] != '$' && byteClass[l.text[l.at]]&isPart != 0 {
		l.at++
	}
	if l.byteAt(l.at) != '$' {
		return 0, &Error{from, "a dollar that begins nothing"}
	}
	l.at++
	tag := l.text[from:l.at]
	end := strings.Index(l.text[l.at:], tag)
	if end < 0 {
		l.at = len(l.text)
		return 0, &Error{from, "a text that does not end"}
	}
	l.at += end + len(tag)
	return StringLiteral, nil
}

package sexp

import (
	"strconv"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// maxListDepth limits the nesting of lists. It is far above what any part needs and keeps the recursive parser's stack
// small.
const maxListDepth = 32

// node is one element of a list: a list, a quoted string or a bare word. Exactly one of the three is set.
type node struct {
	Pos  lexer.Position
	List *list   `parser:"  @@"`
	Text *string `parser:"| @String"`
	Word *string `parser:"| @Word"`
}

// list is the content of one pair of parentheses.
type list struct {
	Pos   lexer.Position
	Items []*node `parser:"'(' @@* ')'"`
}

// syntaxTree is the syntax tree of a file.
type syntaxTree struct {
	Lists []*node `parser:"@@*"`
}

// parser returns the parser. It is built on first use, because a router without an operator's file does not need it.
var parser = sync.OnceValue(func() *participle.Parser[syntaxTree] {
	return participle.MustBuild[syntaxTree](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Bracket", Pattern: `[()]`},
		{Name: "Word", Pattern: `[^\s()";]+`},
	})),
		participle.Elide("Comment", "Space"),
		participle.Unquote("String"))
})

// listName returns the name at the beginning of a list, or nil if the node is not a list that begins with a name.
func (n *node) listName() *node {
	if n.List == nil || len(n.List.Items) == 0 || n.List.Items[0].Word == nil {
		return nil
	}
	return n.List.Items[0]
}

// String describes a node for use in an error.
func (n *node) String() string {
	switch {
	case n.Word != nil:
		return strconv.Quote(*n.Word)
	case n.Text != nil:
		return "the string " + strconv.Quote(*n.Text)
	}
	return "a list"
}

// checkDepth returns the location of the first list that is nested too deep. It runs before the parser, because the
// parser is recursive and a file with a million opening parentheses would exhaust its stack.
func checkDepth(raw []byte) (line, column int, ok bool) {
	line, column = 1, 0
	depth := 0
	quoted := false
	for i := 0; i < len(raw); i++ {
		column++
		switch c := raw[i]; {
		case c == '\n':
			line++
			column = 0
		case quoted && c == '\\':
			i++
			column++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == ';':
			for i+1 < len(raw) && raw[i+1] != '\n' {
				i++
			}
		case c == '(':
			depth++
			if depth > maxListDepth {
				return line, column, false
			}
		case c == ')':
			depth--
		}
	}
	return 0, 0, true
}

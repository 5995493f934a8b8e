package sql

//go:generate go tool goyacc -o grammar.go -v /dev/null grammar.y

// nodeKind is the kind of a node in the parse tree.
type nodeKind uint8

const (
	nodeEmpty nodeKind = iota
	nodeAtom
	nodeParen   // one node in parentheses
	nodeBracket // a row in square brackets
	nodeRow     // a sequence of atoms, parentheses and brackets
	nodeQuery   // a query body and its trailing clauses, such as ORDER BY
	nodeSetOp   // two bodies joined by UNION, INTERSECT or EXCEPT
	nodeSelect  // clauses; the first is that of SELECT, VALUES or TABLE
	nodeClause
	nodeWith  // common table expressions and the statement that uses them
	nodeDML   // INSERT, UPDATE, DELETE, MERGE
	nodeOther // any other statement, identified by its first word
)

// node is a node of the parse tree. Nodes refer to each other by index; index 0 means none.
type node struct {
	kind        nodeKind
	tok         Token
	first, next int32 // first child, next sibling
}

// nodeList is a linked list of sibling nodes.
type nodeList struct{ first, last int32 }

// parser holds the parse tree of one text and supplies the generated parser with tokens.
type parser struct {
	lex        *Lexer
	nodes      []node
	statements nodeList // top-level statements
	previous   [2]Token
	err        error
}

// parseText tokenizes and parses a text. The error is an *Error. The parser is nil if NewLexer fails.
func parseText(text string, syntax StringSyntax) (*parser, error) {
	l, err := NewLexer(text, syntax)
	if err != nil {
		return nil, err
	}
	p := &parser{lex: l, nodes: make([]node, 1, 64)}
	if yyNewParser().Parse(p) != 0 && p.err == nil {
		p.err = &Error{l.pos, reasonNotParsed}
	}
	return p, p.err
}

func (p *parser) newNode(kind nodeKind, tok Token, children nodeList) int32 {
	p.nodes = append(p.nodes, node{kind: kind, tok: tok, first: children.first})
	return int32(len(p.nodes) - 1)
}

func (p *parser) newList(n int32) nodeList { return nodeList{n, n} }

func (p *parser) appendNode(l nodeList, n int32) nodeList {
	if l.first == 0 {
		return nodeList{n, n}
	}
	p.nodes[l.last].next = n
	l.last = n
	return l
}

func (p *parser) concat(a, b nodeList) nodeList {
	switch {
	case a.first == 0:
		return b
	case b.first == 0:
		return a
	}
	p.nodes[a.last].next = b.first
	return nodeList{a.first, b.last}
}

func (p *parser) newWith(t Token, tables nodeList, rest int32) int32 {
	clause := p.newNode(nodeClause, t, tables)
	return p.newNode(nodeWith, t, p.appendNode(p.newList(clause), rest))
}

// grammarKeywords are the keywords of the grammar. PostgreSQL reserves all but those of the last line, which may also
// be names: a statement that uses one as a name may fail to parse and then counts as a write.
var grammarKeywords = map[string]int{
	"select": SELECT, "table": TABLE, "with": WITH, "into": INTO, "from": FROM, "where": WHERE, "group": GROUP,
	"having": HAVING, "window": WINDOW, "order": ORDER, "limit": LIMIT, "offset": OFFSET, "fetch": FETCH, "for": FOR,
	"union": SETOP, "intersect": SETOP, "except": SETOP,
	"values": VALUES, "insert": INSERT, "update": UPDATE, "delete": DELETE, "merge": MERGE,
}

// longestKeyword is the length of the longest key in grammarKeywords.
const longestKeyword = 9

// Lex returns the next token to the generated parser. ALL and DISTINCT after a set operation are skipped.
func (p *parser) Lex(v *yySymType) int {
	t, err := p.lex.Next()
	if err == nil && p.keyword(p.previous[1]) == SETOP && p.previous[1].Kind == Word && (p.isWord(t, "all") || p.isWord(t, "distinct")) {
		t, err = p.lex.Next()
	}
	if err != nil {
		p.err = err
		return -1
	}
	before := p.previous
	p.previous[0], p.previous[1] = p.previous[1], t
	v.tok = t
	switch t.Kind {
	case End:
		return 0
	case Word:
		return p.classifyWord(t, before)
	case QuotedIdentifier:
		return WORD
	case StringLiteral, BitString, Number, Parameter:
		return LITERAL
	case Punctuation:
		if t.To-t.From == 1 {
			return int(p.lex.text[t.From])
		}
	}
	return OPERATOR
}

// classifyWord distinguishes keywords from names: after AS and after a dot any word is a name. FROM in IS DISTINCT
// FROM, UPDATE in FOR UPDATE and WITH in suffixes such as WITH ORDINALITY are plain words too.
func (p *parser) classifyWord(t Token, before [2]Token) int {
	kind := p.keyword(t)
	if kind == WORD {
		return WORD
	}
	last := before[1]
	switch {
	case last.Kind == Punctuation && p.lex.Text(last) == ".":
		return WORD
	case kind == FROM && p.isWord(last, "distinct") && (p.isWord(before[0], "is") || p.isWord(before[0], "not")):
		return WORD
	case kind == UPDATE && (p.isWord(last, "for") || p.isWord(last, "key")):
		return WORD
	case kind == WITH && p.isTrailingWith():
		return WORD
	case p.isWord(last, "as"):
		return WORD
	}
	return kind
}

// isTrailingWith reports whether the WITH just read begins WITH ORDINALITY, WITH TIME ZONE or WITH TIES.
func (p *parser) isTrailingWith() bool {
	here := *p.lex
	t, err := p.lex.Next()
	*p.lex = here
	return err == nil && (p.isWord(t, "ordinality") || p.isWord(t, "time") || p.isWord(t, "ties"))
}

func (p *parser) keyword(t Token) int {
	if t.To-t.From > longestKeyword {
		return WORD
	}
	var low [longestKeyword]byte
	for i, c := range []byte(p.lex.Text(t)) {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		low[i] = c
	}
	if kind, ok := grammarKeywords[string(low[:t.To-t.From])]; ok {
		return kind
	}
	return WORD
}

// isWord reports whether a token is the given word, regardless of case.
func (p *parser) isWord(t Token, word string) bool {
	if t.Kind != Word || int(t.To-t.From) != len(word) {
		return false
	}
	for i := range len(word) {
		c := p.lex.text[int(t.From)+i]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != word[i] {
			return false
		}
	}
	return true
}

// Error records where the generated parser stopped; an error of the lexer takes precedence.
func (p *parser) Error(string) {
	if p.err == nil {
		p.err = &Error{int(p.previous[1].From), reasonNotParsed}
	}
}

const reasonNotParsed = "not understood"

// scanRest tokenizes what the parser left unread, and returns the first error.
func (p *parser) scanRest() error {
	for {
		t, err := p.lex.Next()
		if err != nil || t.Kind == End {
			return err
		}
	}
}

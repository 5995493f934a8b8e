package sql

//go:generate go tool goyacc -o grammar.go -v /dev/null grammar.y

// nodeKind is what a node of a statement's tree is.
type nodeKind uint8

const (
	nNothing nodeKind = iota
	nAtom
	nParen   // one node within brackets
	nBracket // a row within square brackets
	nRow     // atoms in a row, of any kind
	nQuery   // a body and its tails
	nSet     // two bodies joined by UNION and the like
	nSelect  // clauses, the first with SELECT, VALUES or TABLE itself
	nClause
	nWith  // the common tables, and what they stand before
	nWrite // INSERT, UPDATE, DELETE, MERGE
	nOther // anything else, by its first word
)

// node is one node; 0 is none.
type node struct {
	kind        nodeKind
	tok         Token
	first, next int32 // first child, next sibling
}

// list is nodes in a row.
type list struct{ first, last int32 }

// parse is the tree of one text, and what the generated parser reads its tokens from.
type parse struct {
	lex      *Lexer
	nodes    []node
	all      list // the statements
	previous [2]Token
	err      error
}

// parseText cuts and parses a text; the error is of type *Error.
func parseText(text string, how StringSyntax) (*parse, error) {
	l, err := NewLexer(text, how)
	if err != nil {
		return nil, err
	}
	p := &parse{lex: l, nodes: make([]node, 1, 64)}
	if yyNewParser().Parse(p) != 0 && p.err == nil {
		p.err = &Error{l.at, reasonNotUnderstood}
	}
	return p, p.err
}

func (p *parse) node(kind nodeKind, tok Token, kids list) int32 {
	p.nodes = append(p.nodes, node{kind: kind, tok: tok, first: kids.first})
	return int32(len(p.nodes) - 1)
}

func (p *parse) begin(n int32) list { return list{n, n} }

func (p *parse) add(l list, n int32) list {
	if l.first == 0 {
		return list{n, n}
	}
	p.nodes[l.last].next = n
	l.last = n
	return l
}

func (p *parse) join(a, b list) list {
	switch {
	case a.first == 0:
		return b
	case b.first == 0:
		return a
	}
	p.nodes[a.last].next = b.first
	return list{a.first, b.last}
}

func (p *parse) with(t Token, tables list, rest int32) int32 {
	clause := p.node(nClause, t, tables)
	return p.node(nWith, t, p.add(p.begin(clause), rest))
}

// grammarKeywords are the key words that the grammar knows; all of them are reserved in PostgreSQL but those of the second row,
// which may be names too: where one is, the statement is not understood, and so counts as a write.
var grammarKeywords = map[string]int{
	"select": SELECT, "table": TABLE, "with": WITH, "into": INTO, "from": FROM, "where": WHERE, "group": GROUP,
	"having": HAVING, "window": WINDOW, "order": ORDER, "limit": LIMIT, "offset": OFFSET, "fetch": FETCH, "for": FOR,
	"union": SETOP, "intersect": SETOP, "except": SETOP,
	"values": VALUES, "insert": INSERT, "update": UPDATE, "delete": DELETE, "merge": MERGE,
}

// longestKeyword is the length of the longest of them.
const longestKeyword = 9

// Lex gives the generated parser its next token.
func (p *parse) Lex(v *yySymType) int {
	t, err := p.lex.Next()
	if err == nil && p.keyword(p.previous[1]) == SETOP && p.previous[1].Kind == Word && (p.is(t, "all") || p.is(t, "distinct")) {
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
	case Quoted:
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

// classifyWord tells a key word from a name: behind AS and behind a dot any word is a name, and FROM in IS DISTINCT FROM is part
// of an operator.
func (p *parse) classifyWord(t Token, before [2]Token) int {
	kind := p.keyword(t)
	if kind == WORD {
		return WORD
	}
	last := before[1]
	switch {
	case last.Kind == Punctuation && p.lex.Text(last) == ".":
		return WORD
	case kind == FROM && p.is(last, "distinct") && (p.is(before[0], "is") || p.is(before[0], "not")):
		return WORD
	case kind == UPDATE && (p.is(last, "for") || p.is(last, "key")):
		return WORD
	case kind == WITH && p.isTrailingWith():
		return WORD
	case p.is(last, "as"):
		return WORD
	}
	return kind
}

// isTrailingWith reports whether the WITH just read belongs to what stands before it, by the word behind it.
func (p *parse) isTrailingWith() bool {
	here := *p.lex
	t, err := p.lex.Next()
	*p.lex = here
	return err == nil && (p.is(t, "ordinality") || p.is(t, "time") || p.is(t, "ties"))
}

func (p *parse) keyword(t Token) int {
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

// is reports whether a token is a certain word, in whatever case.
func (p *parse) is(t Token, word string) bool {
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

// Error notes where the generated parser stopped; a fault of the lexer stands over it.
func (p *parse) Error(string) {
	if p.err == nil {
		p.err = &Error{int(p.previous[1].From), reasonNotUnderstood}
	}
}

const reasonNotUnderstood = "not understood"

// scanRest cuts what the parser left.
func (p *parse) scanRest() error {
	for {
		t, err := p.lex.Next()
		if err != nil || t.Kind == End {
			return err
		}
	}
}

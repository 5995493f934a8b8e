package sql

import "strings"

// visit visits a node and its descendants.
func (c *classifier) visit(id int32) {
	n := &c.tree.nodes[id]
	switch n.kind {
	case nodeDML:
		c.raiseClass(Write, "it holds "+strings.ToUpper(c.tree.lex.Text(n.tok)))
		c.visitRow(n.first, nil)
	case nodeOther:
		c.raiseClass(Write, "it holds "+strings.ToUpper(c.tree.lex.Text(n.tok)))
	case nodeClause:
		c.visitClause(n)
	case nodeRow, nodeBracket:
		c.visitRow(n.first, nil)
	case nodeAtom:
	default:
		for child := n.first; child != 0; child = c.tree.nodes[child].next {
			c.visit(child)
		}
	}
}

func (c *classifier) visitClause(n *node) {
	switch word := fold(c.tree.lex.Text(n.tok)); word {
	case "into":
		c.raiseClass(Write, "SELECT INTO makes a table")
	case "for":
		c.raiseClass(Write, "it locks rows")
	case "from", "table":
		c.visitFrom(n.first)
		return
	case "order", "group":
		if n.first != 0 && c.keywordAt(n.first) == "by" {
			c.visitRow(c.tree.nodes[n.first].next, nil)
			return
		}
	case "with":
		c.visitRow(n.first, func(int) parenRole { return notCall }) // name (columns) AS (...)
		return
	}
	c.visitRow(n.first, nil)
}

// siblings returns a node and the siblings after it.
func (c *classifier) siblings(first int32) (row []int32) {
	for id := first; id != 0; id = c.tree.nodes[id].next {
		row = append(row, id)
	}
	return row
}

// keywordAt returns the folded word of an atom, or "" if the node isn't an unquoted word.
func (c *classifier) keywordAt(id int32) string {
	if n := &c.tree.nodes[id]; n.kind == nodeAtom && n.tok.Kind == Word {
		return fold(c.tree.lex.Text(n.tok))
	}
	return ""
}

func (c *classifier) isName(id int32) bool {
	n := &c.tree.nodes[id]
	return n.kind == nodeAtom && (n.tok.Kind == Word || n.tok.Kind == QuotedIdentifier)
}

// isPunctuation reports whether a node is the given punctuation token.
func (c *classifier) isPunctuation(id int32, text string) bool {
	n := &c.tree.nodes[id]
	return n.kind == nodeAtom && n.tok.Kind == Punctuation && c.tree.lex.Text(n.tok) == text
}

// qualifiedNameBefore returns the qualified name that ends at an index of a row, and the index where it begins.
func (c *classifier) qualifiedNameBefore(row []int32, end int) (name string, from int) {
	name, from = c.tree.lex.Name(c.tree.nodes[row[end]].tok), end
	for from >= 2 && c.isPunctuation(row[from-1], ".") && c.isName(row[from-2]) {
		from -= 2
		name = c.tree.lex.Name(c.tree.nodes[row[from]].tok) + "." + name
	}
	return name, from
}

// qualifiedNameFrom returns the qualified name that begins at an index of a row.
func (c *classifier) qualifiedNameFrom(row []int32, k int) string {
	for k+2 < len(row) && c.isPunctuation(row[k+1], ".") && c.isName(row[k+2]) {
		k += 2
	}
	name, _ := c.qualifiedNameBefore(row, k)
	return name
}

// addRelation records a relation that is read.
func (c *classifier) addRelation(name string) {
	c.result.Tables = append(c.result.Tables, name)
	if c.catalogue.writingRelations[name] {
		c.raiseClass(Write, "the relation "+name+" writes when it is read")
	}
}

// fromClauseState is the state of visiting a FROM clause.
type fromClauseState struct {
	siblings         []int32
	relationExpected bool // the next name or parenthesis is a relation
	inCondition      bool // after ON or USING
	callParen        int  // index of the parentheses of a function call, -1 for none
	roles            map[int]parenRole
}

// visitFrom visits the contents of a FROM clause: relations, subqueries and functions, with aliases and conditions.
func (c *classifier) visitFrom(first int32) {
	state := &fromClauseState{siblings: c.siblings(first), relationExpected: true, callParen: -1, roles: map[int]parenRole{}}
	for k := range state.siblings {
		c.visitFromItem(state, k)
	}
	c.visitRow(first, func(k int) parenRole { return state.roles[k] })
}

// visitFromItem visits the node at an index of a FROM clause.
func (c *classifier) visitFromItem(state *fromClauseState, k int) {
	id := state.siblings[k]
	isParen := c.tree.nodes[id].kind == nodeParen
	word := c.keywordAt(id)
	switch {
	case c.isPunctuation(id, ","), word == "join" && !state.relationExpected:
		state.relationExpected = true
		state.inCondition = false
	case word == "on" || word == "using":
		state.inCondition = true
	case word == "only" || word == "lateral" || word == "rows" && k == len(state.siblings)-1: // ROWS FROM (...)
	case state.relationExpected && c.isName(id):
		c.visitRelationName(state, k)
	case state.relationExpected && isParen:
		c.visitRelationParen(state, k)
	case !state.inCondition && isParen && k != state.callParen: // a column list after an alias
		state.roles[k] = notCall
	}
}

// visitRelationName visits a name where a relation is expected: a schema, a function that is called, or a relation.
func (c *classifier) visitRelationName(state *fromClauseState, k int) {
	hasNext := k+1 < len(state.siblings)
	if hasNext && c.isPunctuation(state.siblings[k+1], ".") {
		return // a schema: the relation's name follows
	}
	state.relationExpected = false
	if hasNext && c.tree.nodes[state.siblings[k+1]].kind == nodeParen {
		state.callParen = k + 1
		return
	}
	name, _ := c.qualifiedNameBefore(state.siblings, k)
	c.addRelation(name)
}

// visitRelationParen visits parentheses where a relation is expected: a subquery or joined relations.
func (c *classifier) visitRelationParen(state *fromClauseState, k int) {
	state.relationExpected = false
	state.roles[k] = notCall
	inner := &c.tree.nodes[c.tree.nodes[state.siblings[k]].first]
	if inner.kind == nodeRow {
		c.visitFrom(inner.first)
		state.roles[k] = alreadyVisited
	}
}

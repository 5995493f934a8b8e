package sql

import "strings"

// nonCallKeywords are keywords that a parenthesis or a string may follow and that can't name a function or a type,
// according to the table of keywords in appendix C of PostgreSQL's manual. Keywords that the table marks as "can be
// function or type" (CROSS, FULL, LIKE and others) are excluded on purpose: their meaning depends on what precedes
// them.
var nonCallKeywords = func() map[string]bool {
	all := map[string]bool{}
	for _, word := range strings.Fields(`all and any array as asc asymmetric between both case cast collate default desc distinct else end
		except exists false fetch for from group having in intersect into lateral leading limit not null offset on only or order
		placing row select setof some symmetric table then to trailing true union using values variadic when where window with`) {
		all[word] = true
	}
	return all
}()

// parenRole is the role of parentheses in a row.
type parenRole uint8

const (
	possibleCall   parenRole = iota
	notCall                  // not the arguments of a call, even after a name
	alreadyVisited           // the contents have been visited
)

// visitRow visits the nodes of a row. roleOf, if not nil, returns the role of the parentheses at an index.
func (c *classifier) visitRow(first int32, roleOf func(k int) parenRole) {
	row := c.siblings(first)
	for k, id := range row {
		n := &c.tree.nodes[id]
		switch n.kind {
		case nodeAtom:
			c.visitAtom(row, k)
		case nodeParen:
			role := possibleCall
			if roleOf != nil {
				role = roleOf(k)
			}
			if k > 0 && c.isName(row[k-1]) && role == possibleCall {
				c.visitCall(row, k)
			}
			if role != alreadyVisited {
				c.visit(n.first)
			}
		default:
			c.visit(id)
		}
	}
}

// visitAtom visits an atom of a row: operators, casts and attributes may call functions too.
func (c *classifier) visitAtom(row []int32, k int) {
	n := &c.tree.nodes[row[k]]
	text := c.tree.lex.Text(n.tok)
	switch n.tok.Kind {
	case Operator, Punctuation:
		if n.tok.Kind == Operator && !builtinOperators[text] {
			c.raiseClass(Write, "the operator "+text+" is not the server's own")
		}
		if text == "::" {
			c.checkType(row, k+1)
		}
	case StringLiteral:
		if k > 0 && c.isName(row[k-1]) && !c.isExpressionKeyword(row, k-1) {
			name, _ := c.qualifiedNameBefore(row, k-1)
			if !c.catalogue.knownType(name) {
				c.raiseClass(Write, "a text as "+name+", a type that is not known")
			}
		}
	case Word, QuotedIdentifier:
		if k >= 2 && c.isPunctuation(row[k-1], ".") { // t.f may call f(t)
			name := c.tree.lex.Name(n.tok)
			if v, known := c.catalogue.functions[name]; known && v != ReadOnly {
				c.raiseClass(Write, "the attribute "+name+" may call a function")
			}
		}
		if c.castOperand != 0 && c.castOperand == row[0] && c.tree.isWord(n.tok, "as") {
			c.checkType(row, k+1)
		}
	}
}

// isExpressionKeyword reports whether a word before a string is a keyword of an expression and not the name of a type.
func (c *classifier) isExpressionKeyword(row []int32, k int) bool {
	switch word := c.keywordAt(row[k]); word {
	case "":
		return false
	case "like", "ilike", "escape", "uescape":
		return c.endsOperand(row, k-1, true)
	case "by":
		return c.isClauseBy(row, k)
	case "zone":
		return k > 0 && c.keywordAt(row[k-1]) == "time"
	default:
		return nonCallKeywords[word]
	}
}

// isClauseBy reports whether the BY at an index of a row belongs to PARTITION BY, ORDER BY or GROUP BY.
func (c *classifier) isClauseBy(row []int32, k int) bool {
	if k == 0 {
		return false
	}
	before := c.keywordAt(row[k-1])
	return before == "partition" || before == "order" || before == "group"
}

// endsOperand reports whether an operand ends at an index of a row, so that LIKE after it is an operator. A bare word
// counts as an operand only if columns is set, because it may also be a keyword before an expression.
func (c *classifier) endsOperand(row []int32, k int, columns bool) bool {
	if k < 0 {
		return false
	}
	if n := &c.tree.nodes[row[k]]; n.kind != nodeAtom {
		return n.kind == nodeParen || n.kind == nodeBracket
	} else if n.tok.Kind != Word {
		return n.tok.Kind != Operator && n.tok.Kind != Punctuation
	}
	word := c.keywordAt(row[k])
	switch {
	case k > 0 && c.isPunctuation(row[k-1], "."):
		return true
	case word == "not":
		return c.endsOperand(row, k-1, columns)
	}
	return columns && !nonCallKeywords[word] && word != "by" && word != "zone" && word != "escape"
}

// checkType checks that the type whose name begins at an index is known.
func (c *classifier) checkType(row []int32, k int) {
	if k >= len(row) || !c.isName(row[k]) {
		c.raiseClass(Write, "a cast to what is no type")
		return
	}
	if name := c.qualifiedNameFrom(row, k); !c.catalogue.knownType(name) {
		c.raiseClass(Write, "a cast to "+name+", a type that is not known")
	}
}

// visitCall visits parentheses after a name, which are a call unless the tokens before them rule it out.
func (c *classifier) visitCall(row []int32, k int) {
	name, from := c.qualifiedNameBefore(row, k-1)
	word := c.keywordAt(row[k-1])
	inner := &c.tree.nodes[c.tree.nodes[row[k]].first]
	if from == k-1 && word != "" {
		if word == "cast" && inner.kind == nodeRow {
			c.castOperand = inner.first
		}
		if nonCallKeywords[word] {
			return
		}
		if (word == "like" || word == "ilike") && c.endsOperand(row, k-2, false) {
			return
		}
		if (word == "over" || word == "filter") && k >= 2 && c.tree.nodes[row[k-2]].kind == nodeParen {
			return
		}
		if word == "by" && c.isClauseBy(row, k-1) {
			return
		}
	}
	if from > 0 {
		switch before := c.keywordAt(row[from-1]); {
		case before == "as": // a column list, or a type with its length
			return
		case c.isPunctuation(row[from-1], "::"): // x::numeric(10, 2)
			return
		}
	}
	c.result.Calls = append(c.result.Calls, name)
	switch c.catalogue.functionVolatility(name) {
	case MayWrite:
		c.raiseClass(Write, "the function "+name+" is not known to be harmless")
	case SessionBound:
		c.raiseClass(Session, "the function "+name+" belongs to the session")
	}
}

package sql

import "strings"

// visitOtherStatement classifies a statement by its first word. single tells whether it is the only one in the text.
func (c *classifier) visitOtherStatement(id int32, single bool, syntax StringSyntax) error {
	n := c.tree.nodes[id]
	row := c.siblings(n.first)
	word := func(k int) string {
		if k < len(row) {
			return c.keywordAt(row[k])
		}
		return ""
	}
	switch head := fold(c.tree.lex.Text(n.tok)); head {
	case "begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release":
		if word(0) == "prepared" {
			c.raiseClass(Write, "it ends a prepared transaction")
			return nil
		}
		c.raiseClass(Transaction, strings.ToUpper(head))
	case "set":
		if word(0) == "transaction" {
			c.raiseClass(Transaction, "SET TRANSACTION")
			return nil
		}
		c.raiseClass(Session, "SET")
	case "reset", "discard", "listen", "unlisten", "deallocate", "fetch", "move", "close":
		c.raiseClass(Session, strings.ToUpper(head))
	case "show":
	case "declare":
		c.raiseClass(Session, "DECLARE")
		return c.classifyInner(row, single, syntax, "DECLARE")
	case "prepare":
		if word(0) == "transaction" {
			c.raiseClass(Write, "PREPARE TRANSACTION")
			return nil
		}
		c.raiseClass(Session, "PREPARE") // the prepared statement runs only with EXECUTE
	case "execute":
		c.raiseClass(Session, "EXECUTE")
		c.result.SessionDependent = true
		if len(row) == 0 || !c.isName(row[0]) {
			c.raiseClass(Write, "EXECUTE of nothing")
			return nil
		}
		name := c.tree.lex.Name(c.tree.nodes[row[0]].tok)
		if c.prepared == nil {
			c.raiseClass(Write, "EXECUTE of "+name+", which is not known")
		} else if class, known := c.prepared(name); !known || class == Write {
			c.raiseClass(Write, "EXECUTE of "+name+", which writes or is not known")
		}
		c.visitRow(n.first, func(int) parenRole { return notCall })
	case "explain":
		if c.explainExecutes(row) {
			return c.classifyInner(row, single, syntax, "EXPLAIN ANALYZE")
		}
	case "copy":
		c.visitCopy(row)
	default:
		c.raiseClass(Write, strings.ToUpper(head))
	}
	return nil
}

// classifyInner classifies the statement nested in DECLARE or EXPLAIN ANALYZE. It counts as a write if the text
// contains other statements, too.
func (c *classifier) classifyInner(row []int32, single bool, syntax StringSyntax, what string) error {
	for _, id := range row {
		n := &c.tree.nodes[id]
		if n.kind != nodeAtom || n.tok.Kind != Word {
			continue
		}
		switch c.tree.keyword(n.tok) {
		case SELECT, VALUES, TABLE, WITH, INSERT, UPDATE, DELETE, MERGE:
			if !single {
				c.raiseClass(Write, what+" among other statements")
				return nil
			}
			inner := &classifier{catalogue: c.catalogue, prepared: c.prepared}
			if err := inner.classifyText(c.tree.lex.text[n.tok.From:], syntax); err != nil {
				return err
			}
			c.result.Tables, c.result.Calls, c.result.SessionDependent = inner.result.Tables, inner.result.Calls, c.result.SessionDependent || inner.result.SessionDependent
			c.raiseClass(inner.result.Class, what+": "+inner.result.Reason)
			return nil
		}
	}
	c.raiseClass(Write, what+" of what is not understood")
	return nil
}

// explainExecutes reports whether EXPLAIN executes its statement. Any ANALYZE option counts, whatever its value.
func (c *classifier) explainExecutes(row []int32) bool {
	for _, id := range row {
		n := &c.tree.nodes[id]
		if n.kind == nodeParen {
			for child := c.tree.nodes[n.first].first; child != 0; child = c.tree.nodes[child].next {
				if w := c.keywordAt(child); w == "analyze" || w == "analyse" {
					return true
				}
			}
			return false
		}
		switch c.keywordAt(id) {
		case "analyze", "analyse":
			return true
		case "verbose":
		default:
			return false
		}
	}
	return false
}

// visitCopy classifies COPY, which is a read only if it sends a table or the result of a read to the client.
func (c *classifier) visitCopy(row []int32) {
	for k, id := range row {
		if c.keywordAt(id) == "to" && k > 0 && k+1 < len(row) && c.keywordAt(row[k+1]) == "stdout" {
			if first := &c.tree.nodes[row[0]]; first.kind == nodeParen {
				c.visit(first.first)
			} else if c.isName(row[0]) {
				c.addRelation(c.qualifiedNameFrom(row, 0))
			}
			return
		}
	}
	c.raiseClass(Write, "COPY to or from elsewhere than the client")
}

package sql

import "strings"

// Class tells what a statement may do, as far as that decides where it can run.
type Class uint8

// The classes in ascending order of strength. A statement that is not proven to be of a weaker class is a Write.
const (
	Read        Class = iota
	Transaction       // BEGIN, COMMIT and the like
	Session           // changes the session or depends on its state
	Write
)

// String names the class as the command line prints it.
func (c Class) String() string { return [...]string{"read", "transaction", "session", "write"}[c] }

// Statement is the result of classifying a text.
type Statement struct {
	Class  Class
	Reason string // why it is not a read
	Tables []string
	Calls  []string
	// SessionDependent is set if the class depends on the session's prepared statements and not on the text alone. Such
	// a statement isn't cached.
	SessionDependent bool
}

// PreparedClass returns the class of a prepared statement by its name, and false if none is known.
type PreparedClass func(name string) (Class, bool)

// Classify classifies a text of one or more statements; its class is the strongest of theirs. A text that can't be
// parsed is a write; one that can't be split into tokens or exceeds a limit is rejected with an *Error.
func (c *Catalogue) Classify(text string, syntax StringSyntax, prepared PreparedClass) (Statement, error) {
	walker := &classifier{catalogue: c, prepared: prepared}
	return walker.result, walker.classifyText(text, syntax)
}

// classifier walks a parse tree and raises the class to the strongest that it finds.
type classifier struct {
	catalogue   *Catalogue
	tree        *parser
	prepared    PreparedClass
	result      Statement
	castOperand int32 // first atom inside the parentheses of the CAST being visited
}

func (c *classifier) raiseClass(class Class, reason string) {
	if class > c.result.Class {
		c.result.Class, c.result.Reason = class, reason
	}
}

func (c *classifier) classifyText(text string, syntax StringSyntax) error {
	p, err := parseText(text, syntax)
	if p == nil {
		return err
	}
	c.tree = p
	if err != nil {
		if err.(*Error).Reason != reasonNotParsed {
			return err
		}
		if err = p.scanRest(); err != nil { // text after the syntax error may still fail in the lexer, which rejects it
			return err
		}
		c.raiseClass(Write, "not understood "+strings.TrimSuffix(p.err.Error(), ": "+reasonNotParsed))
		return nil
	}
	if p.lex.AmbiguousString {
		c.raiseClass(Write, "where a text ends depends on standard_conforming_strings, which is not known")
	}
	nonEmpty := 0
	for id := p.statements.first; id != 0; id = p.nodes[id].next {
		if p.nodes[id].kind != nodeEmpty {
			nonEmpty++
		}
	}
	for id := p.statements.first; id != 0; id = p.nodes[id].next {
		if p.nodes[id].kind == nodeOther {
			if err := c.visitOtherStatement(id, nonEmpty == 1, syntax); err != nil {
				return err
			}
			continue
		}
		c.visit(id)
	}
	return nil
}

package sexp

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/alecthomas/participle/v2/lexer"
)

// suggestionThreshold is the share of a name's letters that must agree for it to be offered in place of an unknown one.
// A typing error of one or two letters stays over it.
const suggestionThreshold = 0.6

// Part is one list whose values are taken by name.
type Part struct {
	file      *File
	position  lexer.Position
	name      string
	items     []*node // what follows the name
	requested map[string]bool
	subparts  []*Part
	present   bool
}

// Present reports whether the part stands in the file.
func (p *Part) Present() bool { return p.present }

// checkNamedList notes a fault where a node is no list that begins with a name.
func (p *Part) checkNamedList(n *node) {
	switch {
	case n.List == nil:
		p.file.addFault(n.Pos, n.String(), "a list such as (name value)")
	case n.listName() == nil:
		p.file.addFault(n.Pos, "a list that begins with no name", "a list such as (name value)")
	}
}

// lookup returns the one list of that name among the part's items, and what follows its name. A second one is a fault.
func (p *Part) lookup(name string) (found *node, values []*node) {
	p.requested[name] = true
	for _, item := range p.items {
		first := item.listName()
		if first == nil || *first.Word != name {
			continue
		}
		if found != nil {
			p.file.addFault(item.Pos, "a second "+strconv.Quote(name), fmt.Sprint("one, as in line ", found.Pos.Line))
			continue
		}
		found = item
		values = item.List.Items[1:]
	}
	return found, values
}

// Part returns the list of that name within this one. Where there is none, the part gives every default.
func (p *Part) Part(name string) *Part {
	sub := &Part{file: p.file, position: p.position, name: name, requested: map[string]bool{}}
	if found, values := p.lookup(name); found != nil {
		sub.position = found.Pos
		sub.items = values
		sub.present = true
		for _, item := range values {
			sub.checkNamedList(item)
		}
	}
	p.subparts = append(p.subparts, sub)
	return sub
}

// AcceptAllNames takes every name of the part as known, for a reader that has no use for the part's values.
func (p *Part) AcceptAllNames() {
	for _, item := range p.items {
		if first := item.listName(); first != nil {
			p.requested[*first.Word] = true
		}
	}
}

// AddFault notes a fault that only the part's owner can see, at the place of one of its names.
func (p *Part) AddFault(name, found, want string) {
	at, items := p.lookup(name)
	switch {
	case at == nil:
		p.file.addFault(p.position, found, want)
	case len(items) > 0:
		p.file.addFault(items[0].Pos, found, want)
	default:
		p.file.addFault(at.Pos, found, want)
	}
}

// reportUnknownNames notes a fault for each name that nobody has asked for, here and in the parts within.
func (p *Part) reportUnknownNames() {
	for _, item := range p.items {
		first := item.listName()
		if first == nil || p.requested[*first.Word] {
			continue
		}
		name := *first.Word
		p.file.addFault(first.Pos, "the unknown name "+strconv.Quote(name), suggestName(name, p.requested))
	}
	for _, sub := range p.subparts {
		sub.reportUnknownNames()
	}
}

// suggestName describes what may stand in place of an unknown name: the nearest known one, or all of them.
func suggestName(name string, known map[string]bool) string {
	best := ""
	bestShare := 0.0
	var all []string
	for candidate := range known {
		all = append(all, candidate)
		share := levenshtein.Match(name, candidate, nil)
		if share > bestShare || share == bestShare && candidate < best {
			best = candidate
			bestShare = share
		}
	}
	if bestShare >= suggestionThreshold {
		return strconv.Quote(best)
	}
	if len(all) == 0 {
		return "nothing there"
	}
	slices.Sort(all)
	return "one of " + strings.Join(all, ", ")
}

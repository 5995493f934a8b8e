package sql

import "cairntiller/internal/sexp"

// Knowledge is what the operator's file says of statements.
type Knowledge struct {
	Catalogue *Catalogue
	Strings   Strings
	Room      uint64 // bytes for shapes
}

// ReadKnowledge takes it from the operator's file. A function named twice is a fault: its volatility would go by chance.
func ReadKnowledge(p *sexp.Part) Knowledge {
	k := Knowledge{Catalogue: NewCatalogue(), Room: uint64(p.Size("cache", 4<<20, 64<<10, 1<<30))}
	seen := map[string]bool{}
	for _, one := range []struct {
		name string
		v    Volatility
	}{{"harmless", Harmless}, {"session", Bound}, {"writes", Writes}} {
		for _, f := range p.Texts(one.name) {
			if seen[f] {
				p.AddFault(one.name, f+" a second time", "each function under one of harmless, session and writes")
			}
			seen[f] = true
			k.Catalogue.Function(f, one.v)
		}
	}
	for _, one := range p.Texts("types") {
		k.Catalogue.Type(one)
	}
	for _, one := range p.Texts("writing-views") {
		k.Catalogue.Writer(one)
	}
	switch how := p.Text("strings", "unknown"); how {
	case "standard":
		k.Strings = Standard
	case "backslash":
		k.Strings = Backslash
	case "unknown":
		k.Strings = Unknown
	default:
		p.AddFault("strings", how, "standard, backslash or unknown: how the servers read a backslash in plain quotes")
	}
	return k
}

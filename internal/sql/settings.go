package sql

import "cairntiller/internal/sexp"

// Settings holds the part (statements ...) of the operator's file.
type Settings struct {
	Catalogue    *Catalogue
	StringSyntax StringSyntax
	CacheBytes   uint64 // of the shape cache
}

// ReadSettings reads the settings of a part. A function that is listed twice is a fault, because its volatility would
// depend on the order of the lists.
func ReadSettings(p *sexp.Part) Settings {
	s := Settings{Catalogue: NewCatalogue(), CacheBytes: uint64(p.Size("cache", 4<<20, 64<<10, 1<<30))}
	seen := map[string]bool{}
	for _, list := range []struct {
		name       string
		volatility Volatility
	}{{"harmless", ReadOnly}, {"session", SessionBound}, {"writes", MayWrite}} {
		for _, name := range p.Texts(list.name) {
			if seen[name] {
				p.AddError(list.name, name+" listed twice", "each function in only one of harmless, session and writes")
			}
			seen[name] = true
			s.Catalogue.SetFunction(name, list.volatility)
		}
	}
	for _, name := range p.Texts("types") {
		s.Catalogue.AddType(name)
	}
	for _, name := range p.Texts("writing-views") {
		s.Catalogue.AddWritingRelation(name)
	}
	switch syntax := p.Text("strings", "unknown"); syntax {
	case "standard":
		s.StringSyntax = StandardStrings
	case "backslash":
		s.StringSyntax = BackslashStrings
	case "unknown":
		s.StringSyntax = UnknownStrings
	default:
		p.AddError("strings", syntax, "standard, backslash or unknown: how the servers interpret a backslash in a plain string")
	}
	return s
}

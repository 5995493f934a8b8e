package sql

import "cairntiller/internal/sexp"

// Settings is what the part (statements ...) of the operator's file says.
type Settings struct {
	Catalogue    *Catalogue
	StringSyntax StringSyntax
	CacheBytes   uint64 // of the shape cache
}

// ReadSettings reads the part. A function that is named twice is a fault, because its volatility would depend on the order.
func ReadSettings(p *sexp.Part) Settings {
	k := Settings{Catalogue: NewCatalogue(), CacheBytes: uint64(p.Size("cache", 4<<20, 64<<10, 1<<30))}
	seen := map[string]bool{}
	for _, one := range []struct {
		name string
		v    Volatility
	}{{"harmless", ReadOnly}, {"session", SessionBound}, {"writes", MayWrite}} {
		for _, f := range p.Texts(one.name) {
			if seen[f] {
				p.AddError(one.name, f+" a second time", "each function under one of harmless, session and writes")
			}
			seen[f] = true
			k.Catalogue.SetFunction(f, one.v)
		}
	}
	for _, one := range p.Texts("types") {
		k.Catalogue.AddType(one)
	}
	for _, one := range p.Texts("writing-views") {
		k.Catalogue.AddWritingRelation(one)
	}
	switch how := p.Text("strings", "unknown"); how {
	case "standard":
		k.StringSyntax = StandardStrings
	case "backslash":
		k.StringSyntax = BackslashStrings
	case "unknown":
		k.StringSyntax = UnknownStrings
	default:
		p.AddError("strings", how, "standard, backslash or unknown: how the servers read a backslash in plain quotes")
	}
	return k
}

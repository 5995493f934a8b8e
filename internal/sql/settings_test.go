package sql

import (
	"strings"
	"testing"

	"cairntiller/internal/sexp"
)

func TestReadSettings(t *testing.T) {
	f, err := sexp.Parse("f", []byte(`(statements (harmless shop.price) (session enter) (writes lower) (types mood) (writing-views v) (strings standard) (cache 1MiB))`))
	if err != nil {
		t.Fatal(err)
	}
	settings := ReadSettings(f.Part("statements"))
	if err := f.Err(); err != nil || settings.CacheBytes != 1<<20 || settings.StringSyntax != StandardStrings {
		t.Errorf("settings %+v, faults %v", settings, err)
	}
	for text, want := range map[string]Class{"select shop.price(1), upper(x)": Read, "select enter()": Session, "select lower(x)": Write,
		"select 'a'::mood": Read, "select * from v": Write, "select pg_catalog.lower(x)": Write} {
		if s, err := settings.Catalogue.Classify(text, settings.StringSyntax, nil); err != nil || s.Class != want {
			t.Errorf("%q: %+v, %v", text, s, err)
		}
	}
	f, _ = sexp.Parse("f", []byte(`(statements (harmless a) (writes a) (strings odd))`))
	ReadSettings(f.Part("statements"))
	if err := f.Err(); err == nil || !strings.Contains(err.Error(), "a listed twice") || !strings.Contains(err.Error(), "found odd") {
		t.Error(err)
	}
}

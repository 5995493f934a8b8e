package sql

import (
	"encoding/hex"
	"strings"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/maypok86/otter/v2"
)

// A statement's shape is its tokens without what changes from one use to the next: literals give way to their kind, lists
// of literals and rows of such lists to one, words to lower case, comments and white space to nothing. What classify.go goes
// by is all kept, so statements of one shape have one class.

// Placeholders for literals. No token looks like them, because none begins with a backslash.
const (
	stringPlaceholder    = `\s`
	numberPlaceholder    = `\n`
	bitsPlaceholder      = `\b`
	parameterPlaceholder = `\p`
	listPlaceholder      = `(\+)`
)

// rowSeparator is what stands between two rows in a shape.
const rowSeparator = " , "

// shapeBuilder builds shapes in a buffer that it reuses.
type shapeBuilder struct {
	buf          []byte
	openBrackets []openBracket // brackets that are open
	listStart    int           // where the list of literals that has just ended began, -1 for none
}

// openBracket is a bracket that is not closed yet.
type openBracket struct {
	start        int  // where it stands in the shape
	previousList int  // where the list of literals before it began, -1 for none
	literalsOnly bool // nothing but literals and commas since
}

// build writes a text's shape to the buffer; the error is the lexer's.
func (s *shapeBuilder) build(l *Lexer) error {
	s.buf, s.openBrackets, s.listStart = s.buf[:0], s.openBrackets[:0], -1
	limit := false
	for {
		t, err := l.Next()
		if err != nil {
			return err
		}
		if t.Kind == End {
			return nil
		}
		if len(s.buf) > 0 {
			s.buf = append(s.buf, ' ')
		}
		text := l.Text(t)
		if t.Kind == Punctuation && len(text) == 1 && s.addBracket(text[0]) {
			continue
		}
		if n := len(s.openBrackets); n > 0 && t.Kind != StringLiteral && t.Kind != Number && t.Kind != BitString && t.Kind != Parameter && text != "," {
			s.openBrackets[n-1].literalsOnly = false
		}
		switch t.Kind {
		case StringLiteral:
			s.buf = append(s.buf, stringPlaceholder...)
		case Number:
			s.buf = append(s.buf, numberPlaceholder...)
			if limit { // a limit's size tells on what the statement costs
				s.buf = append(s.buf, '0'+byte(min(len(text), 9)))
			}
		case BitString:
			s.buf = append(s.buf, bitsPlaceholder...)
		case Parameter:
			s.buf = append(s.buf, parameterPlaceholder...)
		case Word:
			from := len(s.buf)
			s.buf = append(s.buf, text...)
			for i := from; i < len(s.buf); i++ {
				if c := s.buf[i]; c >= 'A' && c <= 'Z' {
					s.buf[i] = c + ('a' - 'A')
				}
			}
		default:
			s.buf = append(s.buf, text...)
		}
		limit = t.Kind == Word && len(text) == 5 && strings.EqualFold(text, "limit")
		if text != "," {
			s.listStart = -1
		}
	}
}

// addBracket writes a bracket and reports whether it was one. At its end a list of literals folds into a placeholder, and into
// the same one as a list of literals right before it.
func (s *shapeBuilder) addBracket(c byte) bool {
	switch c {
	case '(':
		if n := len(s.openBrackets); n > 0 {
			s.openBrackets[n-1].literalsOnly = false
		}
		s.openBrackets = append(s.openBrackets, openBracket{len(s.buf), s.listStart, true})
		s.listStart = -1
		s.buf = append(s.buf, '(')
		return true
	case ')':
		n := len(s.openBrackets) - 1
		o := s.openBrackets[n]
		s.openBrackets = s.openBrackets[:n]
		if !o.literalsOnly || len(s.buf) == o.start+2 { // something else within, or nothing
			s.buf = append(s.buf, ')')
			s.listStart = -1
			return true
		}
		s.buf = append(s.buf[:o.start], listPlaceholder...)
		s.listStart = o.start
		endOfPrevious := o.previousList + len(listPlaceholder)
		if o.previousList >= 0 && o.start == endOfPrevious+len(rowSeparator) { // one more such row
			s.buf = s.buf[:endOfPrevious]
			s.listStart = o.previousList
		}
		return true
	}
	return false
}

// Entry is what the cache holds of a shape.
type Entry struct {
	Statement
	Shape string // a short name for it, of its hash; for logs and routes, and never taken as proof
}

// Cache keeps what was read of shapes, by their whole text: a hit proves that the shape is the same. It is bounded in bytes,
// and lets a new shape in only where it is asked for more often than what would go for it (W-TinyLFU, Einziger, Friedman and
// Manes), so that shapes that come once don't drive the usual ones out. It is safe for several goroutines, each with a
// Classifier of its own.
type Cache struct {
	catalogue *Catalogue
	syntax    StringSyntax
	shapes    *otter.Cache[string, *Entry]
}

// entryBytes is what an entry takes beside its shape and names.
const entryBytes = 256

// NewCache returns a cache of at most that many bytes. The catalogue must not change from here on.
func NewCache(catalogue *Catalogue, how StringSyntax, bytes uint64) (*Cache, error) {
	shapes, err := otter.New(&otter.Options[string, *Entry]{MaximumWeight: bytes,
		Weigher: func(key string, e *Entry) uint32 {
			n := entryBytes + len(key) + len(e.Reason)
			for _, one := range e.Tables {
				n += 16 + len(one)
			}
			for _, one := range e.Calls {
				n += 16 + len(one)
			}
			return uint32(n)
		}})
	if err != nil {
		return nil, err
	}
	return &Cache{catalogue: catalogue, syntax: how, shapes: shapes}, nil
}

// ShapeCount returns about how many shapes are cached.
func (c *Cache) ShapeCount() int { return c.shapes.EstimatedSize() }

// WeightBytes returns about how many bytes they take.
func (c *Cache) WeightBytes() uint64 { return c.shapes.WeightedSize() }

// Classifier classifies statements through a cache, one at a time.
type Classifier struct {
	cache *Cache
	lexer Lexer
	shape shapeBuilder
}

// NewClassifier returns a classifier that uses the cache's.
func (c *Cache) NewClassifier() *Classifier { return &Classifier{cache: c} }

// maxShapeBytes bounds a cached shape. Longer ones come from generators and hardly twice.
const maxShapeBytes = 16 << 10

// Classify classifies a text; hit reports whether its shape was cached. prepared gives the classes of prepared statements.
func (r *Classifier) Classify(text string, prepared PreparedClass) (e *Entry, hit bool, err error) {
	l := &r.lexer
	if err = l.reset(text, r.cache.syntax); err != nil {
		return nil, false, err
	}
	if err = r.shape.build(l); err != nil {
		return nil, false, err
	}
	// The cache keeps no key that it is only asked for, so the key may stand in the reused buffer.
	key := unsafe.String(unsafe.SliceData(r.shape.buf), len(r.shape.buf))
	if !l.AmbiguousString {
		if e, hit = r.cache.shapes.GetIfPresent(key); hit {
			return e, true, nil
		}
	}
	e = &Entry{}
	if e.Statement, err = r.cache.catalogue.Classify(text, r.cache.syntax, prepared); err != nil {
		return nil, false, err
	}
	e.Shape = shapeName(r.shape.buf)
	if !l.AmbiguousString && !e.SessionDependent && len(r.shape.buf) <= maxShapeBytes {
		r.cache.shapes.Set(string(r.shape.buf), e)
	}
	return e, false, nil
}

func shapeName(shape []byte) string {
	var b [8]byte
	h := xxhash.Sum64(shape)
	for i := range b {
		b[i] = byte(h >> (56 - 8*i))
	}
	return hex.EncodeToString(b[:])
}

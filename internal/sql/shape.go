package sql

import (
	"encoding/hex"
	"strings"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/maypok86/otter/v2"
)

// The shape of a statement is its tokens, normalized: literals are replaced by a placeholder for their kind, lists of
// literals and sequences of such lists by one placeholder; words are in lower case, comments and white space are
// dropped. All that classify.go depends on is kept, so statements of the same shape have the same class.

// Placeholders for literals. They can't be confused with a token, because no token begins with a backslash.
const (
	stringPlaceholder    = `\s`
	numberPlaceholder    = `\n`
	bitsPlaceholder      = `\b`
	parameterPlaceholder = `\p`
	listPlaceholder      = `(\+)`
)

// rowSeparator separates two rows in a shape.
const rowSeparator = " , "

// shapeBuilder builds shapes in a reused buffer.
type shapeBuilder struct {
	buf        []byte
	openParens []openParen // open parentheses, outermost first
	listStart  int         // offset in buf of the list of literals that just ended, -1 for none
}

// openParen is a parenthesis that is not closed yet.
type openParen struct {
	start        int  // offset in the shape
	previousList int  // offset of the list of literals before it, -1 for none
	literalsOnly bool // only literals and commas since
}

// build writes the shape of a text to the buffer; the error is the lexer's.
func (s *shapeBuilder) build(l *Lexer) error {
	s.buf, s.openParens, s.listStart = s.buf[:0], s.openParens[:0], -1
	afterLimit := false
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
		if t.Kind == Punctuation && len(text) == 1 && s.addParen(text[0]) {
			continue
		}
		if n := len(s.openParens); n > 0 && t.Kind != StringLiteral && t.Kind != Number && t.Kind != BitString && t.Kind != Parameter && text != "," {
			s.openParens[n-1].literalsOnly = false
		}
		switch t.Kind {
		case StringLiteral:
			s.buf = append(s.buf, stringPlaceholder...)
		case Number:
			s.buf = append(s.buf, numberPlaceholder...)
			if afterLimit { // keeps the number of digits, because the size of a LIMIT affects the cost of the statement
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
		afterLimit = t.Kind == Word && len(text) == 5 && strings.EqualFold(text, "limit")
		if text != "," {
			s.listStart = -1
		}
	}
}

// addParen writes c and reports true if it is a parenthesis. A closing one replaces a list of literals by a
// placeholder, which it merges with the placeholder of the list directly before it.
func (s *shapeBuilder) addParen(c byte) bool {
	switch c {
	case '(':
		if n := len(s.openParens); n > 0 {
			s.openParens[n-1].literalsOnly = false
		}
		s.openParens = append(s.openParens, openParen{len(s.buf), s.listStart, true})
		s.listStart = -1
		s.buf = append(s.buf, '(')
		return true
	case ')':
		n := len(s.openParens) - 1
		o := s.openParens[n]
		s.openParens = s.openParens[:n]
		if !o.literalsOnly || len(s.buf) == o.start+2 { // empty, or not only literals
			s.buf = append(s.buf, ')')
			s.listStart = -1
			return true
		}
		s.buf = append(s.buf[:o.start], listPlaceholder...)
		s.listStart = o.start
		endOfPrevious := o.previousList + len(listPlaceholder)
		if o.previousList >= 0 && o.start == endOfPrevious+len(rowSeparator) { // merges consecutive rows
			s.buf = s.buf[:endOfPrevious]
			s.listStart = o.previousList
		}
		return true
	}
	return false
}

// CacheEntry is the cache entry of a shape.
type CacheEntry struct {
	Statement
	Shape string // short name for logs and routes: a hash, which never identifies a shape in the cache
}

// Cache caches the classification of shapes. Its keys are whole shapes and not hashes, so a hit is always of the same
// shape. Its size is bounded in bytes; it admits a new shape only if the shape is requested more often than the entry
// that would be evicted (W-TinyLFU, Einziger, Friedman and Manes), so that shapes seen once don't evict frequent ones.
// It is safe for concurrent use by several goroutines, each with its own Classifier.
type Cache struct {
	catalogue *Catalogue
	syntax    StringSyntax
	shapes    *otter.Cache[string, *CacheEntry]
}

// entryBytes is the size of an entry without its shape, reason and names.
const entryBytes = 256

// NewCache returns a cache of at most the given bytes. The catalogue must not change afterwards.
func NewCache(catalogue *Catalogue, syntax StringSyntax, bytes uint64) (*Cache, error) {
	shapes, err := otter.New(&otter.Options[string, *CacheEntry]{MaximumWeight: bytes,
		Weigher: func(key string, e *CacheEntry) uint32 {
			n := entryBytes + len(key) + len(e.Reason)
			for _, name := range e.Tables {
				n += 16 + len(name)
			}
			for _, name := range e.Calls {
				n += 16 + len(name)
			}
			return uint32(n)
		}})
	if err != nil {
		return nil, err
	}
	return &Cache{catalogue: catalogue, syntax: syntax, shapes: shapes}, nil
}

// ShapeCount returns the approximate number of cached shapes.
func (c *Cache) ShapeCount() int { return c.shapes.EstimatedSize() }

// WeightBytes returns the approximate size of the cached shapes.
func (c *Cache) WeightBytes() uint64 { return c.shapes.WeightedSize() }

// Classifier classifies statements through a cache. It is not safe for concurrent use.
type Classifier struct {
	cache *Cache
	lexer Lexer
	shape shapeBuilder
}

// NewClassifier returns a classifier that uses the cache.
func (c *Cache) NewClassifier() *Classifier { return &Classifier{cache: c} }

// maxShapeBytes is the maximum length of a cached shape. Longer ones come from generators and rarely occur twice.
const maxShapeBytes = 16 << 10

// Classify classifies a text; hit reports whether its shape was cached. prepared returns the classes of prepared
// statements.
func (c *Classifier) Classify(text string, prepared PreparedClass) (e *CacheEntry, hit bool, err error) {
	l := &c.lexer
	if err = l.reset(text, c.cache.syntax); err != nil {
		return nil, false, err
	}
	if err = c.shape.build(l); err != nil {
		return nil, false, err
	}
	// A lookup doesn't retain its key, so the key may refer to the reused buffer.
	key := unsafe.String(unsafe.SliceData(c.shape.buf), len(c.shape.buf))
	if !l.AmbiguousString {
		if e, hit = c.cache.shapes.GetIfPresent(key); hit {
			return e, true, nil
		}
	}
	e = &CacheEntry{}
	if e.Statement, err = c.cache.catalogue.Classify(text, c.cache.syntax, prepared); err != nil {
		return nil, false, err
	}
	e.Shape = shapeName(c.shape.buf)
	if !l.AmbiguousString && !e.SessionDependent && len(c.shape.buf) <= maxShapeBytes {
		c.cache.shapes.Set(string(c.shape.buf), e)
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

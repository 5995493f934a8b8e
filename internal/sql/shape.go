package sql

import (
	"encoding/hex"
	"strings"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/maypok86/otter/v2"
)

// A statement's shape is its tokens without what changes from one use to the next: literals give way to their kind, lists
// of literals and rows of such lists to one, words to lower case, comments and white space to nothing. What class.go goes
// by is all kept, so statements of one shape have one class.

// Marks that stand for literals; no token looks like them, for a backslash begins none.
const (
	markText   = `\s`
	markNumber = `\n`
	markBits   = `\b`
	markParam  = `\p`
	markList   = `(\+)`
)

// shaper builds shapes in room that it keeps.
type shaper struct {
	buf   []byte
	opens []open // brackets that are open
	row   int    // where a list of literals that has just ended began, -1 for none
}

// open is an open bracket.
type open struct {
	at      int  // where it stands in the shape
	row     int  // where the list of literals before it began, -1 for none
	literal bool // nothing but literals and commas since
}

// shape writes a text's shape to the shaper's room; the error is the lexer's.
func (s *shaper) shape(l *Lexer) error {
	s.buf, s.opens, s.row = s.buf[:0], s.opens[:0], -1
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
		if t.Kind == Mark && len(text) == 1 && s.bracket(text[0]) {
			continue
		}
		if n := len(s.opens); n > 0 && t.Kind != Text && t.Kind != Number && t.Kind != Bits && t.Kind != Param && text != "," {
			s.opens[n-1].literal = false
		}
		switch t.Kind {
		case Text:
			s.buf = append(s.buf, markText...)
		case Number:
			s.buf = append(s.buf, markNumber...)
			if limit { // a limit's size tells on what the statement costs
				s.buf = append(s.buf, '0'+byte(min(len(text), 9)))
			}
		case Bits:
			s.buf = append(s.buf, markBits...)
		case Param:
			s.buf = append(s.buf, markParam...)
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
			s.row = -1
		}
	}
}

// bracket writes a bracket; at the end of a list of literals the list folds, and with one like it before it into one.
func (s *shaper) bracket(c byte) bool {
	switch c {
	case '(':
		if n := len(s.opens); n > 0 {
			s.opens[n-1].literal = false
		}
		s.opens = append(s.opens, open{len(s.buf), s.row, true})
		s.row = -1
		s.buf = append(s.buf, '(')
		return true
	case ')':
		n := len(s.opens) - 1
		o := s.opens[n]
		s.opens = s.opens[:n]
		if !o.literal || len(s.buf) == o.at+2 { // something else within, or nothing
			s.buf = append(s.buf, ')')
			s.row = -1
			return true
		}
		s.buf = append(s.buf[:o.at], markList...)
		if s.row = o.at; o.row >= 0 && o.at == o.row+len(markList)+len(" , ") { // one more such row
			s.buf, s.row = s.buf[:o.row+len(markList)], o.row
		}
		return true
	}
	return false
}

// Entry is what is kept of a shape.
type Entry struct {
	Statement
	Shape string // a short name for it, of its hash; for logs and routes, and never taken as proof
}

// Cache keeps what was read of shapes, by their whole text: a hit proves that the shape is the same. It is bounded in bytes,
// and lets a new shape in only where it is asked for more often than what would go for it (W-TinyLFU, Einziger, Friedman and
// Manes), so that shapes that come once don't drive the usual ones out. It is safe for several goroutines, each with a
// Reader of its own.
type Cache struct {
	catalogue *Catalogue
	how       Strings
	shapes    *otter.Cache[string, *Entry]
}

// entryBytes is what an entry takes beside its shape and names.
const entryBytes = 256

// NewCache makes a cache for so many bytes. The catalogue must not change from here on.
func NewCache(catalogue *Catalogue, how Strings, bytes uint64) (*Cache, error) {
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
	return &Cache{catalogue: catalogue, how: how, shapes: shapes}, nil
}

// Size is how many shapes are kept, about.
func (c *Cache) Size() int { return c.shapes.EstimatedSize() }

// Bytes is what they take, about.
func (c *Cache) Bytes() uint64 { return c.shapes.WeightedSize() }

// Reader reads statements through a cache, one at a time.
type Reader struct {
	c *Cache
	l Lexer
	s shaper
}

// Reader makes one.
func (c *Cache) Reader() *Reader { return &Reader{c: c} }

// mostShape is the length of a shape that is kept; longer ones come from generators, hardly twice.
const mostShape = 16 << 10

// Read classes a text; hit tells that its shape was known. prepared is asked anew each time.
func (r *Reader) Read(text string, prepared Prepared) (e *Entry, hit bool, err error) {
	l := &r.l
	if err = l.begin(text, r.c.how); err != nil {
		return nil, false, err
	}
	if err = r.s.shape(l); err != nil {
		return nil, false, err
	}
	// The cache keeps no key that it is asked for, so it may stand in the reader's own room.
	key := unsafe.String(unsafe.SliceData(r.s.buf), len(r.s.buf))
	if !l.Doubtful {
		if e, hit = r.c.shapes.GetIfPresent(key); hit {
			return e, true, nil
		}
	}
	e = &Entry{}
	if e.Statement, err = r.c.catalogue.Classify(text, r.c.how, prepared); err != nil {
		return nil, false, err
	}
	e.Shape = name(r.s.buf)
	if !l.Doubtful && !e.Fleeting && len(r.s.buf) <= mostShape {
		r.c.shapes.Set(string(r.s.buf), e)
	}
	return e, false, nil
}

func name(shape []byte) string {
	var b [8]byte
	h := xxhash.Sum64(shape)
	for i := range b {
		b[i] = byte(h >> (56 - 8*i))
	}
	return hex.EncodeToString(b[:])
}

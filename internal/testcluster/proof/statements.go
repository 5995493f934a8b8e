package proof

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"cairntiller/internal/sql"
)

// Limits and parameters of the statement proof.
const (
	maxFalseWriteShare = 0.02 // share of the reads classified as writes; such a read only adds load to the primary
	minHitShare        = 0.95 // cache hits, as a share of the usual statements
	hostileShare       = 0.1  // share of the second replay's statements that each have a unique shape
	shapeCacheBytes    = 1 << 20
)

// StatementProof classifies a generated corpus of statements whose classes are known, and measures the hit rate of the shape
// cache by replaying a skewed mix of statements.
type StatementProof struct {
	Seed       uint64
	Size       int  // number of statements in the corpus
	ReplaySize int  // number of statements in each replay
	PlantFault bool // planted mistake: the catalogue classifies nextval, which writes, as read-only
	Output     io.Writer
}

// Run runs the proof and returns its closing line; the error lists the limits that do not hold.
func (p StatementProof) Run() (line string, err error) {
	catalogue := sql.NewCatalogue()
	if p.PlantFault {
		catalogue.SetFunction("nextval", sql.ReadOnly)
	}
	generator := &statementGenerator{random: rand.New(rand.NewPCG(p.Seed, 5))}
	misread, falseWrites, reads, writes := 0, 0, 0, 0
	began := time.Now()
	for i := range p.Size {
		text, write := generator.statement(i%2 == 1)
		statement, err := catalogue.Classify(text, sql.StandardStrings, nil)
		if err != nil {
			return "", fmt.Errorf("%s: %w", text, err)
		}
		switch {
		case write && statement.Class != sql.Write:
			misread++
			fmt.Fprintf(p.Output, "write classified as %v: %s\n", statement.Class, text)
		case !write && statement.Class != sql.Read:
			falseWrites++
			fmt.Fprintf(p.Output, "read classified as a write (%s): %s\n", statement.Reason, text)
		}
		if write {
			writes++
		} else {
			reads++
		}
	}
	took := time.Since(began)
	usualHits, err := p.replay(catalogue, 0)
	if err != nil {
		return "", err
	}
	hostileHits, err := p.replay(catalogue, hostileShare)
	if err != nil {
		return "", err
	}
	var faults []error
	if misread > 0 {
		faults = append(faults, fmt.Errorf("%d writes misread as another class", misread))
	}
	if share := float64(falseWrites) / float64(reads); share > maxFalseWriteShare {
		faults = append(faults, fmt.Errorf("%.3f of the reads were classified as writes, limit %.2f", share, maxFalseWriteShare))
	}
	if lowest := min(usualHits, hostileHits); lowest < minHitShare {
		faults = append(faults, fmt.Errorf("cache hit share %.3f, limit %.2f", lowest, minHitShare))
	}
	verdict := "holds"
	if len(faults) > 0 {
		verdict = "FAILS"
	}
	return fmt.Sprintf("proof statements: %s; misread=%d of %d writes (limit 0) false_writes=%.4f of %d reads (limit %.2f) "+
		"hits=%.3f with a tenth hostile=%.3f (limit %.2f) us_a_statement=%.1f seed=%d", verdict, misread, writes,
		float64(falseWrites)/float64(reads), reads, maxFalseWriteShare, usualHits, hostileHits, minHitShare,
		float64(took.Microseconds())/float64(p.Size), p.Seed), errors.Join(faults...)
}

// replay classifies a skewed mix of statement shapes, one of which is replaced now and then, and returns the cache hit share
// of these usual statements. hostile is the share of further statements that each have a unique shape.
func (p StatementProof) replay(c *sql.Catalogue, hostile float64) (hits float64, err error) {
	cache, err := sql.NewCache(c, sql.StandardStrings, shapeCacheBytes)
	if err != nil {
		return 0, err
	}
	g := &statementGenerator{random: rand.New(rand.NewPCG(p.Seed, 6))}
	var shapes []string
	for range 400 {
		text, _ := g.statement(false)
		shapes = append(shapes, text)
	}
	skew := rand.NewZipf(g.random, 1.3, 4, uint64(len(shapes)-1))
	classifier := cache.NewClassifier()
	lookups, hit := 0, 0
	for i := range p.ReplaySize {
		if hostile > 0 && g.random.Float64() < hostile {
			if _, _, err := classifier.Classify(fmt.Sprintf("select h%d, %s from x%d", i, strings.Repeat("y, ", 50)+"z", i), nil); err != nil {
				return 0, err
			}
			continue
		}
		if i%1000 == 999 { // as when an application's release replaces a statement
			shapes[g.random.IntN(len(shapes))], _ = g.statement(false)
		}
		text := g.varyLiterals(shapes[skew.Uint64()])
		_, known, err := classifier.Classify(text, nil)
		if err != nil {
			return 0, err
		}
		if lookups++; known {
			hit++
		}
	}
	return float64(hit) / float64(lookups), nil
}

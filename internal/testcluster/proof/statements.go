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

// The limits of the proof of statements, and the size of its replay.
const (
	maxFalseWriteShare = 0.02 // of the reads: a read taken for a write only costs the primary work
	minHitShare        = 0.95 // of the usual statements
	hostileShare       = 0.1  // of the statements of the second replay, each of a shape of its own
	shapeCacheBytes    = 1 << 20
)

// StatementProof generates a corpus whose classes are known by how it was made, and replays a morning's mix.
type StatementProof struct {
	Seed       uint64
	Size       int  // statements of the corpus
	ReplaySize int  // statements of the replay
	PlantFault bool // a fault on purpose: the catalogue calls a function that writes harmless
	Output     io.Writer
}

// Run returns the closing line; the error says which limits do not hold.
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
			fmt.Fprintf(p.Output, "misread as a %v: %s\n", statement.Class, text)
		case !write && statement.Class != sql.Read:
			falseWrites++
			fmt.Fprintf(p.Output, "no write (%s): %s\n", statement.Reason, text)
		}
		if write {
			writes++
		} else {
			reads++
		}
	}
	took := time.Since(began)
	calm, err := p.replayMorning(catalogue, 0)
	if err != nil {
		return "", err
	}
	hostile, err := p.replayMorning(catalogue, hostileShare)
	if err != nil {
		return "", err
	}
	var faults []error
	if misread > 0 {
		faults = append(faults, fmt.Errorf("%d writes misread", misread))
	}
	if share := float64(falseWrites) / float64(reads); share > maxFalseWriteShare {
		faults = append(faults, fmt.Errorf("%.3f of the reads are called writes, limit %.2f", share, maxFalseWriteShare))
	}
	if least := min(calm, hostile); least < minHitShare {
		faults = append(faults, fmt.Errorf("%.3f hits, limit %.2f", least, minHitShare))
	}
	verdict := "holds"
	if len(faults) > 0 {
		verdict = "FAILS"
	}
	return fmt.Sprintf("proof statements: %s; misread=%d of %d writes (limit 0) false_writes=%.4f of %d reads (limit %.2f) "+
		"hits=%.3f with a tenth hostile=%.3f (limit %.2f) us_a_statement=%.1f seed=%d", verdict, misread, writes,
		float64(falseWrites)/float64(reads), reads, maxFalseWriteShare, calm, hostile, minHitShare,
		float64(took.Microseconds())/float64(p.Size), p.Seed), errors.Join(faults...)
}

// replayMorning replays a skewed mix of shapes, into which new ones come all the time, and returns the share of hits among
// the usual statements.
func (p StatementProof) replayMorning(c *sql.Catalogue, hostile float64) (hits float64, err error) {
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
	r := cache.NewClassifier()
	usual, hit := 0, 0
	for i := range p.ReplaySize {
		if hostile > 0 && g.random.Float64() < hostile {
			if _, _, err := r.Classify(fmt.Sprintf("select h%d, %s from x%d", i, strings.Repeat("y, ", 50)+"z", i), nil); err != nil {
				return 0, err
			}
			continue
		}
		if i%1000 == 999 { // a release brings a new shape in place of an old one
			shapes[g.random.IntN(len(shapes))], _ = g.statement(false)
		}
		text := g.varyLiterals(shapes[skew.Uint64()])
		_, known, err := r.Classify(text, nil)
		if err != nil {
			return 0, err
		}
		if usual++; known {
			hit++
		}
	}
	return float64(hit) / float64(usual), nil
}

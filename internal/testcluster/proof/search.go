package proof

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
)

// forEachParallel calls do for every i in [0, n), on all cores, until a call returns false.
func forEachParallel(n int, do func(i int) bool) {
	var next atomic.Int64
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n && !stop.Load(); i = int(next.Add(1)) - 1 {
				if !do(i) {
					stop.Store(true)
				}
			}
		})
	}
	wg.Wait()
}

// searchSeeds runs the seeds on all cores until one shows a violation. Every repeatEvery-th seed runs a second time, to check
// that both runs have the same hash over all events. It returns how many seeds were repeated, and the first violation or an
// empty string. collect receives each run's figures; its calls are serialized.
func searchSeeds[F any](from uint64, seeds, repeatEvery int, runSeed func(seed uint64) (f F, hash uint64, violation string), collect func(F)) (hashes int, violation string) {
	var mu sync.Mutex
	forEachParallel(seeds, func(i int) bool {
		seed := from + uint64(i)
		f, hash, runViolation := runSeed(seed)
		repeat := repeatEvery > 0 && i%repeatEvery == 0
		equal := true
		if repeat {
			_, otherHash, _ := runSeed(seed)
			equal = otherHash == hash
		}
		mu.Lock()
		defer mu.Unlock()
		collect(f)
		if repeat {
			hashes++
		}
		if !equal && violation == "" {
			violation = fmt.Sprintf("seed %d: two runs differ", seed)
		}
		if runViolation != "" && violation == "" {
			violation = fmt.Sprintf("seed %d: %s", seed, runViolation)
		}
		return violation == ""
	})
	return hashes, violation
}

// firstSeedThat searches the seeds in [0, seeds) in parallel until one matches. It returns the lowest match among those that
// ran, or -1 if there is none.
func firstSeedThat(seeds int, matches func(seed uint64) bool) (seed int) {
	seed = -1
	var mu sync.Mutex
	forEachParallel(seeds, func(i int) bool {
		if !matches(uint64(i)) {
			return true
		}
		mu.Lock()
		defer mu.Unlock()
		if seed < 0 || i < seed {
			seed = i
		}
		return false
	})
	return seed
}

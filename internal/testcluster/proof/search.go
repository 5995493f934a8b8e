package proof

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
)

// forEachParallel calls do for the numbers below n on all cores, until one call returns false.
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

// searchSeeds plays seeds on all cores until one breaks a rule. It plays one seed in twice a second time, to compare the
// hashes over all events, and returns how many were compared and what was broken. sum gets each run's figures, one call at a
// time.
func searchSeeds[F any](from uint64, seeds, twice int, play func(seed uint64) (f F, hash uint64, broken string), sum func(F)) (hashes int, broken string) {
	var mu sync.Mutex
	forEachParallel(seeds, func(i int) bool {
		seed := from + uint64(i)
		f, hash, why := play(seed)
		again := twice > 0 && i%twice == 0
		same := true
		if again {
			_, other, _ := play(seed)
			same = other == hash
		}
		mu.Lock()
		defer mu.Unlock()
		sum(f)
		if again {
			hashes++
		}
		if !same && broken == "" {
			broken = fmt.Sprintf("seed %d: two runs differ", seed)
		}
		if why != "" && broken == "" {
			broken = fmt.Sprintf("seed %d: %s", seed, why)
		}
		return broken == ""
	})
	return hashes, broken
}

// firstSeedThat returns the lowest of the seeds played, from 0 up to most, that shows something, -1 for none.
func firstSeedThat(most int, shows func(seed uint64) bool) (seed int) {
	seed = -1
	var mu sync.Mutex
	forEachParallel(most, func(i int) bool {
		if !shows(uint64(i)) {
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

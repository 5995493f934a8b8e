package membership

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// traceHash runs the decisions of this package on generated inputs and returns a hash of all results.
func traceHash(seed uint64) uint64 {
	sum := fnv.New64a()
	hashNumbers := func(values ...int64) {
		for _, n := range values {
			sum.Write(binary.LittleEndian.AppendUint64(nil, uint64(n)))
		}
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	now := int64(0)
	admission, missing := newAdmission(0, "kandy", 40), newMissingMembers(0, []string{"s1", "s2", "s3", "s4", "s5"})
	queue := &broadcastQueue{}
	for n := range 6000 {
		now += rng.Int64N(400_000)
		if rng.IntN(2000) == 0 {
			now += 3700e6
		}
		name := fmt.Sprint("m", rng.IntN(60))
		err := admission.admit(now, name, metadata{Version: 1 + rng.IntN(20)/19, Cluster: []string{"kandy", "kandy", "kandy", "galle"}[rng.IntN(4)], Weight: 1})
		fmt.Fprint(sum, err)
		for range rng.IntN(4) {
			fmt.Fprint(sum, admission.admitDirect(now, name), admission.recordIfNew(name, uint64(1+rng.IntN(3)), uint64(1+rng.IntN(1500))))
		}
		if rng.IntN(3) == 0 {
			admission.markSeen(now, name)
		}
		switch rng.IntN(30) {
		case 0:
			missing.memberLost(now, name)
		case 1:
			missing.memberFound(name)
		}
		fmt.Fprint(sum, missing.addressesToTry(now, rng.IntN(3) == 0))
		for range rng.IntN(5) {
			queue.add(&queuedMessage{message: updateMessage{Number: uint64(n)}, size: 10 + rng.IntN(300)})
		}
		others := 1 + rng.IntN(50)
		for _, message := range queue.nextRound(1+others, 200+rng.IntN(2000)) {
			hashNumbers(int64(message.message.Number), int64(message.size), int64(message.rounds))
		}
		for _, target := range roundTargets(others, rng.IntN) {
			hashNumbers(int64(target))
		}
		hashNumbers(int64(queue.dropped), int64(roundsPerMessage(others)))
	}
	return sum.Sum64()
}

// wantHashes holds the expected hash by seed. Last recorded when messages larger than a round's budget were first sent
// alone.
var wantHashes = [...]uint64{
	0x784403c0d7415fb5,
	0x1ea21bbc8d5f7a9e,
	0x3de15d7f88453382,
	0x5c613b68e161a062,
	0x65b6686fc9fcff75,
	0xf8bc3b97550c5342,
	0x85b8235dfb592bd2,
	0x6727b9afa650f422,
	0xf63e33e10e28ed63,
	0xbe6947e21bbce48e,
	0xddcbb103539ad817,
	0xc393812733dc129b,
	0xb231ad2ada05520d,
	0x43e46ef5e614baaa,
	0x320ecbfb312c9c31,
	0xedb21232a841fe03,
	0x86f4eb886cec7566,
	0x63a38e2ba313ca65,
	0x5908b7bd8d500a92,
	0xbd4c3a08fb846af3,
}

// Guards refactorings that must not alter a decision: admission, duplicate detection, retried addresses and the
// messages of a round stay the same for the generated inputs. An intended change of a rule requires new hashes.
func TestDecisionsUnchanged(t *testing.T) {
	for seed, want := range wantHashes {
		if got := traceHash(uint64(seed)); got != want {
			t.Errorf("seed %d: %#x, want %#x", seed, got, want)
		}
	}
}

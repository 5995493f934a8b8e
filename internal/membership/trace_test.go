package membership

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// play feeds the decisions of membership with generated inputs, and hashes every answer.
func play(seed uint64) uint64 {
	sum := fnv.New64a()
	number := func(all ...int64) {
		for _, n := range all {
			sum.Write(binary.LittleEndian.AppendUint64(nil, uint64(n)))
		}
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	now := int64(0)
	rules, missing := newAdmission(0, "kandy", 40), newMissingMembers(0, []string{"s1", "s2", "s3", "s4", "s5"})
	queue := &broadcastQueue{}
	for n := range 6000 {
		now += rng.Int64N(400_000)
		if rng.IntN(2000) == 0 {
			now += 3700e6
		}
		name := fmt.Sprint("m", rng.IntN(60))
		err := rules.admit(now, name, metadata{Version: 1 + rng.IntN(20)/19, Cluster: []string{"kandy", "kandy", "kandy", "galle"}[rng.IntN(4)], Weight: 1})
		fmt.Fprint(sum, err)
		for range rng.IntN(4) {
			fmt.Fprint(sum, rules.admitDirect(now, name), rules.isNew(name, uint64(1+rng.IntN(3)), uint64(1+rng.IntN(1500))))
		}
		if rng.IntN(3) == 0 {
			rules.keepPlace(now, name)
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
		for _, one := range queue.nextRound(1+others, 200+rng.IntN(2000)) {
			number(int64(one.message.Number), int64(one.size), int64(one.rounds))
		}
		for _, one := range roundTargets(others, rng.IntN) {
			number(int64(one))
		}
		number(int64(queue.dropped), int64(roundsPerMessage(others)))
	}
	return sum.Sum64()
}

// recorded are the hashes by seed, of the program before its names and files were put in order.
var recorded = [...]uint64{
	0x7be3ef3c1f062770,
	0xabd89efb5825da20,
	0xff32d52cac9b58fa,
	0xe3f5d0ae8062a85,
	0x4be0d651db6d34f1,
	0x6386966b0e3ed138,
	0xf55e064c7c298697,
	0x9d6e21ef69932bd9,
	0xf428ed0080b5f0cc,
	0xf1dad90c338f38f5,
	0x881d3600b5a8196e,
	0xcf9b2325d3764521,
	0x587ece7534d5d707,
	0x8b60b39263afab23,
	0x1c96b8d64e125de2,
	0xe16c6ea1e94e88e7,
	0x129df6fd45650cf9,
	0x6618ae76b0850651,
	0x866326635537605c,
	0x326d423867336ddd,
}

// TestTraceIsAsRecorded guards changes that must not alter a decision: who is admitted, which message is new, which
// address is tried and what a round carries is as it was for these inputs. A change of a rule on purpose records anew.
func TestTraceIsAsRecorded(t *testing.T) {
	for seed, want := range recorded {
		if got := play(uint64(seed)); got != want {
			t.Errorf("seed %d: %#x, want %#x", seed, got, want)
		}
	}
}

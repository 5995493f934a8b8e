package membership

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Every message is sent in all its rounds and at most once per round; a round stays within its budget and sends the
// messages with fewest rounds first; a full queue drops the oldest message.
func TestBroadcastQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue, members, budget := &broadcastQueue{}, rapid.IntRange(2, 2000).Draw(t, "members"), rapid.IntRange(300, 5000).Draw(t, "budget")
		sentRounds := map[uint64]int{}
		added := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			for range rapid.IntRange(0, 9).Draw(t, "messages") {
				added++
				queue.add(&queuedMessage{message: updateMessage{Number: added}, size: rapid.IntRange(10, 300).Draw(t, "size")})
			}
			size, least, seen := 0, 0, map[uint64]bool{}
			for _, sent := range queue.nextRound(members, budget) {
				n := sent.message.Number
				if size += sent.size; seen[n] || size > budget || sentRounds[n] < least {
					t.Fatalf("unexpected message %d: round has %d bytes of %d, message sent %d times, an earlier one %d times", n, size, budget, sentRounds[n], least)
				}
				seen[n], least = true, sentRounds[n]
				sentRounds[n]++
			}
		}
		for range 4000 {
			for _, sent := range queue.nextRound(members, budget) {
				sentRounds[sent.message.Number]++
			}
		}
		for n := uint64(1); n <= added; n++ {
			if sentRounds[n] != roundsPerMessage(members) {
				t.Fatalf("message %d was sent in %d rounds, want %d", n, sentRounds[n], roundsPerMessage(members))
			}
		}
	})
	queue := &broadcastQueue{}
	for i := range maxQueued + 5 {
		queue.add(&queuedMessage{message: updateMessage{Number: uint64(i)}, size: 1})
	}
	if len(queue.messages) != maxQueued || queue.dropped != 5 || queue.messages[0].message.Number != 5 {
		t.Errorf("full queue: %d messages kept, %d dropped, first number %d", len(queue.messages), queue.dropped, queue.messages[0].message.Number)
	}
	if got := roundTargets(2, func(int) int { return 0 }); !slices.Equal(got, []int{0, 1}) {
		t.Error(got)
	}
	if got := roundTargets(9, func(n int) int { return n - 1 }); len(got) != 3 || got[0] == got[1] || got[1] == got[2] || got[0] == got[2] {
		t.Error(got)
	}
	if queue.nextRound(1, 1000) != nil || len(queue.messages) != 0 {
		t.Error("messages are kept without another member")
	}
}

// At the minimum bandwidth a round's budget is smaller than a full message. Guards against such a message never being
// sent and blocking all messages behind it, so that no update leaves the instance.
func TestMessageLargerThanRoundBudget(t *testing.T) {
	const members, budget, large, small, rounds = 4, 546, 1_100, 200, 100
	queue := &broadcastQueue{}
	for number := range uint64(6) {
		queue.add(&queuedMessage{message: updateMessage{Number: number}, size: []int{large, small}[number%2]})
	}
	sent, bytes := map[uint64]int{}, 0
	for range rounds {
		for _, message := range queue.nextRound(members, budget) {
			sent[message.message.Number]++
			bytes += message.size
		}
	}
	for number := range uint64(6) {
		if sent[number] != roundsPerMessage(members) {
			t.Errorf("message %d was sent in %d of %d rounds", number, sent[number], roundsPerMessage(members))
		}
	}
	if bytes > rounds*budget {
		t.Errorf("%d bytes sent in %d rounds with a budget of %d each", bytes, rounds, budget)
	}
}

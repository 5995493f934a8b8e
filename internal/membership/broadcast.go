package membership

import (
	"cmp"
	"math"
	"slices"
)

const (
	// fanout is how many members a gossip round goes to. At ten rounds a second every member hears of an update within
	// about a second.
	fanout = 3
	// extraRounds is how many rounds beyond the logarithm of the members a message is sent in, against loss.
	extraRounds = 1
	// maxQueued is how many messages wait to be sent on.
	maxQueued = 8192
	// maxPacket is how many bytes a packet has: with what the library adds it fits a usual network's frame.
	maxPacket = 1_300
)

// broadcastQueue holds the gossip messages that are to be sent on, and decides which a round carries.
type broadcastQueue struct {
	messages []*queuedMessage
	dropped  int // messages dropped unsent because the queue was full
	saved    int // bytes of rounds that were left empty for a first message larger than a round's budget
}

// queuedMessage is one message on its way.
type queuedMessage struct {
	message  updateMessage
	queuedAt int64 // us
	size     int   // bytes that it counts for
	rounds   int   // rounds in which it was sent
}

// roundsPerMessage is in how many rounds each instance sends a message: it grows with the logarithm of the members, as
// epidemics spread (Demers and others, 1987).
func roundsPerMessage(members int) int {
	return extraRounds + int(math.Ceil(math.Log10(float64(members+1))))
}

// add queues a message. If the queue is full, the message that was sent most often goes, among equals the oldest.
func (q *broadcastQueue) add(m *queuedMessage) {
	if len(q.messages) >= maxQueued {
		q.dropMostSent()
	}
	q.messages = append(q.messages, m)
}

func (q *broadcastQueue) dropMostSent() {
	worst := 0
	for i, one := range q.messages {
		if one.rounds > q.messages[worst].rounds {
			worst = i
		}
	}
	if q.messages[worst].rounds == 0 {
		q.dropped++
	}
	q.messages = slices.Delete(q.messages, worst, worst+1)
}

// nextRound returns what one round carries, up to a budget of bytes: what was sent least often first, among equals the
// oldest. It stops at the first message that does not fit what is left of the budget. One that is larger than the whole
// budget goes alone, once the rounds left empty for it make up its size. Messages that have had all their rounds are dropped,
// and all of them if there is no other member.
func (q *broadcastQueue) nextRound(members, budget int) []*queuedMessage {
	if members < 2 {
		q.messages = nil
		return nil
	}
	slices.SortStableFunc(q.messages, func(a, b *queuedMessage) int { return cmp.Compare(a.rounds, b.rounds) })
	var chosen []*queuedMessage
	if len(q.messages) > 0 && q.messages[0].size > budget {
		budget = q.saveFor(q.messages[0].size, budget)
	}
	for _, one := range q.messages {
		if one.size > budget {
			break
		}
		budget -= one.size
		one.rounds++
		chosen = append(chosen, one)
	}
	all := roundsPerMessage(members)
	q.messages = slices.DeleteFunc(q.messages, func(one *queuedMessage) bool { return one.rounds >= all })
	return chosen
}

// saveFor saves a round's budget for a message that is larger, and returns what this round may carry: nothing yet, or the
// message.
func (q *broadcastQueue) saveFor(size, budget int) int {
	q.saved += budget
	if q.saved < size {
		return 0
	}
	q.saved = 0
	return size
}

// roundTargets picks the members that a round goes to, as indexes below others: all if they are few. pick returns a random
// number below its argument.
func roundTargets(others int, pick func(n int) int) []int {
	all := make([]int, others)
	for i := range all {
		all[i] = i
	}
	chosen := min(fanout, others)
	for i := range chosen {
		j := i + pick(others-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:chosen]
}

// packets puts encoded messages together in packets of up to maxPacket bytes.
func packets(messages [][]byte) [][]byte {
	var packed [][]byte
	var packet [][]byte
	size := 0
	for _, one := range messages {
		if len(packet) > 0 && size+len(one) > maxPacket {
			packed = append(packed, encode(packet))
			packet = nil
			size = 0
		}
		packet = append(packet, one)
		size += len(one) + 3 // the header of a byte string
	}
	if len(packet) > 0 {
		packed = append(packed, encode(packet))
	}
	return packed
}

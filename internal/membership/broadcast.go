package membership

import (
	"cmp"
	"math"
	"slices"
)

const (
	// fanout is the number of target members of a gossip round. At ten rounds a second an update reaches every member
	// within about a second.
	fanout = 3
	// extraRounds is the number of rounds added to the logarithm of the number of members, to make up for packet loss.
	extraRounds = 1
	// maxQueued is the maximum number of queued messages.
	maxQueued = 8192
	// maxPacket is the maximum size of a packet in bytes: with the overhead of memberlist it fits the MTU of a usual
	// network.
	maxPacket = 1_300
)

// broadcastQueue holds the gossip messages to be sent or relayed, and selects the messages of each round.
type broadcastQueue struct {
	messages    []*queuedMessage
	dropped     int // messages dropped before their first transmission because the queue was full
	savedBudget int // bytes saved by empty rounds for a first message that exceeds the budget of one round
}

// queuedMessage is a message with its transmission state.
type queuedMessage struct {
	message  updateMessage
	queuedAt int64 // us
	size     int   // size that counts against the budget, bytes
	rounds   int   // number of rounds in which it was sent
}

// roundsPerMessage returns the number of rounds in which each instance sends a message. It grows with the logarithm of
// the number of members, as in epidemic algorithms (Demers and others, 1987).
func roundsPerMessage(members int) int {
	return extraRounds + int(math.Ceil(math.Log10(float64(members+1))))
}

// add queues a message. If the queue is full, the message that was sent in most rounds is dropped, or the oldest such
// one.
func (q *broadcastQueue) add(m *queuedMessage) {
	if len(q.messages) >= maxQueued {
		q.dropMostSent()
	}
	q.messages = append(q.messages, m)
}

func (q *broadcastQueue) dropMostSent() {
	worst := 0
	for i, message := range q.messages {
		if message.rounds > q.messages[worst].rounds {
			worst = i
		}
	}
	if q.messages[worst].rounds == 0 {
		q.dropped++
	}
	q.messages = slices.Delete(q.messages, worst, worst+1)
}

// nextRound returns the messages of one round, within a budget of bytes: those sent in fewest rounds first, then the
// oldest. It stops at the first message that does not fit the remaining budget. A message larger than the whole budget
// is sent alone, after enough empty rounds to make up for its size. Messages that were sent in all their rounds are
// dropped; without another member all messages are.
func (q *broadcastQueue) nextRound(members, budget int) []*queuedMessage {
	if members < 2 {
		q.messages = nil
		return nil
	}
	slices.SortStableFunc(q.messages, func(a, b *queuedMessage) int { return cmp.Compare(a.rounds, b.rounds) })
	var chosen []*queuedMessage
	if len(q.messages) > 0 && q.messages[0].size > budget {
		budget = q.saveBudget(q.messages[0].size, budget)
	}
	for _, message := range q.messages {
		if message.size > budget {
			break
		}
		budget -= message.size
		message.rounds++
		chosen = append(chosen, message)
	}
	rounds := roundsPerMessage(members)
	q.messages = slices.DeleteFunc(q.messages, func(one *queuedMessage) bool { return one.rounds >= rounds })
	return chosen
}

// saveBudget saves a round's budget for a first message that exceeds it, and returns the budget of this round: 0 until
// enough is saved, then the size of the message.
func (q *broadcastQueue) saveBudget(size, budget int) int {
	q.savedBudget += budget
	if q.savedBudget < size {
		return 0
	}
	q.savedBudget = 0
	return size
}

// roundTargets selects the target members of a round, as indexes below others: all of them if there are at most fanout.
// pick returns a random number below its argument.
func roundTargets(others int, pick func(n int) int) []int {
	indexes := make([]int, others)
	for i := range indexes {
		indexes[i] = i
	}
	chosen := min(fanout, others)
	for i := range chosen {
		j := i + pick(others-i)
		indexes[i], indexes[j] = indexes[j], indexes[i]
	}
	return indexes[:chosen]
}

// packets combines encoded messages into packets of up to maxPacket bytes.
func packets(messages [][]byte) [][]byte {
	var packed [][]byte
	var packet [][]byte
	size := 0
	for _, message := range messages {
		if len(packet) > 0 && size+len(message) > maxPacket {
			packed = append(packed, encode(packet))
			packet = nil
			size = 0
		}
		packet = append(packet, message)
		size += len(message) + 3 // header of a CBOR byte string
	}
	if len(packet) > 0 {
		packed = append(packed, encode(packet))
	}
	return packed
}

package membership

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"cairntiller/internal/assignment"
)

// gossipInterval is the time between gossip rounds, both of updates in this package and of membership in memberlist.
const gossipInterval = 100 * time.Millisecond

// messageOverhead is the number of bytes added to the size of a gossip message for all but its updates and its origin.
const messageOverhead = 32

// Broadcast sends this instance's updates to all members.
func (s *Service) Broadcast(updates []assignment.Update) {
	s.keepNewest(updates)
	for _, packed := range packUpdates(s.settings.Name, updates) {
		s.mu.Lock()
		s.lastNumber++
		message := updateMessage{Version: version, Origin: s.settings.Name, Incarnation: s.incarnation, Number: s.lastNumber, Updates: packed}
		s.admission.recordIfNew(message.Origin, message.Incarnation, message.Number) // so that an echo counts as a duplicate
		s.mu.Unlock()
		messagesSent.Add()
		s.enqueue(message)
	}
}

// enqueue queues a gossip message for the next rounds.
func (s *Service) enqueue(message updateMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := len(message.Updates) + len(message.Origin) + messageOverhead
	s.queue.add(&queuedMessage{message: message, queuedAt: s.now(), size: size})
	for ; s.queue.dropped > 0; s.queue.dropped-- {
		messagesDropped.Add()
	}
}

// gossip runs the gossip rounds until the service stops.
func (s *Service) gossip() {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopping:
			return
		case <-ticker.C:
		}
		s.gossipRound()
	}
}

// gossipRound sends the messages of one round to its target members.
func (s *Service) gossipRound() {
	others := slices.DeleteFunc(s.list.Members(), func(n *memberlist.Node) bool { return n.Name == s.settings.Name })
	targets, encoded := s.nextRound(len(others))
	for _, packet := range packets(encoded) {
		for _, i := range targets {
			if err := s.list.SendBestEffort(others[i], packet); err != nil {
				slog.Debug("gossip packet not sent", "to", others[i].Name, "err", err)
			}
		}
	}
}

// nextRound returns the target members of a round, as indexes, and its encoded messages, with Held as of now.
func (s *Service) nextRound(others int) (targets []int, encoded [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets = roundTargets(others, s.random.IntN)
	now := s.now()
	budget := s.settings.Bandwidth / int(time.Second/gossipInterval) / max(1, len(targets))
	for _, queued := range s.queue.nextRound(1+others, budget) {
		message := queued.message
		message.Held += now - queued.queuedAt
		encoded = append(encoded, encode(message))
	}
	return targets, encoded
}

// keepNewest keeps the newest update of each task for joining members.
func (s *Service) keepNewest(updates []assignment.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, update := range updates {
		stored, known := s.newestUpdates[update.Key]
		if !known && len(s.newestUpdates) >= maxUpdates {
			continue
		}
		if !known || now-update.Age >= stored.receivedAt-stored.update.Age {
			s.newestUpdates[update.Key] = newestUpdate{update: update, receivedAt: now}
		}
	}
}

// ForgetUpdate drops the stored update of a removed task.
func (s *Service) ForgetUpdate(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.newestUpdates, key)
}

package membership

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"cairntiller/internal/assignment"
)

// gossipInterval is the time between gossip rounds, of updates here and of membership in the library.
const gossipInterval = 100 * time.Millisecond

// messageOverhead is how many bytes a gossip message counts for beyond its updates and its origin's name.
const messageOverhead = 32

// Broadcast sends what this instance learned to all members.
func (s *Service) Broadcast(updates []assignment.Update) {
	s.keepNewest(updates)
	for _, packed := range packUpdates(s.settings.Name, updates) {
		s.mu.Lock()
		s.lastNumber++
		message := updateMessage{Version: version, Origin: s.settings.Name, Incarnation: s.incarnation, Number: s.lastNumber, Updates: packed}
		s.admission.isNew(message.Origin, message.Incarnation, message.Number) // noted, so that an echo is not new
		s.mu.Unlock()
		messagesSent.Add()
		s.enqueue(message)
	}
}

// enqueue queues a gossip message for the coming rounds.
func (s *Service) enqueue(message updateMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := len(message.Updates) + len(message.Origin) + messageOverhead
	s.queue.add(&queuedMessage{message: message, queuedAt: s.now(), size: size})
	for ; s.queue.dropped > 0; s.queue.dropped-- {
		messagesDropped.Add()
	}
}

// gossip sends the rounds until the service ends.
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

// gossipRound sends what one round carries to the members that it goes to.
func (s *Service) gossipRound() {
	others := slices.DeleteFunc(s.list.Members(), func(n *memberlist.Node) bool { return n.Name == s.settings.Name })
	targets, encoded := s.nextRound(len(others))
	for _, packet := range packets(encoded) {
		for _, i := range targets {
			if err := s.list.SendBestEffort(others[i], packet); err != nil {
				slog.Debug("not sent", "to", others[i].Name, "err", err)
			}
		}
	}
}

// nextRound returns the members that a round goes to, as indexes, and its messages. A message's Held is what it is when
// it goes out.
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

// keepNewest keeps the newest update of each task for members that join.
func (s *Service) keepNewest(updates []assignment.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, update := range updates {
		kept, known := s.newest[update.Key]
		if !known && len(s.newest) >= maxUpdates {
			continue
		}
		if !known || now-update.Age >= kept.heldAt-kept.update.Age {
			s.newest[update.Key] = newestUpdate{update: update, heldAt: now}
		}
	}
}

// ForgetUpdate drops the update that is kept of a task which is no more.
func (s *Service) ForgetUpdate(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.newest, key)
}

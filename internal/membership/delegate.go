package membership

import (
	"bytes"
	"errors"
	"log/slog"
	"maps"

	"github.com/hashicorp/memberlist"

	"cairntiller/internal/assignment"
)

// This file implements the callback interfaces of memberlist: Delegate, EventDelegate, AliveDelegate and
// ConflictDelegate.

// NodeMeta implements memberlist.Delegate. It returns this instance's metadata.
func (s *Service) NodeMeta(int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encode(metadata{
		Version:     version,
		Cluster:     s.settings.Cluster,
		Incarnation: s.incarnation,
		Weight:      s.settings.Weight,
		Leaving:     s.leaving,
	})
}

// NotifyAlive implements memberlist.AliveDelegate. An error rejects the member.
func (s *Service) NotifyAlive(n *memberlist.Node) error {
	if n.Name == s.settings.Name {
		return nil
	}
	m, err := decodeMetadata(n.Meta)
	if err == nil {
		s.mu.Lock()
		err = s.admission.admit(s.now(), n.Name, m)
		s.mu.Unlock()
	}
	switch {
	case err == nil:
	case errors.Is(err, ErrVersion), errors.Is(err, ErrMetadata):
		rejectedVersion.Add()
	case errors.Is(err, ErrCluster):
		rejectedCluster.Add()
	default:
		rejectedOverBounds.Add()
	}
	return err
}

// NotifyConflict implements memberlist.ConflictDelegate. It is called when two instances have the same name.
func (s *Service) NotifyConflict(existing, other *memberlist.Node) {
	nameConflicts.Add()
	slog.Warn("member name conflict", "name", existing.Name, "member", existing.Address(), "rejected", other.Address())
}

// NotifyJoin implements memberlist.EventDelegate.
func (s *Service) NotifyJoin(n *memberlist.Node) {
	if n.Name == s.settings.Name {
		return
	}
	membersJoined.Add()
	slog.Info("member joined", "name", n.Name, "address", n.Address())
	s.memberUp(n)
}

// NotifyUpdate implements memberlist.EventDelegate. It is called when a member restarted before its loss was detected,
// or announces that it leaves.
func (s *Service) NotifyUpdate(n *memberlist.Node) {
	if n.Name != s.settings.Name {
		s.memberUp(n)
	}
}

// memberUp applies the metadata of a live member.
func (s *Service) memberUp(n *memberlist.Node) {
	m, err := decodeMetadata(n.Meta)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.live[n.Name] = m
	if len(s.lastAddresses) >= sendersPerMember*s.settings.MaxMembers { // drop the addresses of former members
		maps.DeleteFunc(s.lastAddresses, func(name, _ string) bool {
			_, alive := s.live[name]
			return !alive
		})
	}
	s.lastAddresses[n.Name] = n.Address()
	record, known := s.records[n.Name]
	if known || len(s.records) < s.settings.MaxMembers {
		s.records[n.Name] = memberRecord{Name: n.Name, Incarnation: max(m.Incarnation, record.Incarnation), Rejoins: record.Rejoins}
	}
	s.admission.markSeen(s.now(), n.Name)
	s.missing.memberFound(n.Address())
	s.mu.Unlock()
	if !m.Leaving {
		s.events.MemberUp(n.Name, m.Weight, m.Incarnation)
	}
}

// NotifyLeave implements memberlist.EventDelegate. It is called when a member was lost or has left.
func (s *Service) NotifyLeave(n *memberlist.Node) {
	if n.Name == s.settings.Name {
		return
	}
	s.mu.Lock()
	m := s.live[n.Name]
	delete(s.live, n.Name)
	if !m.Leaving {
		s.missing.memberLost(s.now(), n.Address())
	}
	s.admission.markSeen(s.now(), n.Name)
	s.mu.Unlock()
	membersLost.Add()
	slog.Info("member gone", "name", n.Name, "left", m.Leaving)
	s.events.MemberDown(n.Name, m.Incarnation, m.Leaving)
}

// NotifyMsg implements memberlist.Delegate. The message is a direct message or a packet of gossip messages.
func (s *Service) NotifyMsg(raw []byte) {
	if isDirect(raw) {
		s.receiveDirect(raw)
		return
	}
	var messages [][]byte
	if len(raw) > 2*maxPacket || decoder.Unmarshal(raw, &messages) != nil {
		unreadableMessages.Add()
		return
	}
	for _, message := range messages {
		s.receiveUpdates(message)
	}
}

// receiveUpdates validates a gossip message and, if it is new, relays it and reports its updates.
func (s *Service) receiveUpdates(raw []byte) {
	message, err := decodeUpdateMessage(raw)
	var updates []assignment.Update
	if err == nil {
		updates, err = unpackUpdates(&message)
	}
	if err != nil {
		unreadableMessages.Add()
		slog.Debug("unreadable gossip message", "err", err)
		return
	}
	message.Updates = bytes.Clone(message.Updates) // memberlist reuses the buffer
	s.mu.Lock()
	isNew := s.admission.recordIfNew(message.Origin, message.Incarnation, message.Number)
	s.mu.Unlock()
	if !isNew {
		duplicateMessages.Add()
		return
	}
	messagesReceived.Add()
	s.enqueue(message)
	s.keepNewest(updates)
	s.events.Updates(updates)
}

// GetBroadcasts implements memberlist.Delegate. It returns nothing because updates are sent by gossip.go: memberlist
// sends at most one packet per round.
func (s *Service) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate. It returns the state that is sent to the other member when either joins
// the other. The periodic exchanges of memberlist carry no such state: updates are sent anew in every interval, and the
// state of all nodes would be too large to repeat.
func (s *Service) LocalState(join bool) []byte {
	if !join {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	state := joinState{Version: version}
	for _, record := range s.records {
		state.Members = append(state.Members, record)
	}
	for key, newest := range s.newestUpdates {
		update := newest.update
		update.Age += now - newest.receivedAt
		if update.Age > updateRetention {
			delete(s.newestUpdates, key)
			continue
		}
		state.Updates = append(state.Updates, toWire(update))
	}
	return encode(state)
}

// MergeRemoteState implements memberlist.Delegate. It applies the state received from another member. It is called on
// both sides of a join, so an established member also applies the joining member's record of it, and reports Rejoined
// if that record counts rejoins.
func (s *Service) MergeRemoteState(raw []byte, _ bool) {
	if len(raw) == 0 {
		return
	}
	var state joinState
	if len(raw) > maxState || decoder.Unmarshal(raw, &state) != nil || state.Version != version {
		unreadableMessages.Add()
		return
	}
	updates, err := fromWireAll(state.Updates, "", 0)
	if err != nil {
		unreadableMessages.Add()
		return
	}
	rejoins := s.applyOwnRecord(state.Members)
	s.keepNewest(updates)
	if rejoins > 0 {
		s.events.Rejoined(rejoins)
	}
	s.events.Updates(updates)
}

// applyOwnRecord returns the number of rejoins of this instance in another member's records. If a record has a greater
// incarnation, the clock was set back since the last start: this process is the newer one and takes a greater
// incarnation.
func (s *Service) applyOwnRecord(records []memberRecord) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	rejoins := 0
	for _, record := range records {
		if record.Name != s.settings.Name {
			continue
		}
		rejoins = record.Rejoins
		if record.Incarnation > s.incarnation {
			s.incarnation = record.Incarnation + 1
			go s.publishMetadata()
		}
	}
	return rejoins
}

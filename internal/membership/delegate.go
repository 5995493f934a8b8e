package membership

import (
	"bytes"
	"errors"
	"log/slog"
	"maps"

	"github.com/hashicorp/memberlist"

	"cairntiller/internal/assignment"
)

// This file holds the calls of the membership library: Service implements memberlist.Delegate, EventDelegate,
// AliveDelegate and ConflictDelegate.

// NodeMeta implements memberlist.Delegate: what this instance says of itself.
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

// NotifyAlive implements memberlist.AliveDelegate: an error rejects a member.
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

// NotifyConflict implements memberlist.ConflictDelegate: two instances have one name.
func (s *Service) NotifyConflict(existing, other *memberlist.Node) {
	nameConflicts.Add()
	slog.Warn("two members under one name", "name", existing.Name, "member", existing.Address(), "rejected", other.Address())
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

// NotifyUpdate implements memberlist.EventDelegate: a member started again before anybody missed it, or leaves.
func (s *Service) NotifyUpdate(n *memberlist.Node) {
	if n.Name != s.settings.Name {
		s.memberUp(n)
	}
}

// memberUp takes what a live member says of itself.
func (s *Service) memberUp(n *memberlist.Node) {
	m, err := decodeMetadata(n.Meta)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.live[n.Name] = m
	if len(s.addresses) >= sendersPerMember*s.settings.MaxMembers { // names that came and went
		maps.DeleteFunc(s.addresses, func(name, _ string) bool {
			_, alive := s.live[name]
			return !alive
		})
	}
	s.addresses[n.Name] = n.Address()
	record, known := s.records[n.Name]
	if known || len(s.records) < s.settings.MaxMembers {
		s.records[n.Name] = memberRecord{Name: n.Name, Incarnation: max(m.Incarnation, record.Incarnation), Rejoins: record.Rejoins}
	}
	s.admission.keepPlace(s.now(), n.Name)
	s.missing.memberFound(n.Address())
	s.mu.Unlock()
	if !m.Leaving {
		s.events.MemberUp(n.Name, m.Weight, m.Incarnation)
	}
}

// NotifyLeave implements memberlist.EventDelegate: a member was lost or has left.
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
	s.admission.keepPlace(s.now(), n.Name)
	s.mu.Unlock()
	membersLost.Add()
	slog.Info("member gone", "name", n.Name, "left", m.Leaving)
	s.events.MemberDown(n.Name, m.Incarnation, m.Leaving)
}

// NotifyMsg implements memberlist.Delegate: a direct message, or a packet of gossip messages.
func (s *Service) NotifyMsg(raw []byte) {
	if isDirect(raw) {
		s.receiveDirect(raw)
		return
	}
	var messages [][]byte
	if len(raw) > 2*maxPacket || decoding.Unmarshal(raw, &messages) != nil {
		unreadableMessages.Add()
		return
	}
	for _, one := range messages {
		s.receiveUpdates(one)
	}
}

// receiveUpdates checks a gossip message, reports its updates and sends it on, once.
func (s *Service) receiveUpdates(raw []byte) {
	message, err := decodeUpdateMessage(raw)
	var updates []assignment.Update
	if err == nil {
		updates, err = unpackUpdates(&message)
	}
	if err != nil {
		unreadableMessages.Add()
		slog.Debug("a member's message can't be read", "err", err)
		return
	}
	message.Updates = bytes.Clone(message.Updates) // the library uses the memory again
	s.mu.Lock()
	isNew := s.admission.isNew(message.Origin, message.Incarnation, message.Number)
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

// GetBroadcasts implements memberlist.Delegate. Updates do not go this way but by gossip.go: the library sends one packet
// a round at most.
func (s *Service) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate: what the other member is handed when this one joins it or is joined by it.
// The library's regular exchanges carry none of it: each update is sent anew every interval, and the state of all nodes
// each time would be too much.
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
	for key, newest := range s.newest {
		update := newest.update
		update.Age += now - newest.heldAt
		if update.Age > updateMemory {
			delete(s.newest, key)
			continue
		}
		state.Updates = append(state.Updates, toWire(update))
	}
	return encode(state)
}

// MergeRemoteState implements memberlist.Delegate: it takes what another member hands over. The library calls it on both
// sides of a join, so a member that was there all along also takes the joining one's record of it, and reports Rejoined
// if that says it came back.
func (s *Service) MergeRemoteState(raw []byte, _ bool) {
	if len(raw) == 0 {
		return
	}
	var state joinState
	if len(raw) > maxState || decoding.Unmarshal(raw, &state) != nil || state.Version != version {
		unreadableMessages.Add()
		return
	}
	updates, err := fromWireAll(state.Updates, "", 0)
	if err != nil {
		unreadableMessages.Add()
		return
	}
	rejoins := s.takeOwnRecord(state.Members)
	s.keepNewest(updates)
	if rejoins > 0 {
		s.events.Rejoined(rejoins)
	}
	s.events.Updates(updates)
}

// takeOwnRecord returns how often this instance came back, as another member recorded it. If that member has heard of a
// greater incarnation, the clock went back since the last start; this process is the newer one and takes a greater number.
func (s *Service) takeOwnRecord(records []memberRecord) int {
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

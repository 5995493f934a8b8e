package membership

import (
	"log/slog"

	"github.com/hashicorp/memberlist"
)

// Send sends a direct message by SendDatagram or SendStream, depending on its size.
func (s *Service) Send(to string, kind uint8, body []byte) error {
	if len(body) <= MaxDatagram {
		return s.SendDatagram(to, kind, body)
	}
	return s.SendStream(to, kind, body)
}

// SendDatagram sends a direct message of up to MaxDatagram bytes to the last known address of a member; it may be lost,
// duplicated or delayed. It blocks at most until the operating system accepts the datagram. The error is
// ErrUnknownMember, ErrOutOfBounds or one of the operating system.
func (s *Service) SendDatagram(to string, kind uint8, body []byte) error {
	s.mu.Lock()
	address, known := s.lastAddresses[to]
	s.mu.Unlock()
	if !known {
		return ErrUnknownMember
	}
	if len(body) > MaxDatagram {
		return ErrOutOfBounds
	}
	return s.list.SendToAddress(memberlist.Address{Addr: address, Name: to}, s.encodeDirect(kind, body))
}

// SendStream sends a direct message of up to MaxStream bytes to a live member over a stream connection. It does not
// wait for the transmission; a message to a member to which another is still being sent is dropped. The error is
// ErrUnknownMember or ErrOutOfBounds.
func (s *Service) SendStream(to string, kind uint8, body []byte) error {
	if len(body) > MaxStream {
		return ErrOutOfBounds
	}
	node := s.liveNode(to)
	if node == nil {
		return ErrUnknownMember
	}
	s.mu.Lock()
	inProgress := s.openStreams[to]
	s.openStreams[to] = true
	s.mu.Unlock()
	if inProgress {
		messagesDropped.Add()
		return nil
	}
	go func() {
		if err := s.list.SendReliable(node, s.encodeDirect(kind, body)); err != nil {
			slog.Debug("stream message not sent", "to", to, "err", err)
		}
		s.mu.Lock()
		delete(s.openStreams, to)
		s.mu.Unlock()
	}()
	return nil
}

// liveNode returns memberlist's node of a live member, or nil.
func (s *Service) liveNode(name string) *memberlist.Node {
	for _, n := range s.list.Members() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// encodeDirect counts and encodes a direct message.
func (s *Service) encodeDirect(kind uint8, body []byte) []byte {
	directSent.Add()
	return encode(directMessage{Version: version, From: s.settings.Name, Incarnation: s.Incarnation(), Kind: kind, Body: body})
}

// receiveDirect validates a direct message to this instance and reports it.
func (s *Service) receiveDirect(raw []byte) {
	message, err := decodeDirectMessage(raw)
	if err != nil {
		unreadableMessages.Add()
		return
	}
	s.mu.Lock()
	admitted := s.admission.admitDirect(s.now(), message.From)
	s.mu.Unlock()
	if !admitted {
		directOverRate.Add()
		return
	}
	directReceived.Add()
	s.events.Message(message.From, message.Incarnation, message.Kind, message.Body)
}

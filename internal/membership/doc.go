// Package membership keeps the list of cooperating instances and carries messages among them, on hashicorp/memberlist
// over TCP and UDP. Everything is encrypted, with keys that can be replaced in service.
//
// What is decided here has no I/O and no clock, and is in four files:
//
//   - admission.go: which instance may be a member, and how many messages one may send.
//   - duplicates.go: which gossip message is new.
//   - broadcast.go: in which order gossip messages are sent on, how often, and to whom.
//   - missing_members.go: when members that can't be reached are looked for, and where.
//
// What is carried is in the others: service.go starts and ends an instance's part, delegate.go holds the calls of the
// membership library, gossip.go spreads updates to all members, direct.go sends to one, messages.go has the forms of
// all messages, and keyring.go replaces keys. What follows from a member's coming or going, or from a message, is for the
// caller to decide: Service reports it by Events.
//
// # A member's states
//
//	unknown --admitted--> alive --no answer to heartbeats--> lost --reached again, or restarted--> alive
//	                        |
//	                        +--says that it is leaving--> left
//
// A lost member is looked for at its last address for an hour; one that left is not. Each process of a member has an
// incarnation, which is greater than that of the process before; what an older process says counts for nothing once a
// newer one was heard. A restart loses everything but the name: what others know is handed to the instance as it joins.
package membership

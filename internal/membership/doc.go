// Package membership maintains the list of cooperating instances and carries messages between them, using
// hashicorp/memberlist over TCP and UDP. All traffic is encrypted, with keys that can be replaced at runtime.
//
// The decisions of this package are made without I/O and without reading a clock, in four files:
//
//   - admission.go: which instances may be members, and at which rate each may send messages.
//   - duplicates.go: which gossip messages are new.
//   - broadcast.go: the order in which gossip messages are relayed, how many times, and to which members.
//   - missing_members.go: when to try to reach missing members, and at which addresses.
//
// The other files do the I/O: service.go starts and stops an instance's membership, delegate.go implements the
// callbacks of memberlist, gossip.go broadcasts updates to all members, direct.go sends messages to one member,
// messages.go defines all messages, and keyring.go replaces keys. Service reports membership changes and messages by
// Events; how to react to them is up to the caller.
//
// # States of a member
//
//	unknown --admitted--> alive --heartbeats not answered--> lost --reached again, or restarted--> alive
//	                        |
//	                        +--announces that it leaves--> left
//
// A lost member is retried at its last address for an hour; one that left is not. Each process of a member has an
// incarnation, greater than that of the process before; messages of an older process are ignored once a newer one is
// known. A restart loses all state except the name: other members send their state to the instance when it joins.
package membership

// Package noisyclients plays clients that misuse a router beside ordinary ones, and measures what that costs the others:
// the memory of the router's process and the answers of the ordinary clients. A Load is one kind of misuse; it runs in a
// process of its own, so that it does not share the processor time of the clients that measure. Play starts nodes, a
// router and both kinds of clients, and returns what was seen.
package noisyclients

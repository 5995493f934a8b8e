// Package discovery reads the endpoint list of the platform's discovery, and watches it so that the router's own stays
// true.
//
// A watch asks for the complete list once, then follows the changes after the version that it has. Where it ends, falls
// silent or says what can't be read, the next begins after a backoff and goes on from the last version taken.
package discovery

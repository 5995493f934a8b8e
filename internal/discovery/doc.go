// Package discovery reads the endpoint list of the platform's discovery service and watches it for changes.
//
// A watch first requests the complete list, then the changes since the version that it has. If a watch ends, times out
// or receives invalid data, a new one starts after a backoff and continues from the last version applied.
package discovery

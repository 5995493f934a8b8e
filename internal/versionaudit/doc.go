// Package versionaudit is the configuration version audit: at regular times one instance asks all others which version
// of the endpoint list they have, and reports those that stay behind. The instance that holds the lease LeaseName asks, so
// that there is one audit however many instances there are.
//
// The operator's file calls it roll-call; its lease is named list-version.
//
// What it decides is in audit.go, which does no I/O and has no clock. auditor.go holds the lease, sends and receives.
//
// # The course of an audit
//
//	waiting --due, and the lease is held--> first look --lookGap--> second look --> findings logged --> waiting
//
// An endpoint list reaches some instances seconds late, so an instance is behind only if it has not caught up at the second
// look with what anybody had at the first. If the lease is lost on the way, the audit ends without findings, and the new
// holder begins its own. A restart loses the audit under way and nothing else.
package versionaudit

// Package versionaudit implements the configuration version audit: at regular intervals one instance queries all others
// for the version of their endpoint list and reports those that stay behind. Only the holder of the lease LeaseName
// sends queries, so a single audit runs at a time whatever the number of instances.
//
// In the operator's file the audit is the section roll-call; its lease is named list-version.
//
// The decisions are in audit.go, which does no I/O and reads no clock. auditor.go holds the lease and exchanges
// messages.
//
// # States of an audit
//
//	waiting --due, and the lease is held--> first round --roundInterval--> second round --> findings logged --> waiting
//
// An endpoint list reaches some instances seconds late, so a member counts as behind only if in the second round it
// still has an older version than the latest of the first round. If the lease is lost during an audit, the audit ends
// without findings and the new holder starts its own. A restart loses only the audit in progress.
package versionaudit

package pgwire

// SQLSTATE codes that the router sends to clients or receives from nodes.
const (
	CodeRejected          = "53300" // too_many_connections: from a node, nothing was executed; to a client, it may retry
	CodeOutOfMemory       = "53200" // out_of_memory: the answer is dropped, the command may have been executed
	CodeNotReady          = "57P03" // cannot_connect_now
	CodeIdleTimeout       = "57P05" // idle_session_timeout
	CodeSystemError       = "58000" // system_error
	CodeProtocolViolation = "08P01" // protocol_violation
	CodeInvalidValue      = "22023" // invalid_parameter_value
	CodeUnsupported       = "0A000" // feature_not_supported
	CodeCanceled          = "57014" // query_canceled
	CodeNoPrimary         = "25006" // read_only_sql_transaction
	CodeSnapshotTooOld    = "72000" // snapshot_too_old
	codeSyntax            = "42601" // syntax_error
)

// User and Database are the names with which the router logs in to nodes.
const User, Database = "portal", "crm"

// The ParameterStatus names with which a node reports its status along with an answer, and the values of its role.
const (
	statusPosition = "applied_ms"
	statusRole     = "role"
	statusLoad     = "load"
	rolePrimary    = "primary"
	roleReplica    = "replica"
)

// The fields of a node's load report: its replicated position, and a number that is highest on a primary.
const (
	LoadPosition = "x0"
	LoadPrimary  = "x1"
)

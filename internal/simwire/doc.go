// Package simwire lets the simulator run many isolated routers in one process, over a line protocol on standard input
// and output. It only translates between the protocol and the routing module, and is the only package that knows the
// protocol's names. Settings are parsed by package settings.
//
// A line consists of fields separated by single spaces; "-" is an empty field. Times are decimal milliseconds. A batch
// is a clock line with the time and the batch number, then events, then eob. The reply to a batch is the actions that
// the events caused, in order, then finished with the batch number. A line that can't be parsed ends the process with
// an error that names the line and the field.
//
//	event           calls to the routing module
//	open_instance   (a new instance)  Configure, Start
//	detach          (the instance ends)
//	inventory       (a numbered endpoint list, for peers_known)
//	peers_known     BeginEndpointList, UpdateEndpoint for each, EndEndpointList; or EndpointListFailed
//	req             RequestArrived
//	gone            ClientGone
//	result          ObserveReply, ReportedPosition, ReportedRole, AttemptEnded
//	checked         ReportedPosition, ReportedRole, HealthChecked
//	elapsed         TimerFired
//	started         none: the time at which a node began an attempt is not used
//	note_from       none: routers send no notes
//
//	action           call from the routing module
//	transmit         StartAttempt
//	not_now          RejectWithRetry
//	report_failure   Fail
//	withdraw         CancelAttempt
//	timer            SetTimer
//	probe            CheckHealth
//	drop_conns       CloseIdleConnections
//	keep_informed    WatchEndpoints
//	bail_out         (the module panicked: the instance's last action)
package simwire

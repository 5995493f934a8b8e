// Package settings converts a router's settings to the configuration of package routing. It is the only place where the
// names and units of settings are mapped to those of the routing module, for routers on sockets and for routers in the
// simulator alike. Settings that are not in the table are ignored.
//
// Each value has a path. Times are decimal milliseconds and are converted to whole microseconds; "N" is the index of a
// command group or tenant, starting at 0.
//
//	path                    configuration value
//	az                      the router's zone
//	siblings                number of routers of this kind, including this one
//	round                   resolution to which the times in events may be rounded
//	classes.count           number of command groups
//	classes.N.name          name by which commands refer to the group
//	classes.N.effect        idempotency: safe (always), keyed (within a window), else none
//	classes.N.group         all: every node deduplicates keyed commands, not only the nodes of the command's shard
//	classes.N.window        idempotency window of keyed commands
//	classes.N.aim           latency objective
//	classes.N.hardLimit     client timeout
//	classes.N.points        priority weight
//	classes.N.lateValue     fraction of the weight that a late answer is worth
//	domain.readLevel        required consistency of each group, a list: any, bounded, session, fresh, write
//	domain.oldestData       maximum staleness of each group's bounded reads, a list
//	domain.writeMarks       carried: commands carry their session's last commit; else the router remembers it
//	domain.countedFrom      epoch of the simulator's positions
//	tenants.count           number of tenants
//	tenants.N.name          name by which commands refer to the tenant
//	tenants.N.quotaPerS     quota in commands per second, across all routers
//	overShareWorth          fraction of the weight that a command over its tenant's quota has
//	limits.maxAttempts      maximum attempts per command; if absent, every command fails on arrival
//	limits.cancel           whether attempts may be canceled
//	limits.secondCopies     whether requests may be hedged
//	limits.probes           whether health checks are allowed
//	limits.connectTimeout   timeout for connecting to a node
//	limits.connIdle         time after which a node closes an idle connection
//	report.how              none: nodes send no load reports
//	report.fields           fields of a load report, a list; x0 is the position, x1 the role
//	rules.cold              duration of a node's warm-up after its start
//	rules.coldFrom          fraction of its capacity at which a node starts
//	rules.fallMultiple      multiple of its current capacity that permanently overloads a node in warm-up
//	rules.fall              time for which that load must last
//	rules.droppedStayOpen   whether nodes removed from the list without draining may still be used
//	registryMode            on_request: the endpoint list is sent only on request
package settings

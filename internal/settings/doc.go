// Package settings reads a router's settings into the routing module's start values. It is the one place where the names
// and units of settings are mapped to the module's own; a router on sockets and one in the simulator both come through
// here. Settings that are not in the table are read by nobody and may hold anything.
//
// Each value has a path. Times are decimal milliseconds and become whole microseconds; "N" is the number of a command
// group or tenant, from 0.
//
//	path                    start value
//	az                      the router's zone
//	siblings                routers of this kind, this one included
//	round                   step to which the times in events may be rounded
//	classes.count           number of command groups
//	classes.N.name          name under which commands give their group
//	classes.N.effect        idempotency: safe (always), keyed (inside a window), else none
//	classes.N.group         all: every node recognises a keyed command's repeat, not only the nodes of its shard
//	classes.N.window        idempotency window of a keyed command
//	classes.N.aim           latency objective
//	classes.N.hardLimit     client timeout
//	classes.N.points        priority weight
//	classes.N.lateValue     part of the weight that a late answer keeps
//	domain.readLevel        required consistency of each group, a list: any, bounded, session, fresh, write
//	domain.oldestData       greatest staleness of each group's bounded reads, a list
//	domain.writeMarks       carried: commands carry their session's last commit; else the router remembers it
//	domain.countedFrom      time from which the simulator counts positions
//	tenants.count           number of tenants
//	tenants.N.name          name under which commands give their tenant
//	tenants.N.quotaPerS     quota in commands a second, over all routers
//	overShareWorth          part of the weight that a command over its tenant's quota has
//	limits.maxAttempts      most attempts of a command; without it every command is given up on arrival
//	limits.cancel           whether attempts may be cancelled
//	limits.secondCopies     whether requests may be hedged
//	limits.probes           whether health checks are allowed
//	limits.connectTimeout   time in which a node's connection must be up
//	limits.connIdle         time after which a node closes an idle connection
//	report.how              none: nodes send no load reports
//	report.fields           figures of a load report, a list; x0 is the position, x1 the role
//	rules.cold              length of a started node's warm-up
//	rules.coldFrom          part of its capacity at which a node starts
//	rules.fallMultiple      multiple of its present capacity that overloads a node in warm-up for good
//	rules.fall              time for which it must be sent that much
//	rules.droppedStayOpen   whether nodes that left the list without draining may still be used
//	registryMode            on_request: the endpoint list comes only when asked for
package settings

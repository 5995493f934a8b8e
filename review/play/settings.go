//go:build review

package play

type object = map[string]any

// StallRegister returns the settings of a router of stall-register.
func StallRegister(me int) map[string]any {
	return object{
		"az": "colombo", "azs": []string{"colombo", "kandy", "kurunegala"}, "family": "replicas", "layer": 0, "me": me, "siblings": 3,
		"registryMode": "pushed", "round": 5, "overShareWorth": 0.05, "weightSource": "nominal", "worthBy": "request",
		"classes": []object{
			{"name": "board-view", "effect": "safe", "group": "all", "window": 5000, "aim": 500, "hardLimit": 2000, "points": 3, "lateValue": 0, "streamed": false},
			{"name": "own-entries", "effect": "safe", "group": "all", "window": 5000, "aim": 400, "hardLimit": 1000, "points": 3, "lateValue": 0.2, "streamed": false},
			{"name": "entry-post", "effect": "unsafe", "group": "all", "window": 5000, "aim": 750, "hardLimit": 5000, "points": 3, "lateValue": 0.5, "streamed": false}},
		"clientHabits": object{"marksRetry": false},
		"domain": object{"readLevel": []string{"bounded", "session", "write"}, "oldestData": []int{3000, 0, 0}, "writeMarks": "carried",
			"checks": "none", "catchUpWait": 0, "listRole": "late", "positions": true, "waitsForCopy": false, "countedFrom": 0},
		"limits": object{"maxAttempts": 8, "cancel": true, "secondCopies": false, "probes": true, "peerMessages": false, "retryAfter": true,
			"maxRetryAfter": 500, "connectTimeout": 250, "connIdle": 15000, "maxOpen": 20000, "streamsPerConn": 1, "cpuUsPerS": 400000, "cpuUsPerRequest": 0},
		"report": object{"how": "answers", "fields": []string{"x0", "x1", "inflight"}},
		"rules":  object{"cold": 17000, "coldFrom": 0.19, "fall": 2000, "fallMultiple": 2, "stopSendingWithin": 2000},
		"tenants": []object{
			{"name": "western-council", "share": 0.39, "quotaPerS": 200},
			{"name": "central-council", "share": 0.35, "quotaPerS": 200},
			{"name": "north-west-council", "share": 0.26, "quotaPerS": 200}},
	}
}

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

// WellingtonMain returns the settings of a router of wellington-main.
func WellingtonMain(me int) map[string]any {
	return object{
		"az": "wlg-dc1", "azs": []string{"wlg-dc1"}, "family": "replicas", "layer": 0, "me": me, "siblings": 2,
		"registryMode": "pushed", "round": 5, "overShareWorth": 0.05, "weightSource": "nominal", "worthBy": "request",
		"classes": []object{
			{"name": "own-grid-read", "effect": "safe", "group": "all", "window": 5000, "aim": 400, "hardLimit": 1500, "points": 1, "lateValue": 0, "streamed": false},
			{"name": "catalogue-read", "effect": "safe", "group": "all", "window": 5000, "aim": 250, "hardLimit": 1000, "points": 1, "lateValue": 0, "streamed": false},
			{"name": "answer-save", "effect": "keyed", "group": "cell", "window": 3000, "aim": 300, "hardLimit": 5000, "points": 6, "lateValue": 0.7, "streamed": false}},
		"clientHabits": object{"marksRetry": true},
		"domain": object{"readLevel": []string{"session", "any", "write"}, "oldestData": []int{0, 0, 0}, "writeMarks": "carried",
			"checks": "none", "catchUpWait": 0, "listRole": "none", "positions": false, "waitsForCopy": true, "countedFrom": 0},
		"limits": object{"maxAttempts": 10, "cancel": true, "secondCopies": true, "probes": true, "peerMessages": true, "retryAfter": true,
			"maxRetryAfter": 1000, "connectTimeout": 250, "connIdle": 15000, "maxOpen": 20000, "streamsPerConn": 1, "cpuUsPerS": 400000, "cpuUsPerRequest": 0},
		"report": object{"how": "probe", "fields": []string{"x0", "x1"}},
		"rules":  object{"cold": 15000, "coldFrom": 0.2, "fall": 2000, "fallMultiple": 4, "stopSendingWithin": 1000},
		"tenants": []object{
			{"name": "auckland-north", "share": 0.51, "quotaPerS": 600},
			{"name": "canterbury", "share": 0.38, "quotaPerS": 600},
			{"name": "otago-southland", "share": 0.11, "quotaPerS": 600}},
	}
}

// ListingBoard returns the settings of a router of listing-board.
func ListingBoard(me int, site string) map[string]any {
	return object{
		"az": site, "azs": []string{"worcester", "nashua", "providence"}, "family": "replicas", "layer": 0, "me": me, "siblings": 9,
		"registryMode": "pushed", "round": 5, "overShareWorth": 0.2, "weightSource": "nominal", "worthBy": "request",
		"classes": []object{
			{"name": "own-read", "effect": "safe", "group": "all", "window": 5000, "aim": 100, "hardLimit": 300, "points": 1, "lateValue": 0, "streamed": false},
			{"name": "post-change", "effect": "unsafe", "group": "all", "window": 5000, "aim": 200, "hardLimit": 2000, "points": 4, "lateValue": 0.7, "streamed": false}},
		"clientHabits": object{"marksRetry": false},
		"domain": object{"readLevel": []string{"session", "write"}, "oldestData": []int{0, 0}, "writeMarks": "remembered",
			"checks": "wait", "catchUpWait": 20, "listRole": "start", "positions": false, "waitsForCopy": false, "countedFrom": 0},
		"limits": object{"maxAttempts": 8, "cancel": true, "secondCopies": true, "probes": true, "peerMessages": true, "retryAfter": true,
			"maxRetryAfter": 500, "connectTimeout": 250, "connIdle": 15000, "maxOpen": 20000, "streamsPerConn": 1, "cpuUsPerS": 400000, "cpuUsPerRequest": 0},
		"report": object{"how": "probe", "fields": []string{"x0", "x1"}},
		"rules":  object{"cold": 17000, "coldFrom": 0.19, "fall": 2000, "fallMultiple": 3, "stopSendingWithin": 250},
		"tenants": []object{
			{"name": "merrimack-valley", "share": 0.46, "quotaPerS": 1500},
			{"name": "south-coast", "share": 0.32, "quotaPerS": 1100},
			{"name": "berkshires", "share": 0.22, "quotaPerS": 700}},
	}
}

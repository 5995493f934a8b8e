package simwire

import (
	"slices"
	"strings"
	"testing"

	"cairntiller/internal/settings"
)

// allSettings has a nonzero value for each setting.
const allSettings = `{"az":"a","siblings":3,"round":5.25,"overShareWorth":0.25,"registryMode":"on_request",
	"classes":[{"name":"look","effect":"safe","group":"all","window":50,"aim":100,"hardLimit":400,"points":2,"lateValue":0.5},
	{"name":"set","effect":"keyed","group":"primary","window":60.5,"aim":110,"hardLimit":500,"points":1,"lateValue":0},
	{"name":"put","effect":"unsafe","aim":120,"hardLimit":600,"points":1.5,"lateValue":0.25}],
	"tenants":[{"name":"acme","quotaPerS":9e1},{"name":"other","quotaPerS":1.5}],
	"domain":{"readLevel":["bounded","session","write"],"oldestData":[250,"-","-"],"writeMarks":"carried","countedFrom":1000},
	"limits":{"maxAttempts":3,"cancel":true,"secondCopies":1,"probes":true,"connectTimeout":250,"connIdle":15000.5},
	"report":{"how":"both","fields":["x0","x1"]},
	"rules":{"cold":2000,"coldFrom":0.2,"fallMultiple":4,"fall":3000,"droppedStayOpen":true}}`

// wantSettings is allSettings as sorted path=value lines.
const wantSettings = `az=a
classes.0.aim=100
classes.0.effect=safe
classes.0.group=all
classes.0.hardLimit=400
classes.0.lateValue=0.5
classes.0.name=look
classes.0.points=2
classes.0.window=50
classes.1.aim=110
classes.1.effect=keyed
classes.1.group=primary
classes.1.hardLimit=500
classes.1.lateValue=0
classes.1.name=set
classes.1.points=1
classes.1.window=60.5
classes.2.aim=120
classes.2.effect=unsafe
classes.2.hardLimit=600
classes.2.lateValue=0.25
classes.2.name=put
classes.2.points=1.5
classes.count=3
domain.countedFrom=1000
domain.oldestData.count=3
domain.oldestData=250,-,-
domain.readLevel.count=3
domain.readLevel=bounded,session,write
domain.writeMarks=carried
limits.cancel=true
limits.connIdle=15000.5
limits.connectTimeout=250
limits.maxAttempts=3
limits.probes=true
limits.secondCopies=1
overShareWorth=0.25
registryMode=on_request
report.fields.count=2
report.fields=x0,x1
report.how=both
round=5.25
rules.cold=2000
rules.coldFrom=0.2
rules.droppedStayOpen=true
rules.fall=3000
rules.fallMultiple=4
siblings=3
tenants.0.name=acme
tenants.0.quotaPerS=90
tenants.1.name=other
tenants.1.quotaPerS=1.5
tenants.count=2`

// allEvents holds each event of the protocol, for the instance opened with allSettings.
const allEvents = "inventory 3 4\nm node_a a 1 k 0 up 1 -\nm node_b a 0 k 0 up 1 -\nm node_c b 0 k 0 up 1 4000.5\nm node_d b 0 - 0 draining 1 -\n" +
	"peers_known router/0 SAVED 1 3\n" +
	"req router/0 r-1 look acme s-1 300.5 - 0 - 0\nreq router/0 r-2 put other s-1 300.0 - 0 - 4\n" +
	"req router/0 r-3 set - s-1 300.0 - 0 12.5 0\nreq router/0 r-4 look none - 90.0 - 0 - 0\neob\n" +
	"clock 5010.25 2\nstarted router/0 r-1 0 node_b 1\n" +
	"result router/0 r-2 node_a 1 1 0 10.25 41 x0:3.5,x1:1\nresult router/0 r-3 node_a 0 0 0 9.5 2 -\n" +
	"checked router/0 node_b 1.5 1 x0:4.25,x1:0\nchecked router/0 node_c 1.5 3\ngone router/0 r-4\nnote_from router/0 1 00ff\neob\n" +
	"clock 5100.0 3\nelapsed router/0 0\nelapsed router/0 1\nelapsed router/0 2\npeers_known router/0 FAILED 0 0\neob\n" +
	"clock 5250.5 4\nelapsed router/0 3\nelapsed router/0 4\ninventory 4 1\nm node_b a 0 k 0 removed 1 -\npeers_known router/0 INCREMENTAL 2 4\n" +
	"result router/0 r-1 node_b 1 8 0 240.25 0\neob\n" +
	"clock 5600.0 5\nelapsed router/0 5\nelapsed router/0 6\nelapsed router/0 7\ndetach router/0\ngone router/0 r-3\neob\n"

// wantReply is the reply recorded from an earlier implementation.
const wantReply = `timer router/0 3.905 0
probe router/0 node_b
transmit router/0 r-2 node_a 0.000
probe router/0 node_c
finished 1
transmit router/0 r-1 node_a 0.000
not_now router/0 r-4 0.000
transmit router/0 r-3 node_a 0.000
transmit router/0 r-3 node_b 0.000
finished 2
keep_informed router/0 1
timer router/0 20.000 0
timer router/0 20.000 0
timer router/0 20.000 0
finished 3
timer router/0 20.000 0
timer router/0 20.000 0
finished 4
timer router/0 20.000 0
timer router/0 20.000 0
timer router/0 20.000 0
finished 5
`

// TestSettingsAndEventsGiveTheSameActions opens an instance with every setting and sends it every event. The parsed
// settings and the actions must be identical to those recorded.
func TestSettingsAndEventsGiveTheSameActions(t *testing.T) {
	values, err := settings.FromJSON([]byte(allSettings))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for path, value := range values {
		lines = append(lines, path+"="+value)
	}
	slices.Sort(lines)
	if got := strings.Join(lines, "\n"); got != wantSettings {
		t.Errorf("got\n%s\nwant\n%s", got, wantSettings)
	}
	out, err := serve(t, "clock 5000.0 1\nopen_instance router/0 7 "+strings.Join(lines, " ")+"\n"+allEvents)
	if err != nil || out != wantReply {
		t.Errorf("Serve returned %v and wrote\n%s\nwant\n%s", err, out, wantReply)
	}
}

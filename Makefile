.PHONY: build test race lint run demo proof-duties proof-statements proof-leases proof-releases

# by the deploy file's line, which wants a C compiler; without one: go build -o bin/ ./cmd/...
build:
	eval "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# what KNOWN-RED.txt lists may fail, and is printed
test:
	.ci/known-red KNOWN-RED.txt go test -count=1 -timeout 300s ./...

# what must hold stops a debug build
race:
	.ci/known-red KNOWN-RED.txt go test -race -tags debug -count=1 -timeout 300s ./...

lint:
	test -z "$$(gofmt -l .)" && go vet ./... && go vet -tags debug ./...

# needs RELAY_CONFIG, see README
run: build
	exec bin/cairntiller

# a first useful minute: a router at work before stand-in nodes
demo: build
	bin/cairntiller demo

# three routers share probes while one is killed, one stopped and one cut off; then many in simulated time, four minutes
# in all; SIZES=1000x10000 takes six more
SEED ?= 1
SIZE ?= 10
SIZES ?= 3x10,3x1000,30x1000,300x1000,1000x1000
proof-duties: build
	bin/proof duties --seed $(SEED) --size $(SIZE)
	bin/proof sizes --seed $(SEED) --sizes $(SIZES)

# router processes hold leases under mixed faults, three voters and then five with a lasting place; then the deciding
# module in simulated time: 100,000 seeds, planted mistakes, sizes
proof-leases: build
	bin/proof leases --seed $(SEED)
	bin/proof leases --seed $(SEED) --voters 5 --others 3 --lasting
	bin/proof council

# router processes and nodes go through plans under load, calm and under faults, against operators who act by themselves;
# then the deciding module in simulated time
proof-releases: build
	bin/proof releases --seed $(SEED)
	bin/proof releases --seed $(SEED) --faults
	-bin/proof releases --seed $(SEED) --alone
	bin/proof rollout

# a corpus whose classes are known, and a morning's mix of shapes
proof-statements: build
	bin/proof statements --seed $(SEED)

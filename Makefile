.PHONY: build test race lint run demo proof-duties proof-statements proof-leases proof-releases

# by the deploy file's line, which wants a C compiler; without one: go build -o bin/ ./cmd/...
build:
	eval "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# tests that KNOWN-RED.txt lists may fail, and are printed
test:
	.ci/known-red KNOWN-RED.txt go test -count=1 -timeout 300s ./...

# with the race detector; a broken invariant stops a debug build
race:
	.ci/known-red KNOWN-RED.txt go test -race -tags debug -count=1 -timeout 300s ./...

# staticcheck is pinned in go.mod; all of its checks are on
lint:
	@unformatted=$$(gofmt -l .); test -z "$$unformatted" || { echo "not gofmt-clean: $$unformatted"; exit 1; }
	go vet ./...
	go vet -tags debug ./...
	go tool staticcheck -checks all ./...
	go tool staticcheck -checks all -tags debug ./...

# needs RELAY_CONFIG, see README
run: build
	exec bin/cairntiller

# a router in front of a test cluster whose primary dies half-way
demo: build
	bin/cairntiller demo

# three routers share health checks while one is killed, one stopped and one cut off; then many in simulated time, four
# minutes in all; SIZES=1000x10000 takes six more
SEED ?= 1
SIZE ?= 10
SIZES ?= 3x10,3x1000,30x1000,300x1000,1000x1000
proof-duties: build
	bin/proof duties --seed $(SEED) --size $(SIZE)
	bin/proof duties-simulation --seed $(SEED) --sizes $(SIZES)

# router processes hold leases under mixed faults, three voters and then five that store their votes; then the deciding
# package in simulated time: 100,000 seeds, planted mistakes, sizes
proof-leases: build
	bin/proof leases --seed $(SEED)
	bin/proof leases --seed $(SEED) --voters 5 --others 3 --lasting
	bin/proof leases-simulation

# router processes and nodes go through rollouts under load, calm and under faults, beside operators who act by themselves;
# then the deciding package in simulated time
proof-releases: build
	bin/proof releases --seed $(SEED)
	bin/proof releases --seed $(SEED) --faults
	# operators who act by themselves break the budget: the baseline that fails is printed, not judged
	-bin/proof releases --seed $(SEED) --alone
	bin/proof releases-simulation

# a corpus whose classes are known, and a morning's mix of shapes
proof-statements: build
	bin/proof statements --seed $(SEED)

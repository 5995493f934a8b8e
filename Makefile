.PHONY: build test race lint run demo proof-duties proof-statements proof-leases proof-releases proof-noisy-clients proof-failovers

# runs the deploy file's build line, which needs a C compiler; without one: go build -o bin/ ./cmd/...
build:
	eval "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# tests listed in KNOWN-RED.txt may fail; their failures are printed
test:
	.ci/known-red KNOWN-RED.txt go test -count=1 -timeout 300s ./...

# with the race detector; a debug build stops at a broken invariant
race:
	.ci/known-red KNOWN-RED.txt go test -race -tags debug -count=1 -timeout 300s ./...

# staticcheck is pinned in go.mod; all of its checks are on
lint:
	@unformatted=$$(gofmt -l .); test -z "$$unformatted" || { echo "not gofmt-clean: $$unformatted"; exit 1; }
	go vet ./...
	go vet -tags debug ./...
	go tool staticcheck -checks all ./...
	go tool staticcheck -checks all -tags debug ./...

# needs RELAY_CONFIG, see README.md
run: build
	exec bin/cairntiller

# a router in front of a test cluster whose primary is killed halfway through
demo: build
	bin/cairntiller demo

# three routers share health checks while one is killed, one paused and one disconnected; then many instances in simulated
# time, four minutes in all; SIZES=1000x10000 takes six more
SEED ?= 1
SIZE ?= 10
SIZES ?= 3x10,3x1000,30x1000,300x1000,1000x1000
proof-duties: build
	bin/proof duties --seed $(SEED) --size $(SIZE)
	bin/proof duties-simulation --seed $(SEED) --sizes $(SIZES)

# router processes hold leases under mixed faults, with three voters and then five that store their votes; then package
# lease in simulated time: 100,000 seeds, planted mistakes, sizes
proof-leases: build
	bin/proof leases --seed $(SEED)
	bin/proof leases --seed $(SEED) --voters 5 --others 3 --lasting
	bin/proof leases-simulation

# rollouts of router processes and nodes under load, without and with faults, and the baseline of uncoordinated operators;
# then package rollout in simulated time
proof-releases: build
	bin/proof releases --seed $(SEED)
	bin/proof releases --seed $(SEED) --faults
	# uncoordinated operators exceed the budget: the baseline's failure is printed and ignored
	-bin/proof releases --seed $(SEED) --alone
	bin/proof releases-simulation

# clients that misuse a router, beside ordinary ones, signals and a planned restart; some 6 s a seed
SEEDS ?= 50
proof-noisy-clients: build
	bin/proof noisy-clients --from $(SEED) --seeds $(SEEDS)

# sessions read their own writes while primaries hand over and the network fails; 20 s a seed
FAILOVER_SEEDS ?= 30
proof-failovers: build
	bin/proof failovers --from $(SEED) --seeds $(FAILOVER_SEEDS)

# a corpus of statements with known classes, and a skewed mix of statement shapes
proof-statements: build
	bin/proof statements --seed $(SEED)

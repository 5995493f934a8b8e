.PHONY: build test race lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

# what must hold stops a debug build
race:
	go test -race -tags debug ./...

lint:
	test -z "$$(gofmt -l .)" && go vet ./... && go vet -tags debug ./...

# needs RELAY_CONFIG, see README
run: build
	exec bin/cairntiller

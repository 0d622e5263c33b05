.PHONY: build demo test lint run

# The build that the deploy file names: linked against the C library, which the fleet trial needs.
build:
	@command -v "$$(go env CC)" >/dev/null || { echo "no C compiler ($$(go env CC)): install gcc, or name one in CC"; exit 1; }
	@build=$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml); echo "$$build"; eval "$$build"

# Shows the real server at work, with stand-ins for all that it speaks with.
demo: build
	bin/swiftcourse-bench demo

# Drawn tests draw the same every time, so that the verdict is the same; RAPID_SEED=0 make test draws anew.
RAPID_SEED ?= 20261201
test:
	RAPID_SEED=$(RAPID_SEED) RAPID_NOFAILFILE=true go test -count=1 -v ./...

# The linter is a program of its own, built from tools/go.mod, so that the product's go.mod stays small.
bin/golangci-lint: tools/go.mod tools/go.sum
	cd tools && go build -o ../bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

lint: bin/golangci-lint
	@unformatted=$$(gofmt -l admission cmd internal); [ -z "$$unformatted" ] || { echo "not gofmt'ed: $$unformatted"; exit 1; }
	go vet ./...
	go tool staticcheck ./...
	bin/golangci-lint run --allow-parallel-runners ./...

# The server needs RELAY_CONFIG, the path of its configuration.
run: build
	exec bin/swiftcourse

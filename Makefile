.PHONY: build demo test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# Shows the real server at work, with stand-ins for all that it speaks with.
demo: build
	bin/swiftlab demo

test:
	go test -count=1 -v ./...

lint:
	@test -z "$$(gofmt -l choice cmd internal)" || { gofmt -l choice cmd internal; exit 1; }
	go vet ./...

# The server needs RELAY_CONFIG, the path of its configuration.
run: build
	exec bin/swiftcourse

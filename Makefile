# Targets: test (all checks), quickstart (a small fleet on loopback), bench, generate.

PACKAGES := ./...
# rapid takes its seed from this value, so that each run draws the same cases.
RAPID_SEED := 20261204

.PHONY: all test fmt vet lint unit build quickstart bench generate

all: build

build:
	go build -o bin/ ./cmd/...

test: fmt vet lint unit

fmt:
	@files="$$(gofmt -l cmd internal 2>/dev/null)"; \
	if [ -n "$$files" ]; then echo "gofmt is needed on:"; echo "$$files"; exit 1; fi

vet:
	go vet $(PACKAGES)

lint:
	go tool staticcheck $(PACKAGES)

unit:
	RAPID_SEED=$(RAPID_SEED) go test -race -count=1 $(PACKAGES)

generate:
	cd tools/buf && go build -o ../../bin/buf github.com/bufbuild/buf/cmd/buf
	bin/buf generate

quickstart: build
	scripts/quickstart.sh

# Regenerates the table of slopes in docs/CAPACITY.md from benchmarks; it takes
# some 10 minutes on a quiet machine.
bench:
	go build -o bin/ ./cmd/laburnumload
	scripts/bench.sh bin/bench.txt
	bin/laburnumload fit bin/bench.txt | tee bin/slopes.md

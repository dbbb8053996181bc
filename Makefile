# Targets: build, generate, format, lint, test, check, demo, bench.

MODULES  := api server ctl platform standin
PACKAGES := ./api/... ./server/... ./ctl/... ./platform/... ./standin/...
BIN      := $(CURDIR)/bin
SOURCES   = $(shell git ls-files -co --exclude-standard '*.go' ':!*.pb.go')
TOOL     := cd $(CURDIR)/tools && GOWORK=off go tool

# Tests that bound the memory and descriptors of processes run one after the other, apart from other load.
APART    := ^TestAbuse|^TestStreamedBodyInSmallMemory$$

.PHONY: build generate format lint test check demo bench

build:
	go build -ldflags="-X wagtailford.example/server/daemon/buildinfo.commit=$$(git describe --always --dirty --abbrev=12 2>/dev/null)" -o $(BIN)/ ./server/cmd/... ./ctl/cmd/... ./standin/cmd/...

# The generated code is committed; buf and its plugins are only needed after a change of the schema.
generate:
	cd tools && GOBIN=$(BIN)/tools GOWORK=off go install tool
	cd tools/buf && GOBIN=$(BIN)/tools GOWORK=off go install tool
	cd api && PATH=$(BIN)/tools:$$PATH buf generate

format:
	$(TOOL) gofumpt -w $(addprefix $(CURDIR)/,$(SOURCES))

lint:
	@unformatted=$$($(TOOL) gofumpt -l $(addprefix $(CURDIR)/,$(SOURCES))); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet $(PACKAGES)
	cd tools && GOWORK=off GOBIN=$(BIN)/tools go install honnef.co/go/tools/cmd/staticcheck
	$(BIN)/tools/staticcheck $(PACKAGES)

# The package with the longest simulations has a run of its own, see KNOWN-RED.txt.
test:
	go test -race -count=1 -timeout 20m -skip "$$(.ci/known-red)|$(APART)" $$(go list $(PACKAGES) | grep -v /coordination/control$$)
	go test -race -count=1 -timeout 20m -skip "$$(.ci/known-red)" -run '$(APART)' ./platform
	.ci/race-control

check: lint test demo

demo: build
	$(BIN)/demo --bin $(BIN)

bench: build
	WAGTAILFORD_BIN=$(BIN) go test -run '^$$' -bench . -benchtime 1x -timeout 60m ./server/... ./standin/...

# The commands of this project. "make test" is what CI runs.
GO      ?= go
BIN     := bin
LINT    := $(BIN)/golangci-lint
LINTVER := $(shell cat tools/golangci-lint.version)

.PHONY: build test check unit demo clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

$(LINT): tools/golangci-lint.version
	GOBIN=$(CURDIR)/$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTVER)
	touch $(LINT)

check: $(LINT)
	@out=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$out" || { echo "gofmt: $$out"; exit 1; }
	$(GO) vet ./...
	$(LINT) run ./...
	$(GO) tool -modfile=tools/go.mod staticcheck ./...
	@missing=$$(for t in $$(grep -ohE 'Test[A-Z][A-Za-z0-9]+' docs/*.md docs/design/*.md docs/incidents/*.md | sort -u); do grep -rqE --include='*_test.go' "func $$t\(" . || echo $$t; done); test -z "$$missing" || { echo "tests that pages name and that do not exist: $$missing"; exit 1; }

# KNOWNRED are the tests that KNOWN-RED.txt lists, as a pattern: each part of a name whole.
KNOWNRED := $(shell test -f KNOWN-RED.txt && awk 'NF {sub("[;:]$$", "", $$1); gsub("/", "$$/^", $$1); printf "%s^%s$$", sep, $$1; sep = "|"}' KNOWN-RED.txt)

unit: build
	@if test -f KNOWN-RED.txt; then echo "passed over, known to fail:"; cat KNOWN-RED.txt; fi
	@for c in $$(cat internal/soak/testdata/earlier-builds); do git cat-file -e "$$c^{commit}" 2>/dev/null || echo "not run beside the earlier build $$c: the repository's history lacks it"; done
	$(GO) test -race -count=1 -timeout 40m $(if $(KNOWNRED),-skip '$(KNOWNRED)') ./...

test: check unit

demo: build
	./examples/demo.sh

clean:
	rm -rf $(BIN) run

# measure prints the figures that docs/PROOFS.md and docs/CAPACITY.md quote.
.PHONY: measure
measure: build
	$(GO) test ./e2e -run '^$$' -bench 'Claims' -benchtime 4000x -timeout 20m
	$(GO) test ./e2e -run '^$$' -bench 'InForce|Leaderless' -benchtime 12x -timeout 20m
	$(GO) test ./e2e -run '^$$' -bench 'Restart|Reclaim' -benchtime 3x -timeout 20m

# speed prints what an instance adds to a token, and the tokens relayed a second;
# see docs/design/0010-relay.md.
.PHONY: speed
speed: build
	$(GO) test ./transport -run '^$$' -bench Relay -benchtime 300x -count 3
	$(GO) test ./e2e -run '^$$' -bench 'Relay|Added' -benchtime 1x -count 3 -timeout 20m
	$(GO) test ./coordination/route -run '^$$' -bench Choose -count 3

# experiments compares the tables of the design notes with those that the
# seeded fakes give; with UPDATE=-update it writes them anew.
.PHONY: experiments
experiments:
	$(GO) test ./coordination/route ./coordination/limit ./coordination/retry ./coordination/fleet -run "Experiment$$" -count 1 -v $(UPDATE)

# capacity prints what an instance costs at several sizes; see docs/CAPACITY.md.
.PHONY: capacity
capacity: build
	$(GO) test ./e2e -run '^$$' -bench 'Idle|Streams' -benchtime 1x -count 2 -timeout 30m
	$(GO) test ./coordination/route -run '^$$' -bench Choose -count 3
	$(GO) test ./state -run '^$$' -bench ClaimMemory -benchtime 1x -count 2

# soak harms the real processes by fifty drawn plans; see docs/OPERATIONS.md.
.PHONY: soak
soak: build
	$(BIN)/weldsoak -daemon $(BIN)/weldstreamd -first 1 -count 50 -time 8s

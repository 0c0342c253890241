BIN := bin
SEED ?= 1
CHECKS ?= 1500
MODULES := $(sort $(dir $(wildcard */go.mod)))

.PHONY: build test demo soak faults latency fuzz mutations measure bench generate fmt

build:
	go build -o $(BIN)/ ./cmd/...

generate: ## Regenerates the Go code for the .proto files; requires protoc.
	./tools/generate.sh

fmt:
	gofmt -w $(MODULES)

# Tests and subtests that KNOWN-RED.txt names with "Passed over:", as a pattern.
KNOWN_RED := $(shell sed -n 's/^  Passed over: //p' KNOWN-RED.txt 2>/dev/null | sed 's,/,$$/^,g; s,.*,^&$$,' | paste -sd'|')

test: build
	./tools/check.sh
	go test work $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

demo: build
	./$(BIN)/lentilpick-load demo --bin $(BIN) --examples examples

RUNS ?= 1
DURATION ?= 8s
SCENARIO ?= faults
STOPS ?=
soak: build ## Runs nodes under random faults, or another SCENARIO (stops, changes, keys, versions, cuts); set SEED, RUNS, DURATION (of each run) and STOPS (flags of the stops).
	./$(BIN)/lentilpick-load soak --bin $(BIN) --scenario $(SCENARIO) --seed $(SEED) --runs $(RUNS) --duration $(DURATION) $(STOPS)

faults: build ## Runs the fault scenarios with real processes; writes out/faults.json.
	./$(BIN)/lentilpick-load faults --bin $(BIN) --examples examples --out out

latency: build ## Measures the latency added by the entry daemon; writes out/latency.json.
	./$(BIN)/lentilpick-load latency --bin $(BIN) --out out

fuzz:
	go test ./proof/... ./server/node -run Stateful -rapid.seed=$(SEED) -rapid.checks=$(CHECKS) -count=1 -v

mutations: ## Checks that the tests detect each deliberate fault.
	go run ./tools/mutations --checks $(CHECKS)

measure: build
	mkdir -p out
	./$(BIN)/lentilpick-measure --seed $(SEED) --out out

bench:
	go test ./routing ./planning ./shutdown ./delta ./jsonsplit ./platform ./gateway -run '^$$' -bench . -benchmem

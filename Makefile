# The commands that people and CI use. Builds go to build/<preset>.

PRESET ?= release
BUILD  := build/$(PRESET)
JOBS   ?= $(shell nproc)

.PHONY: all deps configure demo test bench lint format golden capacity soak clean

all: configure
	cmake --build $(BUILD) -j $(JOBS)

deps:
	./scripts/install-deps

configure: deps
	cmake --preset $(PRESET) >/dev/null

# Only what the demo runs: building tests and benches too takes most of the time.
DEMO := roseworks-router roseworksctl roseworks-audit roseworks-demo \
	standin-log standin-weight-store standin-vm-list standin-engine \
	standin-service

demo: configure
	cmake --build $(BUILD) -j $(JOBS) --target $(DEMO)
	./scripts/demo $(BUILD)/bin

test: all
	./scripts/run-tests $(BUILD) $(JOBS)

bench: all
	./scripts/bench $(BUILD)/bin

capacity: all
	./scripts/capacity $(BUILD)/bin

lint: configure
	./scripts/lint $(BUILD)

format: deps
	./scripts/format

soak: all
	./scripts/soak 60 $(BUILD)/bin

golden: all
	./scripts/golden-update $(BUILD)/bin

clean:
	rm -rf build

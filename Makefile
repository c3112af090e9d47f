.PHONY: packages build test soak sanitize bench lint format demo clean

JOBS ?= $(shell nproc)
SOURCES = $(shell find Source platform -name '*.cc' -o -name '*.h')

build: packages
	cmake --preset release >/dev/null
	cmake --build build -j $(JOBS)

# Installs the Debian packages of packages.txt that are missing.
packages:
	@Tools/install_packages.sh packages.txt

test: build
	Tools/run_tests.sh build $(JOBS)

# Faults that overlap against real processes, for the seeds named.
SEEDS ?= 1
soak: build
	DAISYROAD_SOAK_SEEDS="$(SEEDS)" build/bin/test_load "[soak]"

# Decision modules and their tests under address, undefined and thread sanitizers.
sanitize: packages
	cmake --preset asan >/dev/null && cmake --build build-asan -j $(JOBS)
	Tools/run_tests.sh build-asan $(JOBS)

bench: build
	build/bin/daisyroad-bench

lint: build
	@clang-format --dry-run --Werror $(SOURCES)
	@Tools/run_linter.sh build

format:
	@clang-format -i $(SOURCES)

demo: build
	Tools/demo.sh

clean:
	rm -rf build build-asan build-tsan

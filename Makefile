# The front door. `make demo` and `make check` need nothing installed before.
BUILD ?= build
JOBS ?= $(shell nproc)
SEEDS ?= 20
PACKAGES = libpoco-dev libcereal-dev libboost-dev libcxxopts-dev \
  libeasyloggingpp-dev libyaml-cpp-dev nlohmann-json3-dev catch2 \
  librapidcheck-dev libxxhash-dev libssl-dev libbenchmark-dev \
  libhttp-parser-dev clang-format clang-tidy
SOURCES = $(shell git ls-files '*.h' '*.cc')
GENERATOR = $(if $(shell command -v ninja),-G Ninja,)

.PHONY: all packages build demo check bench format format-check lint fuzz \
  test sanitize clean

all: build

packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  { apt-get update -qq && apt-get install -y $(PACKAGES); }

$(BUILD)/CMakeCache.txt:
	cmake $(GENERATOR) -S . -B $(BUILD)

build: packages $(BUILD)/CMakeCache.txt
	cmake --build $(BUILD) -j $(JOBS)

# Builds no more than it runs.
demo: packages $(BUILD)/CMakeCache.txt
	cmake --build $(BUILD) -j $(JOBS) --target carobshift_demo
	$(BUILD)/bin/carobshift_demo

check: packages
	./scripts/check.sh

bench: build
	./scripts/bench.sh $(BUILD)

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

lint: build
	./scripts/lint.sh $(BUILD) $(JOBS)

test: build
	cd $(BUILD) && ctest -j $(JOBS) --output-on-failure

fuzz: build
	./scripts/fuzz.sh $(BUILD) $(SEEDS)

clean:
	rm -rf build build-asan build-tsan

# The two commands of the README are `make demo` and `make test`.
PACKAGES = gcc make meson ninja-build pkg-config libevent-dev \
	libprotobuf-c-dev libglib2.0-dev libxxhash-dev libsodium-dev \
	libjansson-dev libzstd-dev check libsubunit-dev python3
LINT_PACKAGES = clang-format clang-tidy cppcheck
FUZZ_PACKAGES = clang libclang-rt-14-dev
HAND_WRITTEN = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*.[ch] \
	platform/*.[ch] standins/*.[ch] bench/*.[ch] tests/*.[ch] tests/fuzz/*.[ch]))

.PHONY: demo test install format lint bench generate packages build \
	build-asan reference slopes soak memory-soak \
	check-deploy fleet-soak order-soak stop-soak fuzz replay

# Installs only what is missing, so that it needs no network when all is there.
packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update -q && \
		apt-get install -y -q --no-install-recommends $(PACKAGES); }

build: packages
	@test -d build || meson setup build >/dev/null
	@ninja -C build --quiet

build-asan: packages
	@test -d build-asan || meson setup build-asan \
		-Db_sanitize=address,undefined -Db_lundef=false >/dev/null
	@ninja -C build-asan --quiet

demo: build
	@python3 tools/demo.py

test: build build-asan
	@python3 tests/run.py

install: build
	meson install -C build

format:
	clang-format -i $(HAND_WRITTEN)

lint:
	@dpkg -s $(LINT_PACKAGES) >/dev/null 2>&1 || { apt-get update -q && \
		apt-get install -y -q --no-install-recommends $(LINT_PACKAGES); }
	clang-format --dry-run -Werror $(HAND_WRITTEN)
	cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
		-Isrc --enable=warning,performance,portability \
		--suppress=missingIncludeSystem $(addprefix -i ,$(wildcard src/*.pb-c.c)) \
		src platform standins bench
	@python3 tools/check_design.py
	@ls src/*.c platform/*.c standins/*.c bench/*.c | grep -v pb-c | \
		xargs -P 8 -n 4 clang-tidy --quiet -p build

# What the users' platform needs of this repository.
check-deploy: packages
	@python3 tools/check_deploy.py

# Or one by name: make bench EXPERIMENTS="placement shift overload".
bench: build
	@python3 bench/run.py $(EXPERIMENTS)

# Loads of bench/loads played against the decisions alone, with all of them on
# and with each of them off.
SEEDS ?= 3
replay: build
	@build/wt-replay --seeds $(SEEDS) --off slots --off shed --off memory \
		--off prefix --off partition bench/loads/*.ini

# Only for those who change proto/; its results are committed.
generate:
	cd proto && protoc-c --c_out=../src *.proto

# Bounded in time; prints its seed; fails on any violation.
SEED ?= 1
DURATION ?= 60
soak: build
	@python3 tools/soak.py $(SEED) $(DURATION)

# The same on stand-ins of the users' platform.
fleet-soak: build
	@python3 tools/fleet_soak.py $(SEED) $(DURATION)

# Streams over several requests, while versions replace each other.
order-soak: build
	@python3 tools/order_soak.py $(SEED) $(DURATION)

# Stops of routers in series, while upstreams cut heads and send without end.
stop-soak: build
	@python3 tools/stop_soak.py $(SEED) $(DURATION)

# Callers that make a router hold bytes, beside a machine that enforces its
# memory.
memory-soak: build
	@python3 tools/memory_soak.py $(SEED) $(DURATION)

# One target of tests/fuzz/targets.c under libFuzzer, which learns from what
# its inputs reach; `make test` runs all of them without it.
TARGET ?= callerHead
FUZZ_FLAGS = -fsanitize=fuzzer-no-link,float-cast-overflow
fuzz: packages
	@dpkg -s $(FUZZ_PACKAGES) >/dev/null 2>&1 || { apt-get update -q && \
		apt-get install -y -q --no-install-recommends $(FUZZ_PACKAGES); }
	@test -d build-fuzz || CC=clang meson setup build-fuzz -Dwerror=false \
		-Db_sanitize=address,undefined -Db_lundef=false \
		-Dc_args="$(FUZZ_FLAGS)" >/dev/null
	@ninja -C build-fuzz --quiet wt-fuzzer
	@mkdir -p build-fuzz/inputs/$(TARGET)
	@cd build-fuzz && UBSAN_OPTIONS=halt_on_error=1 FUZZ_TARGET=$(TARGET) \
		./wt-fuzzer -seed=$(SEED) -max_total_time=$(DURATION) \
		-max_len=4096 -timeout=20 -artifact_prefix=inputs/$(TARGET)- \
		inputs/$(TARGET) ../tests/fuzz/corpus/$(TARGET)

slopes: build
	@build/wt-slopes

reference: build
	build/wheattiller reference > docs/REFERENCE.md

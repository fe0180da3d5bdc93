# Builds the packages, tests and benchmarks. Main targets: all, check, demo; see README.md.
CC      = gcc
CXX     = g++
BUILD  ?= build/release
OPT    ?= -O2
PKGS    = glib-2.0 jansson libfyaml msgpack libmicrohttpd libcurl argtable2 ck libxxhash
WARN    = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wno-unused-function
LAYERS  = base transport protocol state coordination workload
INC     = $(patsubst %,-iquote packages/%,$(LAYERS) daemon cli) -iquote platform -iquote tests/scenario
CFLAGS  = -std=gnu11 -D_GNU_SOURCE -g $(OPT) $(SAN) -pthread $(INC) $(shell pkg-config --cflags $(PKGS))
CXXFLAGS = -std=gnu++17 -D_GNU_SOURCE -g $(OPT) $(SAN) -pthread -Wall -Wextra $(INC) $(shell pkg-config --cflags $(PKGS))
LIBS    = $(shell pkg-config --libs $(PKGS)) -lm

layer_objs = $(patsubst packages/%.c,$(BUILD)/%.o,$(wildcard packages/$(1)/*.c))
PLATFORM_OBJS = $(patsubst platform/%.c,$(BUILD)/platform/%.o,$(wildcard platform/*.c))
LIB_OBJS   = $(foreach l,$(LAYERS),$(call layer_objs,$(l))) $(PLATFORM_OBJS)
LIB        = $(BUILD)/libdamaskpath.a
BINS       = $(BUILD)/damaskpathd $(BUILD)/damaskpath $(BUILD)/standin-store $(BUILD)/standin-upstream $(BUILD)/standin-platform

all: $(BINS)

$(LIB): $(LIB_OBJS)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/%.o: packages/%.c
	@mkdir -p $(@D)
	@echo "CC $<"; $(CC) $(CFLAGS) $(WARN) -MMD -c -o $@ $<

$(BUILD)/platform/%.o: platform/%.c
	@mkdir -p $(@D)
	@echo "CC $<"; $(CC) $(CFLAGS) $(WARN) -MMD -c -o $@ $<

$(BUILD)/damaskpathd: $(call layer_objs,daemon) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/damaskpath: $(call layer_objs,cli) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/standin-%: $(BUILD)/standin/standin-%.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/bench-%: $(BUILD)/bench/bench-%.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

bench-scale: all $(BUILD)/bench-scale
	@$(BUILD)/bench-scale $(BUILD)

bench-workload: $(BUILD)/bench-workload
	@for n in 62 100 200 400; do $(BUILD)/bench-workload $$n 10 1.2; done
	@$(BUILD)/bench-workload memory

bench-path: all $(BUILD)/bench-path $(BUILD)/run-scenario
	@scripts/bench-path

faults: all $(BUILD)/run-scenario
	@scripts/faults

bench-policy: $(BUILD)/bench-policy
	@$(BUILD)/bench-policy

SCENARIO_OBJS = $(patsubst tests/%.c,$(BUILD)/tests/%.o,$(wildcard tests/scenario/*.c))

$(BUILD)/tests/%.o: tests/%.c
	@mkdir -p $(@D)
	@echo "CC $<"; $(CC) $(CFLAGS) $(WARN) -MMD -c -o $@ $<

$(BUILD)/run-scenario: $(SCENARIO_OBJS) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

# The soak test uses the process, relay and client code of the scenario runner.
SOAK_OBJS = $(patsubst tests/%.c,$(BUILD)/tests/%.o,$(wildcard tests/soak/*.c)) \
	$(foreach f,proc relay client,$(BUILD)/tests/scenario/$(f).o)

$(BUILD)/soak: $(SOAK_OBJS) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

# Of the daemon the unit tests take the record writer, whose store they are, and single files.
UNIT_OBJS = $(patsubst tests/%.c,$(BUILD)/tests/%.o,$(wildcard tests/unit/*.c)) \
	$(foreach f,wl-coord-records wl-coord-nodes wl-worker-checkpoint,$(BUILD)/daemon/$(f).o)

$(BUILD)/test-units: $(UNIT_OBJS) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ -lcunit $(LIBS)

# Clients that exceed the limits of a process, for regress/limits.
$(BUILD)/limit-client: $(BUILD)/tests/limits/crowd.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/peer-limit-client: $(BUILD)/tests/limits/peer-crowd.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

TESTS = $(BUILD)/test-units $(BUILD)/test-properties $(BUILD)/run-scenario $(BUILD)/soak \
	$(BUILD)/limit-client $(BUILD)/peer-limit-client
tests: all $(TESTS)

PROP_OBJS = $(patsubst tests/%.cc,$(BUILD)/tests/%.o,$(wildcard tests/property/*.cc))

$(BUILD)/tests/%.o: tests/%.cc
	@mkdir -p $(@D)
	@echo "CXX $<"; $(CXX) $(CXXFLAGS) -MMD -c -o $@ $<

$(BUILD)/test-properties: $(PROP_OBJS) $(LIB)
	$(CXX) $(CXXFLAGS) -o $@ $^ -lrapidcheck $(LIBS)

packages:
	@scripts/packages

demo: packages
	@$(MAKE) -s -j8 all
	@scripts/demo

check:
	@$(MAKE) -s -j8 tests
	@scripts/check

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all tests faults bench-workload bench-scale bench-path bench-policy packages demo check clean

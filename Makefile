# Everything here runs inside a virtual environment made on first use.
VENV ?= .venv
PYTHON ?= python3.11
PORT ?= 8080
SEED ?= 1
RUNS ?= 200
HISTORY_JOBS ?= 9
MINUTES ?= 5
BENCH ?= all
JOBS ?= 4
TEST_TIMEOUT_S ?= 300

PACKAGES := mastickeel mastickeel_router mastickeel_ctl mastickeel_standins
SOURCES := $(foreach package,$(PACKAGES),packages/$(package)/src) platform/src
CODE := packages platform tests bench
STAMP := $(VENV)/installed

empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(abspath $(SOURCES))):$(CURDIR)

# Tests that press on a process, and run one at a time after all others.
ALONE := test_crowds*.py
RUN_TESTS := sort | sed 's/\.py$$//; s/\//./g' | xargs -I NAME
RUN_ONE := sh -c 'timeout $(TEST_TIMEOUT_S) $(VENV)/bin/python -m unittest NAME >out/NAME.log 2>&1; \
	status=$$?; echo "== NAME"; cat out/NAME.log; exit $$status'

.PHONY: setup demo test check format bench history soak events

setup: $(STAMP)

$(STAMP): constraints.txt $(foreach package,$(PACKAGES),packages/$(package)/pyproject.toml) \
		platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -c constraints.txt \
		-e packages/mastickeel -e packages/mastickeel_router \
		-e packages/mastickeel_ctl -e platform -e "packages/mastickeel_standins[dev]"
	touch $(STAMP)

demo: setup
	@exec $(VENV)/bin/mastickeel-router demo --port $(PORT)

test: setup
	@rm -rf out && mkdir -p out
	@find tests -name 'test_*.py' ! -name '$(ALONE)' | $(RUN_TESTS) -P $(JOBS) $(RUN_ONE); status=$$?; \
		find tests -name '$(ALONE)' | $(RUN_TESTS) -P 1 $(RUN_ONE) && exit $$status

check: setup
	$(VENV)/bin/black --check --quiet $(CODE)
	$(VENV)/bin/ruff check --quiet $(CODE)
	$(VENV)/bin/mypy $(SOURCES) bench

format: setup
	$(VENV)/bin/ruff check --quiet --fix $(CODE) || true
	$(VENV)/bin/black --quiet $(CODE)

bench: setup
	$(VENV)/bin/python -m bench --only "$(BENCH)"

history: setup
	$(VENV)/bin/python -m bench.histories --seed $(SEED) --runs $(RUNS) --jobs $(HISTORY_JOBS)

soak: setup
	$(VENV)/bin/python -m bench.soak --minutes $(MINUTES) --seed $(SEED)

events: setup
	$(VENV)/bin/python -m tests.mastickeel.test_events

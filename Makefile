VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
# Half of the developers' machines' processors, so that tests with real processes keep their pace.
TEST_PROCESSES ?= 3
STAMP = $(VENV)/.installed

.PHONY: binary demo docs test soak lint format matrix

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m hornbeamramp demo

# Tests that measure the memory of a process run after the others, one at a time.
test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) -m "not alone"; status=$$?; \
	$(BIN)/python -m pytest -m alone && exit $$status

# Fresh examples of the property tests and fresh seeds of the fault soak; the logs of seeds that fail
# stay in build/soak.
SOAK_SEEDS ?= 10
PROPERTY_TESTS = $(shell grep -l "^from hypothesis" -r tests --include=test_*.py)
SOAK_FIRST ?= $(shell date +%s)
soak: $(STAMP)
	HYPOTHESIS_PROFILE=fresh $(BIN)/python -m pytest -n $(TEST_PROCESSES) $(PROPERTY_TESTS)
	$(BIN)/python -m tests.soak --seeds $(SOAK_SEEDS) --first $(SOAK_FIRST)
	$(BIN)/python -m tests.soak --seeds $(SOAK_SEEDS) --first $(SOAK_FIRST) --moves
	$(BIN)/python -m tests.soak --seeds $(SOAK_SEEDS) --first $(SOAK_FIRST) --restarts
	$(BIN)/python -m tests.soak --seeds $(SOAK_SEEDS) --first $(SOAK_FIRST) --pacing
	$(BIN)/python -m tests.soak --seeds $(SOAK_SEEDS) --first $(SOAK_FIRST) --crowds

lint: $(STAMP)
	$(BIN)/black --check .
	$(BIN)/ruff check .
	$(BIN)/python -m hornbeamramp docs configuration --check
	$(BIN)/python tools/fault_matrix.py --check

docs: $(STAMP)
	$(BIN)/python -m hornbeamramp docs configuration

# Fails if the file starts another process.
binary: $(STAMP)
	$(BIN)/python tools/build_binary.py
	$(BIN)/python tools/measure_binary.py

format: $(STAMP)
	$(BIN)/black .
	$(BIN)/ruff check --fix .

matrix: $(STAMP)
	$(BIN)/python tools/fault_matrix.py

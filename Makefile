VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test lint format matrix

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m hornbeamramp demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/black --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/fault_matrix.py --check

format: $(STAMP)
	$(BIN)/black .
	$(BIN)/ruff check --fix .

matrix: $(STAMP)
	$(BIN)/python tools/fault_matrix.py

VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test lint format

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

format: $(STAMP)
	$(BIN)/black .
	$(BIN)/ruff check --fix .

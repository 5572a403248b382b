PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
EXAMPLES := examples/zema.toml examples/tarnok.toml

.PHONY: demo test binary docs format

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP) ## Start a whole deployment on loopback and keep it up.
	PATH="$(abspath $(BIN)):$$PATH" sh examples/demo.sh

test: $(STAMP) ## Format check, lint, types, tests and the binary.
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy
	$(BIN)/python -m pytest -n 6
	$(MAKE) binary

# The stale build folder would bring deleted modules back into the wheel.
binary: $(STAMP) ## Build the one-file program and start it once.
	rm -rf build dist
	mkdir -p dist
	$(BIN)/shiv --compressed --entry-point carobhook.cli:main --output-file dist/carobhook \
		--python '/usr/bin/env python3' --quiet .
	SHIV_ROOT=$(abspath dist)/unpacked dist/carobhook version
	SHIV_ROOT=$(abspath dist)/unpacked dist/carobhook check-settings $(EXAMPLES)

docs: $(STAMP) ## Write the reference pages that are made from the code.
	$(BIN)/python -m carobhook.reference docs

format: $(STAMP)
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

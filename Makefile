PYTHON ?= python3
BIN := .venv/bin
READY := .venv/.ready

.PHONY: install demo test lint format

install: $(READY)

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(READY)

demo: $(READY)
	$(BIN)/bronzekeel demo

test: $(READY)
	$(BIN)/python -m tests.run

lint: $(READY)
	$(BIN)/ruff format --check src tests
	$(BIN)/flake8 src tests
	$(BIN)/mypy
	$(BIN)/lint-imports

format: $(READY)
	$(BIN)/ruff format src tests

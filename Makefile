# Every target makes its own virtual environment from the lock file.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= pharmacy

.PHONY: test lint demo bench scale docs clean

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

test: $(VENV)/.ready
	$(BIN)/python -m pytest

lint: $(VENV)/.ready
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools
	$(BIN)/mypy

demo: $(VENV)/.ready
	$(BIN)/wallwell demo --deployment $(DEPLOYMENT)

bench: $(VENV)/.ready
	$(BIN)/wallwell bench run --all

scale: $(VENV)/.ready
	$(BIN)/wallwell bench scale --quick

# Regenerates the catalogues in docs/ from the code.
docs: $(VENV)/.ready
	$(BIN)/wallwell catalogue errors > docs/ERRORS.md
	$(BIN)/wallwell catalogue events > docs/LOG_EVENTS.md

clean:
	rm -rf $(VENV) build src/*.egg-info

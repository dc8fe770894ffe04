# Every target makes its own virtual environment from the lock file.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= pharmacy
SEED ?= 1

.PHONY: test lint demo bench soak soak-regressions docs clean

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

# Unit tests take a processor and the others mostly wait, so three parts run side by side; each is shown when it is over.
test: $(VENV)/.ready
	@reports=$$(mktemp -d); status=0; \
	$(BIN)/python -m pytest tests/unit > $$reports/unit 2>&1 & unit=$$!; \
	$(BIN)/python -m pytest tests/platform > $$reports/platform 2>&1 & platform=$$!; \
	$(BIN)/python -m pytest --ignore=tests/unit --ignore=tests/platform || status=1; \
	wait $$platform || status=1; cat $$reports/platform; \
	wait $$unit || status=1; cat $$reports/unit; \
	rm -rf $$reports; exit $$status

lint: $(VENV)/.ready
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools
	$(BIN)/mypy

demo: $(VENV)/.ready
	$(BIN)/wallwell demo --deployment $(DEPLOYMENT)

bench: $(VENV)/.ready
	$(BIN)/wallwell bench run --all

# Real routers under faults that SEED draws.
soak: $(VENV)/.ready
	$(BIN)/wallwell soak --seed $(SEED)

# Runs that once broke an invariant, each with its cause. Processes and times are real, so that a verdict may differ
# between two plays; that is why continuous integration does not play them.
soak-regressions: $(VENV)/.ready
	$(BIN)/wallwell soak --regressions tests/soak/seeds.toml

# Regenerates the catalogues in docs/ from the code.
docs: $(VENV)/.ready
	$(BIN)/wallwell catalogue errors > docs/ERRORS.md
	$(BIN)/wallwell catalogue events > docs/LOG_EVENTS.md

clean:
	rm -rf $(VENV) build src/*.egg-info

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: platform-build demo test proofs measure benchmark capacity soak format

$(READY): requirements.txt requirements-workspace.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps -r requirements-workspace.txt
	touch $@

test: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy libs/*/src platform/src
	$(BIN)/python -m pytest

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Builds what runs on the users' platform, as deploy/system.toml does.
platform-build:
	sh deploy/build.sh

demo: $(READY)
	$(BIN)/python -m benchmarks.demo

proofs: $(READY)
	$(BIN)/python -m benchmarks.proofs

benchmark: $(READY)
	$(BIN)/python -m benchmarks.path

capacity: $(READY)
	$(BIN)/python -m benchmarks.capacity
	$(BIN)/python -m benchmarks.capacity_page

# About 15 minutes; each part merges its rows into build/measures.json.
measure: $(READY)
	$(BIN)/python -m benchmarks.measure

SECONDS ?= 60
SEED ?= 1
soak: $(READY)
	$(BIN)/python -m tests.processes.soak --seconds $(SECONDS) --seed $(SEED)

.PHONY: fleet-soak
fleet-soak: $(READY)
	$(BIN)/python -m tests.platform.fleet_soak --seconds $(SECONDS) --seed $(SEED)

.PHONY: simulation
simulation: $(READY)
	$(BIN)/python -m tests.platform.simulation --seeds 100000 --seconds $(SECONDS) --first $(SEED)

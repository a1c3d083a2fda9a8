PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := config decisions direct load wire router ctl standins proof
SOURCES := $(wildcard packages/*/sycamoreloft_*) platform/sycamoreloft_platform
# Processes that run tests. Most tests wait, so that a machine with fewer cores
# bears as many.
WORKERS ?= 5
SECONDS ?= 60
SEED ?= 1

.PHONY: install demo test lint format bench fuzz capacity clean

install: $(VENV)/installed

# The packages themselves need only setuptools; everything else is pinned in
# requirements.lock.
$(VENV)/installed: requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),--editable packages/$(p)) --editable platform
	touch $@

demo: install
	$(BIN)/python -m sycamoreloft_proof.demo

test: lint
	$(BIN)/python -m pytest --numprocesses $(WORKERS) --dist worksteal

lint: install
	$(BIN)/ruff format --check packages platform deploy tools conftest.py
	$(BIN)/ruff check packages platform deploy tools conftest.py
	$(BIN)/python tools/check_source.py
	$(BIN)/mypy $(SOURCES)

format: install
	$(BIN)/ruff format packages platform deploy tools conftest.py
	$(BIN)/ruff check --fix packages platform deploy tools conftest.py

bench: install
	$(BIN)/python -m sycamoreloft_proof.bench

fuzz: install
	$(BIN)/python -m sycamoreloft_proof.fuzz --seconds $(SECONDS) --seed $(SEED)

capacity: install
	$(BIN)/python -m sycamoreloft_proof.capacity

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache

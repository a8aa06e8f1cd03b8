PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PATHS := src standins bench soak tests
TEST_PROCESSES ?= 4
SEEDS ?= 5
SECONDS ?= 12

.PHONY: run test lint types pytest soak bench format clean

run: $(VENV)/run.stamp
	$(BIN)/python -m standins.tour
	$(BIN)/python -m standins.platformfleet

test: lint types pytest

lint: $(VENV)/dev.stamp
	$(BIN)/ruff format --check $(PATHS)
	$(BIN)/ruff check $(PATHS)
	$(BIN)/flake8 $(PATHS)

types: $(VENV)/dev.stamp
	$(BIN)/mypy

pytest: $(VENV)/dev.stamp
	$(BIN)/python -m tests.known_red
	$(BIN)/pytest -n $(TEST_PROCESSES) --dist loadfile

soak: $(VENV)/dev.stamp
	$(BIN)/python -m soak --seeds $(SEEDS) --seconds $(SECONDS)

bench: $(VENV)/dev.stamp
	$(BIN)/python -m bench all

format: $(VENV)/dev.stamp
	$(BIN)/ruff check --fix $(PATHS)
	$(BIN)/ruff format $(PATHS)

$(VENV)/run.stamp: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

$(VENV)/dev.stamp: $(VENV)/run.stamp requirements-dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

clean:
	rm -rf $(VENV)

# Set-up, demo, tests, checks and measurements.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
RUN := PYTHONPATH=src:. $(BIN)/python

.PHONY: setup demo test check format measure generate clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-run.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(RUN) -m examples.demo

test: setup
	@$(RUN) -m tests.run

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# One rig: make measure NAME=overload
measure: setup
	$(RUN) -m measure.$(NAME)

# Needs the thrift compiler; its output is committed.
generate:
	./generate_thrift.sh

clean:
	rm -rf $(VENV)

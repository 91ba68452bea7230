PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
TEST_JOBS ?= 4

.PHONY: demo test lint fuzz soak bench binary format messages clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --upgrade pip
	$(BIN)/pip install -q -c constraints.txt -e '.[bench,dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m sorrelhoist.bench.demo

test: lint
	HYPOTHESIS_PROFILE=ci $(BIN)/python -m pytest -n $(TEST_JOBS)

lint: $(STAMP)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

fuzz: $(STAMP)
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m pytest -n $(TEST_JOBS) -k fuzz

bench: $(STAMP)
	$(BIN)/python -m sorrelhoist bench

SOAK_SECONDS ?= 20
SOAK_SEEDS ?= 10
SOAK_FIRST ?= 1

soak: $(STAMP)
	$(BIN)/python -m tests.soak.soak --seconds $(SOAK_SECONDS) --seeds $(SOAK_SEEDS) --first $(SOAK_FIRST) --keep build/soak

binary: $(STAMP)
	mkdir -p dist
	$(BIN)/pex . --constraints constraints.txt -c sorrelhoist -o dist/sorrelhoist

# Needs the thrift compiler; its output is committed.
messages:
	thrift --gen py:slots -out src/sorrelhoist/messages src/sorrelhoist/messages/sorrelhoist.thrift

clean:
	rm -rf $(VENV) build dist

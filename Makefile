# Every target works on a fresh machine with Python 3.11 and make.
PYTHON ?= python3
VENV ?= .venv
DEPLOYMENT ?= vedlott
OUTPUT ?=
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

SEEDS ?= 50

.PHONY: install demo test bench lint format types trial slopes soak ci

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: install
	$(BIN)/rattanstile demo

test: install
	$(BIN)/python -m nose2 --config unittest.cfg

bench: install
	PYTHONHASHSEED=0 $(BIN)/python -m bench

trial: install
	$(BIN)/rattanstile trial all --deployment $(DEPLOYMENT) --output '$(OUTPUT)'

soak: install
	PYTHONPATH=tests $(BIN)/python -m soak --count $(SEEDS)

slopes: install
	$(BIN)/python -m bench.slopes

lint: install
	$(BIN)/ruff format --check src tests bench
	$(BIN)/ruff check src tests bench
	$(BIN)/flake8 src bench

format: install
	$(BIN)/ruff check --fix --quiet src tests bench
	$(BIN)/ruff format src tests bench

types: install
	$(BIN)/mypy

ci:
	bash .ci/run

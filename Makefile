PYTHON ?= .venv/bin/python

.PHONY: build test lint run

build:
	test -d .venv || python3 -m venv .venv
	$(PYTHON) -m pip -q install -e '.[dev]'

test:
	$(PYTHON) -m pytest -q

lint:
	$(PYTHON) -m ruff check hoistfold standflow tests
	$(PYTHON) -m ruff format --check hoistfold standflow tests
	$(PYTHON) -m mypy

# EDGE_CONFIG names the configuration; the README has a small one.
run:
	exec $(PYTHON) -m standflow

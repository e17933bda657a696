PYTHON ?= .venv/bin/python

.PHONY: build test lint run

build:
	test -d .venv || python3 -m venv .venv
	$(PYTHON) -m pip -q install -e '.[dev]'

test:
	$(PYTHON) -m pytest -q

lint:
	$(PYTHON) -m ruff check hoistfold standflow lab tests
	$(PYTHON) -m ruff format --check hoistfold standflow lab tests
	$(PYTHON) -m mypy

# One ingress on the configuration that EDGE_CONFIG names.
run: export EDGE_CONFIG ?= deploy/example.json
run:
	exec $(PYTHON) -m standflow

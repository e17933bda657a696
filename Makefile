PYTHON ?= .venv/bin/python

.PHONY: build test lint soak run sites bench-tls bench-vast bench-cold bench-counter bench-ops bench-fleet bench-power regression

build:
	test -d .venv || python3 -m venv .venv
	$(PYTHON) -m pip -q install -e '.[dev]'

# All tests; those of KNOWN-RED.txt run after the others and don't decide the verdict.
test:
	$(PYTHON) -m lab.run_tests -n 6

# Restarts in series while everything around them fails, by seed; those of KNOWN-RED.txt are left out. Then the memory
# of one ingress beside clients that take as much of it as they can, by seed. The long run:
#   make soak SOAK='--first-seed 1001 --seeds 50 --at-once 4' MEMORY_SOAK='--first-seed 1001 --seeds 50 --at-once 4'
SOAK ?= --first-seed 1 --seeds 12 --at-once 3
MEMORY_SOAK ?= --first-seed 1 --seeds 12 --at-once 3
soak:
	$(PYTHON) -m lab.soak $(SOAK) --without-known
	$(PYTHON) -m lab.memory $(MEMORY_SOAK)

lint:
	$(PYTHON) -m ruff check hoistfold standflow lab tests
	$(PYTHON) -m ruff format --check hoistfold standflow lab tests
	$(PYTHON) -m mypy

# Measurements: each prints `name value unit bound holds|fails` and ends with 1 if a bound fails.
bench-tls:
	$(PYTHON) -m lab.bench_tls

# A fleet of 3 to 100 ingresses in simulated time.
bench-vast:
	$(PYTHON) -m lab.vast

# A burst while a part of the next hops is cold, with 3 to 200 ingresses in simulated time.
bench-cold:
	$(PYTHON) -m lab.cold_start

# The promise on quotas, with the ring, the counter, both and neither; its cost.
bench-counter:
	$(PYTHON) -m lab.bench_counter

# Running one ingress: calls, drains, upgrades, next hops out by hand, long values, cost.
bench-ops:
	$(PYTHON) -m lab.bench_ops

# The view of the fleet: a cut, crashes, joins; real ingresses, and up to 200 in simulated time.
bench-fleet:
	$(PYTHON) -m lab.bench_fleet

# A power loss: real ingresses with and without the store; the store's price.
bench-power:
	$(PYTHON) -m lab.bench_power

# One ingress on the operator's file.
run:
	exec $(PYTHON) -m standflow.cli run deploy/standflow.conf

# The bench's standard runs one after the other; status 1 where one fails. For all of them:
#   make regression REGRESSION='--standing --first-seed 801 --seeds 5'
WHY ?= Regression: the standard runs of the program as it stands
regression:
	$(PYTHON) -m lab.regression --kit $(KIT) --why "$(WHY)" $(REGRESSION)

# What the bench wants beside a site file of this project's, taken from KIT; git ignores it.
KIT ?= ../given/kit
sites:
	install -m 644 $(KIT)/sites/real.json $(KIT)/sites/wire.json deploy/sites/
	cat $(KIT)/sites/unlock.txt $(KIT)/more/mass/unlock.txt > deploy/sites/unlock.txt

VENV ?= .venv
BIN := $(VENV)/bin
PY := PYTHONPATH=src:. $(BIN)/python

SEEDS ?= 1-50

.PHONY: demo test bench matrix guards soak run format lock

$(VENV)/ready: requirements.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: $(VENV)/ready
	$(BIN)/ruff format --check src tests tools
	$(BIN)/flake8 src tests tools
	$(BIN)/mypy src tests tools
	$(BIN)/lint-imports
	$(PY) -m pytest

demo: $(VENV)/ready
	$(PY) -m tools.demo

# Each reports its misses and exits with 1 for them; the others still run.
bench: $(VENV)/ready
	-$(PY) -m tools.bench
	$(PY) -m tools.bench.gateway_cost
	$(PY) -m tools.measure_policy
	$(PY) -m tools.measure_topology
	$(PY) -m tools.measure_control

matrix: $(VENV)/ready
	$(PY) -m tools.matrix

guards: $(VENV)/ready
	$(PY) -m tools.matrix --guards

soak: $(VENV)/ready
	$(PY) -m tools.soak --seeds $(SEEDS)

run: $(VENV)/ready
	$(BIN)/dandelionstaged --settings examples/vm.yaml

format: $(VENV)/ready
	$(BIN)/ruff format src tests tools

lock: $(VENV)/ready
	$(BIN)/pip-compile -q --extra dev --strip-extras --no-header --no-emit-index-url --no-emit-find-links -o requirements.txt pyproject.toml

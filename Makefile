PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SECONDS_TO_RUN ?= 20
QUICK ?= 0
TEST_PROCESSES ?= 4
# Tests whose nodes listen on fixed addresses run one after the other.
FIXED_ADDRESSES := magnoliafork/tests/platform magnoliafork/tests/soak

.PHONY: test demo bench capacity format venv clean

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

test: venv
	$(BIN)/ruff format --check magnoliafork
	$(BIN)/ruff check magnoliafork
	$(BIN)/mypy
	$(BIN)/python -m pytest --numprocesses $(TEST_PROCESSES) \
		$(foreach folder,$(FIXED_ADDRESSES),--ignore $(folder))
	$(BIN)/python -m pytest $(FIXED_ADDRESSES)

demo: venv
	$(BIN)/magnolia demo --seconds-to-run $(SECONDS_TO_RUN)

bench: venv
	$(BIN)/magnolia bench $(if $(filter 1,$(QUICK)),--quick)

capacity: venv
	$(BIN)/magnolia bench --capacity

format: venv
	$(BIN)/ruff format magnoliafork
	$(BIN)/ruff check --fix magnoliafork

clean:
	rm -rf build dist

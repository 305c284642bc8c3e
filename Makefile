# Each target sets up its own virtual environment from locked versions.
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test test-quick check format bench clean

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m laburnumsill.testing.demo

# Tests that start processes wait more than they work, so they run side by
# side; each takes ports of its own.
TEST_WORKERS ?= 4

test: $(VENV)/.installed
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist worksteal

# For the rounds: what needs no processes of our own.
test-quick: $(VENV)/.installed
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist worksteal \
		--ignore=laburnumsill/testing/tests

check: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy laburnumsill bench
	$(BIN)/lint-imports
	$(BIN)/python tools/check_imports.py
	$(BIN)/python tools/check_wire_names.py

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) run

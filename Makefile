# Each target sets up its own virtual environment from locked versions.
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test check format bench clean

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m laburnumsill.testing.demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest

check: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy laburnumsill
	$(BIN)/lint-imports
	$(BIN)/python tools/check_imports.py
	$(BIN)/python tools/check_wire_names.py

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) run

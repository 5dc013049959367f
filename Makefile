PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
SECONDS ?= 600

.PHONY: demo test lint format fuzz mutants bench slopes environment clean

# Creates the environment once, and updates it after a change of the pinned versions.
$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

environment: $(VENV)/.installed

demo: environment
	$(BIN)/python -m rosemarydeal.demo

lint: environment
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: environment
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m features.run

fuzz: environment
	$(BIN)/python -m features.fuzz --seconds $(SECONDS)

mutants: environment
	$(BIN)/python -m features.mutants

bench: environment
	$(BIN)/python -m bench.run

slopes: environment
	$(BIN)/python -m bench.slopes

clean:
	rm -rf $(VENV) build

# Two commands matter to a newcomer: `make demo` and `make test`.
PYTHON ?= python3
BIN = .venv/bin

.PHONY: demo test check format venv

venv: .venv/.ready

.venv/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e . \
		|| $(BIN)/python -m pip install --quiet --no-deps -e .
	touch .venv/.ready

demo: venv
	$(BIN)/knapweedrail-demo

test: venv
	$(BIN)/python -m pytest $(TESTS)

check: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

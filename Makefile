# make demo runs the main job, make test all tests; both build what they need.

VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.built
PACKAGES := core daemon ctl bench

.PHONY: demo test lint build

build: $(STAMP)

$(STAMP): requirements.lock $(foreach p,$(PACKAGES),packages/briarrelay-$(p)/pyproject.toml)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-build-isolation \
		--no-deps $(foreach p,$(PACKAGES),-e packages/briarrelay-$(p))
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m briarrelay_bench.demo

test: $(STAMP)
	$(PYTHON) features/run_all.py

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

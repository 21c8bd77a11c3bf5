# Two commands: `make demo` shows the system at work, `make test` checks it.
VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := base core wire entry daemon cli standins
empty :=
space := $(empty) $(empty)
# Workspace sources come before installed ones, so that a second work tree can share the environment.
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p))):$(CURDIR)/platform:$(CURDIR)
TOOLS := black cryptography ddsketch hypothesis nose2 pg8000 psycopg[binary] ruff setuptools trustme wheel

.PHONY: env format check test demo

# SHARED_ENV=1 uses the environment of another work tree as it is.
ifdef SHARED_ENV
env:
else
env: $(VENV)/.installed
endif

$(VENV)/.installed: constraints.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -c constraints.txt $(TOOLS)
	$(PY) -m pip install -q -c constraints.txt --no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

format: env
	$(PY) -m black -q packages tests
	$(PY) -m ruff check -q --fix packages tests

check: env
	$(PY) -m black -q --check packages tests
	$(PY) -m ruff check -q packages tests

test: check
	$(PY) -m tests.run

demo: env
	$(PY) -m bramleyrill_standins.demo

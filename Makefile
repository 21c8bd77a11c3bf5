# Two commands: `make demo` shows the system at work, `make test` checks it. `make demo-platform`
# shows it on the prepared platform, `make soak` runs it under random faults.
VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGE_DIRS := $(foreach p,base core wire entry daemon cli standins,packages/$(p)) platform soak
SOURCES := packages platform soak tests
empty :=
space := $(empty) $(empty)
# Workspace sources come before installed ones, so that a second work tree can share the environment.
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGE_DIRS),$(CURDIR)/$(p))):$(CURDIR)
TOOLS := black cryptography ddsketch hypothesis nose2 pg8000 psycopg[binary] ruff setuptools trustme wheel

.PHONY: env format check test demo demo-platform soak

# SHARED_ENV=1 uses the environment of another work tree as it is.
ifdef SHARED_ENV
env:
else
env: $(VENV)/.installed
endif

$(VENV)/.installed: constraints.txt $(foreach p,$(PACKAGE_DIRS),$(p)/pyproject.toml)
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -c constraints.txt $(TOOLS)
	$(PY) -m pip install -q -c constraints.txt --no-build-isolation $(foreach p,$(PACKAGE_DIRS),-e $(p))
	touch $@

format: env
	$(PY) -m black -q $(SOURCES)
	$(PY) -m ruff check -q --fix $(SOURCES)

check: env
	$(PY) -m black -q --check $(SOURCES)
	$(PY) -m ruff check -q $(SOURCES)

test: check
	$(PY) -m tests.run

demo: env
	$(PY) -m bramleyrill_standins.demo

demo-platform: env
	$(PY) -m bramleyrill_standins.prepared

# Fresh seeds: make soak FIRST=100 COUNT=20
FIRST ?= 1
COUNT ?= 50
soak: env
	$(PY) -m bramleyrill_soak --first $(FIRST) --count $(COUNT)

# Two entry points for a fresh machine: `make demo` and `make test`.
VENV ?= .venv
PY := $(VENV)/bin/python

$(PY):
	python3 -m venv $(VENV)
	$(PY) -m pip install -q --upgrade pip
	$(PY) -m pip install -q -e '.[test]'

.PHONY: setup demo test fuzz format thrift
setup: $(PY)

demo: $(PY)
	$(VENV)/bin/guavacleat demo

test: $(PY)
	$(VENV)/bin/black --check src tests benchmarks
	$(VENV)/bin/ruff check src tests benchmarks
	$(PY) -m pytest

# New cases for the tests that draw them, ten times as many; by hand, some minutes.
fuzz: $(PY)
	$(PY) -m pytest -m hypothesis --hypothesis-profile=fresh --hypothesis-show-statistics

format: $(PY)
	$(VENV)/bin/black src tests benchmarks
	$(VENV)/bin/ruff check --fix src tests benchmarks

# Regenerates the committed thrift code; needs Debian's thrift-compiler.
thrift:
	rm -rf src/guavacleat/protocol/gen && mkdir -p src/guavacleat/protocol/gen
	thrift --gen py:twisted -out src/guavacleat/protocol/gen thrift/sidecar.thrift && rm -f src/guavacleat/protocol/gen/sidecar/Sidecar-remote
	thrift --gen py:slots -out src/guavacleat/protocol/gen thrift/peers.thrift

# Two commands on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := core node cli standins

.PHONY: demo test lint bench lab slopes proto golden soak

$(STAMP): constraints.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt setuptools wheel ruff mypy hypothesis matplotlib pytest pytest-xdist \
	  types-protobuf types-tabulate types-jsonschema types-pycurl
	$(BIN)/pip install -q -c constraints.txt $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

demo: $(STAMP)
	$(BIN)/python -m fielddrift_standins.demo

test: $(STAMP)
	$(BIN)/python -m pytest -n 4 --dist loadfile tests

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages/core/src packages/node/src packages/cli/src packages/standins/src platform/fielddrift_platform bench soak

bench: $(STAMP)
	$(BIN)/python -m bench.decisions
	$(BIN)/python -m bench.choice
	$(BIN)/python -m bench.relay
	$(BIN)/python -m bench.promises

# Loads that overload the engines, before a node's own decisions, in virtual time.
lab: $(STAMP)
	$(BIN)/python -m bench.lab --json docs/data/lab.json --plot docs/data/lab.svg

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

# Fresh seeds, and those that failed once.
soak: $(STAMP)
	$(BIN)/python -m soak --seeds 8 --jobs 4
	$(BIN)/python -m soak --kept --jobs 4

golden: $(STAMP)
	FIELDDRIFT_RENEW_GOLDEN=1 $(BIN)/python -m unittest tests.test_golden

# Generated code is committed; this renews it after a change of peer.proto.
proto: $(STAMP)
	$(BIN)/pip install -q -c constraints.txt grpcio-tools
	cd packages/node/src && ../../../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
	  --plugin=protoc-gen-grpclib_python=../../../$(BIN)/protoc-gen-grpclib_python \
	  --grpclib_python_out=. fielddrift_node/peer.proto

PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
PACKAGES := src features

.PHONY: demo test lint format generate bench experiment capacity soak clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/pimentohoist-demo

bench: $(STAMP)
	$(BIN)/pimentohoist-bench configuration
	$(BIN)/pimentohoist-bench limits
	$(BIN)/pimentohoist-bench claims
	$(BIN)/pimentohoist-bench serving
	$(BIN)/pimentohoist-bench knee
	$(BIN)/pimentohoist-bench requests
	$(BIN)/pimentohoist-bench streams

capacity: $(STAMP)
	$(BIN)/pimentohoist-capacity

experiment: $(STAMP)
	$(BIN)/pimentohoist-experiment --faults all

soak: $(STAMP)
	$(BIN)/pimentohoist-soak

test: $(STAMP)
	$(BIN)/python features/run.py

lint: $(STAMP)
	$(BIN)/ruff format --check $(PACKAGES)
	$(BIN)/flake8 $(PACKAGES)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format $(PACKAGES)

generate: $(STAMP)
	$(BIN)/pip install --quiet --editable '.[generate]'
	$(BIN)/python -m grpc_tools.protoc -Iproto --python_out=src/pimentohoist/_generated \
		--pyi_out=src/pimentohoist/_generated --grpc_python_out=src/pimentohoist/_generated proto/peer.proto
	sed -i 's/^import peer_pb2 as/from pimentohoist._generated import peer_pb2 as/' \
		src/pimentohoist/_generated/peer_pb2_grpc.py

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache

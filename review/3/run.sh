#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../../target/deps exec python3 case.py .

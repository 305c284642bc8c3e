#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python without any dependency.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review

#!/usr/bin/env bash
# Measures what entry and side add to a call of a stand-in server, in one run and one process.
# Usage: examples/overhead.sh [RATE [SECONDS [ROUNDS]]]
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo run --release --locked --package damaskweir --example overhead -- "$@"

#!/usr/bin/env bash
# The checks of the project: withdrawn names, format, lints, documentation, tests. Needs no network but cargo's registry.
# A test listed in KNOWN-RED.txt may fail, and must as long as it is listed.
set -euo pipefail
cd "$(dirname "$0")"
.ci/known-red-check
.ci/withdrawn-names
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
log=$(mktemp)
trap 'rm -f "$log"' EXIT
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
cargo test --workspace --locked --no-fail-fast 2>&1 | tee "$log" || true
awk -f .ci/known-red.awk KNOWN-RED.txt "$log"

#!/bin/sh
# Builds the stand-ins that the scripts of the review start. They have no dependencies.
set -eu
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path stand-ins/Cargo.toml

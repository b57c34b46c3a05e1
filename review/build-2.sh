#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. It needs no network.
set -eu
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline --target-dir ../../target/review-2

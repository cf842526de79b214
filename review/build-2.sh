#!/bin/sh
# Builds the stand-ins and clients that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/tools-2/Cargo.toml --target-dir target/review-2

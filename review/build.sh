#!/usr/bin/env bash
# Builds all programs that the scripts of the review start: the project's own, which has the
# stand-in of the store, and the stand-ins of clients and endpoints.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
cargo build --release --locked --offline \
  --manifest-path review/standin/Cargo.toml --target-dir target/review

#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stands/Cargo.toml --target-dir target/review

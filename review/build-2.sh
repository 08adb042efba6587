#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stands-2/Cargo.toml --target-dir target/review-2

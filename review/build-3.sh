#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/stands-3"
cargo build --release --offline

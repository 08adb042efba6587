#!/usr/bin/env bash
# Builds the stand-ins of case 11.
set -eu
cd "$(dirname "$0")/stands-3"
cargo build --release --offline

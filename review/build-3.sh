#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 and later start. It needs no network once the
# libraries of the project's Cargo.lock have been fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3

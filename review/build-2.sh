#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2

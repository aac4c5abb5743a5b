#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review

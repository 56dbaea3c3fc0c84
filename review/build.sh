#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the compiler alone and without any dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/case review/stand-in/main.rs

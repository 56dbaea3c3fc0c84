#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on, with the compiler alone and without any dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/stand-in-2/main.rs

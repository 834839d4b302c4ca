#!/usr/bin/env bash
# Builds the stand-ins of the second review, which the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${RUSTC:-rustc}" --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs

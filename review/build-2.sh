#!/bin/sh
# Builds the stand-ins of cases 6 to 10. Needs only rustc; after the build of the deploy file, from any folder.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand review/stand-2/cases.rs

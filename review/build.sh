#!/usr/bin/env bash
# Builds what the cases need: the project's program as the deploy file says, where it is missing, and the stand-ins in
# review/src with the standard library alone. Needs the Rust tool chain and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/release/notchdoor ]; then
    build=$(sed -n 's/^build = "\(.*\)"/\1/p' deploy/balancer.toml)
    sh -c "$build"
fi
mkdir -p target/review
for name in foreign missing unsent lost stale spoilt primaries; do
    source=review/src/$name.rs
    if [ ! -x "target/review/$name" ] || [ "$source" -nt "target/review/$name" ] ||
        [ review/src/common.rs -nt "target/review/$name" ]; then
        rustc --edition 2021 -O "$source" -o "target/review/$name.new"
        mv "target/review/$name.new" "target/review/$name"
    fi
done

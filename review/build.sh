#!/usr/bin/env bash
# Builds the scripts of the cases, with their stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.ts; do
  name=$(basename "$(dirname "$main")")
  node_modules/.bin/esbuild "$main" --bundle --platform=node --target=node20 --format=cjs \
    --log-level=error --outfile="target/review/$name.cjs"
done

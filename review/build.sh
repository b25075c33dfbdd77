#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/. Their crates are among those of the project, so no network is needed after
# the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin"
cargo build --locked --release --offline || cargo build --locked --release

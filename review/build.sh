#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/. Their crates are among those of the project.
set -eu
cd "$(dirname "$0")/standin"
cargo build --locked --release

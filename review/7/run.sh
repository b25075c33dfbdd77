#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
REPOSITORY=$(cd ../.. && pwd)
export REPOSITORY
exec ../standin-2/target/release/review-standin-2 case dark-poison "$PWD/record.txt"

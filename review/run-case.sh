#!/usr/bin/env bash
# Runs a case of the stand-ins: run-case.sh NAME FOLDER. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
program=review/standin/target/release/review-standin
[ -x "$program" ] || { echo "$program is missing: run review/build.sh"; exit 2; }
[ -x target/release/sequoiastream-instance ] || { echo "the program of the deploy file is missing"; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
# `timeout` ends the whole group: the stand-ins and the instances that they started.
timeout -k 2 115 "$program" "$name" "$folder" "$temporary"
status=$?
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac

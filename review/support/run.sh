#!/usr/bin/env bash
# Runs one case and ends every process that it started, also after a timeout.
# Usage: support/run.sh NUMBER; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
number=$1
pids=$(mktemp)
export REVIEW_PIDS=$pids
cleanup() {
    while read -r pid; do
        if [[ $(readlink "/proc/$pid/exe" 2>/dev/null) == *laburnum-platform-* ]]; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done <"$pids"
    rm -f "$pids"
}
trap cleanup EXIT
[[ -x target/review/case-$number ]] || { echo "run review/build.sh first" >&2; exit 2; }
timeout 115 "target/review/case-$number" "review/$number"
code=$?
case $code in
    0 | 1 | 2) exit $code ;;
    *) exit 2 ;;
esac

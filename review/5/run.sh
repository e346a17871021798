#!/usr/bin/env bash
# Runs case 5. With TROUBLE=0 it does the same without the disruption, and must pass.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../support/run.sh" 5

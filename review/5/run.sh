#!/usr/bin/env bash
# Plays the case impatient-callers. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] && [ -x target/hawthorntack ] || exit 2
exec review/bin/harness impatient-callers review/5/record.txt

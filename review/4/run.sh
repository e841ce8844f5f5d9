#!/usr/bin/env bash
# Plays the case popular-content. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] && [ -x target/hawthorntack ] || exit 2
exec review/bin/harness popular-content review/4/record.txt

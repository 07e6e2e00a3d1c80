#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" && exec node case.mjs

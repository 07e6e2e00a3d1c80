#!/usr/bin/env bash
# Runs the case of claim.txt and writes what was sent, answered and run to record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
if ! [ -f ../../target/bluebellyard.mjs ] || ! [ -f ../../platform/dist/mocks/fake-store.js ]; then
	echo 'run the build of the deploy file and review/build.sh first'
	exit 2
fi

exec node run.mjs

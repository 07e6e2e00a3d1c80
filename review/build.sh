#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start: the project's own stand-in of the store. Run it after the build of the deploy file, which installs the packages.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -b platform

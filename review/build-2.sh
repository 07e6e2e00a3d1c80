#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: the project's own (platform/dist/mocks) and what they import.
# Run it after the build of deploy/system.toml, which installs the packages and makes target/bluebellyard.mjs.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -b

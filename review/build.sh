#!/bin/bash
# Builds the cases of the review with their stand-ins, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review
for folder in review/[0-9]*/; do
	case=$(basename "$folder")
	go build -o "bin/review/case$case" "./review/$case"
done

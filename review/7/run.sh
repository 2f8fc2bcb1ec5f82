#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.."
[ -x target/bin/comfreyfold-vm ] && [ -x target/review-2/bin/review-2 ] || exit 2
exec target/review-2/bin/review-2 replacement review/7/record.txt

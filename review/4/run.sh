#!/usr/bin/env bash
# Plays the case on processes of the gateway; see claim.txt. TROUBLE=0 leaves the silence of the store out.
# Needs the build of the deploy file and review/build.sh. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/laburnumroadd target/review-driver; do
  [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
timeout -k 2 118 target/review-driver removed review/4
status=$?
case $status in 0 | 1 | 2) exit $status ;; esac
exit 2

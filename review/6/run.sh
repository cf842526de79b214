#!/bin/sh
# Case 6; see claim.txt. TROUBLE=0 leaves the disruption out.
# Build first: cargo build --release --locked, and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
tools=$root/target/review-2/release/review-tools-2
program=$root/target/release/cardamomvale
[ -x "$tools" ] && [ -x "$program" ] || { echo "not built" >&2; exit 2; }
timeout -k 5 110 "$tools" quota-homes "$program" "$folder" record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"

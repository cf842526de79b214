#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case couldn't run. Ends all processes that it started.
# In braces, so that the shell reads all of it before it begins.
{
  cd "$(dirname "$0")/.." || exit 2
  case=$1
  folder=$2
  program=target/review/release/review_standin
  if [ ! -x "$program" ] || [ ! -x target/release/cardamomvale ]; then
    echo "run review/build.sh first" >&2
    exit 2
  fi
  logs=$(mktemp -d) || exit 2
  finish() {
    if [ -s "$logs/processes" ]; then
      # Only if the program was killed: otherwise it has ended them and removed their list.
      xargs kill -9 <"$logs/processes" 2>/dev/null
    fi
    if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $logs" >&2; else rm -rf "$logs"; fi
  }
  trap finish EXIT
  trap 'exit 2' INT TERM
  timeout -k 2 117 "$program" "$case" "$folder" "$logs"
  code=$?
  case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
  esac
}

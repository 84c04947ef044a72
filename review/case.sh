#!/bin/sh
# Runs the stand-in class $1 for the case folder $2 and ends all processes that it started.
# Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
set -u
folder=$(cd "$2" && pwd)
cd "$folder/../.."
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ -z "$RUN_COMMAND" ] || [ ! -e target/dewstage.jar ] || [ ! -e "target/review/$1.class" ]; then
    echo "not built: run the build of the deploy file, then review/build.sh" >&2
    exit 2
fi
CASE_TMP=$(mktemp -d)
export RUN_COMMAND CASE_TMP
timeout -k 3 110 java -XX:+UseSerialGC -Xmx1g -cp target/review "$1" "$folder/record.txt"
code=$?
# A stand-in that was killed leaves its proxies behind.
if [ -e "$CASE_TMP/pids" ]; then
    while read -r pid; do
        kill -9 "$pid" 2>/dev/null
    done <"$CASE_TMP/pids"
fi
rm -rf "$CASE_TMP"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac

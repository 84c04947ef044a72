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
# In the background, so that a signal to this script ends the stand-in too, whose end takes its proxies along.
timeout -k 3 105 java -XX:+UseSerialGC -Xmx1g -cp target/review "$1" "$folder/record.txt" &
runner=$!
trap 'kill "$runner" 2>/dev/null' HUP INT TERM
wait "$runner"
code=$?
if kill -0 "$runner" 2>/dev/null; then # the wait was ended by a signal
    wait "$runner"
    code=2
fi
# A stand-in that was killed leaves its proxies behind. An id of a proxy that has ended may belong to another process.
if [ -e "$CASE_TMP/pids" ]; then
    while read -r pid; do
        if grep -q dewstage.jar "/proc/$pid/cmdline" 2>/dev/null \
            && tr '\0' '\n' 2>/dev/null <"/proc/$pid/environ" | grep -q "^NODE_CONFIG=$CASE_TMP/"; then
            kill -9 "$pid"
        fi
    done <"$CASE_TMP/pids"
fi
rm -rf "$CASE_TMP"
# The stand-in says 10 or 11 itself; a runtime that fails on its own says 1, which must not count as a broken rule.
case $code in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac

#!/bin/sh
# Starts one proxy. The heap size follows from the memory limit in NODE_CONFIG: the runtime needs about 56 MB besides
# the heap. The initial heap, at most 64 MB, is touched at the start so that memory does not seem to grow in service.
# A list of tens of thousands of backends needs more than that, so with a sufficient limit the heap may grow by half;
# the maximum heap size also determines the longest list that a proxy accepts.
# While a proxy starts, the others carry its load. Most of that time is spent in interpreted code, so code is compiled
# sooner than by default.
set -eu
# Reads the limit without other programs, since some environments allow none. The last line may lack a newline.
mb=
while [ -z "$mb" ] && { read -r line || [ -n "$line" ]; }; do
    case $line in
        *'"memory_mb"'*)
            mb=${line#*'"memory_mb"'}
            mb=${mb#"${mb%%[0-9]*}"}
            mb=${mb%%[!0-9]*}
            ;;
    esac
done 2>/dev/null <"${NODE_CONFIG:-/dev/null}" || true
heap=$(( (${mb:-128} - 56) * 2 / 3 ))
if [ "$heap" -lt 16 ]; then heap=16; fi
if [ "$heap" -gt 96 ]; then heap=96; fi
most=$heap
if [ "$heap" -gt 64 ]; then heap=64; fi
export MALLOC_ARENA_MAX=2
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=0.4 -Xshare:auto \
    -XX:SharedArchiveFile=target/dewstage.jsa -XX:-UsePerfData -XX:+AlwaysPreTouch \
    -Xms${heap}m -Xmx${most}m -Xmn$((heap * 2 / 5))m -Xss512k \
    -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=20m -XX:MaxDirectMemorySize=16m \
    -jar target/dewstage.jar "${1:-serve}"

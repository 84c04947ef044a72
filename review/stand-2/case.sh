# Plays one case; sourced by its run.sh, which sets "play" to a class of review/stand-2.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not be played. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -f target/dewstage.jar ] || [ ! -f "target/review-2/$play.class" ]; then
    echo "build first: sh deploy/build.sh, then sh review/build-2.sh" >&2
    exit 2
fi
# In the background, so that a signal to this script ends the stand-ins too, and they end the proxies.
java -Xmx128m -cp target/review-2 "$play" "$folder/record.txt" &
stage=$!
trap 'kill "$stage" 2>/dev/null' HUP INT TERM
wait "$stage"
status=$?
while kill -0 "$stage" 2>/dev/null; do # a signal ended the wait
    wait "$stage"
    status=2
done
case $status in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac

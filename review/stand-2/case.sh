# Plays one case; sourced by its run.sh, which sets "play" to a class of review/stand-2.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not be played. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -f target/dewstage.jar ] || [ ! -f "target/review-2/$play.class" ]; then
    echo "build first: sh deploy/build.sh, then sh review/build-2.sh" >&2
    exit 2
fi
java -Xmx128m -cp target/review-2 "$play" "$folder/record.txt"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac

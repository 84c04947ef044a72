package dewstage.scale;

/** The measured costs of the module. */
enum Measure {
    SERVED("request and answer"),
    SOME_FAIL("request, 1 in 25 fails"),
    SOME_EJECTED("request, 1 in 10 servers ejected"),
    COLD("request, own zone cold"),
    TIMER("timer"),
    CHANGE("one change"),
    CHANGE_AND_NEXT("one change and the next request"),
    ZONE_ENTRY("entry of a zone in one change"),
    LIST_AGAIN("whole list heard again");

    final String title;

    Measure(String title) {
        this.title = title;
    }
}

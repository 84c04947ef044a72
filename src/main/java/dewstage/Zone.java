package dewstage;

/** What a proxy knows of one zone. State only, no decision. */
final class Zone {
    final int id;
    /** Its ready servers. */
    final RankedServers ready = new RankedServers();
    /** Own sends to one of its servers, as remembered. */
    double rate;
    /** The share that a further request would usually get at a server, and when a report last told of it. */
    double usual = 1;
    long usualAt;
    /** The others' requests at a server that nothing recent is known of. */
    double unheard;
    /** The time of its quickest answer, when the last came, and how much of it is the way there. */
    double quickest = Double.MAX_VALUE, way;
    long quickestAt;

    Zone(int id, long now) {
        this.id = id;
        this.usualAt = now;
    }
}

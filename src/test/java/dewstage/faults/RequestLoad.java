package dewstage.faults;

/**
 * The sizes and times of what misbehaving clients write.
 *
 * @param clients number of connections at a time
 * @param bodyBytes size of a body
 * @param headBytes size of the fields of a head
 * @param pieces number of pieces in which a slow client writes a request
 * @param pauseMs mean time between two pieces
 * @param window number of requests without an answer in a flood
 * @param waitsForAnswers whether a flood stops while that many have no answer
 */
record RequestLoad(
        int clients, int bodyBytes, int headBytes, int pieces, int pauseMs, int window, boolean waitsForAnswers) {}

package dewstage.proxy;

/** Thrown when a member list exceeds the memory available for it. */
final class TooLargeException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    TooLargeException(String message) {
        super(message);
    }
}

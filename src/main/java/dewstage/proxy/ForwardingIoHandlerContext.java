package dewstage.proxy;

import io.netty.channel.IoHandlerContext;

/** A context that forwards all calls to another one; subclasses override what they change. */
abstract class ForwardingIoHandlerContext implements IoHandlerContext {
    private final IoHandlerContext delegate;

    ForwardingIoHandlerContext(IoHandlerContext delegate) {
        this.delegate = delegate;
    }

    final IoHandlerContext delegate() {
        return delegate;
    }

    @Override
    public boolean canBlock() {
        return delegate.canBlock();
    }

    @Override
    public long delayNanos(long now) {
        return delegate.delayNanos(now);
    }

    @Override
    public final long deadlineNanos() {
        return delegate.deadlineNanos();
    }

    @Override
    public final void reportActiveIoTime(long activeNanos) {
        delegate.reportActiveIoTime(activeNanos);
    }

    @Override
    public final boolean shouldReportActiveIoTime() {
        return delegate.shouldReportActiveIoTime();
    }
}

package dewstage.proxy;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoRegistration;

/** An I/O handler that forwards all calls but {@code run} to another one. */
abstract class ForwardingIoHandler implements IoHandler {
    private final IoHandler delegate;

    ForwardingIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    final IoHandler delegate() {
        return delegate;
    }

    @Override
    public final void initialize() {
        delegate.initialize();
    }

    @Override
    public final void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public final void destroy() {
        delegate.destroy();
    }

    @Override
    public final IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public final void wakeup() {
        delegate.wakeup();
    }

    @Override
    public final boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }
}

package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against timers that ran before data was read which had arrived when they became due. */
@Timeout(60)
class SelectBeforeTimersIoHandlerTest {
    private static final String READ = "read";
    private static final String TIMER = "timer";
    private static final long TIMER_MS = 400;

    /** Blocks beyond the next timer and then reports no socket, as an interrupted selector does. */
    private static final class InterruptedHandler extends ForwardingIoHandler {
        private InterruptedHandler(IoHandler delegate) {
            super(delegate);
        }

        static IoHandlerFactory wrap(IoHandlerFactory factory) {
            return executor -> new InterruptedHandler(factory.newHandler(executor));
        }

        @Override
        public int run(IoHandlerContext context) {
            if (!context.canBlock() || context.delayNanos(System.nanoTime()) > TIMER_MS * 1_000_000) {
                return delegate().run(context);
            }
            while (context.delayNanos(System.nanoTime()) > 0) {
                Thread.onSpinWait();
            }
            return 0;
        }
    }

    /** Records when it reads. */
    private static final class Reader extends ChannelInboundHandlerAdapter {
        private final Runnable onRead;

        private Reader(Runnable onRead) {
            this.onRead = onRead;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            onRead.run();
        }
    }

    private static Channel connect(EventLoop loop, int port, Runnable onRead) {
        return new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(new Reader(onRead))
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).syncUninterruptibly()
                .channel();
    }

    @Test
    void dataIsReadBeforeATimerRunsIfTheSelectorWasInterrupted() throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
                SelectBeforeTimersIoHandler.wrap(InterruptedHandler.wrap(NioIoHandler.newFactory())));
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            connect(group.next(), server.getLocalPort(), () -> events.add(READ));
            try (Socket peer = server.accept()) {
                group.next().schedule(() -> events.add(TIMER), TIMER_MS, TimeUnit.MILLISECONDS);
                peer.getOutputStream().write(1);
                assertEquals(READ, events.poll(20, TimeUnit.SECONDS));
                assertEquals(TIMER, events.poll(20, TimeUnit.SECONDS));
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    @Test
    void dataThatArrivesWhileTheProcessIsStoppedIsReadBeforeATimerRuns() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Process process = new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                    System.getProperty("java.class.path"), ReadAndTimer.class.getName(),
                    String.valueOf(server.getLocalPort())).redirectErrorStream(true).start();
            try (Socket peer = server.accept(); BufferedReader output = process.inputReader()) {
                assertEquals("waiting", output.readLine());
                Thread.sleep(TIMER_MS / 4);
                signal(process, "STOP");
                peer.getOutputStream().write(1);
                Thread.sleep(TIMER_MS);
                signal(process, "CONT");
                assertEquals(List.of(READ, TIMER), List.of(output.readLine(), output.readLine()));
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
    }

    private static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    /** A program with the event loop of a proxy that prints what it does first: read, or run a timer. */
    static final class ReadAndTimer {
        private ReadAndTimer() { }

        public static void main(String[] args) {
            EventLoop loop = Proxy.newLoop();
            connect(loop, Integer.parseInt(args[0]), () -> System.out.println(READ));
            loop.schedule(() -> System.out.println(TIMER), TIMER_MS, TimeUnit.MILLISECONDS);
            System.out.println("waiting");
        }
    }
}

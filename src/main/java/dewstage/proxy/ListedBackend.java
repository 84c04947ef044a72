package dewstage.proxy;

import dewstage.Balancer.Member;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** A backend as listed, with its address. The socket address is created on request to save memory. */
class ListedBackend {
    private final Member member;
    /** An IPv4 address; 0 if {@code ipv6} is set. */
    private final int ipv4;
    private final byte[] ipv6;
    /** -1 if the backend has no address. */
    private final int port;

    ListedBackend(Member member, InetSocketAddress address) {
        this.member = member;
        byte[] bytes = address == null ? new byte[4] : address.getAddress().getAddress();
        this.ipv4 = bytes.length == 4 ? ByteBuffer.wrap(bytes).getInt() : 0;
        this.ipv6 = bytes.length == 4 ? null : bytes;
        this.port = address == null ? -1 : address.getPort();
    }

    final Member member() {
        return member;
    }

    /** Returns null if there is no address, which is allowed only for a backend that is gone. */
    final InetSocketAddress address() {
        if (port < 0) {
            return null;
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(
                    ipv6 == null ? ByteBuffer.allocate(4).putInt(ipv4).array() : ipv6), port);
        } catch (UnknownHostException e) {
            throw new AssertionError("IP address of invalid length", e);
        }
    }

    final boolean isSameAs(ListedBackend other) {
        return ipv4 == other.ipv4 && port == other.port && Arrays.equals(ipv6, other.ipv6)
                && member.equals(other.member);
    }
}

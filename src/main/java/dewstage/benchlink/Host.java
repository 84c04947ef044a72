package dewstage.benchlink;

import dewstage.Balancer;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.Outcome;
import dewstage.Balancer.Report;
import dewstage.Balancer.Request;
import dewstage.Balancer.State;
import dewstage.Balancer.Status;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs many instances of the module behind the binary protocol of the simulator. It only translates between events,
 * module calls and actions.
 */
public final class Host {
    private static final int ENTRY_BYTES = 22;
    private static final Status[] STATUSES = Status.values();
    private static final State[] STATES = State.values();
    private static final ListKind[] LIST_KINDS = ListKind.values();

    /** A running instance; its report columns are indexed like {@link #REPORT_COLUMN_NAMES}, -1 if absent. */
    private record Instance(Balancer balancer, int[] reportColumns, int profileCount) {}

    private static final List<String> REPORT_COLUMN_NAMES =
            List.of("outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s");

    private final Balancer.Factory factory;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<Member>> memberLists = new HashMap<>();
    private final Reply reply = new Reply();

    public Host(Balancer.Factory factory) {
        this.factory = factory;
    }

    /** Processes batches until the input ends, with one reply to each. */
    public void serve(InputStream input, OutputStream output) throws IOException {
        InputStream in = new BufferedInputStream(input, 1 << 16);
        for (Batch batch = Batch.read(in); batch != null; batch = Batch.read(in)) {
            for (int i = 0; i < batch.recordCount; i++) {
                dispatch(batch, i * Batch.RECORD_BYTES);
            }
            reply.writeTo(output);
        }
    }

    private void dispatch(Batch batch, int offset) {
        int eventCode = batch.u8(offset);
        if (eventCode < 1 || eventCode > 11) {
            throw new WireException("unknown event code " + eventCode);
        }
        if (eventCode == 11) {
            memberLists.put(batch.u16(offset + 1), members(batch, offset + 3));
            return;
        }
        int instanceId = batch.i32(offset + 1);
        if (eventCode == 10) {
            requireRunning(instances.remove(instanceId), eventCode, instanceId);
            return;
        }
        ConfigParser.Parsed start = eventCode == 1
                ? ConfigParser.parse(new String(batch.bytes(offset + 13), StandardCharsets.UTF_8))
                : null;
        try {
            if (start != null) {
                int[] reportColumns = reportColumns(start.reportColumns());
                instances.put(
                        instanceId,
                        new Instance(
                                factory.create(
                                        start.settings(),
                                        batch.i64(offset + 5),
                                        batch.clockNs,
                                        reply.forInstance(instanceId)),
                                reportColumns,
                                start.settings().profiles().size()));
                return;
            }
            deliver(batch, offset, eventCode, requireRunning(instances.get(instanceId), eventCode, instanceId));
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.exception(instanceId, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private static Instance requireRunning(Instance instance, int eventCode, int instanceId) {
        if (instance == null) {
            throw new WireException("event " + eventCode + " for instance " + instanceId + ", which is not running");
        }
        return instance;
    }

    private void deliver(Batch batch, int offset, int eventCode, Instance instance) {
        Balancer module = instance.balancer();
        long now = batch.clockNs;
        switch (eventCode) {
            case 2 -> {
                ListKind kind = enumConstant(LIST_KINDS, batch.u8(offset + 5), "list kind");
                List<Member> members = kind == ListKind.FAILED ? List.of() : memberLists.get(batch.u16(offset + 14));
                if (members == null) {
                    throw new WireException("list number " + batch.u16(offset + 14) + " was not defined");
                }
                module.onMembers(now, kind, batch.i64(offset + 6), members);
            }
            case 3 -> {
                int flags = batch.u16(offset + 36);
                if (batch.u8(offset + 9) >= instance.profileCount()) {
                    throw new WireException("request has class " + batch.u8(offset + 9) + ", number of classes is "
                            + instance.profileCount());
                }
                module.onRequest(
                        now,
                        new Request(
                                batch.i32(offset + 5),
                                batch.u8(offset + 9),
                                batch.u16(offset + 10),
                                batch.i64(offset + 12),
                                batch.i64(offset + 20),
                                (flags & 1) != 0 ? batch.i64(offset + 28) : 0,
                                (flags & 2) != 0));
            }
            case 4 -> module.onStreamBegun(
                    now, batch.i32(offset + 5), batch.u16(offset + 9), batch.i32(offset + 11), batch.i64(offset + 15));
            case 5 -> module.onOutcome(
                    now,
                    new Outcome(
                            batch.i32(offset + 5),
                            batch.u16(offset + 9),
                            batch.i32(offset + 11),
                            enumConstant(STATUSES, batch.u16(offset + 15), "outcome"),
                            batch.i64(offset + 17),
                            batch.u8(offset + 25) != 0,
                            report(batch, offset + 26, instance.reportColumns())));
            case 6 -> module.onWithdrawn(now, batch.i32(offset + 5));
            case 7 -> module.onTimer(now, batch.i64(offset + 5));
            case 8 -> module.onProbe(
                    now,
                    batch.i32(offset + 5),
                    enumConstant(STATUSES, batch.u16(offset + 9), "outcome"),
                    batch.i64(offset + 11),
                    report(batch, offset + 19, instance.reportColumns()));
            case 9 -> module.onPeer(now, batch.i32(offset + 5), batch.bytes(offset + 9));
            default -> throw new WireException("unknown event code " + eventCode);
        }
    }

    private static List<Member> members(Batch batch, int offset) {
        int firstEntry = batch.tail(offset, ENTRY_BYTES);
        int count = batch.i32(offset + 4);
        List<Member> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int entryOffset = firstEntry + i * ENTRY_BYTES;
            entries.add(new Member(
                    batch.i32(entryOffset),
                    batch.u16(entryOffset + 4),
                    enumConstant(STATES, batch.u8(entryOffset + 6), "server state"),
                    batch.i64(entryOffset + 7),
                    batch.u16(entryOffset + 15),
                    batch.u8(entryOffset + 17),
                    batch.f32(entryOffset + 18)));
        }
        return List.copyOf(entries);
    }

    /** Returns the column of each component of {@link Report}, or -1 if no column holds it. */
    private static int[] reportColumns(String[] names) {
        int[] reportColumns = new int[REPORT_COLUMN_NAMES.size()];
        for (int i = 0; i < reportColumns.length; i++) {
            reportColumns[i] = List.of(names).indexOf(REPORT_COLUMN_NAMES.get(i));
        }
        return reportColumns;
    }

    private static Report report(Batch batch, int offset, int[] reportColumns) {
        int valueCount = batch.u8(offset);
        if (valueCount > 4) {
            throw new WireException("load report has " + valueCount + " values, maximum is 4");
        }
        return valueCount == 0
                ? null
                : new Report(
                        value(batch, offset, valueCount, reportColumns[0]),
                        value(batch, offset, valueCount, reportColumns[1]),
                        value(batch, offset, valueCount, reportColumns[2]),
                        value(batch, offset, valueCount, reportColumns[3]),
                        value(batch, offset, valueCount, reportColumns[4]),
                        value(batch, offset, valueCount, reportColumns[5]));
    }

    private static double value(Batch batch, int offset, int valueCount, int column) {
        return column < 0 || column >= valueCount ? Double.NaN : batch.f32(offset + 1 + 4 * column);
    }

    private static <E> E enumConstant(E[] values, int ordinal, String description) {
        if (ordinal >= values.length) {
            throw new WireException("unknown " + description + " " + ordinal);
        }
        return values[ordinal];
    }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * The operator. A call goes to one control instance, and after a failure, a 5xx or a second without a response to another
 * one, until it is acknowledged.
 */
final class Operator {
    private static final int PATIENCE_MS = 1_000;
    private final Fleet fleet;
    private final Record record;

    Operator(Fleet fleet, Record record) {
        this.fleet = fleet;
        this.record = record;
    }

    /** Makes one attempt; returns whether it was acknowledged. */
    boolean tryOnce(Fleet.Machine control, String method, String path, String body) {
        Http.Message answer = call(control, method, path, body);
        return answer != null && answer.status() / 100 == 2;
    }

    /** Makes one attempt; returns the answer, or null if none came. */
    Http.Message call(Fleet.Machine control, String method, String path, String body) {
        long sentMs = Record.nowMs();
        try {
            Http.Message answer = Http.call(control.address(), method, path, body, Map.of(), PATIENCE_MS);
            record.event("operator " + method + " " + path + " at " + control.ip + " sent " + sentMs + " -> " + answer.status());
            return answer;
        } catch (IOException error) {
            record.event("operator " + method + " " + path + " at " + control.ip + " sent " + sentMs + " -> none (" + error.getMessage() + ")");
            return null;
        }
    }

    /** Calls [first], then the others in turn with increasing pauses, until one acknowledges or the time is over. */
    boolean order(Fleet.Machine first, String method, String path, String body, long limitMs) throws InterruptedException {
        List<Fleet.Machine> others = new ArrayList<>(fleet.controls);
        others.remove(first);
        Collections.shuffle(others);
        others.add(0, first);
        long untilMs = Record.nowMs() + limitMs;
        long pauseMs = 100;
        for (int turn = 0; Record.nowMs() < untilMs; turn++) {
            if (tryOnce(others.get(turn % others.size()), method, path, body)) return true;
            Thread.sleep(pauseMs);
            pauseMs = Math.min(2 * pauseMs, 1_000);
        }
        return false;
    }
}

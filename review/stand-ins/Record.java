import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes the events of a case to a file, each with the milliseconds since the start of the case. */
final class Record implements AutoCloseable {
    private static final long START_NS = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) throws IOException {
        file = new PrintWriter(path.toFile(), "UTF-8");
    }

    static long nowMs() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    synchronized void event(String text) {
        file.printf("%7d %s%n", nowMs(), text);
        file.flush();
    }

    /** Writes the line and prints it as well. */
    void say(String text) {
        event(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}

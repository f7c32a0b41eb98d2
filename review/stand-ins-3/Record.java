import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt in the folder of a case, with the milliseconds since its start. */
final class Record implements AutoCloseable {
    private final long startedMs = System.currentTimeMillis();
    private final PrintWriter file;

    Record(Path folder) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    /** Writes a line to the file and to standard output. */
    void line(String text) {
        System.out.println(detail(text));
    }

    /** Writes a line to the file only. */
    synchronized String detail(String text) {
        String line = String.format("%7d %s", System.currentTimeMillis() - startedMs, text);
        file.println(line);
        file.flush();
        return line;
    }

    @Override
    public void close() {
        file.close();
    }
}

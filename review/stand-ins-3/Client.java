import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A connection of a client to an entry instance. */
final class Client implements AutoCloseable {
    record Answer(int status, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    final Socket socket = new Socket();
    private final InputStream in;

    Client(String address, int timeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
        socket.setSoTimeout(timeoutMs);
        in = new BufferedInputStream(socket.getInputStream(), 65_536);
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    static String head(String method, String path, String id, long deadlineMs, String fields, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Samphirechute-Request-Id: " + id
                + "\r\nX-Samphirechute-Deadline-Ms: " + deadlineMs + "\r\nX-Samphirechute-Credential: key-1\r\n" + fields
                + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    /** Reads an answer; throws an exception if it ends early or does not come in time. */
    Answer read() throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!endsWithBlankLine(head)) {
            int next = in.read();
            if (next < 0) throw new EOFException("the connection ended in the head of an answer");
            head.write(next);
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        int status = Integer.parseInt(lines[0].split(" ")[1]);
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
        }
        byte[] body;
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            body = readChunks();
        } else {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            body = in.readNBytes(length);
            if (body.length < length) throw new EOFException("the connection ended in a body");
        }
        return new Answer(status, headers, body);
    }

    private byte[] readChunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(readLine().trim(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) throw new EOFException("the connection ended in a chunk");
            body.write(chunk);
            readLine();
            if (length == 0) return body.toByteArray();
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) throw new EOFException("the connection ended in a line");
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
    }

    private static boolean endsWithBlankLine(ByteArrayOutputStream head) {
        byte[] bytes = head.toByteArray();
        int n = bytes.length;
        return n >= 4 && bytes[n - 4] == '\r' && bytes[n - 3] == '\n' && bytes[n - 2] == '\r' && bytes[n - 1] == '\n';
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException closed) {
            // It is closed.
        }
    }
}

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

/** Messages of HTTP/1.1 over plain sockets, for stand-ins that have to control each byte and connection. */
final class Http {
    private static final int CONNECT_MS = 1_000;

    /** The start line, the fields with names in lower case, and the whole body of a message. */
    record Message(String start, Map<String, String> fields, String body) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private Http() {}

    /** Sends one request on a new connection and reads the whole answer; fails if nothing comes for the timeout. */
    static Message call(String address, String method, String path, String body, Map<String, String> fields, int timeoutMs)
        throws IOException {
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), CONNECT_MS);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!fields.containsKey("Host")) head.append("Host: ").append(address).append("\r\n");
            fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            if (content.length > 0) head.append("Content-Type: application/json\r\n");
            head.append("Content-Length: ").append(content.length).append("\r\n\r\n");
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.toString().getBytes(StandardCharsets.UTF_8));
            whole.write(content);
            socket.getOutputStream().write(whole.toByteArray());
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) throw new EOFException("closed without an answer");
            return answer;
        }
    }

    /** Reads a message with a length or in chunks; null when the connection ends before it. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Map<String, String> fields = new LinkedHashMap<>();
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            fields.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException("broken off within chunks");
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                copy(in, body, length);
                line(in);
                if (length == 0) break;
            }
        } else {
            copy(in, body, Integer.parseInt(fields.getOrDefault("content-length", "0")));
        }
        return new Message(start, fields, body.toString(StandardCharsets.UTF_8));
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("broken off within the body");
        out.write(bytes);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) return null;
        while (next >= 0 && next != '\n') {
            if (next != '\r') text.write(next);
            next = in.read();
        }
        return text.toString(StandardCharsets.UTF_8);
    }
}

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 as far as the stand-ins need it. */
final class Http {
    private Http() {}

    /** An answer; the status is 0 if none came, and it is not whole if the connection ended within it. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean isWhole;
        String problem = "";

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        @Override
        public String toString() {
            String shown = text().length() > 80 ? text().substring(0, 80) + "..." : text();
            return status == 0 ? "no answer (" + problem + ")" : status + (isWhole ? "" : " (broken off)") + " " + shown.strip();
        }
    }

    /** The head and body of a request. */
    static final class Request {
        String method;
        String uri;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Makes one call on a connection of its own. */
    static Answer call(
        InetSocketAddress to, String method, String path, Map<String, String> headers, String body, int timeoutMs) {
        Answer answer = new Answer();
        long untilNs = System.nanoTime() + timeoutMs * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(to, Math.min(1_000, timeoutMs));
            socket.setTcpNoDelay(true);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) head.append("Host: ").append(to.getHostString()).append("\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (content.length > 0 || !method.equals("GET")) head.append("Content-Length: ").append(content.length).append("\r\n");
            socket.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(content);
            socket.getOutputStream().flush();
            read(socket, socket.getInputStream(), answer, untilNs);
        } catch (IOException problem) {
            answer.problem = problem.getClass().getSimpleName() + ": " + problem.getMessage();
        }
        return answer;
    }

    private static void read(Socket socket, InputStream in, Answer answer, long untilNs) throws IOException {
        String status = line(socket, in, untilNs);
        if (status == null) throw new IOException("the connection was closed");
        int code = Integer.parseInt(status.split(" ")[1]);
        for (String line = line(socket, in, untilNs); line != null && !line.isEmpty(); line = line(socket, in, untilNs)) {
            int colon = line.indexOf(':');
            answer.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        answer.status = code;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (answer.headers.getOrDefault("Transfer-Encoding", "").contains("chunked")) {
                while (true) {
                    String size = line(socket, in, untilNs);
                    if (size == null) throw new IOException("the connection was closed");
                    int length = Integer.parseInt(size.strip(), 16);
                    copy(socket, in, length, body, untilNs);
                    line(socket, in, untilNs);
                    if (length == 0) break;
                }
            } else {
                copy(socket, in, Integer.parseInt(answer.headers.getOrDefault("Content-Length", "0")), body, untilNs);
            }
            answer.isWhole = true;
        } catch (IOException | NumberFormatException problem) {
            answer.problem = String.valueOf(problem.getMessage());
        }
        answer.body = body.toByteArray();
    }

    private static void copy(Socket socket, InputStream in, int length, ByteArrayOutputStream to, long untilNs)
        throws IOException {
        for (int i = 0; i < length; i++) {
            int next = next(socket, in, untilNs);
            if (next < 0) throw new IOException("the connection was closed");
            to.write(next);
        }
    }

    private static int next(Socket socket, InputStream in, long untilNs) throws IOException {
        long leftMs = (untilNs - System.nanoTime()) / 1_000_000;
        if (leftMs <= 0) throw new IOException("timed out");
        socket.setSoTimeout((int) leftMs);
        return in.read();
    }

    private static String line(Socket socket, InputStream in, long untilNs) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = next(socket, in, untilNs); next != '\n'; next = next(socket, in, untilNs)) {
            if (next < 0) return null;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a request with a length or without a body; null at the end of the connection. */
    static Request readRequest(InputStream in) throws IOException {
        String first = requestLine(in);
        if (first == null) return null;
        Request request = new Request();
        String[] words = first.split(" ");
        request.method = words[0];
        request.uri = words[1];
        for (String line = requestLine(in); line != null && !line.isEmpty(); line = requestLine(in)) {
            int colon = line.indexOf(':');
            request.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        String encoding = request.header("Transfer-Encoding").toLowerCase(Locale.ROOT);
        if (encoding.contains("chunked")) throw new IOException("chunks are not expected here");
        int length = Integer.parseInt(request.headers.getOrDefault("Content-Length", "0"));
        request.body = in.readNBytes(length);
        return request.body.length < length ? null : request;
    }

    private static String requestLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) return null;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}

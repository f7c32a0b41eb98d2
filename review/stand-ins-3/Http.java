import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A call with exact bytes, on a connection of its own. */
final class Http {
    record Answer(int status, byte[] body) {}

    private Http() {}

    static Answer call(String address, String method, String path, byte[] body) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
            socket.setSoTimeout(3_000);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n"
                    + "Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            byte[] all = socket.getInputStream().readAllBytes();
            String text = new String(all, StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            return new Answer(Integer.parseInt(text.split(" ")[1]), Arrays.copyOfRange(all, end + 4, all.length));
        }
    }
}

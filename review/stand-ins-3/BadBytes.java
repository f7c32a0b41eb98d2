import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Case 12. The operator sends a configuration that cannot be read in full: the names of two new tenants hold bytes that are no
 * UTF-8. Without the disruption the names are the same ones in UTF-8. Exits with 1 if the invalid one is acknowledged, read
 * back or obeyed.
 */
final class BadBytes {
    /** Two Bulgarian names in Windows-1251, as an old tool would write them; these bytes are no UTF-8. */
    private static final byte[][] CP1251 = {
        {(byte) 0xCA, (byte) 0xE0, (byte) 0xF4, (byte) 0xE5}, {(byte) 0xC1, (byte) 0xE8, (byte) 0xF0, (byte) 0xE0}
    };
    private static final String[] NAMES = {"\u041a\u0430\u0444\u0435", "\u0411\u0438\u0440\u0430"};

    private BadBytes() {}

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[0])); Fleet fleet = new Fleet(3, 3)) {
            exit = run(record, fleet, isTrouble) ? 1 : 0;
            record.line(exit == 1 ? "CONFIG is broken" : "CONFIG held");
        } catch (Exception | Error error) {
            System.err.println("the case could not run: " + error);
        }
        System.exit(exit);
    }

    private static boolean run(Record record, Fleet fleet, boolean isTrouble) throws Exception {
        List<String> tenantsSeen = new CopyOnWriteArrayList<>();
        fleet.startAll();
        fleet.configure(Configs.of(1, Configs.LIMITS, Configs.TENANT), 20_000);
        record.line("configuration 1 is acknowledged");
        for (int i = 0; i < 3; i++) {
            new Replica(fleet, "desk-" + i, fleet.net + "." + (200 + i), "desk", Fleet.ZONES[i], 6, false, (request, out) -> {
                tenantsSeen.add(request.header("X-Samphirechute-Tenant"));
                out.answer(request, 200, "done");
                return true;
            });
        }
        fleet.awaitReady(20_000);
        Thread.sleep(3_000);
        int before = send(fleet, 0, "key-1", "a0");
        record.line("a request with key-1 is answered " + before);
        if (before != 200) throw new IllegalStateException("requests are not served");

        String tenants = Configs.TENANT
                + ",{\"name\":\"NAME\",\"api_keys\":[\"key-2\"],\"priority\":1}"
                + ",{\"name\":\"NAME\",\"api_keys\":[\"key-3\"],\"priority\":1}";
        String[] parts = Configs.of(2, Configs.LIMITS, tenants).split("NAME");
        byte[][] names = new byte[2][];
        for (int i = 0; i < 2; i++) names[i] = isTrouble ? CP1251[i] : NAMES[i].getBytes(StandardCharsets.UTF_8);
        byte[] sent = join(utf8(parts[0]), names[0], utf8(parts[1]), names[1], utf8(parts[2]));
        Http.Answer put = Http.call(fleet.controls().get(0).control(), "PUT", "/v1/config", sent);
        record.line("configuration 2, " + (isTrouble ? "whose bytes are no UTF-8" : "valid") + ", is answered " + put.status());
        // config_apply_ms is 2,000.
        Thread.sleep(2_500);
        boolean isRead = false;
        boolean isChanged = false;
        for (Fleet.Node node : fleet.controls()) {
            Http.Answer read = Http.call(node.control(), "GET", "/v1/config", new byte[0]);
            String text = new String(read.body(), StandardCharsets.UTF_8);
            boolean isSecond = text.contains("\"version\":2,");
            isRead |= isSecond;
            isChanged |= isSecond && !Arrays.equals(read.body(), sent);
            record.line("read at " + node.role + "-" + node.number + ": status " + read.status() + ", version "
                    + (isSecond ? "2, " + (Arrays.equals(read.body(), sent) ? "as it was sent" : "other bytes than were sent, "
                            + read.body().length + " instead of " + sent.length) : "1"));
        }
        boolean isObeyed = false;
        for (String key : new String[] {"key-2", "key-3"}) {
            for (int i = 0; i < 3; i++) {
                tenantsSeen.clear();
                int status = send(fleet, i, key, key + "-" + i);
                record.line("a request at entry-" + (i + 1) + " with " + key + ", which only configuration 2 has, is answered "
                        + status + "; its replica was told the tenant " + tenantsSeen.stream().map(BadBytes::hex).toList());
                isObeyed |= status == 200;
            }
        }
        boolean isAcknowledged = put.status() / 100 == 2;
        if (!isTrouble) {
            if (!isAcknowledged || !isObeyed) throw new IllegalStateException("the valid configuration is not in force");
            return isChanged;
        }
        return isAcknowledged || isRead || isObeyed;
    }

    private static String hex(String text) {
        boolean isAscii = text.chars().allMatch(c -> c < 128);
        return isAscii ? text : "bytes " + java.util.HexFormat.ofDelimiter(" ").formatHex(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static int send(Fleet fleet, int entry, String key, String id) throws Exception {
        try (Client client = new Client(fleet.entries().get(entry).front(), 4_000)) {
            client.write(Client.head("GET", "/look/a", id, 2_000, "", -1).replace("key-1", key));
            return client.read().status();
        }
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] join(byte[]... parts) {
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        for (byte[] part : parts) all.writeBytes(part);
        return all.toByteArray();
    }
}

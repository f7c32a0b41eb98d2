import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts the roles of the deploy file as separate processes on loopback addresses, each "machine" with an address of its
 * own, and writes what happens to the record of the case. It plays the platform: settings files, starts, kills, disks.
 */
final class Kit implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final int CONTROL = 100;
    private static final int FRONT = 101;
    private static final int READY = 102;

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final PrintWriter record;
    private final long startedNs = System.nanoTime();
    private final Map<String, Process> processes = new TreeMap<>();
    private final Map<String, List<String>> commands = new LinkedHashMap<>();
    private boolean isClosed;
    private final int net;
    private final int base;
    private int controls;
    private final int zones;
    private final int entries;
    private List<Integer> seeds = new ArrayList<>();
    private final int tolerance;

    Kit(Path recordFile, int controls, int entries, int tolerance) throws IOException {
        this.controls = controls;
        this.zones = controls == 5 ? 5 : 3;
        this.entries = entries;
        for (int i = 0; i < Math.min(3, controls); i++) seeds.add(i);
        this.tolerance = tolerance;
        folder = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (String role : List.of("entry", "control")) commands.put(role, command(role));
        Random random = new Random();
        int chosenNet = 0;
        int chosenBase = 0;
        for (int attempt = 0; attempt < 50 && chosenBase == 0; attempt++) {
            chosenNet = 20 + random.nextInt(200);
            int candidate = 20_000 + 200 * random.nextInt(60);
            if (isFree(chosenNet, candidate)) chosenBase = candidate;
        }
        if (chosenBase == 0) throw new IOException("no free ports");
        net = chosenNet;
        base = chosenBase;
    }

    static boolean isTroubled() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Runs a case and ends the process with its result. */
    static void run(Case body) {
        endWithScript();
        int result = NOT_RUN;
        try {
            result = body.run();
        } catch (Throwable problem) {
            System.err.println("the case could not run: " + problem);
        }
        System.exit(result);
    }

    /** Ends this process, and with it all that it has started, when the script that runs it has been killed. */
    private static void endWithScript() {
        String script = System.getenv("SCRIPT_PID");
        if (script == null) return;
        Replica.daemon(() -> {
            while (ProcessHandle.of(Long.parseLong(script)).map(ProcessHandle::isAlive).orElse(false)) Replica.sleep(500);
            System.exit(NOT_RUN);
        });
    }

    interface Case {
        int run() throws Exception;
    }

    double seconds() {
        return (System.nanoTime() - startedNs) / 1e9;
    }

    synchronized void note(String line) {
        record.printf("%8.3f s  %s%n", seconds(), line);
    }

    int verdict(boolean isBroken, String reason) {
        note((isBroken ? "BROKEN: " : "HELD: ") + reason);
        System.out.println((isBroken ? "broken: " : "held: ") + reason);
        return isBroken ? BROKEN : HELD;
    }

    String controlIp(int index) {
        return "127." + net + ".0." + (index + 1);
    }

    String entryIp(int index) {
        return "127." + net + ".1." + (index + 1);
    }

    /** An address for a stand-in of a replica or a proxy. */
    String otherIp(int index) {
        return "127." + net + ".2." + (index + 1);
    }

    InetSocketAddress control(int index) {
        return new InetSocketAddress(controlIp(index), base + CONTROL);
    }

    InetSocketAddress front(int index) {
        return new InetSocketAddress(entryIp(index), base + FRONT);
    }

    String zone(int index) {
        return "zone-" + "abcde".charAt(index % zoneCount());
    }

    private int zoneCount() {
        return zones;
    }

    int controls() {
        return controls;
    }

    int port(int offset) {
        return base + 110 + offset;
    }

    void startAll() throws IOException {
        for (int i = 0; i < controls; i++) startControl(i, true);
        for (int i = 0; i < entries; i++) startEntry(i, true);
    }

    void startControl(int index, boolean isFirstStart) throws IOException {
        start("control", index, controlIp(index), isFirstStart);
    }

    void startEntry(int index, boolean isFirstStart) throws IOException {
        start("entry", index, entryIp(index), isFirstStart);
    }

    /** Adds a core machine at a new address, with an empty disk. */
    void addControl() throws IOException {
        startControl(controls, false);
        controls++;
    }

    /** Settings that are written from now on name these seeds. */
    void useSeeds(List<Integer> next) {
        seeds = next;
    }

    /** Ends a process as a loss of power does for its callers: at once, without a signal that it could handle. */
    void killControl(int index) throws Exception {
        kill("control-" + index);
    }

    void killEntry(int index) throws Exception {
        kill("entry-" + index);
    }

    boolean isAlive(String name) {
        Process process = processes.get(name);
        return process != null && process.isAlive();
    }

    void loseDisk(int control) throws IOException {
        deleteTree(disk(control));
        note("control-" + control + " has lost its disk");
    }

    /** Calls a control instance; the status is 0 if there is no answer in time. */
    Http.Answer operate(int control, String method, String path, String body) {
        return Http.call(control(control), method, path, Map.of("Content-Type", "application/json"), body, 1_200);
    }

    /** Sends a configuration as the operator does, again and to other nodes until it is acknowledged. */
    boolean putConfig(String content, double untilS, List<Integer> reachable) throws InterruptedException {
        Http.Answer last = null;
        for (int attempt = 0; seconds() < untilS; attempt++) {
            int control = reachable.get(attempt % reachable.size());
            last = operate(control, "PUT", "/v1/config", content);
            if (last.status == 200) {
                note("configuration acknowledged by control-" + control + " after " + (attempt + 1) + " calls");
                return true;
            }
            if (attempt % 10 == 0) note("PUT /v1/config at control-" + control + " -> " + last);
            Thread.sleep(200);
        }
        note("configuration never acknowledged; last answer: " + last);
        return false;
    }

    List<Integer> allControls() {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < controls; i++) all.add(i);
        return all;
    }

    boolean isReady(int entry) {
        InetSocketAddress address = new InetSocketAddress(entryIp(entry), base + READY);
        return Http.call(address, "GET", "/v1/ready", Map.of(), "", 1_000).status == 200;
    }

    void awaitReady(double untilS) throws Exception {
        for (int i = 0; i < entries; i++) {
            while (!isReady(i)) {
                if (seconds() > untilS) throw new IOException("entry-" + i + " is not ready");
                Thread.sleep(50);
            }
        }
        note("all entry instances are ready");
    }

    @Override
    public synchronized void close() {
        isClosed = true;
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException ignored) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        String kept = System.getenv("KEEP_LOGS");
        if (kept == null) deleteTree(folder);
        else System.err.println("logs in " + folder);
    }

    private void kill(String name) throws Exception {
        Process process = processes.get(name);
        process.destroyForcibly();
        process.waitFor();
        note(name + " killed");
    }

    private Path disk(int control) {
        return folder.resolve("data-" + control);
    }

    private synchronized void start(String role, int index, String ip, boolean isFirstStart) throws IOException {
        if (isClosed) throw new IOException("the run has been cut off");
        String name = role + "-" + index;
        boolean isControl = role.equals("control");
        Path settings = folder.resolve(name + ".json");
        if (isControl) Files.createDirectories(disk(index));
        Files.writeString(settings, settings(role, index, ip, isFirstStart));
        ProcessBuilder builder = new ProcessBuilder(commands.get(role)).directory(root.toFile());
        Map<String, String> variables = builder.environment();
        variables.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        variables.put("SAMPHIRECHUTE_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.put(name, process);
        String pids = System.getenv("PIDS");
        if (pids != null) Files.writeString(Path.of(pids), process.pid() + "\n", StandardOpenOption.APPEND);
        note(name + " started at " + ip + ", bootstrap " + isFirstStart);
    }

    private String settings(String role, int index, String ip, boolean isFirstStart) {
        boolean isControl = role.equals("control");
        StringBuilder list = new StringBuilder();
        for (int i : seeds) {
            list.append(list.isEmpty() ? "" : ",").append('"').append(controlIp(i)).append(':').append(base + CONTROL).append('"');
        }
        String listen = isControl
            ? "\"control\":\"" + ip + ":" + (base + CONTROL) + "\""
            : "\"front\":\"" + ip + ":" + (base + FRONT) + "\",\"ready\":\"" + ip + ":" + (base + READY) + "\"";
        StringBuilder zones = new StringBuilder();
        for (int i = 0; i < zoneCount(); i++) zones.append(i == 0 ? "" : ",").append('"').append(zone(i)).append("\":\"region\"");
        String disk = isControl ? "\"" + disk(index) + "\"" : "null";
        return "{\"node_name\":\"" + role + "-" + index + "\",\"role\":\"" + role + "\",\"machine_class\":\""
            + (isControl ? "core" : "front") + "\",\"serves\":[\"" + (isControl ? "control" : "front") + "\"],\"ip\":\"" + ip
            + "\",\"zone\":\"" + zone(index) + "\",\"region\":\"region\",\"zones\":{" + zones + "},\"listen\":{" + listen + "},\"internal_ports\":[" + base + ","
            + (base + 15) + "],\"seeds\":[" + list + "],\"bootstrap\":" + isFirstStart + ",\"in_tolerance\":" + isControl
            + ",\"data_dir\":" + disk + ",\"discovery\":\"registration\",\"entry\":\"vip\",\"heartbeat_interval_ms\":1200,"
            + "\"fault_tolerance\":{\"machines\":" + tolerance + ",\"zones\":1,\"regions\":0},\"bounds\":{\"seed_lag_s\":3,"
            + "\"reuse_after_s\":2,\"stability_window_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,"
            + "\"grace_s\":8,\"config_apply_ms\":2000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,"
            + "\"budget_slack\":219,\"recover_s\":12},\"config_mode\":\"highest\"}";
    }

    private List<String> command(String role) throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher found = Pattern.compile("\\[roles\\." + role + "]\\s*run = \"([^\"]*)\"").matcher(text);
        if (!found.find()) throw new IOException("no command for the role " + role);
        return List.of(found.group(1).split(" "));
    }

    private boolean isFree(int candidateNet, int candidateBase) {
        for (int third = 0; third < 3; third++) {
            for (int offset : new int[] {0, CONTROL, FRONT, READY, 110, 111, 112, 113, 114, 115}) {
                String ip = "127." + candidateNet + "." + third + ".1";
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getByName(ip), candidateBase + offset));
                } catch (IOException taken) {
                    return false;
                }
            }
        }
        return true;
    }

    private static void deleteTree(Path tree) {
        if (!Files.exists(tree)) return;
        try (var paths = Files.walk(tree)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(path);
        } catch (IOException problem) {
            System.err.println("cannot delete " + tree.getFileName() + ": " + problem.getClass().getSimpleName());
        }
    }
}

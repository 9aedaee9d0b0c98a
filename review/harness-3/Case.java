import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs a case, given its class and its folder, into which it writes the record. Exits with 1 if the rule was broken. */
final class Case {

    private Case() {}

    public static void main(String[] arguments) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int status = 2;
        try (RunRecord record = new RunRecord(Path.of(arguments[1], "record.txt"))) {
            record.add("trouble: %s", trouble);
            try {
                status = run(arguments[0], folder, record, trouble);
            } catch (Exception e) {
                record.add("the case could not run: %s", e);
                e.printStackTrace();
            }
            record.add("exit status %d", status);
        }
        if (System.getenv("KEEP_LOGS") == null) {
            delete(folder);
        } else {
            System.out.println(folder);
        }
        System.exit(status);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    private static int run(String name, Path folder, RunRecord record, boolean trouble)
            throws ReflectiveOperationException {
        return (int) Class.forName(name)
                .getDeclaredMethod("run", Path.class, RunRecord.class, boolean.class)
                .invoke(null, folder, record, trouble);
    }
}

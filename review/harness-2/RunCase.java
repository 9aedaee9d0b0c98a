/**
 * Runs a case. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
 *
 * <p>Arguments: name of the case, folder for settings and logs, record file, disruption.
 */
final class RunCase {

    /** A case. */
    @FunctionalInterface
    interface Case {

        int run(java.nio.file.Path folder, String disruption) throws Exception;
    }

    private RunCase() {}

    public static void main(String[] args) {
        int exit = 2;
        try {
            Record.open(java.nio.file.Path.of(args[2]));
            Case selected = switch (args[0]) {
                case "mixed-versions" -> MixedVersionsCase::run;
                case "leaving" -> LeavingCase::run;
                case "taken-up" -> TakenUpCase::run;
                case "held-answers" -> HeldAnswersCase::run;
                case "roll" -> RollCase::run;
                case "slow-reader" -> SlowReaderCase::run;
                default -> throw new IllegalArgumentException("unknown case " + args[0]);
            };
            exit = selected.run(java.nio.file.Path.of(args[1]), args[3]);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }
}

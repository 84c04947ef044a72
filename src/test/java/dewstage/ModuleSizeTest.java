package dewstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.source.tree.ClassTree;
import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.Tree;
import com.sun.source.util.JavacTask;
import com.sun.source.util.SourcePositions;
import com.sun.source.util.TreeScanner;
import com.sun.source.util.Trees;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;

/** Limits the size of the decision module, which has to be read quickly after an outage. */
class ModuleSizeTest {
    private static final int MAX_CODE_LINES_PER_FILE = 770;
    private static final int MAX_CODE_LINES_PER_MEMBER = 60;
    private static final int MAX_COLUMNS = 110;
    private static final Path SOURCES = Path.of("src/main/java/dewstage");
    /** Not part of the module: its interface, a general map, and the entry point of the program. */
    private static final List<String> EXCLUDED = List.of("Balancer.java", "IntMap.java", "Main.java");
    /** A comment, or a literal, within which nothing begins a comment. */
    private static final Pattern COMMENT_OR_LITERAL = Pattern.compile(
            "(?<comment>//[^\\n]*|/\\*.*?\\*/)|\"\"\"(?:\\\\.|.)*?\"\"\"|\"(?:\\\\.|[^\"\\\\\\n])*\""
                    + "|'(?:\\\\.|[^'\\\\\\n])+'", Pattern.DOTALL);

    /** Returns the files that deploy/balancer.toml lists as the module. */
    private static List<Path> files() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("policy = ")).findFirst().orElseThrow();
        return Pattern.compile("\"([^\"]+)\"").matcher(line).results()
                .map(name -> Path.of(name.group(1))).toList();
    }

    private static List<String> lines() throws IOException {
        List<String> lines = new ArrayList<>();
        for (Path file : files()) {
            lines.addAll(Files.readAllLines(file));
        }
        return lines;
    }

    /** Replaces every comment by blanks, so that positions and line breaks stay. */
    private static String withoutComments(String source) {
        StringBuilder code = new StringBuilder(source);
        for (Matcher matcher = COMMENT_OR_LITERAL.matcher(source); matcher.find();) {
            if (matcher.group("comment") != null) {
                code.replace(matcher.start(), matcher.end(), matcher.group().replaceAll("[^\\n]", " "));
            }
        }
        return code.toString();
    }

    /** Returns the number of lines that contain anything but blanks and comments. */
    private static long codeLines(String source) {
        return withoutComments(source).lines().filter(line -> !line.isBlank()).count();
    }

    /** Returns the members of all types in a file whose code is longer than a limit; types are no members. */
    private static List<String> longMembers(Path file, int limit) throws IOException {
        String code = withoutComments(Files.readString(file));
        List<String> found = new ArrayList<>();
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        try (StandardJavaFileManager manager = compiler.getStandardFileManager(null, null, null)) {
            JavacTask task = (JavacTask) compiler.getTask(null, manager, null, List.of(), null,
                    manager.getJavaFileObjects(file));
            SourcePositions positions = Trees.instance(task).getSourcePositions();
            for (CompilationUnitTree unit : task.parse()) {
                new TreeScanner<Void, Void>() {
                    @Override
                    public Void visitClass(ClassTree type, Void unused) {
                        for (Tree member : type.getMembers()) {
                            int start = (int) positions.getStartPosition(unit, member);
                            int end = (int) positions.getEndPosition(unit, member);
                            String text = member instanceof ClassTree ? "" : code.substring(start, end);
                            if (codeLines(text) > limit) {
                                found.add(file + ":" + unit.getLineMap().getLineNumber(start));
                            }
                        }
                        return super.visitClass(type, unused);
                    }
                }.scan(unit, null);
            }
        }
        return found;
    }

    @Test
    void theDeployFileNamesEveryFileOfTheModule() throws IOException {
        TreeSet<Path> expected = new TreeSet<>();
        try (Stream<Path> sources = Files.list(SOURCES)) {
            sources.filter(p -> p.toString().endsWith(".java"))
                    .filter(p -> !EXCLUDED.contains(p.getFileName().toString())).forEach(expected::add);
        }
        assertTrue(expected.contains(SOURCES.resolve("Policy.java")), expected.toString());
        assertEquals(expected, new TreeSet<>(files()));
    }

    @Test
    void onlyLinesWithNothingButACommentOrBlanksAreNotCounted() {
        assertEquals(0, codeLines("\n  \n// a\n/* b\n * c\n */\n/** d */ // e\n"));
        assertEquals(1, codeLines("/* a */ int b; // c"));
        assertEquals(1, codeLines("/*\n a */ int b; /* c\n*/"));
        assertEquals(2, codeLines("int a = 2\n        * 3;"), "a line that begins like one of a comment");
        assertEquals(3, codeLines("a(\"/*\");\nb('\"');\nc(\"\\\"*/\");"), "literals");
        assertEquals(3, codeLines("a(\"\"\"\n        // b\n        \"\"\");"), "a text block");
    }

    @Test
    void noFileOfTheModuleHasTooManyLinesOfCode() throws IOException {
        for (Path file : files()) {
            long count = codeLines(Files.readString(file));
            assertTrue(count > 0 && count <= MAX_CODE_LINES_PER_FILE, file + " has " + count + " lines");
        }
    }

    @Test
    void noMemberOfATypeOfTheModuleHasTooManyLinesOfCode() throws IOException {
        for (Path file : files()) {
            assertTrue(longMembers(file, 0).size() > 0, file + " has no member");
            assertEquals(List.of(), longMembers(file, MAX_CODE_LINES_PER_MEMBER));
        }
    }

    @Test
    void noLineOfTheModuleIsTooLong() throws IOException {
        assertEquals(List.of(), lines().stream().filter(l -> l.length() > MAX_COLUMNS).toList());
    }

    @Test
    void theHeadOfTheModuleNamesItsInterface() throws IOException {
        List<String> lines = Files.readAllLines(SOURCES.resolve("Policy.java"));
        int type = lines.indexOf("public final class Policy implements Balancer {");
        assertTrue(lines.subList(0, type).stream().anyMatch(l -> l.contains("Balancer.java")));
    }
}

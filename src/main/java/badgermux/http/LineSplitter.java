package badgermux.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a body that is received in pieces into lines. */
public final class LineSplitter {
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    /** Adds the next bytes, and returns the lines that they complete, without line ends and without blank lines. */
    public List<byte[]> add(byte[] bytes) {
        List<byte[]> lines = new ArrayList<>();
        int lineStart = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                partialLine.write(bytes, lineStart, i - lineStart);
                lineStart = i + 1;
                completeLine(lines);
            }
        }
        partialLine.write(bytes, lineStart, bytes.length - lineStart);
        return lines;
    }

    /** Returns the bytes after the last line end as a line, unless they are blank. */
    public List<byte[]> remainder() {
        List<byte[]> lines = new ArrayList<>();
        completeLine(lines);
        return lines;
    }

    private void completeLine(List<byte[]> lines) {
        String text = partialLine.toString(StandardCharsets.ISO_8859_1);
        if (!text.isBlank()) {
            lines.add(partialLine.toByteArray());
        }
        partialLine.reset();
    }
}

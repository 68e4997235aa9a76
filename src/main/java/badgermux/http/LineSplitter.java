package badgermux.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cuts a body that comes in pieces into lines. */
public final class LineSplitter {
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    /** The lines that these bytes complete, without their ends; empty ones are left out. */
    public List<byte[]> add(byte[] bytes) {
        List<byte[]> lines = new ArrayList<>();
        int from = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                partialLine.write(bytes, from, i - from);
                from = i + 1;
                completeLine(lines);
            }
        }
        partialLine.write(bytes, from, bytes.length - from);
        return lines;
    }

    /** What came after the last line end, if anything did. */
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

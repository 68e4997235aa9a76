package badgermux.upgrade;

import badgermux.admin.ChangeForwarder;
import badgermux.core.Deadlines;
import badgermux.operator.SettingsOwnership;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.tinylog.Logger;

/**
 * Gives the settings of a dispatcher one owner while two of its processes run. The process that serves is the owner; the other
 * one follows it: it has each change in force, and forwards changes that operators make there.
 *
 * <p>Lines on the link, each behind {@link #LINE_PREFIX}: the next process sends FOLLOW and gets OWNER with the admin address of
 * the previous one, and a SNAPSHOT now and at each change, which it confirms by APPLIED with the revision. Once it is ready to
 * serve, it sends CLAIM with its own admin address. The previous process ends the change that is being written, takes no more,
 * and sends GRANT with its revision. The next process is the owner as soon as it has that revision in force, and serves only
 * then. From there on it is the one that sends SNAPSHOT. A change is forwarded by CALL, with a number that the REPLY has as
 * well. PART precedes any of these with a piece of a text that is too long for one line. If the next process ends, the previous
 * one is the owner again, with what the next one has stored last.
 *
 * <p>A version without replication ignores these lines: the next process then takes what is stored when it serves. All methods
 * are called on the event loop.
 */
public final class SettingsReplication implements SettingsOwnership, ChangeForwarder {
    /** What all lines begin with that are for this class. */
    public static final String LINE_PREFIX = "SETTINGS ";
    /** How long the next process waits for a grant: versions without replication send none. */
    private static final long GRANT_TIMEOUT_MICROS = 1_000_000;
    private static final int MAX_PART_CHARS = 64 << 10;
    private static final String NO_ADDRESS = "-";

    /** Sends lines to the other process. */
    public interface Link {
        void send(String line);
    }

    private enum Role { OWNER, FOLLOWS_PREVIOUS, FOLLOWS_NEXT,
        /** Owned by no process: the next one has ended, and what it has stored is being read. */
        TAKING_BACK }

    /** The other process of a link. */
    private final class Peer {
        private final Link link;
        private final StringBuilder receivedParts = new StringBuilder();
        private final Map<Integer, Consumer<String>> openCalls = new HashMap<>();
        /** Whether it has settings, too, and understands these lines. */
        private boolean isReplicating;
        private long appliedRevision = -1;
        /** Null if it is not known. */
        private String adminAddress;

        Peer(Link link) {
            this.link = link;
        }

        void send(String verb, String text) {
            int start = 0;
            while (text.length() - start > MAX_PART_CHARS) {
                int end = start + MAX_PART_CHARS;
                // The two halves of a character stay in one line, since lines are encoded one by one.
                end -= Character.isHighSurrogate(text.charAt(end - 1)) ? 1 : 0;
                link.send(LINE_PREFIX + "PART " + text.substring(start, end));
                start = end;
            }
            link.send(LINE_PREFIX + verb + ' ' + text.substring(start));
        }

        /** Returns the text of a line with the pieces that came before it. */
        String complete(String text) {
            String whole = receivedParts.append(text).toString();
            receivedParts.setLength(0);
            return whole;
        }

        void close() {
            openCalls.values().forEach(callback -> callback.accept(null));
        }
    }

    private final Deadlines deadlines;
    /** Null where this process has no settings of operators. */
    private final ReplicatedSettings settings;
    private Role role = Role.OWNER;
    private Peer previous;
    private Peer next;
    private boolean isChanging;
    private boolean isStopping;
    private boolean isClaimedByNext;
    /** Whether this process has sent a claim and is not the owner yet. */
    private boolean isClaiming;
    /** The revision that the previous process had when it granted the claim; -1 before. */
    private long grantedRevision = -1;
    /** Runs once the claim has succeeded. */
    private Runnable onClaimed;
    private int callCount;
    /** The change that waits until all followers have it in force; null if there is none. */
    private CompletableFuture<Void> unconfirmedChange;
    private long unconfirmedRevision;

    /** Creates the replication of a process that is alone; {@code settings} is null where it has none. */
    public SettingsReplication(Deadlines deadlines, ReplicatedSettings settings) {
        this.deadlines = deadlines;
        this.settings = settings;
    }

    // ---- The coordinator of the handover

    /** The previous process has handed its state over; it owns the settings until a claim is granted. */
    public void onPreviousConnected(Link link) {
        previous = new Peer(link);
        if (settings != null) {
            role = Role.FOLLOWS_PREVIOUS;
            previous.send("FOLLOW", "");
        }
    }

    /** A next process has connected, and takes the place of an earlier one. */
    public void onNextConnected(Link link) {
        if (next != null) {
            onClosed(next.link, () -> { });
        }
        next = new Peer(link);
    }

    /** The next process serves. Without replication it has not claimed the settings before. */
    public void onNextServes() {
        if (settings != null && role == Role.OWNER) {
            passToNext();
        }
    }

    /**
     * Claims the settings, as this process is ready to serve. Returns whether it may serve now; if not, {@code onClaimed} is run
     * once it may.
     */
    public boolean claim(Runnable newOnClaimed) {
        if (settings == null || role == Role.OWNER) {
            return true;
        }
        onClaimed = newOnClaimed;
        if (role == Role.FOLLOWS_PREVIOUS && !isClaiming) {
            isClaiming = true;
            previous.send("CLAIM", addressText());
            deadlines.scheduleAfter(GRANT_TIMEOUT_MICROS, () -> {
                if (isClaiming && grantedRevision < 0) {
                    Logger.warn("The previous process does not hand its settings over; the stored ones are read");
                    takeBack(() -> { });
                }
            });
        }
        return false;
    }

    /**
     * A link has been closed.
     *
     * @param then runs once this process has the newest settings, if that process owned them
     */
    public void onClosed(Link link, Runnable then) {
        boolean ownerIsGone = false;
        if (previous != null && previous.link == link) {
            ownerIsGone = role == Role.FOLLOWS_PREVIOUS || role == Role.TAKING_BACK;
            previous.close();
            previous = null;
        } else if (next != null && next.link == link) {
            ownerIsGone = role == Role.FOLLOWS_NEXT || role == Role.TAKING_BACK;
            isClaimedByNext = false;
            next.close();
            next = null;
        }
        completeConfirmedChange();
        if (ownerIsGone) {
            takeBack(then);
        } else {
            then.run();
        }
    }

    /** Takes no more changes, as this process is ending. */
    public void stop() {
        isStopping = true;
    }

    /** Handles a line of the other process without its {@link #LINE_PREFIX}. */
    public void onLine(Link link, String line) {
        Peer peer = previous != null && previous.link == link ? previous : next != null && next.link == link ? next : null;
        int verbEnd = line.indexOf(' ');
        if (peer == null || verbEnd < 0) {
            return;
        }
        if (settings == null) {
            answerWithoutSettings(peer, line.substring(0, verbEnd));
            return;
        }
        String verb = line.substring(0, verbEnd);
        String text = line.substring(verbEnd + 1);
        if (verb.equals("PART")) {
            peer.receivedParts.append(text);
            return;
        }
        handle(peer, verb, peer.complete(text));
    }

    private void handle(Peer peer, String verb, String text) {
        switch (verb) {
            case "FOLLOW" -> {
                peer.isReplicating = true;
                peer.send("OWNER", addressText());
                settings.encode(encoded -> peer.send("SNAPSHOT", encoded));
            }
            case "OWNER" -> {
                peer.isReplicating = true;
                peer.adminAddress = parseAddress(text);
            }
            case "SNAPSHOT" -> settings.adopt(text, failure -> onAdopted(peer, failure));
            case "APPLIED" -> {
                peer.appliedRevision = Long.parseLong(text);
                completeConfirmedChange();
            }
            case "CLAIM" -> {
                peer.adminAddress = parseAddress(text);
                isClaimedByNext = true;
                grantIfClaimed();
            }
            case "GRANT" -> {
                grantedRevision = Long.parseLong(text);
                completeClaim();
            }
            case "CALL" -> {
                int numberEnd = text.indexOf(' ');
                settings.handleForwarded(text.substring(numberEnd + 1),
                    response -> peer.send("REPLY", text.substring(0, numberEnd + 1) + response));
            }
            case "REPLY" -> {
                int numberEnd = text.indexOf(' ');
                Consumer<String> callback = peer.openCalls.remove(Integer.parseInt(text.substring(0, numberEnd)));
                if (callback != null) {
                    callback.accept(text.substring(numberEnd + 1));
                }
            }
            default -> Logger.warn("Unknown message on the settings of the other process: {}", verb);
        }
    }

    /** A process without settings of operators has nothing that the next one would have to wait for. */
    private static void answerWithoutSettings(Peer peer, String verb) {
        if (verb.equals("CLAIM")) {
            peer.send("GRANT", "0");
        }
    }

    private String addressText() {
        String address = settings.adminAddress();
        return address == null ? NO_ADDRESS : address;
    }

    private static String parseAddress(String text) {
        return text.equals(NO_ADDRESS) ? null : text;
    }

    // ---- The owner

    @Override public boolean isOwner() {
        return role == Role.OWNER && !isStopping;
    }

    @Override public String beginChange() {
        if (!isOwner()) {
            return "this process does not own the settings";
        }
        isChanging = true;
        return null;
    }

    @Override public CompletableFuture<Void> endChange(String changed, long revision) {
        isChanging = false;
        CompletableFuture<Void> confirmed = new CompletableFuture<>();
        if (changed == null) {
            confirmed.complete(null);
        } else {
            unconfirmedChange = confirmed;
            unconfirmedRevision = revision;
            followersExcept(null).forEach(peer -> peer.send("SNAPSHOT", changed));
            completeConfirmedChange();
        }
        grantIfClaimed();
        return confirmed;
    }

    /** Returns the linked processes that have settings, but not the one that these came from. */
    private List<Peer> followersExcept(Peer source) {
        return Stream.of(previous, next).filter(peer -> peer != null && peer != source && peer.isReplicating).toList();
    }

    private void completeConfirmedChange() {
        boolean isConfirmed = followersExcept(null).stream().allMatch(peer -> peer.appliedRevision >= unconfirmedRevision);
        if (isConfirmed && unconfirmedChange != null) {
            unconfirmedChange.complete(null);
            unconfirmedChange = null;
        }
    }

    private void grantIfClaimed() {
        if (isClaimedByNext && role == Role.OWNER && !isChanging) {
            isClaimedByNext = false;
            passToNext();
            next.send("GRANT", String.valueOf(settings.current().revision()));
        }
    }

    private void passToNext() {
        role = Role.FOLLOWS_NEXT;
        settings.onOwnershipPassed(next == null ? null : next.adminAddress);
        Logger.info("The next process owns the settings, at revision {}", settings.current().revision());
    }

    // ---- The follower

    private void onAdopted(Peer peer, String failure) {
        if (failure == null) {
            peer.send("APPLIED", String.valueOf(settings.current().revision()));
            List<Peer> others = followersExcept(peer);
            if (!others.isEmpty()) {
                settings.encode(encoded -> others.forEach(other -> other.send("SNAPSHOT", encoded)));
            }
            completeClaim();
        } else if (role == Role.FOLLOWS_PREVIOUS) {
            settings.onUnusable(failure);
        } else {
            Logger.error("The settings of the other process are not used: {}", failure);
        }
    }

    private void completeClaim() {
        if (isClaiming && grantedRevision >= 0 && settings.current().revision() >= grantedRevision) {
            becomeOwner();
        }
    }

    /** Becomes the owner with what is stored, as the process that owned the settings is gone or can't hand them over. */
    private void takeBack(Runnable then) {
        role = Role.TAKING_BACK;
        settings.reload(failure -> {
            if (failure != null) {
                Logger.error("The stored settings are not used: {}", failure);
            }
            if (role == Role.TAKING_BACK) {
                becomeOwner();
            }
            then.run();
        });
    }

    private void becomeOwner() {
        role = Role.OWNER;
        isClaiming = false;
        settings.onOwnershipTaken();
        Logger.info("This process owns the settings, at revision {}", settings.current().revision());
        if (onClaimed != null) {
            Runnable callback = onClaimed;
            onClaimed = null;
            callback.run();
        }
        grantIfClaimed();
    }

    // ---- Changes at a follower

    @Override public boolean forward(String encodedCall, Consumer<String> callback) {
        Peer owner = owner();
        if (owner == null || !owner.isReplicating) {
            return false;
        }
        int number = callCount++;
        owner.openCalls.put(number, callback);
        owner.send("CALL", number + " " + encodedCall);
        return true;
    }

    @Override public String unavailableReason() {
        return switch (role) {
            case OWNER -> isStopping ? "this process is ending" : "the settings have just been taken over";
            case FOLLOWS_PREVIOUS -> "the previous process of this dispatcher owns the settings";
            case FOLLOWS_NEXT -> "the next process of this dispatcher owns the settings";
            case TAKING_BACK -> "the process that owned the settings has ended, and they are being read";
        };
    }

    @Override public String ownerAddress() {
        Peer owner = owner();
        return owner == null ? null : owner.adminAddress;
    }

    private Peer owner() {
        return switch (role) {
            case FOLLOWS_PREVIOUS -> previous;
            case FOLLOWS_NEXT -> next;
            default -> null;
        };
    }
}

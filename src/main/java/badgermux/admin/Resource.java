package badgermux.admin;

/** The part of the admin API under {@code /v1/NAME} that one subsystem handles. */
public interface Resource {
    /** Handles a request. Called on the admin thread, which may block. */
    AdminResponse handle(AdminRequest request) throws Exception;
}

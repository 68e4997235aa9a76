package badgermux.admin;

/** A subsystem's part of the admin API, under {@code /v1/NAME}. */
public interface Resource {
    /** Carries a call out; on the admin thread, which may block. */
    AdminResponse handle(AdminRequest call) throws Exception;
}

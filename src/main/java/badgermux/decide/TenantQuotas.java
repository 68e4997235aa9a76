package badgermux.decide;

import badgermux.decide.DispatchPolicy.Tenant;
import java.util.Arrays;
import java.util.List;

/**
 * This dispatcher's part of each tenant's quota, as credit in requests that grows with time. Methods take the
 * share of all traffic that comes to this dispatcher, which has the same share of each quota. Used by one
 * thread.
 */
final class TenantQuotas {
    /** Burst that a tenant may save up, in seconds of its quota. */
    private static final double BURST_SECONDS = 2;
    /** Burst that a tenant may save up whatever its quota, in requests. */
    private static final double BURST_REQUESTS = 10;
    private static final double MICROS_PER_SECOND = 1e6;

    private final List<Tenant> tenants;
    private final double[] creditByTenant;

    /** Starts with half of the burst, less the credit that the first second brings. */
    TenantQuotas(List<Tenant> tenants, double trafficShare) {
        this.tenants = tenants;
        creditByTenant = new double[tenants.size()];
        Arrays.setAll(creditByTenant, t -> Math.max(0, BURST_REQUESTS / 2 - ownPerSecond(t, trafficShare)));
    }

    /** Adds the credit of a time span to all tenants. */
    void addCredit(long micros, double trafficShare) {
        Arrays.setAll(creditByTenant, t -> {
            double perSecond = ownPerSecond(t, trafficShare);
            return Math.min(creditByTenant[t] + perSecond * micros / MICROS_PER_SECOND,
                Math.max(BURST_REQUESTS, perSecond * BURST_SECONDS));
        });
    }

    /**
     * Whether a request exceeds its tenant's quota: the tenant has no credit left. The first try of a request
     * takes one from the credit, whatever becomes of the request. A quota of 0 is never exceeded. An unknown
     * tenant always exceeds its quota, but where the settings name no tenants, index 0 never does.
     */
    boolean isExceeded(int tenantIndex, boolean firstTry, double trafficShare) {
        if (tenantIndex >= creditByTenant.length) return tenantIndex >= Math.max(1, creditByTenant.length);
        if (ownPerSecond(tenantIndex, trafficShare) <= 0) return false;
        if (creditByTenant[tenantIndex] < 1) return true;
        if (firstTry) creditByTenant[tenantIndex]--;
        return false;
    }

    /** Returns this dispatcher's share of a tenant's quota, in requests per second. */
    private double ownPerSecond(int tenantIndex, double trafficShare) {
        return tenants.get(tenantIndex).quotaPerSecond() * Math.min(1, trafficShare);
    }
}

/**
 * The engine that carries out the decisions of the dispatch policy. It is independent of protocols: clients are represented
 * by {@link badgermux.core.ResponseListener}, backends by {@link badgermux.core.BackendClient}.
 */
package badgermux.core;

/**
 * The decision module: {@link badgermux.decide.DispatchPolicy} is its interface, and
 * {@link badgermux.decide.DefaultDispatchPolicy} implements it without I/O, threads or a clock.
 */
package badgermux.decide;

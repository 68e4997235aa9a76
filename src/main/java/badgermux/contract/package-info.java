/**
 * Contracts: reads and compiles OpenAPI and AsyncAPI descriptions and validates messages against them. Free of I/O, clocks
 * and threads: the input is bytes, the output validation results.
 */
package badgermux.contract;

/**
 * Contracts: OpenAPI and AsyncAPI descriptions, read and compiled, and the judgement of messages by them. Free of I/O,
 * clocks and threads: bytes come in, verdicts go out.
 */
package badgermux.contract;

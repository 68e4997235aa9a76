/**
 * Scale runs: hollow dispatchers and hollow workers, many to a process, beside real dispatchers of the built jar, and what
 * all of that costs. Everything is on loopback; nothing of it is in the jar. How to run it: {@code docs/scale/README.md}.
 */
package badgermux.scale;

/**
 * Scale runs: many hollow dispatchers and hollow backends beside real dispatchers of the built jar, and what they cost. A
 * hollow dispatcher is the real code without clients; a hollow backend answers like a real one, but does no work. One process
 * runs many of them. All traffic is on loopback, and nothing of this package is in the jar. How to run it:
 * {@code docs/scale/README.md}.
 */
package badgermux.scale;

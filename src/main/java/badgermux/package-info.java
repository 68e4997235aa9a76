/** The dispatcher program: its entry point, and the classes that create and connect its components. */
package badgermux;

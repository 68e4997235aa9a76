/** The line protocol on the second address, by which operators' staff and their programs call. */
package badgermux.console;

/** Client connections: from the bytes of a request to its final answer. */
package badgermux.front;

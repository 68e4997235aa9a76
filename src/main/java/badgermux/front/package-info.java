/** Client connections: reads requests, submits them to the engine, and writes their final answers. */
package badgermux.front;

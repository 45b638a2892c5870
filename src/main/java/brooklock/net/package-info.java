/**
 * Connections on XNIO: listening, the server's and the client's side of HTTP/1.1, pools of
 * connections to hosts, timers and buffers. Everything of a connection belongs to one I/O thread
 * and is touched by no other; nothing here locks.
 */
package brooklock.net;

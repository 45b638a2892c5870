/**
 * The dispatcher on the operators' platform. It speaks MessagePack-RPC with clients and a protocol
 * of binary frames with endpoints, receives endpoint lists and purges from a discovery service, and
 * is controlled by a configuration file and signals.
 *
 * <p>The package makes no routing decisions. It converts input into {@link
 * brooklock.routing.RouterEvent}s and executes the resulting {@link
 * brooklock.routing.RouterAction}s. One I/O thread owns every stateful object of the package,
 * including the router. Only {@link brooklock.platform.PlatformMain} and the signal handlers run on
 * other threads; they submit work to the I/O thread with {@link brooklock.net.IoLoop#execute}.
 *
 * <p>The names in the platform's protocols (fields, errors, codes) appear only in the codec
 * classes: {@code Frame*}, {@code Rpc*}, {@code RequestFrameEncoder}, {@code ResponseFrameDecoder},
 * {@code ClientRequestParser}, {@code DiscoveryEventDecoder} and {@code PlatformConfigReader}. The
 * codecs use no sockets, threads or clocks.
 */
package brooklock.platform;

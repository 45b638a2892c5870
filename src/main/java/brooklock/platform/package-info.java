/**
 * The dispatcher on the operators' platform: MessagePack-RPC from clients, binary frames to
 * endpoints, endpoint lists and purges over a discovery connection, the configuration and the
 * signals.
 *
 * <p>The package decides nothing: it turns what happens into {@link brooklock.routing.RouterEvent}s
 * and carries out the {@link brooklock.routing.RouterAction}s that come back. One I/O thread owns
 * every object here, the router included; only {@link brooklock.platform.PlatformMain} and the
 * signal handlers run on other threads, and they hand work over with {@link
 * brooklock.net.IoLoop#execute}.
 *
 * <p>The platform's own words (field names, error names, codes) appear in the codec classes only:
 * {@code Frame*}, {@code Rpc*}, {@code RequestFrameEncoder}, {@code ResponseFrameDecoder}, {@code
 * ClientRequestParser}, {@code DiscoveryEventDecoder} and {@code PlatformConfigReader}. The codecs
 * are pure: no sockets, files, threads or clock.
 */
package brooklock.platform;

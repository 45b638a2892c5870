/**
 * The operators' platform: MessagePack-RPC from clients, binary frames to cache hosts, the command
 * channel, the configuration and the signals. Turns what happens into events of the module and
 * carries out its actions on one I/O thread; decides nothing. The codecs are pure.
 */
package brooklock.platform;

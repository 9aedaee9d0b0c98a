package org.tarragonring.peer;

import java.util.Collection;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import org.tarragonring.ids.HostPort;
import org.tarragonring.log.LogEvent;

/**
 * Sends and receives datagrams over UDP.
 *
 * @since 0.1.0
 */
public final class UdpTransport implements PeerTransport {

    private final DatagramSocket socket;
    private final DatagramCodec codec;
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong sentDatagrams = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();

    /**
     * Creates a transport; {@link #start} makes it listen.
     *
     * @param vertx the Vert.x instance that runs the socket, not null
     * @param codec encodes and decodes datagrams, not null
     */
    public UdpTransport(Vertx vertx, DatagramCodec codec) {
        this.socket = vertx.createDatagramSocket();
        this.codec = Objects.requireNonNull(codec, "codec");
    }

    /**
     * Starts listening. Datagrams that the codec rejects are logged and dropped.
     *
     * @param address the address to listen on, not null; with port 0 the system chooses a port
     * @param receiver receives each datagram that the codec accepts, not null
     * @return completes with the address in use, or exceptionally if it cannot be bound
     */
    public CompletableFuture<HostPort> start(HostPort address, Consumer<Datagram> receiver) {
        socket.handler(packet -> {
            byte[] bytes = packet.data().getBytes();
            receivedBytes.addAndGet(bytes.length);
            try {
                receiver.accept(codec.decode(bytes));
            } catch (IllegalArgumentException e) {
                LogEvent.DATAGRAM_REJECTED.log(packet.sender(), e.getMessage());
            } catch (RuntimeException e) {
                LogEvent.UNEXPECTED_FAILURE.log("the handling of a datagram from " + packet.sender(), e);
            }
        });
        return socket.listen(address.port(), address.host())
                .map(listening ->
                        new HostPort(address.host(), listening.localAddress().port()))
                .toCompletionStage()
                .toCompletableFuture();
    }

    /**
     * Stops listening.
     *
     * @return completes when the socket has been closed
     */
    public CompletableFuture<Void> stop() {
        return socket.close().toCompletionStage().toCompletableFuture();
    }

    @Override
    public void send(HostPort to, Datagram datagram) {
        send(to, codec.encode(datagram));
    }

    @Override
    public void sendToAll(Collection<HostPort> receivers, Datagram datagram) {
        byte[] bytes = codec.encode(datagram);
        receivers.forEach(receiver -> send(receiver, bytes));
    }

    private void send(HostPort to, byte[] bytes) {
        sentBytes.addAndGet(bytes.length);
        sentDatagrams.incrementAndGet();
        socket.send(Buffer.buffer(bytes), to.port(), to.host());
    }

    /**
     * Returns the number of bytes sent so far, without IP and UDP headers.
     *
     * @return the number of bytes
     */
    public long sentBytes() {
        return sentBytes.get();
    }

    /**
     * Returns the number of datagrams sent so far.
     *
     * @return the number of datagrams
     */
    public long sentDatagrams() {
        return sentDatagrams.get();
    }

    /**
     * Returns the number of bytes received so far, including those of rejected datagrams, without IP and UDP headers.
     *
     * @return the number of bytes
     */
    public long receivedBytes() {
        return receivedBytes.get();
    }
}

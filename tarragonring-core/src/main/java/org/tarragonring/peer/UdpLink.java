package org.tarragonring.peer;

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
 * Exchanges datagrams over UDP.
 *
 * @since 0.1.0
 */
public final class UdpLink implements PeerLink {

    private final DatagramSocket socket;
    private final DatagramCodec codec;
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong sentDatagrams = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();

    /**
     * Creates a link that does not listen yet.
     *
     * @param vertx runs the socket, not null
     * @param codec writes and reads datagrams, not null
     */
    public UdpLink(Vertx vertx, DatagramCodec codec) {
        this.socket = vertx.createDatagramSocket();
        this.codec = Objects.requireNonNull(codec, "codec");
    }

    /**
     * Listens.
     *
     * @param address where to listen, not null; port 0 takes any
     * @param receiver takes each datagram that passes the codec's checks, not null
     * @return completes with the address in use
     */
    public CompletableFuture<HostPort> start(HostPort address, Consumer<Datagram> receiver) {
        socket.handler(packet -> {
            byte[] bytes = packet.data().getBytes();
            receivedBytes.addAndGet(bytes.length);
            try {
                receiver.accept(codec.decode(bytes));
            } catch (IllegalArgumentException e) {
                LogEvent.DATAGRAM_REJECTED.log(packet.sender(), e.getMessage());
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
     * @return completes when the socket is closed
     */
    public CompletableFuture<Void> stop() {
        return socket.close().toCompletionStage().toCompletableFuture();
    }

    @Override
    public void send(HostPort to, Datagram datagram) {
        byte[] bytes = codec.encode(datagram);
        sentBytes.addAndGet(bytes.length);
        sentDatagrams.incrementAndGet();
        socket.send(Buffer.buffer(bytes), to.port(), to.host());
    }

    /**
     * Returns the bytes sent so far, without IP and UDP headers.
     *
     * @return bytes
     */
    public long sentBytes() {
        return sentBytes.get();
    }

    /**
     * Returns the datagrams sent so far.
     *
     * @return a count
     */
    public long sentDatagrams() {
        return sentDatagrams.get();
    }

    /**
     * Returns the bytes received so far, without IP and UDP headers.
     *
     * @return bytes
     */
    public long receivedBytes() {
        return receivedBytes.get();
    }
}

package org.tarragonring.entry;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.spread.FailureReports;
import org.tarragonring.spread.PeerMessenger;

/** The other entries, as far as this entry has joined them; none before. */
final class StartedPeers implements FailureReports.Peers {

    private final Supplier<Optional<PeerMessenger>> messenger;

    /**
     * Creates an instance.
     *
     * @param messenger returns the messenger, empty before this entry has joined the others; not null
     */
    StartedPeers(Supplier<Optional<PeerMessenger>> messenger) {
        this.messenger = Objects.requireNonNull(messenger, "messenger");
    }

    @Override
    public List<FailureReports.Peer> usable() {
        return messenger.get().map(PeerMessenger::usable).orElse(List.of());
    }

    @Override
    public void send(EntryId to, PeerMessage message) {
        messenger.get().ifPresent(started -> started.send(to, message));
    }

    @Override
    public void broadcast(PeerMessage message) {
        messenger.get().ifPresent(started -> started.broadcast(message));
    }
}

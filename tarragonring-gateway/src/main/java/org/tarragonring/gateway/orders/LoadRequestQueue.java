package org.tarragonring.gateway.orders;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.PeerMessage;

/**
 * The load requests of one replica that wait for their turn; the first one is being executed.
 *
 * <p>Not thread-safe.
 */
final class LoadRequestQueue {

    /** Whether the first request is being executed. */
    boolean running;

    private final Deque<Item> items = new ArrayDeque<>();

    /** Returns whether a request for the same weights is queued, and records its sender among the requesters. */
    boolean isQueued(EntryId from, PeerMessage.LoadRequest request) {
        for (Item item : items) {
            if (item.request.model().equals(request.model())
                    && item.request.adapter().equals(request.adapter())) {
                item.requesters.add(from);
                return true;
            }
        }
        return false;
    }

    void add(EntryId from, PeerMessage.LoadRequest request) {
        Item item = new Item(request, new LinkedHashSet<>());
        item.requesters.add(from);
        items.addLast(item);
    }

    /** Returns the first request, or null if there is none. */
    Item first() {
        return items.peekFirst();
    }

    void removeFirst() {
        items.pollFirst();
    }

    void clear() {
        items.clear();
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    /**
     * A queued request.
     *
     * @param request the request
     * @param requesters the entries that sent it
     */
    record Item(PeerMessage.LoadRequest request, Set<EntryId> requesters) {}
}

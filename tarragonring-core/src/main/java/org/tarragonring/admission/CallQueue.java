package org.tarragonring.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Holds the calls that wait for a model's replicas, in order of priority and then arrival. Every fourth call goes
 * to the one that has waited longest, so that no class starves. Not safe for use by several threads.
 *
 * @param <T> what is done with a call when its turn comes
 * @since 0.1.0
 */
public final class CallQueue<T> {

    private static final int OLDEST_FIRST_EVERY = 4;

    private final int limit;
    private final List<Deque<WaitingCall<T>>> byPriority = new ArrayList<>();
    private int size;
    private int polls;

    /**
     * Creates an empty queue.
     *
     * @param limit the most calls that may wait
     */
    public CallQueue(int limit) {
        this.limit = limit;
        for (int i = 0; i <= WaitingCall.LOWEST_PRIORITY; i++) {
            byPriority.add(new ArrayDeque<>());
        }
    }

    /**
     * Adds a call.
     *
     * @param call the call, not null
     * @return false if the queue is full
     */
    public boolean offer(WaitingCall<T> call) {
        if (size >= limit) {
            return false;
        }
        byPriority.get(call.priority()).addLast(call);
        size++;
        return true;
    }

    /**
     * Shows the call whose turn it is.
     *
     * @return the call that the next {@link #poll} takes, or null if none waits
     */
    public WaitingCall<T> peek() {
        return size == 0 ? null : next().peekFirst();
    }

    /**
     * Takes the call whose turn it is.
     *
     * @return the call, or null if none waits
     */
    public WaitingCall<T> poll() {
        if (size == 0) {
            return null;
        }
        Deque<WaitingCall<T>> next = next();
        polls++;
        size--;
        return next.pollFirst();
    }

    /**
     * Takes out all calls whose deadline has passed.
     *
     * @param nowMillis the monotonic clock
     * @return the calls
     */
    public List<WaitingCall<T>> expire(long nowMillis) {
        List<WaitingCall<T>> expired = new ArrayList<>();
        for (Deque<WaitingCall<T>> calls : byPriority) {
            for (Iterator<WaitingCall<T>> it = calls.iterator(); it.hasNext(); ) {
                WaitingCall<T> call = it.next();
                if (nowMillis >= call.deadlineMillis()) {
                    expired.add(call);
                    it.remove();
                    size--;
                }
            }
        }
        return expired;
    }

    /**
     * Takes out one call.
     *
     * @param call what {@link WaitingCall#call} returns, not null
     * @return true if it waited
     */
    public boolean remove(T call) {
        for (Deque<WaitingCall<T>> calls : byPriority) {
            if (calls.removeIf(waiting -> waiting.call() == call)) {
                size--;
                return true;
            }
        }
        return false;
    }

    /**
     * Takes out all calls.
     *
     * @return the calls
     */
    public List<WaitingCall<T>> drain() {
        return expire(Long.MAX_VALUE);
    }

    /**
     * Returns how many calls wait.
     *
     * @return 0 or more
     */
    public int size() {
        return size;
    }

    /**
     * Returns how many calls wait that go before a new one of some priority.
     *
     * @param priority the priority of the new call
     * @return 0 or more
     */
    public int ahead(int priority) {
        int ahead = 0;
        for (int i = 0; i <= priority; i++) {
            ahead += byPriority.get(i).size();
        }
        return ahead;
    }

    private Deque<WaitingCall<T>> next() {
        return (polls + 1) % OLDEST_FIRST_EVERY == 0 ? oldest() : highest();
    }

    private Deque<WaitingCall<T>> highest() {
        for (Deque<WaitingCall<T>> calls : byPriority) {
            if (!calls.isEmpty()) {
                return calls;
            }
        }
        throw new IllegalStateException("no call waits");
    }

    private Deque<WaitingCall<T>> oldest() {
        Deque<WaitingCall<T>> best = null;
        for (Deque<WaitingCall<T>> calls : byPriority) {
            boolean older = !calls.isEmpty()
                    && (best == null
                            || calls.peekFirst().arrivedMillis()
                                    < best.peekFirst().arrivedMillis());
            if (older) {
                best = calls;
            }
        }
        return best;
    }
}

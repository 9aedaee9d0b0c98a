package org.tarragonring.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * A bounded queue of the calls that wait for a replica of a model, ordered by priority and then by arrival. Every
 * fourth call polled from the queue is the one that has waited longest, so that no priority starves. Not thread-safe.
 *
 * @param <T> the type of the calls
 * @since 0.1.0
 */
public final class CallQueue<T> {

    private static final int OLDEST_FIRST_INTERVAL_POLLS = 4;

    private final int maxSize;
    private final List<Deque<WaitingCall<T>>> byPriority = new ArrayList<>();
    private int size;
    private int polls;

    /**
     * Creates an empty queue.
     *
     * @param maxSize the maximum number of calls in the queue
     */
    public CallQueue(int maxSize) {
        this.maxSize = maxSize;
        for (int i = 0; i <= WaitingCall.LOWEST_PRIORITY; i++) {
            byPriority.add(new ArrayDeque<>());
        }
    }

    /**
     * Adds a call to the queue.
     *
     * @param call the call, not null
     * @return false if the queue is full
     */
    public boolean offer(WaitingCall<T> call) {
        if (size >= maxSize) {
            return false;
        }
        byPriority.get(call.priority()).addLast(call);
        size++;
        return true;
    }

    /**
     * Returns the next call without removing it.
     *
     * @return the call that the next {@link #poll} returns, or null if the queue is empty
     */
    public WaitingCall<T> peek() {
        return size == 0 ? null : nextQueue().peekFirst();
    }

    /**
     * Removes and returns the next call.
     *
     * @return the call, or null if the queue is empty
     */
    public WaitingCall<T> poll() {
        if (size == 0) {
            return null;
        }
        Deque<WaitingCall<T>> nextQueue = nextQueue();
        polls++;
        size--;
        return nextQueue.pollFirst();
    }

    /**
     * Removes all calls whose deadline is at or before a given time.
     *
     * @param nowMillis the time, in milliseconds of the monotonic clock
     * @return the removed calls, ordered by priority and then by arrival; never null
     */
    public List<WaitingCall<T>> removeExpired(long nowMillis) {
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
     * Removes one call.
     *
     * @param call the call as returned by {@link WaitingCall#call}, not null
     * @return true if the call was in the queue
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
     * Removes all calls.
     *
     * @return the removed calls, ordered by priority and then by arrival; never null
     */
    public List<WaitingCall<T>> removeAll() {
        return removeExpired(Long.MAX_VALUE);
    }

    /**
     * Returns the number of calls in the queue.
     *
     * @return the number of calls, 0 or more
     */
    public int size() {
        return size;
    }

    /**
     * Returns the number of queued calls that have at least the priority of a new call and therefore precede it.
     *
     * @param priority the priority of the new call, from 0 (highest) to {@value WaitingCall#LOWEST_PRIORITY} (lowest)
     * @return the number of calls, 0 or more
     */
    public int countAhead(int priority) {
        int ahead = 0;
        for (int i = 0; i <= priority; i++) {
            ahead += byPriority.get(i).size();
        }
        return ahead;
    }

    private Deque<WaitingCall<T>> nextQueue() {
        return (polls + 1) % OLDEST_FIRST_INTERVAL_POLLS == 0 ? longestWaitingQueue() : highestPriorityQueue();
    }

    private Deque<WaitingCall<T>> highestPriorityQueue() {
        for (Deque<WaitingCall<T>> calls : byPriority) {
            if (!calls.isEmpty()) {
                return calls;
            }
        }
        throw new IllegalStateException("the queue is empty, expected at least one call");
    }

    private Deque<WaitingCall<T>> longestWaitingQueue() {
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

package org.tarragonring.gateway.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.tarragonring.ids.HostPort;
import org.tarragonring.time.Timers;

/**
 * Contacts the registered entries after a start: announces this entry to all of them at once and asks a few at a time
 * for introductions until each one is a known member or was asked twice. Registrations of entries that are gone remain
 * in the store, so only entries that respond become members.
 *
 * <p>Asking every entry would cost a fleet that starts at once a number of exchanges that grows with the square of its
 * size.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
final class EntryContacts {

    private static final int REQUESTS_PER_ROUND = 4;
    private static final int MAX_REQUESTS_PER_ENTRY = 2;

    private final Consumer<Collection<HostPort>> announcer;
    private final Consumer<HostPort> introductionRequester;
    private final Supplier<Set<HostPort>> knownAddresses;
    private final Duration roundTime;
    private final Timers timers;
    private final Random random;

    /**
     * Creates the contacts.
     *
     * @param announcer announces this entry to the given peer addresses, not null
     * @param introductionRequester requests an introduction from the entry at a peer address, not null
     * @param knownAddresses returns the peer addresses of the known members, not null
     * @param roundTime how long a round waits for responses, not null
     * @param timers schedules rounds, not null
     * @param random chooses the entries of a round, not null
     */
    EntryContacts(
            Consumer<Collection<HostPort>> announcer,
            Consumer<HostPort> introductionRequester,
            Supplier<Set<HostPort>> knownAddresses,
            Duration roundTime,
            Timers timers,
            Random random) {
        this.announcer = Objects.requireNonNull(announcer, "announcer");
        this.introductionRequester = Objects.requireNonNull(introductionRequester, "introductionRequester");
        this.knownAddresses = Objects.requireNonNull(knownAddresses, "knownAddresses");
        this.roundTime = Objects.requireNonNull(roundTime, "roundTime");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Starts to contact entries.
     *
     * @param registered the peer addresses of the registered entries without this one, not null
     */
    void contact(Collection<HostPort> registered) {
        announcer.accept(registered);
        List<HostPort> requests = new ArrayList<>();
        for (int i = 0; i < MAX_REQUESTS_PER_ENTRY; i++) {
            List<HostPort> shuffled = new ArrayList<>(registered);
            Collections.shuffle(shuffled, random);
            requests.addAll(shuffled);
        }
        runRound(requests);
    }

    private void runRound(List<HostPort> requests) {
        Set<HostPort> known = knownAddresses.get();
        List<HostPort> remaining =
                requests.stream().filter(address -> !known.contains(address)).toList();
        if (remaining.isEmpty()) {
            return;
        }
        remaining.stream().limit(REQUESTS_PER_ROUND).forEach(introductionRequester);
        timers.schedule(
                roundTime,
                () -> runRound(remaining.stream().skip(REQUESTS_PER_ROUND).toList()));
    }
}

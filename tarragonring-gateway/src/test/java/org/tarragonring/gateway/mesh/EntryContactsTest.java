package org.tarragonring.gateway.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.ids.HostPort;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** When a large fleet starts at once, an entry must not exchange datagrams with each of the others several times. */
class EntryContactsTest {

    private static final int ENTRIES = 95;
    private static final Duration ROUND = Duration.ofMillis(250);

    private final ManualTime time = new ManualTime();
    private final Set<HostPort> known = new HashSet<>();
    private final List<Collection<HostPort>> announcements = new ArrayList<>();
    private final List<HostPort> requests = new ArrayList<>();
    private final EntryContacts contacts =
            new EntryContacts(announcements::add, requests::add, () -> known, ROUND, time, new Random(1));

    @Test
    void entryIsAnnouncedOnceToAllRegisteredEntries() {
        contacts.contact(addresses());
        time.advance(Duration.ofSeconds(30));

        assertEquals(1, announcements.size());
        assertEquals(ENTRIES, announcements.get(0).size());
    }

    @Test
    void introductionsEndWhenAllEntriesAreKnown() {
        contacts.contact(addresses());
        known.addAll(addresses());
        time.advance(Duration.ofSeconds(30));

        assertTrue(requests.size() <= 4, requests.size() + " requests");
    }

    @Test
    void entriesThatDoNotRespondAreAskedTwice() {
        contacts.contact(addresses());
        time.advance(Duration.ofSeconds(30));

        assertEquals(2 * ENTRIES, requests.size());
        assertEquals(ENTRIES, new HashSet<>(requests).size());
    }

    private static List<HostPort> addresses() {
        List<HostPort> addresses = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            addresses.add(new HostPort("10.0.0." + (i + 1), 7_000));
        }
        return addresses;
    }
}

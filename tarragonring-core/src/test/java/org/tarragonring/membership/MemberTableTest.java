package org.tarragonring.membership;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Updates of a member can arrive in any order. An outdated one must not declare a live member dead or revive a dead
 * one.
 */
class MemberTableTest {

    private final MemberTable table = new MemberTable(member("self", 5, MemberState.ALIVE));

    @Test
    void updateAgainstOwnEntryIsRefutedWithHigherIncarnation() {
        assertTrue(table.apply(member("self", 5, MemberState.SUSPECT)));
        assertEquals(6, table.self().incarnation());
        assertEquals(MemberState.ALIVE, table.self().state());
    }

    @Test
    void updateOfOlderIncarnationOfOwnEntryIsIgnored() {
        assertFalse(table.apply(member("self", 4, MemberState.DEAD)));
        assertEquals(5, table.self().incarnation());
    }

    @Test
    void deadMemberBecomesAliveOnlyWithHigherIncarnation() {
        table.apply(member("other", 1, MemberState.ALIVE));
        table.apply(member("other", 1, MemberState.DEAD));
        assertFalse(table.apply(member("other", 1, MemberState.ALIVE)));
        assertTrue(table.apply(member("other", 2, MemberState.ALIVE)));
        assertEquals(2, table.usable().size());
    }

    @Test
    void deadUpdateOfUnknownMemberIsIgnored() {
        assertFalse(table.apply(member("unknown", 1, MemberState.DEAD)));
    }

    @Test
    void entryThatLeftDoesNotRefute() {
        table.leave();
        assertFalse(table.apply(member("self", 5, MemberState.DEAD)));
        assertTrue(table.usable().isEmpty());
    }

    @Test
    void numberOfTransmissionsOfAnUpdateIsLimited() {
        table.apply(member("other", 1, MemberState.ALIVE));
        int transmissions = 0;
        for (int i = 0; i < 1000; i++) {
            transmissions += table.nextUpdates(6).size();
        }
        assertTrue(transmissions < 30, "transmissions " + transmissions);
    }

    private static Member member(String id, long incarnation, MemberState state) {
        return new Member(new EntryId(id), incarnation, state, new HostPort(id, 1), new HostPort(id, 2), "domain");
    }
}

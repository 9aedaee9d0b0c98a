package org.tarragonring.gateway.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.home.Rendezvous;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Entries of an older build, which rank all members, must select the same entry for a duty. */
class DutyRankingTest {

    private final DutyRanking ranking = new DutyRanking();

    @Test
    void entryThatRanksFirstIsSelected() {
        List<Member> members = members(95);
        for (int duty = 0; duty < 50; duty++) {
            assertEquals(Optional.of(ranked(duty, members).get(0)), ranking.first("duty-" + duty, members, id -> true));
        }
    }

    @Test
    void preferredEntryThatRanksFirstIsSelected() {
        List<Member> members = members(10);
        List<EntryId> ranked = ranked(1, members);

        assertEquals(Optional.of(ranked.get(1)), ranking.first("duty-1", members, id -> !id.equals(ranked.get(0))));
        assertEquals(Optional.of(ranked.get(0)), ranking.first("duty-1", members, id -> false));
    }

    @Test
    void changeOfMembersIsNoticed() {
        List<Member> members = members(10);
        EntryId first = ranking.first("duty-1", members, id -> true).orElseThrow();
        List<Member> rest =
                members.stream().filter(member -> !member.id().equals(first)).toList();

        assertEquals(Optional.of(ranked(1, rest).get(0)), ranking.first("duty-1", rest, id -> true));
        assertEquals(Optional.empty(), ranking.first("duty-1", List.of(), id -> true));
    }

    private static List<EntryId> ranked(int duty, List<Member> members) {
        return Rendezvous.rank("duty-" + duty, members, member -> member.id().value()).stream()
                .map(Member::id)
                .toList();
    }

    private static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            HostPort address = new HostPort("10.0.0." + (i + 1), 7_000);
            members.add(new Member(new EntryId("entry-" + i), 1, MemberState.ALIVE, address, address, "domain"));
        }
        return members;
    }
}

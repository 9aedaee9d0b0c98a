package org.tarragonring.entry;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.LeaseRecord;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;

/** Converts stored lease records to members, from which a starting entry discovers the other entries. */
final class LeaseMembers {

    private LeaseMembers() {}

    /**
     * Converts a stored lease record to a member that is considered alive.
     *
     * @param object the stored lease record, not null
     * @param incarnationsPerEpoch the factor by which the lease epoch is multiplied to get the incarnation
     * @return the member, or empty if the entry is shutting down
     */
    static Optional<Member> toMember(StoredObject object, long incarnationsPerEpoch) {
        String entryId = object.key().substring(RecordType.LEASE.prefix().length());
        LeaseRecord lease = Json.MAPPER.convertValue(
                Json.read(object.value(), JsonNode.class).path("body"), LeaseRecord.class);
        if (lease.leaving()) {
            return Optional.empty();
        }
        return Optional.of(new Member(
                new EntryId(entryId),
                lease.epoch() * incarnationsPerEpoch,
                MemberState.ALIVE,
                HostPort.parse(lease.peerAddress()),
                HostPort.parse(lease.callerAddress()),
                lease.failureDomain()));
    }
}

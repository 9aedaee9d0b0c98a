package org.tarragonring.entry;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.LeaseRecord;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;

/** Converts stored lease records to members, from which a starting entry discovers the other entries. */
final class LeaseMembers {

    private LeaseMembers() {}

    /**
     * Reads the other entries from their lease records.
     *
     * @param objects the store, not null
     * @param self the id of this entry, not null
     * @param incarnationsPerEpoch the factor by which the lease epoch is multiplied to get the incarnation
     * @return the entries that are not shutting down; empty if the store fails
     */
    static Uni<List<Member>> readOthers(ObjectStore objects, EntryId self, long incarnationsPerEpoch) {
        return objects.list(RecordType.LEASE.prefix())
                .map(storedObjects -> storedObjects.stream()
                        .map(object -> toMember(object, incarnationsPerEpoch))
                        .flatMap(Optional::stream)
                        .filter(member -> !member.id().equals(self))
                        .toList())
                .onFailure()
                .recoverWithItem(List.of());
    }

    /**
     * Converts a stored lease record to a member that is considered alive.
     *
     * @param object the stored lease record, not null
     * @param incarnationsPerEpoch the factor by which the lease epoch is multiplied to get the incarnation
     * @return the member, or empty if the entry is shutting down
     */
    private static Optional<Member> toMember(StoredObject object, long incarnationsPerEpoch) {
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

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

/** Makes members from lease records, for an entry that starts. */
final class LeaseMembers {

    private LeaseMembers() {}

    static Optional<Member> read(StoredObject object, long incarnationsPerEpoch) {
        String id = object.key().substring(RecordType.LEASE.prefix().length());
        LeaseRecord lease = Json.MAPPER.convertValue(
                Json.read(object.value(), JsonNode.class).path("body"), LeaseRecord.class);
        if (lease.leaving()) {
            return Optional.empty();
        }
        return Optional.of(new Member(
                new EntryId(id),
                lease.epoch() * incarnationsPerEpoch,
                MemberState.ALIVE,
                HostPort.parse(lease.peerAddress()),
                HostPort.parse(lease.callerAddress()),
                lease.failureDomain()));
    }
}

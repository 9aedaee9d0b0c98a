package org.tarragonring.gateway.streams;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.objects.StoreEra;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.policy.streams.StreamAssignment;
import org.tarragonring.policy.streams.StreamSlot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Every entry reads the record regularly while two versions serve, and must find in it what another one has written. */
class RecordedVersionsTest {

    private static final ServiceName SERVICE = new ServiceName("llm");
    private static final SoftwareVersion V1 = new SoftwareVersion("2026.12.1-r1");
    private static final SoftwareVersion V2 = new SoftwareVersion("2026.12.2-r1");

    /** The models of the fleet to design for. */
    private static final int MODELS = 93;

    /** What control may cost an entry of the fleet to design for. */
    private static final int CONTROL_BYTES_PER_SECOND = 6_000;

    // Load: a release has moved every other slot of all models. Guards against a record that is too large to be
    // followed.
    @Test
    void recordOfAllModelsIsReadAsItWasWrittenAndFitsIntoTheTrafficForControl() {
        StreamAssignment assignment = StreamAssignment.to(V1);
        for (int model = 0; model < MODELS; model++) {
            for (int number = 0; number < StreamSlot.COUNT; number += 2) {
                assignment = assignment.allowing(new StreamSlot("model-name-" + model, number), V2, Set.of(V1, V2));
            }
        }
        RecordedVersions record = new RecordedVersions(
                7, Map.of(SERVICE, Set.of(V1, V2)), Map.of(SERVICE, assignment), true, new StoreEra(3));

        byte[] value = record.encode();

        assertEquals(record, RecordedVersions.decode(new StoredObject("key", 7, value), StoreEra.NONE));
        System.out.println("record of %d models with moved slots: %d bytes".formatted(MODELS, value.length));
        assertTrue(value.length < CONTROL_BYTES_PER_SECOND * ServingVersions.FOLLOW_PERIOD.toSeconds());
    }
}

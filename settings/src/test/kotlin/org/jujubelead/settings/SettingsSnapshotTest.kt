package org.jujubelead.settings

import org.jujubelead.core.ids.ModelId
import org.jujubelead.core.ids.Revision
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.WorkspaceId
import org.jujubelead.core.ids.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class SettingsSnapshotTest {
    private val snapshot = SettingsSnapshot(Revision(1), tree())
    private val acme = WorkspaceId("acme")
    private val zone = ZoneId("zone-a")

    /** Guards against a less specific node overriding a more specific one. */
    @Test
    fun `the most specific node takes precedence`() {
        expectThat(snapshot.forService(acme, ServiceId("booking"), zone).requestTimeoutMs).isEqualTo(5_000)
        expectThat(snapshot.forService(acme, ServiceId("lookup"), zone).requestTimeoutMs).isEqualTo(30_000)
        expectThat(
            snapshot.forService(WorkspaceId("small"), ServiceId("booking"), zone).requestTimeoutMs,
        ).isEqualTo(8_000)
        expectThat(snapshot.forModel(acme, ModelId("chat"), zone))
            .isEqualTo(EffectiveSettings.DEFAULT.copy(share = 2.5, drainLeadS = 90, maxInFlight = 50))
        expectThat(snapshot.forZone(ZoneId("zone-b")).drainLeadS).isEqualTo(60)
    }

    /** Guards against path prefixes that match part of a segment, and against unknown tokens being accepted. */
    @Test
    fun `services are found by path and workspaces by token`() {
        expectThat(snapshot.serviceByPath("/booking/7")).isEqualTo(ServiceId("booking"))
        expectThat(snapshot.serviceByPath("/bookings")).isNull()
        expectThat(snapshot.workspaceByTokenHash("a".repeat(64))).isEqualTo(acme)
        expectThat(snapshot.workspaceByTokenHash("b".repeat(64))).isNull()
    }
}

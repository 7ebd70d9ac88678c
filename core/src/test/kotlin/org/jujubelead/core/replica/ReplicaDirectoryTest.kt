package org.jujubelead.core.replica

import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import kotlin.time.Duration.Companion.seconds

class ReplicaDirectoryTest {
    private val directory = ReplicaDirectory()
    private val start = Timestamp.ZERO

    private fun replica(id: String, draining: Boolean = false, startedAt: Long = 1) = Replica(
        id = ReplicaId(id),
        service = ServiceId("s"),
        endpoint = Endpoint("10.0.0.1", 80),
        zone = ZoneId("z"),
        slots = 8,
        draining = draining,
        startedAtMillis = startedAt,
    )

    private fun list(at: Int, vararg replicas: Replica, revision: Long = at.toLong()) =
        directory.applyListing(replicas.toList(), revision = revision, sentAt = start + at.seconds)

    private fun usable() = directory.replicas.map { it.id.value }

    /** Guards against requests to a replica that has announced its end. */
    @Test
    fun `a draining replica is not used, also when a later entry calls it ready`() {
        list(1, replica("a"), replica("b"))
        list(2, replica("a", draining = true), replica("b"))
        list(3, replica("a"), replica("b"))
        expectThat(usable()).isEqualTo(listOf("b"))
    }

    /** Guards against a replica that is shut out because an earlier incarnation of the same name left. */
    @Test
    fun `a new incarnation of a name is usable`() {
        list(1, replica("a", draining = true))
        list(2, replica("a", startedAt = 2))
        expectThat(usable()).isEqualTo(listOf("a"))
    }

    /** Guards against requests to a replica whose entry was removed in quiet times. */
    @Test
    fun `a vanished replica is gone at once`() {
        list(1, replica("a"), replica("b"))
        list(2, replica("b"))
        expectThat(usable()).isEqualTo(listOf("b"))
    }

    /** Guards against an empty fleet after an outage in which entries lapsed. */
    @Test
    fun `entries that lapsed in an outage are kept until live replicas had time to return`() {
        list(1, replica("a"), replica("b"))
        directory.recordReadFailure(start + 5.seconds)
        list(6, replica("b"))
        expectThat(usable()).isEqualTo(listOf("a", "b"))
        list(8, replica("b"))
        expectThat(usable()).isEqualTo(listOf("b"))
    }

    /** Guards against a draining replica that is used again because of an outage. */
    @Test
    fun `a replica seen draining stays out through an outage`() {
        list(1, replica("a"))
        directory.recordReadFailure(start + 2.seconds)
        list(3, replica("a", draining = true))
        expectThat(usable()).isEqualTo(emptyList())
    }

    /** Guards against an older list that arrives late. */
    @Test
    fun `an older list changes nothing`() {
        list(5, replica("a"))
        expectThat(list(4, replica("a"), replica("b"), revision = 6)).isFalse()
        expectThat(list(6, replica("b"), revision = 4)).isFalse()
        expectThat(usable()).isEqualTo(listOf("a"))
    }
}

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

    /** Guards against requests to a replica that has announced its shutdown. */
    @Test
    fun `a draining replica stays unusable even if a later entry reports it as ready`() {
        list(1, replica("a"), replica("b"))
        list(2, replica("a", draining = true), replica("b"))
        list(3, replica("a"), replica("b"))
        expectThat(usable()).isEqualTo(listOf("b"))
    }

    /** Guards against excluding a replica because an earlier incarnation with the same name was draining. */
    @Test
    fun `a new incarnation with the same name is usable`() {
        list(1, replica("a", draining = true))
        list(2, replica("a", startedAt = 2))
        expectThat(usable()).isEqualTo(listOf("a"))
    }

    /** Guards against requests to a replica whose entry was removed while the registry was available. */
    @Test
    fun `a replica whose entry disappears is removed immediately`() {
        list(1, replica("a"), replica("b"))
        list(2, replica("b"))
        expectThat(usable()).isEqualTo(listOf("b"))
    }

    /** Guards against an empty list of replicas after a registry outage in which entries expired. */
    @Test
    fun `entries that expired in an outage are kept until live replicas have had time to register again`() {
        list(1, replica("a"), replica("b"))
        directory.recordReadFailure(start + 5.seconds)
        list(6, replica("b"))
        expectThat(usable()).isEqualTo(listOf("a", "b"))
        list(8, replica("b"))
        expectThat(usable()).isEqualTo(listOf("b"))
    }

    /** Guards against using a draining replica again because of a registry outage. */
    @Test
    fun `a replica that was reported as draining stays unusable during an outage`() {
        list(1, replica("a"))
        directory.recordReadFailure(start + 2.seconds)
        list(3, replica("a", draining = true))
        expectThat(usable()).isEqualTo(emptyList())
    }

    /** Guards against applying an outdated list that arrives late. */
    @Test
    fun `an outdated list is ignored`() {
        list(5, replica("a"))
        expectThat(list(4, replica("a"), replica("b"), revision = 6)).isFalse()
        expectThat(list(6, replica("b"), revision = 4)).isFalse()
        expectThat(usable()).isEqualTo(listOf("a"))
    }
}

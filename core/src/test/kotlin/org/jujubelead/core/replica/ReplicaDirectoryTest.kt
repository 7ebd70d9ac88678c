package org.jujubelead.core.replica

import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.store.StoreEra
import org.jujubelead.core.store.StoreRevision
import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
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

    private fun list(at: Int, vararg replicas: Replica, revision: Long = at.toLong(), era: Long = 1) =
        directory.applyListing(replicas.toList(), StoreRevision(StoreEra(era), revision), sentAt = start + at.seconds)

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

    /** Guards against lists that are ignored for good because a return from a copy gives out lower revisions. */
    @Test
    fun `a list of a later era is applied at a lower revision, and a late one of the earlier era is not`() {
        list(1, replica("a"), revision = 40)
        expectThat(list(2, replica("a"), replica("b"), revision = 36, era = 2)).isTrue()
        expectThat(list(3, replica("a"), revision = 41, era = 1)).isFalse()
        expectThat(usable()).isEqualTo(listOf("a", "b"))
    }

    /** Guards against an outage of a service whose replicas have to register again after a return from a copy. */
    @Test
    fun `entries that are missing in a new era are kept until live replicas have had time to register again`() {
        list(1, replica("a"), replica("b"))
        list(2, replica("b"), era = 2)
        expectThat(usable()).isEqualTo(listOf("a", "b"))
        list(5, replica("b"), era = 2)
        expectThat(usable()).isEqualTo(listOf("b"))
    }

    /** Guards against requests to a replica that has left, whose entry is in the copy. */
    @Test
    fun `a replica that has left is not used when a new era shows it again, unless its entry stays`() {
        list(1, replica("a"), replica("b"))
        list(2, replica("b"))
        list(3, replica("a"), replica("b"), era = 2)
        list(7, replica("a"), replica("b"), era = 2)
        expectThat(usable()).isEqualTo(listOf("b"))
        list(8, replica("a"), replica("b"), era = 2)
        expectThat(usable()).isEqualTo(listOf("b", "a"))
    }

    /** Guards against a long absence of a replica whose entry had lapsed although it was alive. */
    @Test
    fun `a replica that registers again in the same era is used at once`() {
        list(1, replica("a"))
        list(2)
        list(3, replica("a"))
        expectThat(usable()).isEqualTo(listOf("a"))
    }
}

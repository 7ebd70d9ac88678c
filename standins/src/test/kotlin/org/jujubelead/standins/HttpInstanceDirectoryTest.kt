package org.jujubelead.standins

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.runBlocking
import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.membership.InstanceRecord
import org.jujubelead.core.membership.InstanceRole
import org.jujubelead.core.membership.InstanceState
import org.jujubelead.platform.DirectoryError
import org.jujubelead.platform.HttpInstanceDirectory
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

class HttpInstanceDirectoryTest {
    private val service = DirectoryService()
    private val server = StandInServer(modules = listOf(DirectoryHttp(service)))
    private val directory = HttpInstanceDirectory(server.baseUrl)
    private val record = InstanceRecord(
        id = InstanceId("a"),
        incarnation = Incarnation("1"),
        zone = ZoneId("z"),
        role = InstanceRole.AGENT,
        host = "127.0.0.1",
        port = 1,
    )

    @AfterEach
    fun stop() {
        directory.close()
        server.close()
    }

    /** Guards against records that are changed on the wire, and against an outage that looks like an empty list. */
    @Test
    fun `records are transmitted unchanged and an outage is an error`() = runBlocking<Unit> {
        directory.announce(record)
        expectThat(directory.snapshot().get()).isEqualTo(listOf(record))
        server.control("directory", """{"outage":true}""")
        expectThat(directory.snapshot().getError()).isA<DirectoryError.Unavailable>()
        server.close()
        expectThat(directory.snapshot().getError()).isA<DirectoryError.Unavailable>()
    }

    /** Guards against changes that are visible before the lag has passed, or while the list is frozen. */
    @Test
    fun `changes are delayed, a frozen list does not change, and a leaving instance stays leaving`() {
        service.lag = 100.milliseconds
        service.announce(record, nowMillis = 0)
        expectThat(service.snapshot(99)).isEqualTo(emptyList())
        expectThat(service.snapshot(100)).containsExactly(record)
        service.markLeaving(record.id, nowMillis = 200)
        service.announce(record, nowMillis = 250)
        service.frozen = true
        expectThat(service.snapshot(400)).containsExactly(record)
        service.frozen = false
        expectThat(service.snapshot(400)).containsExactly(record.copy(state = InstanceState.LEAVING))
    }

    /** Guards against a proxy that is bypassed after the instance has announced itself again. */
    @Test
    fun `a rerouted instance keeps the port of its proxy`() {
        service.reroute(record.id, port = 7)
        service.announce(record, nowMillis = 0)
        service.announce(record.copy(state = InstanceState.LEAVING), nowMillis = 1)
        expectThat(service.snapshot(1).map { it.port }).containsExactly(7)
    }
}

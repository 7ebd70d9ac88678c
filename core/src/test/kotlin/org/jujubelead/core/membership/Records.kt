/** Factories of records, keys and timestamps for tests. */
package org.jujubelead.core.membership

import org.jujubelead.core.ids.Incarnation
import org.jujubelead.core.ids.InstanceId
import org.jujubelead.core.ids.ZoneId
import org.jujubelead.core.time.Timestamp

internal val chat = TargetSetId(TargetKind.MODEL, "chat")

internal fun record(
    index: Int,
    state: InstanceState = InstanceState.LIVE,
    incarnation: String = "1",
    zone: String = "z${index % 3}",
) = InstanceRecord(
    InstanceId("t$index"), Incarnation(incarnation), ZoneId(zone), InstanceRole.AGENT, "127.0.0.1", 7000 + index,
    state, chat.kind, chat.serves,
)

internal fun key(index: Int, incarnation: String = "1") = TargetKey(InstanceId("t$index"), Incarnation(incarnation))

internal fun seconds(value: Double) = Timestamp((value * 1_000_000).toLong())

internal fun seconds(value: Int) = seconds(value.toDouble())

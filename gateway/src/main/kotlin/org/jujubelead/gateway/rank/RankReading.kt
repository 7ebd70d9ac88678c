/**
 * Reading of a rank by its agent, as it is sent to the coordinator.
 *
 * A replica's report has half a kilobyte, of which a coordinator needs a dozen numbers. All ranks of a group answer
 * each order, and the answers share the small link of the coordinator's instance, so the agent decodes the report and
 * sends only these numbers.
 */
package org.jujubelead.gateway.rank

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import org.jujubelead.core.expertmap.ArmedMap
import org.jujubelead.core.expertmap.MapVersion
import org.jujubelead.core.expertmap.RankObservation
import org.jujubelead.core.ids.GroupId
import org.jujubelead.core.time.Timestamp
import kotlin.math.roundToLong

private const val SLOWDOWN_UNITS = 100.0

/**
 * @property readAtMicros when the report was requested, on the agent's monotonic clock.
 * @property observation what the report says. Its time and its group are the reader's own and are not sent; a receiver
 * replaces them.
 */
@Serializable(with = RankReadingSerializer::class)
internal class RankReading(val readAtMicros: Long, val observation: RankObservation)

/** Writes a reading as Base64 text of varints. */
internal object RankReadingSerializer : KSerializer<RankReading> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("rank reading", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: RankReading): Unit = encoder.encodeString(encode(value))

    override fun deserialize(decoder: Decoder): RankReading = try {
        decode(decoder.decodeString())
    } catch (e: IllegalArgumentException) {
        throw SerializationException("malformed reading", e)
    }

    private fun encode(reading: RankReading): String = VarintWriter().apply {
        val o = reading.observation
        signed(reading.readAtMicros)
        signed(o.rank.toLong())
        signed(o.size.toLong())
        signed(o.epoch)
        number(if (o.open) 1 else 0)
        signed(o.step)
        signed(o.map.value)
        optional(o.prepared?.value)
        optional(o.armed?.version?.value)
        optional(o.armed?.step)
        optional(o.heldAt)
        signed((o.slowdown * SLOWDOWN_UNITS).roundToLong())
        signed(o.running.toLong())
    }.text()

    private fun decode(text: String): RankReading = with(VarintReader(text)) {
        RankReading(
            readAtMicros = signed(),
            observation = RankObservation(
                group = UNKNOWN_GROUP,
                rank = signed().toInt(),
                size = signed().toInt(),
                epoch = signed(),
                open = number() == 1,
                step = signed(),
                map = MapVersion(signed()),
                prepared = optional()?.let(::MapVersion),
                armed = armed(version = optional(), step = optional()),
                heldAt = optional(),
                slowdown = signed() / SLOWDOWN_UNITS,
                running = signed().toInt(),
                observedAt = Timestamp.ZERO,
            ),
        )
    }

    /** No group has this name, so that an observation whose group was not replaced belongs to none. */
    private val UNKNOWN_GROUP = GroupId("")

    private fun armed(version: Long?, step: Long?): ArmedMap? =
        if (version == null || step == null) null else ArmedMap(MapVersion(version), step)
}

/** JSON format of the evidence against prompt parts, in the store and in reports between gateways. */
package org.jujubelead.gateway.quarantine

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.jujubelead.core.ids.PromptPartId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.quarantine.CrashSign
import org.jujubelead.core.quarantine.PartKey
import org.jujubelead.core.quarantine.PartRecord
import org.jujubelead.core.replica.Incarnation
import org.jujubelead.core.replica.ReplicaId
import org.jujubelead.platform.wire.DecodeError
import org.jujubelead.platform.wire.decodeJson

@Serializable
private data class CrashEntry(
    val replica: String,
    val startedAtMillis: Long,
    val sign: CrashSign,
    val cleared: Boolean = false,
)

@Serializable
private data class PartEntry(
    val service: String,
    val part: String,
    val own: Boolean = false,
    val crashes: List<CrashEntry>,
    val vouched: Boolean = false,
    val trials: Int = 0,
    val nextTrialMillis: Long,
    val expiresMillis: Long,
)

internal fun encodeEvidence(records: Map<PartKey, PartRecord>): String = Json.encodeToString(
    records.map { (key, record) ->
        PartEntry(
            service = key.service.value,
            part = key.part.value,
            own = key.own,
            crashes = record.crashes.map { (crash, sign) ->
                CrashEntry(crash.replica.value, crash.startedAtMillis, sign, crash in record.cleared)
            },
            vouched = record.vouched,
            trials = record.trials,
            nextTrialMillis = record.nextTrialMillis,
            expiresMillis = record.expiresMillis,
        )
    },
)

/** Returns the reason if [text] is not such evidence. */
internal fun decodeEvidence(text: String): Result<Map<PartKey, PartRecord>, DecodeError> =
    decodeJson("evidence", ListSerializer(PartEntry.serializer()), text)
        .map { entries -> entries.associate { it.toRecord() } }

private fun PartEntry.toRecord(): Pair<PartKey, PartRecord> {
    val cleared = crashes.filter { it.cleared }.mapTo(HashSet()) { it.incarnation() }
    return PartKey(ServiceId(service), PromptPartId(part), own) to PartRecord(
        crashes = crashes.associate { it.incarnation() to it.sign },
        cleared = cleared,
        vouched = vouched,
        trials = trials,
        nextTrialMillis = nextTrialMillis,
        expiresMillis = expiresMillis,
    )
}

private fun CrashEntry.incarnation() = Incarnation(ReplicaId(replica), startedAtMillis)

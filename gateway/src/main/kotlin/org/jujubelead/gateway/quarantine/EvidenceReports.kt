/**
 * Sends the evidence against prompt parts to the other gateways in datagrams, next to the load reports.
 *
 * A change is sent at once and repeated a few times, since datagrams are lost. Afterwards it is repeated rarely; the
 * store has the evidence for gateways that missed it. Runs on the data plane's event loop.
 */
package org.jujubelead.gateway.quarantine

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.jujubelead.core.quarantine.PartKey
import org.jujubelead.core.quarantine.PartRecord
import org.jujubelead.core.quarantine.mostImportant
import org.jujubelead.gateway.telemetry.EventLog
import org.jujubelead.gateway.telemetry.LogEvent

/**
 * @param records the evidence of this gateway.
 * @param onReport receives the evidence of another gateway.
 */
internal class EvidenceReports(
    private val log: EventLog,
    private val records: () -> Map<PartKey, PartRecord>,
    private val onReport: (Map<PartKey, PartRecord>) -> Unit,
) {
    private var promptSends = 0
    private var fullReports = 0

    /** Schedules reports of changed evidence. */
    fun onChanged() {
        promptSends = PROMPT_SENDS
    }

    /** Called before each load report; returns the datagram to send to all gateways, or null. */
    fun next(fullReport: Boolean): ByteBuf? {
        if (records().isEmpty()) return null
        val due = if (promptSends > 0) promptSends-- > 0 else fullReport && fullReports++ % FULL_REPORTS_PER_REPEAT == 0
        if (!due) return null
        val evidence = encodeEvidence(records().mostImportant(MAX_RECORDS_PER_REPORT))
        return Unpooled.buffer().writeByte(FORMAT).writeBytes(evidence.toByteArray())
    }

    /** Handles a datagram of another gateway. */
    fun onDatagram(bytes: ByteBuf) {
        decodeEvidence(bytes.skipBytes(1).toString(Charsets.UTF_8))
            .onSuccess(onReport)
            .onFailure { log.log(LogEvent.EVIDENCE_UNREADABLE, "from" to "gateway", "detail" to it) }
    }

    companion object {
        /** First byte of the datagram; other reports start with a different one. */
        const val FORMAT: Int = 3
        private const val PROMPT_SENDS = 3
        private const val FULL_REPORTS_PER_REPEAT = 10

        /** Keeps a datagram small. */
        private const val MAX_RECORDS_PER_REPORT = 6
    }
}

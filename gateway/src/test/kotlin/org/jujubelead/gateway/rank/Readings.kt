package org.jujubelead.gateway.rank

import com.github.michaelbull.result.get
import org.jujubelead.core.time.Timestamp
import org.jujubelead.platform.wire.decodeRankReport

/** Returns the reading that an agent makes of [report]. */
internal fun readingOf(report: String, readAtMicros: Long): RankReading =
    RankReading(readAtMicros, checkNotNull(decodeRankReport(report, Timestamp.ZERO).get()))

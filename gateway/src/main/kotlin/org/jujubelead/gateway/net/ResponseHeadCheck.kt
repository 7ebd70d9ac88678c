/**
 * Checks the bytes of a response's head before they are parsed.
 *
 * A parser joins a part of another response with the head behind it, and is lenient towards odd lines: the status and
 * the first headers would be those of the other response. Such a head has a second status line, as a line of its own or
 * at the end of one, or a line that is no header. A status outside of the five classes is none, and
 * a response that has no content cannot announce any.
 */
package org.jujubelead.gateway.net

import io.netty.buffer.ByteBuf

internal object ResponseHeadCheck {
    private val statusLine = Regex("""HTTP/1\.[01] [1-5]\d{2}( [^\r]*)?""")
    private val nestedStatusLine = Regex("""HTTP/1\.[01]\s+\d{3}(\s|$)""", RegexOption.IGNORE_CASE)
    private val contentlessStatusLine = Regex("""^HTTP/1\.[01] (1\d{2}|204)\b""")
    private val bodyLine = Regex("""transfer-encoding:.*|content-length:\s*0*[1-9].*""", RegexOption.IGNORE_CASE)
    private val headerLine = Regex("""[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r]*""")

    /** Returns the index behind the empty line that ends the head in [bytes]; -1 if it has not arrived. */
    fun endOfHead(bytes: ByteBuf): Int {
        var lineStart = bytes.readerIndex()
        while (true) {
            val newline = bytes.indexOf(lineStart, bytes.writerIndex(), LF)
            if (newline < 0) return -1
            val empty = newline == lineStart || (newline == lineStart + 1 && bytes.getByte(lineStart) == CR)
            if (empty) return newline + 1
            lineStart = newline + 1
        }
    }

    /** Returns whether [bytes] up to [end] are the head of one response. */
    fun isValid(bytes: ByteBuf, end: Int): Boolean {
        val start = bytes.readerIndex()
        val lines = bytes.toString(start, end - start, Charsets.ISO_8859_1).removeSuffix(HEAD_END).split(LINE_END)
        val first = lines.first()
        if (contentlessStatusLine.containsMatchIn(first) && lines.any(bodyLine::matches)) return false
        return statusLine.matches(first) && !nestedStatusLine.containsMatchIn(first.drop(1)) &&
            lines.drop(1).all { headerLine.matches(it) && !nestedStatusLine.containsMatchIn(it) }
    }

    private const val LINE_END = "\r\n"
    private const val HEAD_END = "\r\n\r\n"
    private const val LF = '\n'.code.toByte()
    private const val CR = '\r'.code.toByte()
}

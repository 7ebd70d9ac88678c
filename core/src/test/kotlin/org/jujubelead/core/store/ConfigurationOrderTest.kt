package org.jujubelead.core.store

import org.jujubelead.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

class ConfigurationOrderTest {
    private val order = ConfigurationOrder(settleTime = 2.5.seconds)

    private fun at(second: Double) = Timestamp.ZERO + second.seconds

    /** Reads [version] at [number] in [era] in second [at]. Returns whether it is the newest. */
    private fun read(at: Double, era: Long, number: Long, version: Long): Boolean {
        order.onAnswer(StoreEra(era), at(at))
        return order.onRead(StoreRevision(StoreEra(era), number), version, at(at))
    }

    private fun settle(era: Long) {
        read(0.0, era, number = 10, version = 5)
        order.onUnchanged(at(3.0))
    }

    /** Guards against an older configuration that replaces a newer one, or that proves it. */
    @Test
    fun `an older version of a later era is neither the newest nor a proof`() {
        settle(era = 1)
        expectThat(read(5.0, era = 2, number = 9, version = 4)).isFalse()
        expectThat(order.isProof(at(5.0))).isFalse()
        expectThat(order.isProof(at(60.0))).isFalse()
        expectThat(order.newestVersion).isEqualTo(5)
    }

    /** Guards against gateways that wait although the operator has written the configuration in use again. */
    @Test
    fun `the known version at another number of the next era is a proof`() {
        settle(era = 1)
        expectThat(read(5.0, era = 2, number = 8, version = 5)).isTrue()
        expectThat(order.isProof(at(5.0))).isTrue()
    }

    /** Guards against revoked keys that are trusted since a copy holds the entry that was known. */
    @Test
    fun `the known entry in a new era is a proof only once the era has settled`() {
        settle(era = 1)
        read(5.0, era = 2, number = 10, version = 5)
        expectThat(order.isProof(at(7.4))).isFalse()
        expectThat(order.isProof(at(7.5))).isTrue()
    }

    /** Guards against a proof by an entry that an earlier era had written at that number. */
    @Test
    fun `an entry that was read at this number in an earlier era is no proof`() {
        settle(era = 1)
        read(5.0, era = 2, number = 8, version = 5)
        read(6.0, era = 3, number = 10, version = 5)
        expectThat(order.isProof(at(6.0))).isFalse()
    }

    /** Guards against a proof by an entry of an era that was missed. */
    @Test
    fun `after more than one return only the time or a change in the era is a proof`() {
        settle(era = 1)
        read(5.0, era = 3, number = 8, version = 5)
        expectThat(order.isProof(at(5.0))).isFalse()
        read(5.5, era = 3, number = 9, version = 6)
        expectThat(order.isProof(at(5.5))).isTrue()
    }

    /** Guards against a wait of each gateway that starts long after a return. */
    @Test
    fun `an era that another instance has seen settle is settled`() {
        read(0.0, era = 2, number = 10, version = 5)
        expectThat(order.isProof(at(0.0))).isFalse()
        order.onSettledElsewhere(StoreEra(1))
        expectThat(order.isProof(at(0.0))).isFalse()
        order.onSettledElsewhere(StoreEra(2))
        expectThat(order.isProof(at(0.0))).isTrue()
    }

    /** Guards against a settling time that a late answer of the earlier era starts again. */
    @Test
    fun `an answer of an earlier era changes nothing`() {
        read(0.0, era = 2, number = 10, version = 5)
        order.onAnswer(StoreEra(1), at(2.0))
        expectThat(order.isSettled(at(2.5))).isTrue()
    }
}

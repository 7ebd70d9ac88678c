package org.jujubelead.core.quarantine

import org.jujubelead.core.ids.PromptPartId
import org.jujubelead.core.ids.ServiceId
import org.jujubelead.core.replica.Incarnation
import org.jujubelead.core.replica.ReplicaId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

class PromptQuarantineTest {
    private val service = ServiceId("s")
    private val quarantine = PromptQuarantine()

    private fun parts(names: String) = names.split(' ').map(::PromptPartId)

    private fun incarnation(n: Int) = Incarnation(ReplicaId("r$n"), n.toLong())

    private fun PromptQuarantine.crash(n: Int, names: String, started: Boolean = true, at: Long = 0) =
        crashed(service, incarnation(n), parts(names), started, at)

    private fun PromptQuarantine.admits(names: String, at: Long = 0) =
        decide(service, parts(names), at) == QuarantineDecision.Admitted

    /** Guards against a part that has to crash several replicas before it is kept from them. */
    @Test
    fun `a part that was never answered is quarantined after one crash of a started response`() {
        quarantine.answered(service, parts("system"))
        quarantine.crash(1, "system dead")
        expectThat(quarantine.admits("system dead")).isFalse()
        expectThat(quarantine.admits("other dead")).isFalse()
    }

    /** Guards against refusing callers whose prompts share only the other parts with those that crash replicas. */
    @Test
    fun `companions of a deadly part stay admitted, also if they were never answered`() {
        quarantine.crash(1, "system dead")
        quarantine.crash(2, "system dead")
        expectThat(quarantine.admits("system")).isTrue()
        expectThat(quarantine.admits("system other")).isTrue()
    }

    /** Guards against a shared part that escapes because a new part follows it in each prompt. */
    @Test
    fun `a deadly part before ever new parts is quarantined within four crashes`() {
        val crashes = (1..9).first { n ->
            quarantine.crash(n, "system dead new$n")
            !quarantine.admits("dead another")
        }
        expectThat(crashes).isLessThanOrEqualTo(4)
    }

    /** Guards against replicas that crash before the head of the response, so that no attempt had started. */
    @Test
    fun `requests that waited at two crashed replicas put their common part under quarantine`() {
        quarantine.answered(service, parts("system"))
        quarantine.crash(1, "system dead", started = false)
        expectThat(quarantine.admits("system dead")).isTrue()
        quarantine.answered(service, parts("system"))
        quarantine.crash(2, "system dead", started = false)
        expectThat(quarantine.admits("system dead")).isFalse()
        expectThat(quarantine.admits("system")).isTrue()
    }

    private fun PromptQuarantine.crashOwn(n: Int, names: String, own: String, started: Boolean = true) =
        crashed(service, incarnation(n), parts(names), started, wallMillis = 0, own = PromptPartId(own))

    private fun PromptQuarantine.admitsOwn(names: String, own: String) =
        decide(service, parts(names), wallMillis = 0, own = PromptPartId(own)) == QuarantineDecision.Admitted

    /** Guards against a request that crashes a replica each time it is sent, as its parts are shared with sound ones. */
    @Test
    fun `the own part of a request is quarantined after one crash of a started response`() {
        quarantine.answered(service, parts("system"))
        quarantine.crashOwn(1, "system", own = "dead")
        expectThat(quarantine.admitsOwn("system", own = "dead")).isFalse()
        expectThat(quarantine.mayRepeat(service, parts("system"), PromptPartId("dead"))).isFalse()
        quarantine.answered(service, parts("system"))
        expectThat(quarantine.admitsOwn("system", own = "dead")).isFalse()
        expectThat(quarantine.admitsOwn("system", own = "sound")).isTrue()
        expectThat(quarantine.admits("dead")).isTrue()
        quarantine.answered(service, parts("system"), PromptPartId("dead"))
        expectThat(quarantine.admitsOwn("system", own = "dead")).isTrue()
    }

    /** Guards against callers who are sent away because their requests waited at a replica that another one crashed. */
    @Test
    fun `a request that had only waited at the replica may be repeated`() {
        quarantine.answered(service, parts("system"))
        quarantine.crashOwn(1, "system", own = "waiting", started = false)
        expectThat(quarantine.mayRepeat(service, parts("system"), PromptPartId("waiting"))).isTrue()
        expectThat(quarantine.admitsOwn("system", own = "waiting")).isTrue()
    }

    /** Guards against a deadly shared part that is forgotten because each prompt with it has another own part. */
    @Test
    fun `own parts do not displace shared ones`() {
        quarantine.answered(service, parts("system"))
        quarantine.crash(1, "system dead")
        repeat(200) { quarantine.crashOwn(2 + it, "system", own = "own$it") }
        expectThat(quarantine.admits("system dead")).isFalse()
    }

    /** Guards against a part that worked until the replicas were changed and crashes them since. */
    @Test
    fun `a part that was answered before is quarantined after several crashes without an answer`() {
        quarantine.answered(service, parts("system dead"))
        quarantine.crash(1, "system dead")
        expectThat(quarantine.admits("system dead")).isTrue()
        quarantine.answered(service, parts("system"))
        quarantine.crash(2, "system dead")
        expectThat(quarantine.admits("system dead")).isFalse()
        expectThat(quarantine.admits("system")).isTrue()
    }

    /** Guards against blaming popular prompts when many replicas crash for other reasons. */
    @Test
    fun `answers between crashes keep popular parts admitted`() {
        repeat(50) { n ->
            quarantine.answered(service, parts("system a"))
            quarantine.crash(n, "system a", started = n % 3 == 0)
            expectThat(quarantine.admits("system a")).isTrue()
        }
    }

    /** Guards against suspicions that depend on the order in which evidence arrives. */
    @Test
    fun `instances that exchange evidence in any order and more than once agree`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val instances = List(4) { PromptQuarantine() }
            fun exchange() = instances.random(random).merge(instances.random(random).records, wallMillis = 0)
            repeat(30) {
                val names = "p${random.nextInt(3)} p${random.nextInt(3, 6)}"
                when (random.nextInt(4)) {
                    0 -> instances.random(random).crash(random.nextInt(6), names, random.nextBoolean())
                    1 -> instances.random(random).answered(service, parts(names))
                    else -> exchange()
                }
            }
            repeat(3) { instances.forEach { a -> instances.forEach { b -> a.merge(b.records, wallMillis = 0) } } }
            expectThat(instances.map { it.records }.toSet().size).isEqualTo(1)
        }
    }

    /** Guards against a crash that one instance saw and others, or restarted ones, do not act upon. */
    @Test
    fun `evidence of one instance holds for another one that starts later`() {
        quarantine.crash(1, "system dead")
        val restarted = PromptQuarantine()
        restarted.merge(quarantine.records, wallMillis = 1_000)
        expectThat(restarted.decide(service, parts("system dead"), 1_000)).isA<QuarantineDecision.Refused>()
        expectThat(restarted.admits("system", at = 1_000)).isTrue()
    }

    /** Guards against a deadly part that is forgotten because many replicas crash later for another reason. */
    @Test
    fun `a quarantined part stays so when later crashes put many others under suspicion`() {
        quarantine.crash(1, "dead")
        repeat(200) { n -> quarantine.crash(100 + n, "victim$n", started = false, at = 1_000L + n) }
        expectThat(quarantine.admits("dead", at = 2_000)).isFalse()
        val other = PromptQuarantine()
        repeat(200) { n -> other.crash(100 + n, "victim$n", started = false, at = 1_000L + n) }
        other.merge(quarantine.records, wallMillis = 2_000)
        expectThat(other.admits("dead", at = 2_000)).isFalse()
    }

    /** Guards against evidence that is too old and against evidence of another service. */
    @Test
    fun `a quarantine applies to one service and is forgotten after some hours`() {
        quarantine.crash(1, "dead")
        expectThat(quarantine.decide(ServiceId("other"), parts("dead"), 0)).isEqualTo(QuarantineDecision.Admitted)
        expectThat(quarantine.admits("dead", at = HOUR)).isFalse()
        quarantine.expire(4 * HOUR)
        expectThat(quarantine.admits("dead", at = 4 * HOUR)).isTrue()
    }

    /** Guards against a part that stays refused for hours because a replica crashed for another reason. */
    @Test
    fun `a wrongly quarantined part is tried with one request and released by its answer`() {
        quarantine.crash(1, "new")
        repeat(39) { quarantine.admits("new", at = 1_000) }
        expectThat(quarantine.dueTrial(1_000) { 40 }).isNull()
        quarantine.admits("new", at = 1_000)
        val (key, record) = checkNotNull(quarantine.dueTrial(1_000) { 40 })
        quarantine.merge(mapOf(key to record), wallMillis = 1_000)
        quarantine.grantTrial(key)
        expectThat(quarantine.admits("new", at = 1_100)).isTrue()
        expectThat(quarantine.admits("new", at = 1_100)).isFalse()
        quarantine.answered(service, parts("new"))
        expectThat(quarantine.admits("new", at = 1_200)).isTrue()
    }

    /** Guards against trials of a deadly part that keep crashing replicas. */
    @Test
    fun `the pause between failed trials grows`() {
        quarantine.crash(1, "dead")
        var now = 0L
        val pauses = (2..4).map { n ->
            val before = now
            var due: Pair<PartKey, PartRecord>? = null
            while (due == null) {
                now += 10_000
                quarantine.admits("dead", at = now)
                due = quarantine.dueTrial(now) { 100_000 }
            }
            quarantine.merge(mapOf(due), wallMillis = now)
            quarantine.grantTrial(due.first)
            expectThat(quarantine.admits("dead", at = now)).isTrue()
            quarantine.crash(n, "dead", at = now)
            (now - before) / 60_000
        }
        expectThat(pauses).isEqualTo(listOf(2L, 16L, 128L))
    }

    /** Guards against repeating a request at further replicas when it is the likely cause of a crash. */
    @Test
    fun `only requests whose parts were answered before are repeated after a crash`() {
        quarantine.answered(service, parts("system"))
        quarantine.crash(1, "system dead", started = false)
        expectThat(quarantine.mayRepeat(service, parts("system dead"))).isFalse()
        expectThat(quarantine.mayRepeat(service, parts("system"))).isTrue()
        expectThat(quarantine.mayRepeat(service, emptyList())).isTrue()
        expectThat(quarantine.records[PartKey(service, PromptPartId("dead"))]).isNotNull()
    }

    private companion object {
        const val HOUR = 3_600_000L
    }
}

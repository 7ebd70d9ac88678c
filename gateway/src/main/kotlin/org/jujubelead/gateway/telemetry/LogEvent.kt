/** Numbered log events of the gateway and the rank agent. docs/events-platform.md lists each with its meaning. */
package org.jujubelead.gateway.telemetry

/**
 * @property code stable code of the event.
 * @property essential false if lines of the event may be dropped under load.
 */
public enum class LogEvent(public val code: String, public val essential: Boolean = true) {
    STARTED("JJ-6001"),
    STOP_REQUESTED("JJ-6002"),
    STOPPED("JJ-6003"),
    SETTINGS_RELOADED("JJ-6004"),
    SETTINGS_REJECTED("JJ-6005"),
    CONFIGURATION_APPLIED("JJ-6101"),
    CONFIGURATION_UNREADABLE("JJ-6102"),
    REPLICAS_CHANGED("JJ-6103"),
    REPLICA_ENTRIES_UNREADABLE("JJ-6104"),
    STORE_LOST("JJ-6105"),
    STORE_REGAINED("JJ-6106"),
    READINESS_CHANGED("JJ-6107"),
    PEERS_CHANGED("JJ-6108"),
    SLOW_RANKS_CHANGED("JJ-6109"),
    PART_SUSPECTED("JJ-6110"),
    EVIDENCE_UNREADABLE("JJ-6111"),
    EVIDENCE_NOT_STORED("JJ-6112"),
    PART_TRIAL("JJ-6113"),
    REPLICA_LIMIT("JJ-6114"),
    REQUEST_ANSWERED("JJ-6201", essential = false),
    REQUEST_REFUSED("JJ-6202"),
    REQUEST_FAILED("JJ-6203"),
    REQUEST_ABANDONED("JJ-6204"),
    ATTEMPT_ENDED("JJ-6205"),
    STREAM_RESUMED("JJ-6206"),
    CALLER_PROTOCOL_ERROR("JJ-6207"),
    STRAY_BYTES("JJ-6208"),
    LEADERSHIP_CHANGED("JJ-6301"),
    RANKS_CHANGED("JJ-6302"),
    MAP_CHANGE_STEP("JJ-6303"),
    MAP_ORDER_ENDED("JJ-6304", essential = false),
    MAP_ORDER_FAILED("JJ-6305"),
    RANK_UNREADABLE("JJ-6306"),
    ORDER_REFUSED("JJ-6307"),
    GROUP_LOAD("JJ-6308"),
    LEADER_UNREADABLE("JJ-6309"),
    ELECTION_LOST("JJ-6310"),
    ORDER_NOT_RELAYED("JJ-6311"),
    DEFECT("JJ-6901"),
    LINES_DROPPED("JJ-6902"),
}

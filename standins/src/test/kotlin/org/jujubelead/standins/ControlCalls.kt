/** Helpers for the control interface of the simulated services. */
package org.jujubelead.standins

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** Sets the faults of one simulated service. */
internal fun StandInServer.control(name: String, json: String) {
    val body = HttpRequest.BodyPublishers.ofString(json)
    val request = HttpRequest.newBuilder(URI("$baseUrl/_control/$name")).PUT(body).build()
    val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
    check(response.statusCode() == 204) { "control request failed: ${response.statusCode()} ${response.body()}" }
}

/** Request and response messages of the chat completions API. */
package org.jujubelead.runtime.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

@Serializable
internal data class ChatMessage(val role: String, val content: String)

@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
    val seed: Long? = null,
)

@Serializable
internal data class ChatDelta(val role: String? = null, val content: String? = null)

@Serializable
internal data class ChunkChoice(
    val index: Int,
    val delta: ChatDelta,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class ChatChunk(
    val id: String,
    val `object`: String = "chat.completion.chunk",
    val created: Long,
    val model: String,
    val choices: List<ChunkChoice>,
)

@Serializable
internal data class AnswerChoice(
    val index: Int,
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String,
)

@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
)

@Serializable
internal data class ChatAnswer(
    val id: String,
    val `object`: String = "chat.completion",
    val created: Long,
    val model: String,
    val choices: List<AnswerChoice>,
    val usage: Usage,
)

@Serializable
internal data class ModelEntry(
    val id: String,
    val `object`: String = "model",
    @SerialName("owned_by") val ownedBy: String = "workspace",
)

@Serializable
internal data class ModelList(val `object`: String = "list", val data: List<ModelEntry>)

/** Codec of these messages. Unknown fields are ignored because clients send many that routing does not need. */
internal val chatJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** All messages as one prompt. Engines cache prompt prefixes. */
internal fun ChatRequest.prompt(): String = messages.joinToString("\n") { "${it.role}: ${it.content}" }

package samphirechute.core.api

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/**
 * The JSON format of the operator interface: field names in snake case, null fields left out, defaults written out.
 * Unknown fields are ignored, so that a command line and a daemon of adjacent versions can talk to each other.
 */
@OptIn(ExperimentalSerializationApi::class)
val ApiJson: Json =
    Json {
        namingStrategy = JsonNamingStrategy.SnakeCase
        encodeDefaults = true
        explicitNulls = false
        ignoreUnknownKeys = true
    }

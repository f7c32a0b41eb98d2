package samphirechute.core.api

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/**
 * The JSON format of the operator interface: names in snake case, absent instead of null, defaults written out.
 * Unknown names are ignored, so that a command line and a daemon of neighbouring versions understand each other.
 */
@OptIn(ExperimentalSerializationApi::class)
val ApiJson: Json =
    Json {
        namingStrategy = JsonNamingStrategy.SnakeCase
        encodeDefaults = true
        explicitNulls = false
        ignoreUnknownKeys = true
    }

//! Warm-up state of endpoints.

/// Whether an endpoint is in cold start.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Temperature {
    /// The limit is below the full limit.
    Cold,
    /// The endpoint has its full limit.
    Warm,
}

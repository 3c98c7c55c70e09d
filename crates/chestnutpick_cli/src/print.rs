//! Formatting of responses.

use crate::api;
use crate::options;

/// Formats a response as text or JSON. JSON output contains only the rows if the response has any.
///
/// ```
/// use chestnutpick_cli::{api, options, print};
/// let response = api::Response { value: serde_json::json!({"text": "accepted as revision 3\n", "revision": 3}) };
/// assert_eq!(print::render(&response, options::Output::Table), "accepted as revision 3\n");
/// ```
pub fn render(response: &api::Response, output: options::Output) -> String {
    match output {
        options::Output::Json => {
            let selected = response.value.get("rows").unwrap_or(&response.value);
            format!("{selected:#}\n")
        }
        options::Output::Table => format!("{}{}", response.text(), zone_lines(&response.value)),
    }
}

fn zone_lines(value: &serde_json::Value) -> String {
    let Some(zones) = value.get("zones").and_then(serde_json::Value::as_object) else {
        return String::new();
    };
    let line = |(zone, progress): (&String, &serde_json::Value)| {
        let missing = progress["not_reached"].as_array().map_or(0, Vec::len);
        let state = if missing == 0 {
            "in force".to_owned()
        } else {
            format!("not reached: {}", progress["not_reached"])
        };
        format!("  {zone}: {} hosts, {state}\n", progress["in_force"])
    };
    zones.iter().map(line).collect()
}

/// Returns whether the response lists no host as not reached. A wait that timed out lists such hosts.
///
/// ```
/// use chestnutpick_cli::{api, print};
/// let response = api::Response { value: serde_json::json!({"zones": {"lima": {"not_reached": ["runner-1"]}}}) };
/// assert!(!print::is_complete(&response));
/// ```
pub fn is_complete(response: &api::Response) -> bool {
    let zones = response.value.get("zones").and_then(serde_json::Value::as_object);
    let missing = |zone: &serde_json::Value| {
        zone["not_reached"].as_array().is_some_and(|list| !list.is_empty())
    };
    !zones.is_some_and(|zones| zones.values().any(missing))
}

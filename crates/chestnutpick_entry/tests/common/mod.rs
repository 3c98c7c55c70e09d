//! Set-up shared by the tests of an entry.

use std::path::Path;

use chestnutpick_entry::{node, settings};
use chestnutpick_settings::file;

const SETTINGS: &str = r#"
    host = "h1"
    zone = "lima"
    region = "coast"
    listen = "127.0.0.1:0"
    control = "127.0.0.1:0"
    [platform]
    store = "127.0.0.1:1"
    hosts = "127.0.0.1:1"
"#;

/// Returns an entry whose platform does not answer.
pub fn start_entry() -> node::Node {
    let settings = file::parse::<settings::Settings>(Path::new("entry.toml"), SETTINGS);
    node::Node::new(settings.unwrap(), None)
}

//! Settings files: `kind`, `listen` and the keys of the kind.

use std::net;
use std::path;

use chestnutpick_settings::{check, file};
use chestnutpick_types::time::Millis;
use serde::Deserialize;

use crate::{engine, hosts, origin, service, store};

/// Default drain deadline. It is short because connections that clients keep open would otherwise delay the end of a
/// test by the keep-alive time of the servers.
pub const DEFAULT_DRAIN_DEADLINE: Millis = Millis::from_secs(1);

/// Default address: any free port on loopback.
pub const DEFAULT_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// Kinds of stand-in.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Key-value service.
    Store,
    /// Host list.
    Hosts,
    /// Weight store.
    Origin,
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// Keys that every settings file must have.
#[derive(Debug, Deserialize)]
struct CommonSettings {
    kind: Kind,
    #[serde(rename = "listen")]
    _listen: net::SocketAddr,
}

impl check::Check for CommonSettings {
    fn check(&self) -> Result<(), check::Violation> {
        Ok(())
    }
}

/// Settings of a stand-in.
#[derive(Debug, Clone)]
pub enum Settings {
    /// Key-value service.
    Store(store::Settings),
    /// Host list.
    Hosts(hosts::Settings),
    /// Weight store.
    Origin(origin::Settings),
    /// Model engine.
    Engine(engine::Settings),
    /// Plain service.
    Service(service::Settings),
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns [`file::SettingsError`] for the first problem found.
///
/// ```
/// let error = chestnutpick_standin::settings::load("/no/such/file.toml".as_ref()).unwrap_err();
/// assert!(error.to_string().starts_with("/no/such/file.toml: cannot be read"));
/// ```
pub fn load(path: &path::Path) -> Result<Settings, file::SettingsError> {
    Ok(match file::load::<CommonSettings>(path)?.kind {
        Kind::Store => Settings::Store(file::load(path)?),
        Kind::Hosts => Settings::Hosts(file::load(path)?),
        Kind::Origin => Settings::Origin(file::load(path)?),
        Kind::Engine => Settings::Engine(file::load(path)?),
        Kind::Service => Settings::Service(file::load(path)?),
    })
}

//! Terms that a configuration sets for a request: its route, service and workspace.
//!
//! Seconds may pass between the arrival of a request and the sending to an endpoint: the body arrives slowly, the
//! request is retried, or a stream is resumed. The terms are therefore renewed before each send.

use std::sync;

use chestnutpick_fleet::config;
use chestnutpick_types::{error, id, time};
use rand_core::Rng;

use crate::node;

/// Part of the revocation bound that is reserved for the transit time of a request from its caller.
const REVOCATION_MARGIN: time::Millis = time::Millis(300);

/// Properties of a request that determine its terms.
#[derive(Debug, Clone)]
pub(crate) struct Lookup {
    /// Requested host name in lower case, without the port.
    pub(crate) host: String,
    /// Path without the query string.
    pub(crate) path: String,
    /// API key of the caller, if sent.
    pub(crate) key: Option<sync::Arc<str>>,
    /// Time at which the headers arrived.
    pub(crate) arrived: time::Millis,
}

/// Terms that one version of the configuration sets for a request.
#[derive(Debug, Clone)]
pub(crate) struct Terms {
    /// Version of the configuration.
    pub(crate) version: u64,
    /// Route of the request.
    pub(crate) route: sync::Arc<config::Route>,
    /// Service that serves the request.
    pub(crate) service: sync::Arc<config::Service>,
    /// Workspace to which the caller's key belongs.
    pub(crate) workspace: Option<sync::Arc<config::Workspace>>,
}

impl Terms {
    /// Returns the terms of the newest configuration, with a service chosen at random by the shares of the route.
    pub(crate) fn new<C>(node: &node::Node<C>, lookup: &Lookup) -> Result<Self, error::Refusal> {
        let config = newest_config(node)?;
        let (route, workspace) = authorize(node, &config, lookup)?;
        let name = pick_share(&route, node.rng.borrow_mut().next_u32());
        let service = name.and_then(|name| config.service(name)).cloned().ok_or_else(|| {
            let message = format!("route {} names no known service", route.name);
            error::Refusal::new(error::ErrorKind::NoEndpoint, message)
        })?;
        Ok(Self { version: config.version, route, service, workspace })
    }

    /// Returns the terms of the newest configuration for a request that is bound to its service. The request is refused
    /// if that configuration would refuse it or does not send it to this service.
    pub(crate) fn renew<C>(
        &self,
        node: &node::Node<C>,
        lookup: &Lookup,
    ) -> Result<Self, error::Refusal> {
        let config = newest_config(node)?;
        if config.version == self.version {
            return Ok(self.clone());
        }
        let (route, workspace) = authorize(node, &config, lookup)?;
        let name = &self.service.name;
        let leads = route.shares.iter().any(|share| share.service == *name && share.weight > 0);
        let service = config.service(name).filter(|_| leads).cloned().ok_or_else(|| {
            let message = format!("route {} no longer leads to service {name}", route.name);
            error::Refusal::new(error::ErrorKind::NoEndpoint, message)
        })?;
        Ok(Self { version: config.version, route, service, workspace })
    }

    /// Returns whether the configuration of these terms is the newest.
    pub(crate) fn is_newest<C>(&self, node: &node::Node<C>) -> bool {
        newest_config(node).is_ok_and(|config| config.version == self.version)
    }

    /// Returns the permitted regions of the route and of the workspace; an empty list permits all regions.
    pub(crate) fn regions(&self) -> [&[id::RegionId]; 2] {
        let workspace = self.workspace.as_deref().map(|workspace| &*workspace.regions);
        [&self.route.regions, workspace.unwrap_or_default()]
    }
}

/// Returns the newest configuration that the router knows.
pub(crate) fn newest_config<C>(
    node: &node::Node<C>,
) -> Result<sync::Arc<config::Config>, error::Refusal> {
    node.config().ok_or_else(|| {
        error::Refusal::new(error::ErrorKind::StoreUnavailable, "no configuration is known yet")
    })
}

/// Route of a request, and workspace to which the caller's key belongs.
type Access = (sync::Arc<config::Route>, Option<sync::Arc<config::Workspace>>);

fn authorize<C>(
    node: &node::Node<C>,
    config: &config::Config,
    lookup: &Lookup,
) -> Result<Access, error::Refusal> {
    let Some(route) = config.route(&lookup.host, &lookup.path).cloned() else {
        return Err(error::Refusal::new(error::ErrorKind::NotFound, "no route matches"));
    };
    if route.anonymous {
        return Ok((route, None));
    }
    // A key may have been revoked since the store last confirmed its content.
    let confirmed_at = node.view.borrow().confirmed_at.unwrap_or_default();
    let bound = node.bounds.get().revocation.since(REVOCATION_MARGIN);
    let age = lookup.arrived.since(confirmed_at);
    if age >= bound {
        let message = format!("keys cannot be verified: the store was last heard {age} ago");
        return Err(error::Refusal::new(error::ErrorKind::StoreUnavailable, message));
    }
    let workspace = lookup.key.as_deref().and_then(|key| config.workspace(key));
    match workspace {
        Some(workspace) => Ok((route, Some(sync::Arc::clone(workspace)))),
        None => Err(error::Refusal::new(error::ErrorKind::Unauthorized, "the key is unknown")),
    }
}

fn pick_share(route: &config::Route, random: u32) -> Option<&id::ServiceId> {
    let total: u32 = route.shares.iter().map(|share| share.weight).sum();
    let mut point = random.checked_rem(total)?;
    route.shares.iter().find_map(|share| {
        if point < share.weight {
            return Some(&share.service);
        }
        point -= share.weight;
        None
    })
}

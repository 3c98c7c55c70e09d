//! Terms that a configuration sets for a request: its route, service and workspace.
//!
//! Seconds may pass between the arrival of a request and the sending to an endpoint: the body arrives slowly, the
//! request is retried, or a stream is resumed. The terms are therefore renewed before each send.

use std::sync;

use chestnutpick_fleet::config;
use chestnutpick_types::{error, id, time};
use rand_core::Rng;

use crate::lease;
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
    /// Region to which the request is confined because the lease of the configuration has expired; empty otherwise.
    confined: Vec<id::RegionId>,
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
        let confined = confine(node, &route, workspace.as_deref())?;
        Ok(Self { version: config.version, route, service, workspace, confined })
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
            let confined = confine(node, &self.route, self.workspace.as_deref())?;
            return Ok(Self { confined, ..self.clone() });
        }
        let (route, workspace) = authorize(node, &config, lookup)?;
        let name = &self.service.name;
        let leads = route.shares.iter().any(|share| share.service == *name && share.weight > 0);
        let service = config.service(name).filter(|_| leads).cloned().ok_or_else(|| {
            let message = format!("route {} no longer leads to service {name}", route.name);
            error::Refusal::new(error::ErrorKind::NoEndpoint, message)
        })?;
        let confined = confine(node, &route, workspace.as_deref())?;
        Ok(Self { version: config.version, route, service, workspace, confined })
    }

    /// Returns whether the configuration of these terms is the newest.
    pub(crate) fn is_newest<C>(&self, node: &node::Node<C>) -> bool {
        newest_config(node).is_ok_and(|config| config.version == self.version)
    }

    /// Returns the lists of permitted regions, all of which apply; an empty list permits all regions.
    pub(crate) fn regions(&self) -> [&[id::RegionId]; 3] {
        let workspace = self.workspace.as_deref().map(|workspace| &*workspace.regions);
        [&self.route.regions, workspace.unwrap_or_default(), &self.confined]
    }

    /// Returns the priority of the request; 0 is the highest.
    pub(crate) fn rank(&self) -> u32 {
        let rank = self.workspace.as_deref().and_then(|workspace| workspace.priority);
        rank.unwrap_or(self.route.priority)
    }

    /// Returns whether the request is confined because the lease of the configuration has expired.
    pub(crate) fn is_confined(&self) -> bool {
        !self.confined.is_empty()
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
        return Err(deny(node, error::ErrorKind::NotFound, "no route matches"));
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
        None => Err(deny(node, error::ErrorKind::Unauthorized, "the key is unknown")),
    }
}

/// Returns the refusal of a request that the configuration does not allow. Once the lease of the configuration has expired,
/// a newer one may allow it.
fn deny<C>(node: &node::Node<C>, kind: error::ErrorKind, message: &str) -> error::Refusal {
    match node.lease() {
        lease::Lease::Valid => error::Refusal::new(kind, message),
        lease::Lease::Expired => unconfirmed(node, message),
    }
}

/// Returns the region to which a request is confined, or none while the lease of the configuration is valid. Once it has
/// expired, other regions may be permitted than before, and a request for which regions matter is refused.
fn confine<C>(
    node: &node::Node<C>,
    route: &config::Route,
    workspace: Option<&config::Workspace>,
) -> Result<Vec<id::RegionId>, error::Refusal> {
    if node.lease() == lease::Lease::Valid {
        return Ok(Vec::new());
    }
    let is_restricted = !route.regions.is_empty()
        || workspace.is_some_and(|workspace| !workspace.regions.is_empty());
    if is_restricted {
        return Err(unconfirmed(node, "the permitted regions are not known"));
    }
    let own = node.host.region_of(&node.host.zone).cloned();
    own.map(|own| vec![own]).ok_or_else(|| unconfirmed(node, "the region of this host is unknown"))
}

/// Returns the refusal of a request for which an expired configuration does not suffice.
fn unconfirmed<C>(node: &node::Node<C>, reason: &str) -> error::Refusal {
    let age = node.view.borrow().age(node.now());
    let message =
        format!("the configuration is unconfirmed, the store was last heard {age} ago: {reason}");
    error::Refusal::new(error::ErrorKind::StoreUnavailable, message)
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

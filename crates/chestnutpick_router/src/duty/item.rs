//! Items of a duty in the store, and what a router makes of them.

use std::net;

use bytes::Bytes;
use chestnutpick_fleet::{duty, position};
use chestnutpick_types::{id, time};
use serde::{Deserialize, Serialize};

use super::reports;

/// Holder of a duty, as its item in the store states it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the router.
    pub name: id::HostId,
    /// Address of the router.
    pub ip: net::IpAddr,
    /// Fencing token of the router.
    pub token: duty::Token,
}

/// Last token that was taken, and the last report that may have been sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Token of the holder that wrote the record.
    pub token: duty::Token,
    /// Report, if there has been any.
    pub report: Option<reports::Report>,
    /// First window that may be reported after that. A report of an earlier one may have been sent by a holder whose record
    /// was lost when the store was restored.
    #[serde(default)]
    pub first: u64,
    /// Last orders of endpoints, which may have been sent.
    #[serde(default)]
    pub orders: Vec<duty::Order>,
}

/// A change of the record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A report that is sent next.
    Report(reports::Report),
    /// An order that is sent next.
    Order(duty::Order),
}

/// A duty that this router holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// Lease to which the holder's item is bound.
    pub lease: duty::LeaseId,
    /// Token of this router.
    pub token: duty::Token,
    /// Time at which the duty was taken.
    pub since: time::Millis,
    /// Era in which the lease runs.
    pub(super) era: position::Era,
    /// Time until which the lease surely runs.
    pub(super) until: time::Millis,
    pub(super) holder_revision: position::Revision,
}

/// Reason why a duty was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Loss {
    /// The lease may have ended before it could be renewed.
    Expired,
    /// The store has ended the lease.
    Ended,
    /// The store was restored from a copy, which has no leases.
    Restored,
    /// Another router holds the duty.
    Replaced,
    /// This router has given it up.
    Released,
}

/// An attempt to take the duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Token of this router if the attempt succeeds.
    pub token: duty::Token,
    /// Record that the attempt writes.
    pub record: Record,
    pub(super) era: position::Era,
    pub(super) expected: position::Revision,
}

/// Encodes the value of an item.
pub(super) fn encode<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    serde_json::to_vec(value).unwrap_or_default().into()
}

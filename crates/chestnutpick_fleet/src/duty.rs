//! Duties that one router performs at a time for the whole deployment, and the interfaces that they need: the writing part
//! of the platform's store, and the platform's control service.

use std::collections;
use std::fmt;
use std::net;
use std::str;
use std::sync;

use bytes::Bytes;
use chestnutpick_types::{id, time};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::directory;
use crate::position;

/// A duty.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    Deserialize,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Duty {
    /// Reports of the requests of each workspace, per window of time.
    UsageReport,
    /// Orders of the number of endpoints of a service in a zone.
    Autoscale,
}

/// Settings of the duties.
#[derive(Debug, Clone, PartialEq)]
pub struct Cloud {
    /// Address of the control service.
    pub address: net::SocketAddr,
    /// Duties to perform.
    pub duties: collections::BTreeSet<Duty>,
    /// Time within which the holder of a duty may not change twice, and for which a holder takes its lease.
    pub lease: time::Millis,
    /// Length of a window of usage reports.
    pub window: time::Millis,
    /// Time after the end of a window by which its report is due.
    pub late: time::Millis,
}

/// Number that rises each time a duty changes its holder. The high part is the era of the store and the low part a counter
/// within the era, so that numbers do not go back when the store is restored from a copy.
///
/// ```
/// use chestnutpick_fleet::{duty, position};
/// let before = duty::Token::first_of(position::Era(1)).next();
/// assert!(duty::Token::first_of(position::Era(2)) > before);
/// assert_eq!(before.to_string().parse(), Ok(before));
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Token(pub u64);

/// Number of bits of a token's counter. Numbers stay below 2^53, the limit of exact numbers in JSON, for two million eras.
const COUNTER_BITS: u32 = 32;

impl Token {
    /// Returns the number that precedes all tokens of an era.
    pub const fn first_of(era: position::Era) -> Self {
        Self(era.0 << COUNTER_BITS)
    }

    /// Returns the number after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the era in which the token was taken.
    ///
    /// ```
    /// use chestnutpick_fleet::{duty, position};
    /// assert_eq!(duty::Token::first_of(position::Era(3)).next().era(), position::Era(3));
    /// ```
    pub const fn era(self) -> position::Era {
        position::Era(self.0 >> COUNTER_BITS)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Token {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// An item that a duty keeps in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Key {
    /// Holder of the usage reports; bound to the holder's lease.
    UsageHolder,
    /// Last fencing token and last reported window of the usage reports; not bound to a lease.
    UsageRecord,
}

/// State of an item: its value, or `None` if it does not exist, and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key of the item.
    pub key: Key,
    /// Revision of the last change; 0 if the item does not exist.
    pub revision: position::Revision,
    /// Value.
    pub value: Option<Bytes>,
}

/// Id of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A write that is executed as a whole if no expected item has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transaction {
    /// Items with their expected revisions; 0 means that an item must not exist.
    pub expected: Vec<(Key, position::Revision)>,
    /// Items to write, with the lease to which each is bound.
    pub puts: Vec<(Key, Bytes, Option<LeaseId>)>,
}

/// Reason why a write was not executed, or may not have been.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// An expected item has changed; nothing was written.
    #[snafu(display("an expected item has changed"))]
    Conflict {
        /// History from which the items were read.
        era: position::Era,
        /// Current state of the expected items.
        items: Vec<Item>,
    },
    /// The lease has ended; nothing was written.
    #[snafu(display("the lease has ended"))]
    LeaseEnded,
    /// The call failed. Unless the store rejected it, it may have been executed, or may be later.
    #[snafu(display("{reason}"))]
    Failed {
        /// Reason of the failure.
        reason: directory::Error,
    },
}

/// Write access to the platform's store. Each call returns the history to which it applied.
pub trait Ledger {
    /// Takes a lease that ends after `ttl` unless it is renewed.
    fn grant(
        &self,
        ttl: time::Millis,
    ) -> impl Future<Output = Result<(position::Era, LeaseId), WriteError>>;

    /// Renews a lease.
    fn keep(&self, lease: LeaseId) -> impl Future<Output = Result<position::Era, WriteError>>;

    /// Ends a lease.
    fn end(&self, lease: LeaseId) -> impl Future<Output = Result<position::Era, WriteError>>;

    /// Executes a transaction, and returns the position of what it wrote.
    fn write(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<position::Position, WriteError>>;
}

/// A service in a zone, whose number of endpoints can be ordered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// Service.
    pub service: id::ServiceId,
    /// Availability zone.
    pub zone: id::ZoneId,
}

/// Order of a number of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Order {
    /// Service and zone.
    pub subject: Subject,
    /// Number of endpoints.
    pub count: u32,
}

/// Requests of each workspace.
pub type Counts = collections::BTreeMap<sync::Arc<str>, u64>;

/// Who performs a duty, as each call names it.
#[derive(Debug, Clone)]
pub struct Performer {
    /// Name of the router.
    pub name: id::HostId,
    /// Fencing token of the router.
    pub token: Token,
    /// Time after which the call must not be sent.
    pub expiry: time::Expiry,
    /// Time after which the call is given up.
    pub timeout: time::Millis,
}

/// Reason why the control service did not confirm a call.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The service rejected the call and would reject it again.
    #[snafu(display("the service rejected the call with status {status}"))]
    Rejected {
        /// HTTP status of the response.
        status: u16,
    },
    /// The service rejected the call for now.
    #[snafu(display("the service is not available, status {status}"))]
    Unavailable {
        /// HTTP status of the response.
        status: u16,
    },
    /// The call did not reach the service.
    #[snafu(display("{reason}"))]
    NotSent {
        /// Description of the connection error.
        reason: sync::Arc<str>,
    },
    /// The outcome of the call is not known.
    #[snafu(display("{reason}"))]
    Unknown {
        /// Description of the connection error.
        reason: sync::Arc<str>,
    },
}

/// The platform's control service. Calls that are given up are not delivered later.
pub trait Control {
    /// Reports the requests of each workspace in a window.
    fn report(
        &self,
        performer: &Performer,
        window: u64,
        counts: &Counts,
    ) -> impl Future<Output = Result<(), CallError>>;

    /// Orders a number of endpoints.
    fn scale(
        &self,
        performer: &Performer,
        order: &Order,
    ) -> impl Future<Output = Result<(), CallError>>;
}

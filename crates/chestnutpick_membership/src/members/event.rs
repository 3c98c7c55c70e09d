//! Heartbeats that a table handles, and the steps that it returns.

use std::net;

use chestnutpick_types::id;

use crate::list;

/// Content of a heartbeat, or of a host's announcement that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Location of the host.
    pub place: list::Place,
    /// Incarnation of the host: at least 1, and higher with each start of the process.
    pub incarnation: u64,
    /// Whether the host has announced its planned stop.
    pub leaving: bool,
}

/// Change of a host's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// The host, or its incarnation, is new.
    Found,
    /// The host answers in time again, or is no longer leaving.
    Alive,
    /// The host answers late.
    Slow,
    /// The host may have failed.
    Suspect,
    /// The host has failed.
    Dead,
    /// The host is leaving and gets no new work.
    Leaving,
    /// The host is neither listed nor heard from any more.
    Gone,
}

/// Step for the driver to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a new connection to the host, send a heartbeat on it and close the old connection.
    Connect {
        /// The host.
        host: id::HostId,
        /// Its addresses.
        addresses: Vec<net::SocketAddr>,
    },
    /// Notify the other parts of the process of a change.
    Notify {
        /// The host.
        host: id::HostId,
        /// Incarnation of the host; 0 until its first heartbeat.
        incarnation: u64,
        /// The change.
        change: Change,
    },
}

//! Settings of a client.

use chestnutpick_types::size;
use chestnutpick_types::time::Millis;

/// Age after which a pooled connection is not reused, so that connections that have gone silent are replaced.
const AGE_LIMIT: Millis = Millis::from_secs(60);

/// Time-out for opening a connection. Connecting takes milliseconds between regions; a host that does not accept
/// within this time counts as unreachable, and the request as not sent.
const CONNECT_TIMEOUT: Millis = Millis::from_secs(1);

/// Settings of a client's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Age after which a pooled connection is not reused.
    pub age_limit: Millis,
    /// Time-out for opening a connection.
    pub connect_timeout: Millis,
    /// Whether connections are reused. Without reuse, no request is sent on a connection that has gone silent or that
    /// still carries a late response to another request.
    pub reuse: bool,
    /// Maximum number of bytes that the unfinished responses of one peer may take, or `None` for no limit.
    pub peer_limit: Option<size::Bytes>,
    /// Whether a connection is reset when it is closed, so that the operating system does not deliver later what it has not
    /// delivered by then.
    pub reset: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            age_limit: AGE_LIMIT,
            connect_timeout: CONNECT_TIMEOUT,
            reuse: true,
            peer_limit: None,
            reset: false,
        }
    }
}

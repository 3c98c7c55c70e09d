//! Pool of connections.

use std::time;

use crate::client;
use crate::connection;

/// Idle time after which a pooled connection is not reused. Half of the servers' keep-alive time
/// (`chestnutpick_http::server::KEEP_ALIVE`), so that no request is sent on a connection that the server is closing.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// A pool and the time of its creation. awc removes an idle connection only on the next call to the same address, which
/// never happens for a host that was replaced; so the whole pool is replaced at the age limit.
pub(super) struct Pool {
    pub(super) inner: awc::Client,
    pub(super) record: connection::Record,
    pub(super) created: time::Instant,
}

impl Pool {
    pub(super) fn new(options: client::Options) -> Self {
        // Admission control bounds the number of connections, not the pool: a request that waited for the pool would be
        // neither sent nor refused.
        let record = connection::Record::default();
        let connector = awc::Connector::new()
            .connector(connection::Connector::new(record.clone(), options))
            .timeout(options.connect_timeout.to_duration())
            .conn_keep_alive(IDLE_LIMIT)
            .conn_lifetime(options.age_limit.to_duration())
            .limit(0);
        let inner = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { inner, record, created: time::Instant::now() }
    }
}

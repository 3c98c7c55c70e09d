//! Relaying of the store's responses within a zone.
//!
//! All routers of a zone agree on the router that reads the store: the first by address among those that the zone's
//! loaders report, or the second if the first fails. The other routers ask the reader for the store's responses, so
//! that neither the calls to the store nor the traffic between regions grows with the number of routers. A router that
//! gets no response in time reads the store itself.

use std::collections;
use std::net;
use std::rc;

use actix_http as http;
use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_fleet::directory;
use chestnutpick_http::{request, respond};
use chestnutpick_types::{error, size, time};

use crate::node;
use crate::watch;

/// Maximum number of responses kept for routers that are slightly behind.
const MAX_RESPONSES: usize = 16;

/// Added to the store interval to get the time after which the reader is considered to have failed. A reader without
/// new data responds when its watch ends, after [`watch::WATCH_WAIT`]; 50 ms more cover the transfer. Together with
/// [`SECOND_READER_TIMEOUT`] and one slow call to the store, this time must fit the drain bound. A margin of 400 ms
/// with 500 ms for the second reader exceeds it.
const READER_MARGIN: time::Millis = time::Millis(watch::WATCH_WAIT.0 + 50);

/// Time-out for the second reader, after the first has failed.
pub(crate) const SECOND_READER_TIMEOUT: time::Millis = time::Millis(250);

/// Number of routers of a zone that can become its reader, in order.
const READERS: usize = 2;

/// Time for which a failed reader is not asked again.
const READER_BACKOFF: time::Millis = time::Millis(3_000);

/// Maximum age of the list of routers in the zone.
const MAX_PEERS_AGE: time::Millis = time::Millis(2_500);

/// Maximum size of a relayed response.
const RESPONSE_LIMIT: size::Bytes = size::Bytes::from_mib(16);

/// Path at which relayed responses are served.
const PATH: &str = "/v1/store";

/// Header with the time in milliseconds from the arrival of a query to the confirmation of the response; negative if
/// the response was confirmed before the query arrived.
const CONFIRMED_HEADER: &str = "x-confirmed-after-ms";

/// A response of the store to be relayed.
#[derive(Debug, Clone)]
struct CachedResponse {
    /// Revision that precedes the changes.
    after: u64,
    revision: u64,
    body: Bytes,
    /// Latest time at which the response is known to have matched the store.
    confirmed_at: time::Millis,
}

/// Responses that this router relays, and the state of the zone's readers.
#[derive(Default)]
pub(crate) struct Relay {
    responses: collections::VecDeque<CachedResponse>,
    /// Routers of the zone, and the time at which a loader reported them.
    peers: Option<(Vec<net::IpAddr>, time::Millis)>,
    /// Readers that have failed recently, and the time until which each is not asked.
    backed_off: collections::BTreeMap<net::IpAddr, time::Millis>,
}

impl Relay {
    /// Adds a response of the store. A gap in the revisions discards all earlier responses.
    pub(crate) fn on_response(
        &mut self,
        after: u64,
        revision: u64,
        body: Bytes,
        confirmed_at: time::Millis,
    ) {
        let is_contiguous = self.responses.back().is_some_and(|last| last.revision == after);
        if !is_contiguous {
            self.responses.clear();
        }
        self.responses.push_back(CachedResponse { after, revision, body, confirmed_at });
        while self.responses.len() > MAX_RESPONSES {
            self.responses.pop_front();
        }
    }

    /// Updates the list of routers in the zone.
    pub(crate) fn on_peers(&mut self, now: time::Millis, peers: Vec<net::IpAddr>) {
        self.peers = Some((peers, now));
    }

    /// Records that a reader failed to respond.
    pub(crate) fn on_failed(&mut self, now: time::Millis, reader: net::IpAddr) {
        self.backed_off.retain(|_, until| *until > now);
        self.backed_off.insert(reader, now + READER_BACKOFF);
    }

    /// Returns the router to ask, or `None` if this router must read the store itself. Readers that failed recently are
    /// skipped, so that only the next router takes over from a failed reader, not all routers of the zone.
    pub(crate) fn reader(&self, now: time::Millis, own: net::IpAddr) -> Option<net::IpAddr> {
        let (peers, at) = self.peers.as_ref()?;
        if now.since(*at) >= MAX_PEERS_AGE {
            return None;
        }
        let available =
            |ip: &&net::IpAddr| self.backed_off.get(*ip).is_none_or(|until| now >= *until);
        let first = peers.iter().take(READERS).find(available)?;
        (*first != own).then_some(*first)
    }

    /// Returns the first response that is new to a router that knows the store up to revision `after` and whose query
    /// arrived at `arrived`: one with later changes, or one that was confirmed after `arrived` and contains none.
    fn next(&self, after: u64, arrived: time::Millis) -> Next {
        if let Some(cached) = self.responses.iter().find(|cached| cached.revision > after) {
            let includes_next = cached.after <= after;
            return if includes_next { Next::Response(cached.clone()) } else { Next::Gap };
        }
        let confirms =
            |last: &&CachedResponse| last.revision == after && last.confirmed_at > arrived;
        self.responses.back().filter(confirms).cloned().map_or(Next::None, Next::Response)
    }
}

/// Next response for another router.
enum Next {
    Response(CachedResponse),
    /// Changes directly after the known revision are no longer kept.
    Gap,
    None,
}

/// Serves another router's query as soon as there is a response that is new to it.
pub(crate) async fn serve<C>(
    node: rc::Rc<node::Node<C>>,
    http_request: http::Request,
) -> respond::Response {
    let query = http_request.uri().query().unwrap_or_default();
    let after = request::query_value(query, "after").and_then(|text| text.parse().ok());
    let (PATH, Some(after)) = (http_request.path(), after) else {
        return respond::refusal(&request::not_found(&http_request));
    };
    let arrived = node.now();
    let deadline = arrived + reader_timeout(&node);
    loop {
        let next = node.relay.borrow().next(after, arrived);
        match next {
            Next::Response(cached) => {
                let mut response = respond::bytes(200, "application/json", cached.body);
                let offset = cached.confirmed_at.0.cast_signed() - arrived.0.cast_signed();
                respond::set_header(&mut response, CONFIRMED_HEADER, &offset.to_string());
                return response;
            }
            Next::None if node.now() < deadline => {
                let remaining = deadline.since(node.now()).to_duration();
                let _ = tokio::time::timeout(remaining, node.relay_changed.notified()).await;
            }
            Next::Gap | Next::None => {
                let refusal = error::Refusal::new(error::ErrorKind::NotFound, "not known here");
                return respond::refusal(&refusal);
            }
        }
    }
}

/// Returns the time-out for a query to the reader.
pub(crate) fn reader_timeout<C>(node: &node::Node<C>) -> time::Millis {
    node.bounds.get().store_interval() + READER_MARGIN
}

/// Queries the zone's reader for the changes after a revision. Returns the response and its confirmation time.
pub(crate) async fn query_reader<C>(
    node: &node::Node<C>,
    reader: net::IpAddr,
    reader_timeout: time::Millis,
    after: u64,
) -> Result<(Bytes, time::Millis), directory::Error> {
    let sent_at = node.now();
    let request = client::Request::new("GET", format!("{PATH}?after={after}"));
    let address = node.host.relay_address(reader);
    let mut response = node.relay_client.call(address, request, reader_timeout).await?;
    if response.status != 200 {
        return Err(directory::Error::Refused { status: response.status });
    }
    let offset: Option<i64> = response.header(CONFIRMED_HEADER).and_then(|text| text.parse().ok());
    let without_time =
        || directory::Error::Malformed { reason: "the response has no confirmation time".into() };
    let offset = offset.ok_or_else(without_time)?;
    let body = response.read(RESPONSE_LIMIT).await?;
    // The offset counts from the time at which the query was sent, which precedes its arrival. A response that waits in
    // the buffers of a suspended process therefore never appears newer than it is.
    let confirmed_at = sent_at.0.cast_signed() + offset;
    Ok((body, time::Millis(u64::try_from(confirmed_at).unwrap_or(0))))
}

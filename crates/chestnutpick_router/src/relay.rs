//! Relaying of the store's responses within a zone.
//!
//! The readers of a zone ([`readers`]) read the store. The other routers ask a reader for the store's responses, so that
//! neither the calls to the store nor the traffic between regions grows with the number of routers.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use actix_http as http;
use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_fleet::{directory, position};
use chestnutpick_http::{request, respond};
use chestnutpick_types::{error, size, time};

use crate::compression;
use crate::node;
use crate::readers;
use crate::watch;

/// Maximum number of responses kept for routers that are slightly behind.
const MAX_RESPONSES: usize = 16;

/// Added to the store interval to get the time after which a reader is considered to have failed. A reader without new
/// data responds when its watch ends, after [`watch::WATCH_WAIT`]; 50 ms more cover the transfer. Together with
/// [`NEXT_READER_TIMEOUT`] and one slow call to the store, this time must fit the drain bound. A margin of 400 ms with
/// 500 ms for the second reader exceeds it.
const READER_MARGIN: time::Millis = time::Millis(watch::WATCH_WAIT.0 + 50);

/// Time-out for each further reader after the first has failed.
pub(crate) const NEXT_READER_TIMEOUT: time::Millis = time::Millis(250);

/// Part of a query's time-out that is reserved for its way and back. A reader that has nothing new by then says so, so
/// that a reader that waits for the store is told from one that does not respond.
const TRANSIT_TIME: time::Millis = time::Millis(100);

/// Maximum size of a relayed response.
const RESPONSE_LIMIT: size::Bytes = size::Bytes::from_mib(16);

/// Path at which relayed responses are served.
const PATH: &str = "/v1/store";

/// Header with the time in milliseconds from the arrival of a query to the confirmation of the response; negative if
/// the response was confirmed before the query arrived.
const CONFIRMED_HEADER: &str = "x-confirmed-after-ms";

/// Header with the [`Content`] of the response.
const CONTENT_HEADER: &str = "x-content";

/// Headers that agree on the compression of the body.
const ACCEPT_HEADER: &str = "accept-encoding";
const ENCODING_HEADER: &str = "content-encoding";

/// Header of [`Content::RecoveryChanges`], which have the name of other changes for routers of an earlier version.
const RECOVERY_HEADER: &str = "x-after-outage";

/// Header with the history of the store from which the response was read.
const ERA_HEADER: &str = "x-era";

/// What a response of the store contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Content {
    /// Changes since a revision.
    Changes,
    /// Changes since a revision, read shortly after an outage of the store in which announcements of live endpoints may have
    /// expired.
    RecoveryChanges,
    /// All items.
    Listing,
    /// All items, listed shortly after an outage or a restore of the store in which announcements of live endpoints may have
    /// been lost.
    RecoveryListing,
}

impl Content {
    /// Returns whether the response contains all items.
    pub(crate) fn is_listing(self) -> bool {
        match self {
            Self::Changes | Self::RecoveryChanges => false,
            Self::Listing | Self::RecoveryListing => true,
        }
    }

    /// Returns whether the response follows an outage of the store.
    pub(crate) fn ends_outage(self) -> bool {
        match self {
            Self::Changes | Self::Listing => false,
            Self::RecoveryChanges | Self::RecoveryListing => true,
        }
    }

    /// Checks that a response at `position` applies to a router that has reached the position `after`: changes must
    /// continue its history, and a listing must not be of an earlier one.
    pub(crate) fn check_history(
        self,
        after: position::Position,
        position: position::Position,
    ) -> Result<(), directory::Error> {
        let era = position.era;
        let applies = if self.is_listing() { era >= after.era } else { era == after.era };
        if applies { Ok(()) } else { Err(directory::Error::HistoryReplaced { era }) }
    }
}

/// A response of the store that can be relayed.
#[derive(Debug, Clone)]
pub(crate) struct Response {
    pub(crate) content: Content,
    pub(crate) raw: directory::Encoded,
    /// Latest time at which the response is known to have matched the store.
    pub(crate) confirmed_at: time::Millis,
    /// Compressed body, once a router has asked for it.
    compressed: rc::Rc<cell::OnceCell<Bytes>>,
}

impl Response {
    pub(crate) fn new(
        content: Content,
        raw: directory::Encoded,
        confirmed_at: time::Millis,
    ) -> Self {
        Self { content, raw, confirmed_at, compressed: rc::Rc::default() }
    }

    /// Returns the response with another encoded content.
    pub(crate) fn with_raw(self, raw: directory::Encoded) -> Self {
        Self::new(self.content, raw, self.confirmed_at)
    }

    /// Returns the compressed body, or `None` if the body is small.
    fn compressed(&self) -> Option<&Bytes> {
        let is_large = size::Bytes::of_len(self.raw.body.len()) >= compression::MIN_SIZE;
        is_large.then(|| self.compressed.get_or_init(|| compress(&self.raw.body)))
    }
}

fn compress(body: &[u8]) -> Bytes {
    metrics::counter!("relay_compressions").increment(1);
    compression::compress(body)
}

/// A response and the positions that it spans.
#[derive(Debug, Clone)]
struct CachedResponse {
    /// Position that precedes the changes.
    after: position::Position,
    position: position::Position,
    response: Response,
}

/// Responses that this router relays, and the state of the zone's readers.
#[derive(Default)]
pub(crate) struct Relay {
    /// Routers that read the store.
    pub(crate) readers: readers::Readers,
    responses: collections::VecDeque<CachedResponse>,
    /// Whether this router's last call to the store failed.
    pub(crate) failing: bool,
}

impl Relay {
    /// Adds a response of the store. A listing, or a gap between the positions, discards all earlier responses.
    pub(crate) fn on_response(
        &mut self,
        after: position::Position,
        position: position::Position,
        response: Response,
    ) {
        let is_contiguous = self.responses.back().is_some_and(|last| last.position == after);
        if response.content.is_listing() || !is_contiguous {
            self.responses.clear();
        }
        self.responses.push_back(CachedResponse { after, position, response });
        while self.responses.len() > MAX_RESPONSES {
            self.responses.pop_front();
        }
    }

    /// Returns the history of the last response.
    fn era(&self) -> position::Era {
        self.responses.back().map(|last| last.position.era).unwrap_or_default()
    }

    /// Returns the first response that is new to a router that knows the store up to the position `after`: one with later
    /// changes, or one that was confirmed after `known_until` and contains none.
    fn next(&self, after: position::Position, known_until: time::Millis) -> Next {
        if let Some(cached) = self.responses.iter().find(|cached| cached.position > after) {
            let includes_next = cached.response.content.is_listing() || cached.after <= after;
            return if includes_next { Next::Response(cached.response.clone()) } else { Next::Gap };
        }
        let last = self.responses.back().filter(|last| last.position == after);
        match last.filter(|last| last.response.confirmed_at > known_until) {
            Some(last) => Next::Response(last.response.clone()),
            None if self.failing => Next::Failing,
            None => Next::Pending,
        }
    }
}

/// Next response for another router.
enum Next {
    Response(Response),
    /// Changes directly after the known position are no longer kept.
    Gap,
    /// This router cannot read the store.
    Failing,
    /// There is nothing new yet.
    Pending,
}

/// Serves another router's query as soon as there is a response that is new to it.
pub(crate) async fn serve<C>(
    node: rc::Rc<node::Node<C>>,
    http_request: http::Request,
) -> respond::Response {
    let query = http_request.uri().query().unwrap_or_default();
    let value = |name| request::query_value(query, name).and_then(|text| text.parse().ok());
    let (PATH, Some(revision)) = (http_request.path(), value("after")) else {
        return respond::refusal(&request::not_found(&http_request));
    };
    // A router of an earlier version sends no era.
    let era = value("era").map_or_else(|| node.relay.borrow().era(), position::Era);
    let after = position::Position { era, revision: position::Revision(revision) };
    let arrived = node.now();
    let known_until = arrived.since(time::Millis(value("recent_ms").unwrap_or(0)));
    let wait = value("wait_ms").map(time::Millis);
    let deadline =
        arrived + wait.map_or(reader_timeout(&node), |wait| wait.min(reader_timeout(&node)));
    loop {
        let next = node.relay.borrow().next(after, known_until);
        let (kind, message) = match next {
            // A router of an earlier version, which sends no wait time, would take a listing for changes.
            Next::Response(response) if wait.is_none() && response.content.is_listing() => {
                (error::ErrorKind::NotFound, "the changes are no longer kept")
            }
            Next::Response(response) => {
                return respond_with(&response, arrived, accepts_compressed(&http_request));
            }
            Next::Gap => (error::ErrorKind::NotFound, "the changes are no longer kept"),
            Next::Failing => (error::ErrorKind::StoreUnavailable, "the store does not respond"),
            Next::Pending if node.now() < deadline => {
                let remaining = deadline.since(node.now()).to_duration();
                let _ = tokio::time::timeout(remaining, node.relay_changed.notified()).await;
                continue;
            }
            Next::Pending => (error::ErrorKind::EndpointSilent, "no response of the store in time"),
        };
        return respond::refusal(&error::Refusal::new(kind, message));
    }
}

/// Returns whether a router accepts a compressed body. Routers of an earlier version do not.
fn accepts_compressed(http_request: &http::Request) -> bool {
    let accepted = http_request.head().headers().get(ACCEPT_HEADER);
    accepted.is_some_and(|value| value == compression::ENCODING)
}

fn respond_with(
    cached: &Response,
    arrived: time::Millis,
    accepts_compressed: bool,
) -> respond::Response {
    let compressed = if accepts_compressed { cached.compressed() } else { None };
    let body = compressed.unwrap_or(&cached.raw.body).clone();
    let mut response = respond::bytes(200, "application/json", body);
    if compressed.is_some() {
        respond::set_header(&mut response, ENCODING_HEADER, compression::ENCODING);
    }
    let offset = cached.confirmed_at.0.cast_signed() - arrived.0.cast_signed();
    respond::set_header(&mut response, CONFIRMED_HEADER, &offset.to_string());
    let content = match cached.content {
        Content::RecoveryChanges => {
            respond::set_header(&mut response, RECOVERY_HEADER, "true");
            Content::Changes
        }
        content => content,
    };
    respond::set_header(&mut response, CONTENT_HEADER, &content.to_string());
    respond::set_header(&mut response, ERA_HEADER, &cached.raw.era.to_string());
    response
}

/// Returns the time-out for a query to the reader.
pub(crate) fn reader_timeout<C>(node: &node::Node<C>) -> time::Millis {
    node.bounds.get().store_interval() + READER_MARGIN
}

/// A query to a reader.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Query {
    /// Position after which changes are queried.
    pub(crate) after: position::Position,
    /// Time before the query in which the store may have been read without a change. Above zero if an earlier query has
    /// taken that long and failed, or if the store answers late.
    pub(crate) recent: time::Millis,
    /// Time-out of the query.
    pub(crate) timeout: time::Millis,
}

impl Query {
    /// Returns a query for what is new to a router that knows the store up to the position `after`, as it was `age` before.
    pub(crate) fn new(after: position::Position, age: time::Millis, timeout: time::Millis) -> Self {
        // A response whose age was overstated by the transit time would otherwise be sent again at once.
        Self { after, recent: age.since(TRANSIT_TIME), timeout }
    }
}

/// State of a reader that did not answer a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// It waits for the store.
    Waiting,
    /// It cannot read the store, no longer keeps the changes, or has another history of the store.
    Declined,
    /// It does not respond as a reader does.
    Unresponsive,
}

impl State {
    /// Returns the state that an error shows.
    pub(crate) fn of(error: &directory::Error) -> Self {
        match error {
            directory::Error::Refused { status: 504 } => Self::Waiting,
            directory::Error::Refused { status: 404 | 503 }
            | directory::Error::HistoryReplaced { .. } => Self::Declined,
            _ => Self::Unresponsive,
        }
    }
}

/// Queries a reader for the changes after a position.
pub(crate) async fn query_reader<C>(
    node: &node::Node<C>,
    reader: net::IpAddr,
    query: Query,
) -> Result<Response, directory::Error> {
    let sent_at = node.now();
    let Query { after, recent, timeout } = query;
    let wait = timeout.since(TRANSIT_TIME);
    let position::Position { era, revision } = after;
    let path =
        format!("{PATH}?after={revision}&era={era}&recent_ms={}&wait_ms={}", recent.0, wait.0);
    let mut request = client::Request::new("GET", path);
    request.headers.push((ACCEPT_HEADER.into(), compression::ENCODING.into()));
    let address = node.host.relay_address(reader);
    let mut response = node.relay_client.call(address, request, timeout).await?;
    if response.status != 200 {
        return Err(directory::Error::Refused { status: response.status });
    }
    let malformed = |reason: &str| directory::Error::Malformed { reason: reason.into() };
    let offset: Option<i64> = response.header(CONFIRMED_HEADER).and_then(|text| text.parse().ok());
    let offset = offset.ok_or_else(|| malformed("the response has no confirmation time"))?;
    // Routers of an earlier version relay only changes and do not name them.
    let content = response.header(CONTENT_HEADER).map_or(Ok(Content::Changes), str::parse);
    let content = content.map_err(|_| malformed("the content of the response is unknown"))?;
    let content = match content {
        Content::Changes if response.header(RECOVERY_HEADER).is_some() => Content::RecoveryChanges,
        content => content,
    };
    // Routers of an earlier version send no era.
    let era = response.header(ERA_HEADER).map_or(Ok(era), str::parse);
    let era = era.map_err(|_| malformed("the era of the response is not a number"))?;
    let body = response.read(RESPONSE_LIMIT).await?;
    let body = match response.header(ENCODING_HEADER) {
        Some(compression::ENCODING) => compression::decompress(&body, RESPONSE_LIMIT)
            .map_err(|reason| malformed(&reason.to_string()))?,
        Some(_) => return Err(malformed("the encoding of the response is unknown")),
        None => body,
    };
    // The offset counts from the time at which the query was sent, which precedes its arrival. A response that waits in
    // the buffers of a suspended process therefore never appears newer than it is.
    let confirmed_at = sent_at.0.cast_signed() + offset;
    let confirmed_at = time::Millis(u64::try_from(confirmed_at).unwrap_or(0));
    Ok(Response::new(content, directory::Encoded { era, body }, confirmed_at))
}

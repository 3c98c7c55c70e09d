//! Passing on what one router of a zone reads from the store.
//!
//! All routers of a zone agree on the one that reads: the first by address, as the loaders of the zone tell, or the second if
//! that fails. The others ask it for what it reads, so that calls to the store, and the bytes that cross the links between
//! regions, do not grow with the number of routers. A router that gets no answer soon reads the store by itself.

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

/// Answers that are kept for routers that are a little behind.
const MAX_ANSWERS: usize = 16;

/// Time beyond the usual pause between two answers after which the reader is taken to be gone. Leaving endpoints must be
/// learnt of within their bound all the same: with 400 ms, and 500 ms for the second reader, a slow call to the store after
/// both exceeded it. A reader to which the store has nothing to tell answers after the wait of its watch.
const READER_MARGIN: time::Millis = time::Millis(watch::WATCH_WAIT.0 + 50);

/// The same where the first reader has taken its time already.
pub(crate) const SECOND_READER_TIMEOUT: time::Millis = time::Millis(250);

/// Routers of a zone of which each may be its reader, in turn.
const READERS: usize = 2;

/// Time for which a reader that gave no answer is not asked again.
const READER_BACKOFF: time::Millis = time::Millis(3_000);

/// Time for which what a loader told of the routers of the zone holds.
const MAX_PEERS_AGE: time::Millis = time::Millis(2_500);

/// Largest answer that is passed on.
const ANSWER_LIMIT: size::Bytes = size::Bytes::from_mib(16);

/// Path of the answers.
const PATH: &str = "/v1/store";

/// Header with the time from a question's arrival to that as of which the answer is known, in milliseconds; negative if
/// the answer was known before.
const CONFIRMED_HEADER: &str = "x-confirmed-after-ms";

/// An answer of the store that is passed on.
#[derive(Debug, Clone)]
struct Answer {
    /// Revision after which its changes came.
    after: u64,
    revision: u64,
    raw: Bytes,
    /// The time as of which it holds.
    confirmed: time::Millis,
}

/// What this router passes on, and whom it asks.
#[derive(Default)]
pub(crate) struct Relay {
    answers: collections::VecDeque<Answer>,
    /// Routers of the zone, and when a loader told of them.
    peers: Option<(Vec<net::IpAddr>, time::Millis)>,
    /// Readers that gave no answer, and until when they are not asked.
    suspended: collections::BTreeMap<net::IpAddr, time::Millis>,
}

impl Relay {
    /// Takes over an answer of the store.
    pub(crate) fn on_answer(
        &mut self,
        after: u64,
        revision: u64,
        raw: Bytes,
        confirmed: time::Millis,
    ) {
        let continues = self.answers.back().is_some_and(|last| last.revision == after);
        if !continues {
            self.answers.clear();
        }
        self.answers.push_back(Answer { after, revision, raw, confirmed });
        while self.answers.len() > MAX_ANSWERS {
            self.answers.pop_front();
        }
    }

    /// Takes over which routers are in the zone.
    pub(crate) fn on_peers(&mut self, now: time::Millis, peers: Vec<net::IpAddr>) {
        self.peers = Some((peers, now));
    }

    /// Notes that a reader gave no answer of use.
    pub(crate) fn on_failed(&mut self, now: time::Millis, reader: net::IpAddr) {
        self.suspended.retain(|_, until| *until > now);
        self.suspended.insert(reader, now + READER_BACKOFF);
    }

    /// Returns the router to ask, if it is another one: the first that has not failed this one lately, so that the next takes
    /// the place of a reader that is gone, and not all routers of the zone.
    pub(crate) fn reader(&self, now: time::Millis, own: net::IpAddr) -> Option<net::IpAddr> {
        let (peers, at) = self.peers.as_ref()?;
        if now.since(*at) >= MAX_PEERS_AGE {
            return None;
        }
        let available =
            |ip: &&net::IpAddr| self.suspended.get(*ip).is_none_or(|until| now >= *until);
        let first = peers.iter().take(READERS).find(available)?;
        (*first != own).then_some(*first)
    }

    /// Returns the first answer that is news to a router that knows all until `after` and asked at the time `arrived`: one
    /// with changes, or one that confirms since then that there are none.
    fn next(&self, after: u64, arrived: time::Millis) -> Next {
        if let Some(answer) = self.answers.iter().find(|answer| answer.revision > after) {
            let continues = answer.after <= after;
            return if continues { Next::Answer(answer.clone()) } else { Next::Gap };
        }
        let confirms = |last: &&Answer| last.revision == after && last.confirmed > arrived;
        self.answers.back().filter(confirms).cloned().map_or(Next::None, Next::Answer)
    }
}

/// What there is for another router.
enum Next {
    Answer(Answer),
    /// What came after the revision that it knows is not kept.
    Gap,
    None,
}

/// Answers another router, as soon as there is something that it does not know.
pub(crate) async fn serve<C>(
    node: rc::Rc<node::Node<C>>,
    asked: http::Request,
) -> respond::Response {
    let query = asked.uri().query().unwrap_or_default();
    let after = request::query_value(query, "after").and_then(|text| text.parse().ok());
    let (PATH, Some(after)) = (asked.path(), after) else {
        return respond::refusal(&request::unserved(&asked));
    };
    let arrived = node.now();
    let deadline = arrived + reader_timeout(&node);
    loop {
        let next = node.relay.borrow().next(after, arrived);
        match next {
            Next::Answer(answer) => {
                let mut response = respond::bytes(200, "application/json", answer.raw);
                let offset = answer.confirmed.0.cast_signed() - arrived.0.cast_signed();
                respond::set_header(&mut response, CONFIRMED_HEADER, &offset.to_string());
                return response;
            }
            Next::None if node.now() < deadline => {
                let left = deadline.since(node.now()).to_duration();
                let _ = tokio::time::timeout(left, node.relay_changed.notified()).await;
            }
            Next::Gap | Next::None => {
                let refusal = error::Refusal::new(error::ErrorKind::NotFound, "not known here");
                return respond::refusal(&refusal);
            }
        }
    }
}

/// Returns how long a reader may take for an answer.
pub(crate) fn reader_timeout<C>(node: &node::Node<C>) -> time::Millis {
    node.bounds.get().store_interval() + READER_MARGIN
}

/// Asks the reader of the zone for what came after a revision; returns its answer and the time as of which it holds.
pub(crate) async fn query_reader<C>(
    node: &node::Node<C>,
    reader: net::IpAddr,
    reader_timeout: time::Millis,
    after: u64,
) -> Result<(Bytes, time::Millis), directory::Error> {
    let asked = node.now();
    let request = client::Request::new("GET", format!("{PATH}?after={after}"));
    let address = node.host.relay_address(reader);
    let mut response = node.relay_client.call(address, request, reader_timeout).await?;
    if response.status != 200 {
        return Err(directory::Error::Refused { status: response.status });
    }
    let offset: Option<i64> = response.header(CONFIRMED_HEADER).and_then(|text| text.parse().ok());
    let without_time = || directory::Error::Malformed { reason: "the answer has no time".into() };
    let offset = offset.ok_or_else(without_time)?;
    let raw = response.read(ANSWER_LIMIT).await?;
    // Counted from the question, which left no later than it arrived: an answer that waits here for a process that stands
    // still does not seem younger than it is.
    let confirmed = asked.0.cast_signed() + offset;
    Ok((raw, time::Millis(u64::try_from(confirmed).unwrap_or(0))))
}

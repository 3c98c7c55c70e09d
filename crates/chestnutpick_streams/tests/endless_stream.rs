//! Tests of a streamed response whose attempt sends bytes without end.

use chestnutpick_streams::buffer;
use chestnutpick_streams::relay;
use chestnutpick_streams::relay::Action;
use chestnutpick_streams::sse;
use chestnutpick_types::digest;
use chestnutpick_types::error::{ErrorKind, Ran};
use chestnutpick_types::id;
use chestnutpick_types::time::Millis;
use rstest::rstest;

/// Interval between two pieces of the stream.
const STEP: Millis = Millis(100);

/// Maximum number of pieces until a stream must have ended.
const MAX_PIECES: u64 = 1_000;

/// Number of tokens requested.
const MAX_TOKENS: u64 = 8;

struct Stream {
    relay: relay::Relay,
    parser: sse::Parser,
    now: Millis,
}

impl Stream {
    /// Returns a stream whose first attempt has a matching head.
    fn new() -> Self {
        let config = relay::Config { max_tokens: MAX_TOKENS, ..relay::Config::default() };
        let mut relay = relay::Relay::new(Millis(0), config, attempt(), weights());
        relay.on_head(Millis(0), &attempt(), &attempt(), weights());
        Self { relay, parser: sse::Parser::default(), now: Millis(0) }
    }

    fn feed(&mut self, bytes: &[u8]) -> Vec<Action> {
        self.relay.on_bytes(self.now, &attempt(), &mut self.parser, bytes)
    }

    /// Feeds a piece at each step until it leads to an action other than a delivery.
    fn feed_until_end(&mut self, piece: &[u8]) -> Vec<Action> {
        for _ in 0..MAX_PIECES {
            self.now = self.now + STEP;
            let mut actions = self.feed(piece);
            actions.retain(|action| !matches!(action, Action::Deliver { .. }));
            if !actions.is_empty() {
                return actions;
            }
        }
        panic!("the stream did not end");
    }

    /// Continues the stream with the same attempt id until it fails, and returns the kind of its error.
    fn fail(&mut self, piece: &[u8]) -> ErrorKind {
        loop {
            match self.feed_until_end(piece).last() {
                Some(Action::Fail(refusal)) => return refusal.kind,
                _ => assert!(self.relay.resume(self.now, attempt())),
            }
            self.parser = sse::Parser::default();
            self.relay.on_head(self.now, &attempt(), &attempt(), weights());
        }
    }
}

fn attempt() -> id::AttemptId {
    "a-1".parse().unwrap()
}

fn weights() -> digest::Digest {
    digest::Digest::of(b"weights")
}

fn token(index: u64) -> Vec<u8> {
    sse::Event::Token { index, text: "t".into() }.encode().to_vec()
}

fn continues(from: u64) -> [Action; 2] {
    [Action::Cancel { attempt: attempt() }, Action::Continue { from }]
}

/// Guards against a stream that is read without a time limit because bytes arrive that complete no event.
#[rstest]
fn bytes_without_an_event_are_no_progress(
    #[values(
        ": comment\n\n",
        "\n",
        "\r",
        "id: 1\n\n",
        "event: x\n",
        "data:\n",
        "event: error\n\n",
        "a"
    )]
    piece: &str,
    #[values(0, 3)] tokens: u64,
) {
    let mut stream = Stream::new();
    for index in 0..tokens {
        assert_eq!(stream.feed(&token(index)).len(), 1);
    }
    let deadline = stream.relay.next_deadline().unwrap();
    assert_eq!(stream.feed_until_end(piece.as_bytes()), continues(tokens));
    assert!(stream.now <= deadline + STEP, "{}", stream.now);
}

/// Guards against "not run" for a request whose attempts sent bytes without an event, and against endless continuations.
#[rstest]
#[case(": comment\n\n")]
#[case("\n")]
fn attempts_without_an_event_may_have_run(#[case] piece: &str) {
    let kind = Stream::new().fail(piece.as_bytes());
    assert_eq!((kind, kind.response().ran), (ErrorKind::EndpointSilent, Ran::Unknown));
}

/// Guards against a line or an event that grows without end.
#[rstest]
#[case::line("a")]
#[case::data("data: a\n")]
fn event_beyond_the_limit_ends_the_attempt(#[case] repeated: &str) {
    let mut stream = Stream::new();
    let piece = repeated.repeat(1024);
    let limit = sse::MAX_LINE_BYTES / 1024 + 1;
    let ends = (0..=limit).any(|_| stream.feed(piece.as_bytes()) == continues(0));
    assert!(ends);
}

/// Guards against a stream that ends although an event arrives with the piece that comes after the deadline.
#[test]
fn event_after_the_deadline_is_progress() {
    let mut stream = Stream::new();
    stream.now = stream.relay.next_deadline().unwrap() + STEP;
    let piece = [b": comment\n\n".to_vec(), token(0)].concat();
    assert_eq!(stream.feed(&piece), [Action::Deliver { index: 0, text: "t".into() }]);
}

/// Guards against tokens without end: those beyond the requested ones reach no reader, and another endpoint ends the
/// response.
#[test]
fn tokens_beyond_the_request_end_the_attempt() {
    let mut stream = Stream::new();
    let pieces: Vec<_> = (0..=MAX_TOKENS).map(token).collect();
    let actions = stream.feed(&pieces.concat());
    let delivered = actions.iter().filter(|action| matches!(action, Action::Deliver { .. }));
    assert_eq!(delivered.count() as u64, MAX_TOKENS);
    assert!(actions.ends_with(&continues(MAX_TOKENS)), "{:?}", actions.last());
    assert!(stream.relay.resume(stream.now, attempt()));
    stream.relay.on_head(stream.now, &attempt(), &attempt(), weights());
    assert_eq!(stream.feed(&sse::Event::Done.encode()), [Action::Finish]);
}

/// Guards against a response that is parked and resumed without end because a token does not fit into its buffer.
#[test]
fn longest_token_fits_into_the_buffer() {
    let text = "a".repeat(sse::MAX_LINE_BYTES - "data: {\"index\":0,\"text\":\"\"}".len() - 1);
    let mut stream = Stream::new();
    let actions = stream.feed(&sse::Event::Token { index: 0, text: text.into() }.encode());
    let [Action::Deliver { index, text }] = &actions[..] else { panic!("not accepted") };
    let frame = sse::Event::Token { index: *index, text: text.clone() }.encode();
    let limits = buffer::Limits::default();
    let mut buffer = buffer::Buffer::new(Millis(0));
    let step = buffer.push(Millis(0), &limits, 0, frame);
    assert!(!matches!(step, Some(buffer::Step::Park { .. })), "{step:?}");
}

/// Guards against bytes after the end of a response that change its outcome.
#[rstest]
#[case::tokens(token(1))]
#[case::done(sse::Event::Done.encode().to_vec())]
#[case::nonsense(b"data: nonsense\n\n".to_vec())]
fn bytes_after_the_end_are_ignored(#[case] more: Vec<u8>) {
    let mut stream = Stream::new();
    let piece = [token(0), sse::Event::Done.encode().to_vec(), more.clone()].concat();
    let delivered = Action::Deliver { index: 0, text: "t".into() };
    assert_eq!(stream.feed(&piece), [delivered, Action::Finish]);
    for _ in 0..MAX_PIECES {
        stream.now = stream.now + STEP;
        assert_eq!(stream.feed(&more), []);
    }
    assert!(stream.relay.is_complete());
}

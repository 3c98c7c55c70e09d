//! Tests of the event codec on complete, split and damaged streams.

use chestnutpick_streams::sse;
use chestnutpick_types::error;
use proptest::prelude::*;
use rstest::rstest;

fn any_event() -> impl Strategy<Value = sse::Event> {
    let token = (any::<u64>(), any::<String>());
    let kinds = prop::sample::select(vec![
        error::ErrorKind::StreamBroken,
        error::ErrorKind::EndpointFull,
        error::ErrorKind::OutcomeUnknown,
    ]);
    prop_oneof![
        4 => token.prop_map(|(index, text)| sse::Event::Token { index, text: text.into() }),
        1 => Just(sse::Event::Done),
        1 => (kinds, any::<String>())
            .prop_map(|(kind, text)| sse::Event::Error(error::Refusal::new(kind, text))),
    ]
}

fn parse(bytes: &[u8]) -> (Vec<sse::Event>, Result<(), sse::ParseError>) {
    let mut parser = sse::Parser::new(100);
    let mut events = Vec::new();
    let result = parser.feed(bytes, &mut events).and_then(|()| parser.finish());
    (events, result)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against events that are lost, changed or merged when bytes arrive in pieces other than they were sent in,
    /// such as split within a character or between the two bytes of a line end.
    #[test]
    fn events_survive_any_split(
        events in prop::collection::vec(any_event(), 0..8),
        sizes in prop::collection::vec(1_usize..9, 1..40),
        crlf in any::<bool>(),
    ) {
        let text: String = events
            .iter()
            .map(|event| String::from_utf8(event.encode().to_vec()).unwrap())
            .collect();
        let text = if crlf { text.replace('\n', "\r\n") } else { text };
        let mut parser = sse::Parser::default();
        let mut parsed = Vec::new();
        let mut rest = text.as_bytes();
        for size in sizes.iter().cycle() {
            let (piece, tail) = rest.split_at(rest.len().min(*size));
            parser.feed(piece, &mut parsed).unwrap();
            rest = tail;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(parser.finish(), Ok(()));
        prop_assert_eq!(parsed, events);
    }

    /// Guards against a panic, or more events than blank lines, on bytes that are not an event stream.
    #[test]
    fn arbitrary_bytes_are_safe(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let (events, _) = parse(&bytes);
        prop_assert!(events.len() <= bytes.len() / 2);
    }
}

/// Guards against rejecting forms that the event stream format allows.
#[rstest]
#[case::comment(": ping\n\ndata: [DONE]\n\n")]
#[case::no_space("data:[DONE]\n\n")]
#[case::carriage_return("data: [DONE]\r\r")]
#[case::other_fields("id: 3\nretry: 10\nx\ndata: [DONE]\n\n")]
#[case::blank_lines("\n\n\ndata: [DONE]\n\n\n")]
#[case::message_name("event: message\ndata: [DONE]\n\n")]
fn permitted_forms_are_parsed(#[case] text: &str) {
    assert_eq!(parse(text.as_bytes()), (vec![sse::Event::Done], Ok(())));
}

/// Guards against data that spans several lines being truncated or joined without its line ends.
#[test]
fn data_lines_are_joined() {
    let (events, result) = parse(b"data: {\"index\":0,\ndata: \"text\":\"a\"}\n\n");
    assert_eq!(events, [sse::Event::Token { index: 0, text: "a".into() }]);
    assert_eq!(result, Ok(()));
}

/// Guards against treating damaged or truncated streams as complete.
#[rstest]
#[case::truncated_line(b"data: [DO", sse::ParseError::Truncated)]
#[case::truncated_event(b"data: [DONE]\n", sse::ParseError::Truncated)]
#[case::invalid_json(b"data: x\n\n", sse::ParseError::Malformed { name: "message".into() })]
#[case::invalid_error_json(b"event: error\ndata: x\n\n", sse::ParseError::Malformed { name: "error".into() })]
#[case::other_name(b"event: ping\ndata: x\n\n", sse::ParseError::Malformed { name: "ping".into() })]
#[case::not_utf8(b"data: \xff\n\n", sse::ParseError::NotUtf8)]
fn damage_is_reported(#[case] bytes: &[u8], #[case] expected: sse::ParseError) {
    assert_eq!(parse(bytes), (Vec::new(), Err(expected)));
}

/// Guards against unbounded memory use for an endless line or an event of many lines.
#[rstest]
#[case::line(b"x".repeat(101))]
#[case::data(b"data: xxxxxxxxx\n".repeat(12))]
fn length_is_bounded(#[case] bytes: Vec<u8>) {
    assert_eq!(parse(&bytes).1, Err(sse::ParseError::TooLong { limit: 100 }));
}

/// Guards against accepting events after an error, and against losing the events before it.
#[test]
fn nothing_is_parsed_after_an_error() {
    let mut parser = sse::Parser::default();
    let mut events = Vec::new();
    assert!(parser.feed(b"data: [DONE]\n\ndata: x\n\n", &mut events).is_err());
    assert_eq!(parser.feed(b"data: [DONE]\n\n", &mut events), Err(sse::ParseError::Poisoned));
    assert_eq!(events, [sse::Event::Done]);
}

//! Splitting of streams that arrive in pieces of any size.

use chestnutpick_router::events;
use rstest::rstest;

/// Guards against events that are split, merged or lost at the boundaries of network reads.
#[rstest]
#[case::line_feeds("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case::carriage_returns("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")]
fn events_are_whole_for_any_piece_size(#[case] stream: &str) {
    for size in 1..stream.len() {
        let mut framer = events::Framer::default();
        let mut found = Vec::new();
        for piece in stream.as_bytes().chunks(size) {
            found.extend(framer.push(piece).unwrap());
        }
        let bytes: Vec<u8> = found.iter().flat_map(|event| event.bytes.to_vec()).collect();
        assert_eq!(bytes, stream.as_bytes(), "pieces of {size}");
        assert_eq!(found.iter().map(|event| event.id).collect::<Vec<_>>(), [Some(1), Some(2)]);
        assert!(framer.is_empty());
    }
}

/// Guards against forwarding the start of an event whose end never arrived.
#[test]
fn incomplete_event_is_not_returned() {
    let mut framer = events::Framer::default();
    let found = framer.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(found.len(), 1);
    assert!(!framer.is_empty());
}

/// Guards against unbounded memory use for an event that never ends.
#[test]
fn oversized_event_is_an_error() {
    let mut framer = events::Framer::default();
    let piece = vec![b'x'; 1 << 19];
    let outcome = (0..4).map(|_| framer.push(&piece)).find(Result::is_err);
    assert!(outcome.is_some());
}

/// Guards against counting comments and blank lines as events, and events as padding.
#[rstest]
#[case::blank_line("\n\n", false)]
#[case::comment(": data: a\n\n", false)]
#[case::comment_with_carriage_return(": a\r\n\r\n", false)]
#[case::retry("retry: 5\n\n", false)]
#[case::data("data: a\n\n", true)]
#[case::data_after_comment(": a\r\nevent: b\r\ndata: c\r\n\r\n", true)]
fn comments_have_no_data(#[case] text: &str, #[case] has_data: bool) {
    let found = events::Framer::default().push(text.as_bytes()).unwrap();
    assert_eq!(found.iter().map(|event| event.has_data).collect::<Vec<_>>(), [has_data]);
}

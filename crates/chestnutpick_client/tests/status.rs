//! The client against a peer whose response has a status that is no status.

mod common;

use chestnutpick_client::client::{CallError, Client, Options, Request};
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use rstest::rstest;

const TIMEOUT: Millis = Millis::from_secs(10);

fn client(reuse: bool) -> Client {
    Client::with_options(Options { reuse, ..Options::default() })
}

/// Returns a whole response with the text `status` in place of its status.
fn response(status: &str) -> String {
    format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok")
}

/// Guards against a response whose status is no status that is returned as an answer, or reported as a request that was not
/// sent.
#[rstest]
#[case::zeros("000")]
#[case::zero("0")]
#[case::two_digits("99")]
#[case::below_interim("099")]
#[case::above_errors("600")]
#[case::greatest("999")]
#[case::truncated("20")]
#[case::four_digits("2000")]
#[case::letters("abc")]
#[case::signed("+20")]
#[case::missing("")]
fn response_without_a_valid_status_is_lost(
    #[case] status: &str,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] interim: &str,
    #[values(false, true)] reuse: bool,
) {
    let bytes = format!("{interim}{}", response(status));
    common::run(async move {
        let peer = common::start(vec![common::Reply::SendAndHang(bytes)]).await;
        let client = client(reuse);
        let request = Request::new("POST", "/");
        let error = match client.call(peer.address, request, TIMEOUT).await {
            Ok(response) => panic!("status {} was accepted", response.status),
            Err(error) => error,
        };
        assert!(matches!(error, CallError::Lost { .. }), "{error}");
    });
}

/// Guards against such a response on a connection that has carried a valid one.
#[rstest]
fn later_response_without_a_valid_status_is_lost(#[values("000", "600")] status: &str) {
    let replies = vec![common::response(200, "", "ok"), common::Reply::Send(response(status))];
    common::run(async move {
        let peer = common::start(replies).await;
        let client = client(true);
        let mut first = client.call(peer.address, Request::new("GET", "/"), TIMEOUT).await.unwrap();
        assert_eq!(first.read(size::Bytes(2)).await.unwrap(), "ok");
        drop(first);
        let second = client.call(peer.address, Request::new("POST", "/"), TIMEOUT).await;
        let error = second.err().expect("the response was accepted");
        assert!(matches!(error, CallError::Lost { .. }), "{error}");
        assert_eq!(peer.connections.get(), 1);
    });
}

/// Guards against the loss of a response with an unusual status, also after interim responses.
#[rstest]
fn response_with_a_valid_status_is_returned(
    #[values(200, 299, 300, 418, 599)] status: u16,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\nx-a: b\r\n\r\n")] interim: &str,
) {
    let bytes = format!("{interim}{}", response(&status.to_string()));
    common::run(async move {
        let peer = common::start(vec![common::Reply::Send(bytes)]).await;
        let (client, request) = (client(false), Request::new("GET", "/"));
        let response = client.call(peer.address, request, TIMEOUT).await.unwrap();
        assert_eq!(response.status, status);
    });
}

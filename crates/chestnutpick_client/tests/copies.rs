//! The store's client against a store that sends a response twice, the second copy in place of the response to the next
//! call.

mod common;

use chestnutpick_client::client::Client;
use chestnutpick_client::store::{Error, HttpStore, Store};
use chestnutpick_types::time::Millis;

const TIMEOUT: Millis = Millis::from_secs(5);

fn written(revision: u64) -> String {
    format!("HTTP/1.1 200 OK\r\nx-revision: {revision}\r\ncontent-length: 0\r\n\r\n")
}

/// Guards against a write that counts as done because of a late second copy of the response to an earlier write: a claim
/// that was not written would permit a second execution.
#[test]
fn copy_of_a_response_does_not_confirm_a_write() {
    common::run(async move {
        let conflict = "HTTP/1.1 409 X\r\nx-revision: 9\r\ncontent-length: 0\r\n\r\n";
        // A store sends the copy only on a connection that is in use again.
        let peer = common::start_with_copies(&written(7), conflict).await;
        let store = HttpStore::new(Client::new(), peer, TIMEOUT);
        assert_eq!(store.put("claims/1".into(), 6, "first".into()).await, Ok(7));
        let second = store.put("claims/2".into(), 6, "second".into()).await;
        assert_eq!(second, Err(Error::Conflict { current: 9 }));
    });
}

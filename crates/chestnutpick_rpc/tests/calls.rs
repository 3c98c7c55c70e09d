//! Calls of the control protocol over a loopback connection.

use std::cell;
use std::rc;
use std::time;

use bytes::Bytes;
use chestnutpick_routing::suspects;
use chestnutpick_rpc::{client, message, server};
use chestnutpick_types::{digest, id};
use tokio_util::sync;

fn report() -> message::Report {
    message::Report {
        host: "runner-1".parse().unwrap(),
        incarnation: 7,
        sequence: 3,
        revision: 5,
        leaving: true,
        cold: true,
        slots: 8,
        running: 2,
        memory_used: 100,
        memory_limit: 1_000,
        admit_limit: 1,
        loaded: vec![digest::Digest::of(b"v1")],
        services: vec!["ledger".parse().unwrap()],
        chunks_held: 4,
        chunks_total: 9,
        suspects: vec![suspects::Record {
            at: chestnutpick_types::time::Millis(12),
            fingerprint: digest::Digest::of(b"crash"),
            host: "runner-2".parse().unwrap(),
            generation: 4,
        }],
        origin_bytes: 77,
        suspect_running: true,
    }
}

fn heartbeat() -> message::Heartbeat {
    message::Heartbeat {
        sender: "entry-1".parse().unwrap(),
        revision: 4,
        suspects: report().suspects,
        permits: vec![digest::Digest::of(b"v2")],
    }
}

#[derive(Default)]
struct FakeHandler {
    received: cell::RefCell<Vec<message::Heartbeat>>,
}

impl server::Handler for FakeHandler {
    fn heartbeat(&self, heartbeat: message::Heartbeat) -> message::Report {
        self.received.borrow_mut().push(heartbeat);
        report()
    }

    fn put_config(&self, revision: u64, _document: Bytes) -> u64 {
        revision
    }

    fn get_config(&self, known: u64) -> (u64, Bytes) {
        (known + 1, Bytes::from_static(b"{}"))
    }

    fn drain(&self) {}

    fn settle(&self, _: id::AttemptId, _: chestnutpick_types::time::Millis) -> message::Verdict {
        message::Verdict::Finished { status: 201, body: Bytes::from_static(b"done") }
    }
}

const DEADLINE: time::Duration = time::Duration::from_secs(20);

/// Guards against fields that are lost or swapped between the structs and the encoded messages.
#[actix_rt::test]
async fn messages_round_trip() {
    let listener = actix_rt::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = sync::CancellationToken::new();
    let handler = rc::Rc::new(FakeHandler::default());
    let server_task =
        actix_rt::spawn(server::serve(listener, stop.clone(), rc::Rc::clone(&handler)));
    let connection = client::Connection::open(address, DEADLINE).await.unwrap();
    let heartbeat = heartbeat();
    let received_report = connection.heartbeat(&heartbeat).await.unwrap();
    assert_eq!(received_report, report());
    assert_eq!(*handler.received.borrow(), [heartbeat]);
    assert_eq!(connection.put_config(9, b"{}").await.unwrap(), 9);
    assert_eq!(connection.get_config(9).await.unwrap(), (10, Bytes::from_static(b"{}")));
    let verdict = connection
        .settle(&id::AttemptId::random(), chestnutpick_types::time::Millis(5))
        .await
        .unwrap();
    assert_eq!(
        verdict,
        message::Verdict::Finished { status: 201, body: Bytes::from_static(b"done") }
    );
    stop.cancel();
    server_task.await.unwrap();
}

/// Guards against a call that waits forever on a connection that has gone silent.
#[actix_rt::test]
async fn call_to_silent_peer_times_out() {
    let listener = actix_rt::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let deadline = time::Duration::from_millis(50);
    let connection = client::Connection::open(address, deadline).await.unwrap();
    let error = connection.heartbeat(&heartbeat()).await.unwrap_err();
    assert!(matches!(error, client::CallError::Deadline { .. }), "{error}");
}

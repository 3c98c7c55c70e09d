//! Calls whose connections are reset when they are given up.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread;

use chestnutpick_client::client::{Client, Options, Request};
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;

fn client() -> Client {
    Client::with_options(Options { reuse: false, reset: true, ..Options::default() })
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Guards against a call whose rest is delivered after it was given up, as with a connection that is closed in order.
#[test]
fn call_that_is_given_up_resets_its_connection() {
    let (listener, address) = listen();
    let (given_up, wait) = mpsc::channel();
    let peer = thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        wait.recv().unwrap();
        connection.read_to_end(&mut Vec::new()).map_err(|reason| reason.kind())
    });
    actix_rt::System::new().block_on(async {
        let request = Request::new("POST", "/orders");
        assert!(client().call(address, request, Millis(200)).await.is_err());
        // The connection closes in a task of its own.
        actix_rt::time::sleep(Millis(200).to_duration()).await;
        given_up.send(()).unwrap();
    });
    assert_eq!(peer.join().unwrap(), Err(ErrorKind::ConnectionReset));
}

/// Guards against a response that is lost because its connection is reset.
#[test]
fn response_is_read_before_the_reset() {
    let (listener, address) = listen();
    let peer = thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let read = connection.read(&mut [0; 1_024]).unwrap();
        connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
        read
    });
    actix_rt::System::new().block_on(async {
        let request = Request::new("POST", "/orders");
        let mut response = client().call(address, request, Millis(10_000)).await.unwrap();
        assert_eq!(response.read(size::Bytes(10)).await.unwrap(), "ok");
    });
    assert!(peer.join().unwrap() > 0);
}

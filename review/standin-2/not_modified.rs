//! An endpoint sends a second answer after a complete one with status 304. The second answer belongs to no request.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::http::{self, Reader};
use crate::lab;
use crate::wire;

/// Callers, one after the other. Each has one connection and sends two requests on it.
const CALLERS: usize = 400;

/// Answers of the faulty endpoint, which is one of two, for each that it spoils: 0.02 of them.
const ANSWERS_PER_FAULT: usize = 50;

/// Size of the ledger that the endpoint serves, in bytes.
const LEDGER: usize = 800;

/// Pause between the first answer and the second request of a caller.
const PAUSE: Duration = Duration::from_millis(20);

const TIMEOUT: Duration = Duration::from_secs(8);

/// Returns a caller's ledger, which names the request that asked for it.
fn ledger(id: &str) -> String {
    format!("{:.<LEDGER$}", format!("ledger for {id} "))
}

fn is_conditional(head: &http::Head) -> bool {
    head.get("if-none-match") == "\"v7\""
}

/// Returns the answer of an endpoint, followed by a second one if it is spoiled.
fn answer(head: &http::Head, is_spoiled: bool) -> Vec<u8> {
    let id = head.get(wire::name("REQUEST_ID"));
    let length = format!("content-length: {LEDGER}\r\n");
    let whole = |id: &str| lab::response_head("200 OK", id, &length) + &ledger(id);
    if !is_conditional(head) {
        return whole(id).into_bytes();
    }
    // A 304 may state the length of what a 200 would have, and ends with its head (RFC 9110, section 8.6).
    let tag = format!("{length}etag: \"v7\"\r\n");
    let mut answer = lab::response_head("304 Not Modified", id, &tag);
    if is_spoiled {
        answer += &whole("another-caller");
    }
    answer.into_bytes()
}

pub fn run(lab: &lab::Lab, trouble: bool) -> io::Result<Outcome> {
    let record = lab.record.clone();
    lab.put(wire::name("CONFIG"), lab::config());
    let (answers, faults) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let faulty = move |head: &http::Head| {
        let count = answers.fetch_add(1, Ordering::Relaxed) + 1;
        let is_due = count / ANSWERS_PER_FAULT > faults.load(Ordering::Relaxed);
        let spoils = trouble && is_due && is_conditional(head);
        faults.fetch_add(usize::from(spoils), Ordering::Relaxed);
        if spoils {
            let id = head.get(wire::name("REQUEST_ID"));
            record
                .line(&format!("i-0 sends a second answer after that to {id}, its answer {count}"));
        }
        answer(head, spoils)
    };
    lab.start_endpoint("i-0", Arc::new(move |head, _| faulty(head)))?;
    lab.start_endpoint("i-1", Arc::new(|head, _| answer(head, false)))?;
    lab.start()?;
    let (mut served, mut foreign) = (0, 0);
    for caller in 0..CALLERS {
        let (first, second) = (format!("c{caller}-first"), format!("c{caller}-second"));
        let stream = lab::connect(lab.front(), TIMEOUT)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        let condition = "if-none-match: \"v7\"\r\n";
        writer.write_all(lab::request_head("GET", "/reads/1", &first, condition).as_bytes())?;
        reader.response("GET")?;
        thread::sleep(PAUSE);
        let sent = writer.write_all(lab::request_head("GET", "/reads/1", &second, "").as_bytes());
        let Ok((head, body)) = sent.and_then(|()| reader.response("GET")) else {
            lab.record.line(&format!("{second}: no answer"));
            continue;
        };
        let id = head.get(wire::name("REQUEST_ID")).to_owned();
        let text = String::from_utf8_lossy(&body).into_owned();
        let start: String = text.chars().take(40).collect();
        if head.status() == 200 && (id != second || text != ledger(&second)) {
            let line = &head.line;
            lab.record.line(&format!("{second} answered: {line}, id {id}, body \"{start}\""));
            foreign += 1;
        } else if head.status() == 200 {
            served += 1;
        }
    }
    lab.record.line(&format!("{served} own answers, {foreign} of another request"));
    if served + foreign == 0 {
        return Err(io::Error::other("nothing was served"));
    }
    Ok(if foreign > 0 { Outcome::Broken } else { Outcome::Held })
}

//! Callers send two requests on one connection without waiting for the first answer. The first has a body in chunks.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Reader;
use crate::lab;

/// Sizes of the first request on the wire, in bytes. Each pair of requests has another one.
const SIZES: std::ops::Range<usize> = 8_100..8_300;

/// Deadline of the requests, which is the time-out of their route, less what a clock may differ.
const DEADLINE: Duration = Duration::from_millis(5_900);

/// Time for an answer: the time-out of the route, and 0.5 s more.
const TIMEOUT: Duration = Duration::from_millis(6_500);

/// Returns the answer of the endpoint to a request.
fn answer(id: &str) -> String {
    format!("this is the whole answer to {id}")
}

/// Returns a request of `size` bytes with a body in chunks.
fn chunked(id: &str, size: usize) -> String {
    let end = "\r\n0\r\n\r\n";
    let head = lab::request_head("PUT", "/reads/1", id, "transfer-encoding: chunked\r\n");
    // The size of the chunk takes four digits.
    let body = size - head.len() - end.len() - "1000\r\n".len();
    format!("{head}{body:04x}\r\n{}{end}", "x".repeat(body))
}

/// What a caller sees of a pair of requests.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    Whole,
    /// A success with another body than the endpoint's.
    Wrong(String),
    /// The second request was sent whole, and got no answer until its deadline.
    Held(String),
    /// A refusal, or another answer of the router's own.
    Refused(String),
}

pub fn run(lab: &lab::Lab, trouble: bool) -> io::Result<Outcome> {
    lab.put(crate::wire::name("CONFIG"), lab::config());
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let running = Arc::clone(&ran);
    let handler: lab::Handler = Arc::new(move |head, _| {
        let id = head.get(crate::wire::name("REQUEST_ID"));
        running.lock().unwrap().push(format!("{} {id}", head.method()));
        let text = answer(id);
        let length = format!("content-length: {}\r\n", text.len());
        let head_of_answer = lab::response_head("200 OK", id, &length);
        if head.method() == "HEAD" { head_of_answer } else { head_of_answer + &text }.into_bytes()
    });
    lab.start_endpoint("i-0", handler)?;
    lab.start()?;
    let (mut whole, mut wrong, mut held) = (0, 0, 0);
    for (second, body) in [("HEAD", ""), ("PUT", "second body")] {
        for size in SIZES {
            let name = format!("{size} bytes, then {second}");
            match pair(lab.front(), size, second, body, trouble) {
                Ok(Seen::Whole) => whole += 1,
                Ok(Seen::Wrong(text)) => {
                    wrong += 1;
                    lab.record.line(&format!("{name}: wrong answer to the first: {text}"));
                }
                Ok(Seen::Held(text)) => {
                    held += 1;
                    lab.record
                        .line(&format!("{name}: the second not served until its deadline: {text}"));
                }
                Ok(Seen::Refused(text)) => lab.record.line(&format!("{name}: {text}")),
                Err(reason) => lab.record.line(&format!("{name}: {reason}")),
            }
        }
    }
    let ran = ran.lock().unwrap();
    lab.record.line(&format!("the endpoint ran {} requests", ran.len()));
    for line in ran.iter().filter(|line| line.contains("8192")) {
        lab.record.line(&format!("the endpoint ran {line}"));
    }
    lab.record.line(&format!("{whole} pairs whole, {wrong} with a wrong answer, {held} held"));
    if whole == 0 {
        return Err(io::Error::other("nothing was served"));
    }
    Ok(if wrong > 0 { Outcome::Broken } else { Outcome::Held })
}

/// Sends a pair of requests and reads their answers.
fn pair(
    front: SocketAddr,
    size: usize,
    method: &str,
    body: &str,
    trouble: bool,
) -> io::Result<Seen> {
    let (first, second) = (format!("first-{method}-{size}"), format!("second-{method}-{size}"));
    let length = format!("content-length: {}\r\n", body.len());
    let length = if body.is_empty() { "" } else { &length };
    let ahead = chunked(&first, size);
    let next = lab::request_head(method, "/reads/1", &second, length) + body;
    let stream = lab::connect(front, TIMEOUT)?;
    let (mut writer, mut reader) = (stream.try_clone()?, Reader::new(stream));
    if trouble {
        writer.write_all(format!("{ahead}{next}").as_bytes())?;
    } else {
        writer.write_all(ahead.as_bytes())?;
    }
    let (head, text) = reader.response("PUT")?;
    let text = String::from_utf8_lossy(&text).into_owned();
    if head.status() == 200 && text != answer(&first) {
        let rest = String::from_utf8_lossy(reader.rest()).into_owned();
        return Ok(Seen::Wrong(format!("{} with the body {text:?}, then {rest:?}", head.line)));
    }
    if !trouble {
        writer.write_all(next.as_bytes())?;
    }
    let sent_at = Instant::now();
    let outcome = reader.response(method);
    let took = sent_at.elapsed();
    let text = match outcome {
        Ok((head, _)) if head.status() == 200 => return Ok(Seen::Whole),
        Ok((head, _)) => format!("{} after {took:.1?}", head.line),
        Err(reason) => format!("{reason} after {took:.1?}"),
    };
    Ok(if took >= DEADLINE { Seen::Held(text) } else { Seen::Refused(text) })
}

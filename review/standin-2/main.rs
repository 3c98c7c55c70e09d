//! Stand-ins and checks of the review cases that are scripts.
//!
//! Usage: `standin-2 CASE RECORD`, in the root of the repository. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` in the environment, the case runs without its disruption.

mod endless_events;
mod http;
mod lab;
mod large_answers;
mod not_modified;
mod read_ahead;
mod small_chunks;
mod wire;

use std::io;
use std::path::Path;
use std::process;
use std::thread;
use std::time::Duration;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Outcome of a case.
pub enum Outcome {
    Broken,
    Held,
}

fn run(case: &str, record: &lab::Record, trouble: bool) -> io::Result<Outcome> {
    let lab = lab::Lab::new(record.clone())?;
    match case {
        "endless-events" => endless_events::run(&lab, trouble),
        "large-answers" => large_answers::run(&lab, trouble),
        "not-modified" => not_modified::run(&lab, trouble),
        "read-ahead" => read_ahead::run(&lab, trouble),
        "small-chunks" => small_chunks::run(&lab, trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE RECORD");
        process::exit(2);
    };
    let Ok(record) = lab::Record::create(Path::new(path)) else { process::exit(2) };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        lab::end_routers();
        process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    record.line(&format!("case {case}, disruption: {trouble}"));
    let (text, status) = match run(case, &record, trouble) {
        Ok(Outcome::Broken) => ("the rule was broken".to_owned(), 1),
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    lab::end_routers();
    record.line(&text);
    println!("{case}: {text}");
    process::exit(status);
}

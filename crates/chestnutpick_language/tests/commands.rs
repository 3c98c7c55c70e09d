//! Parsing, completion and queries, checked against the examples in `tests/commands`.
//!
//! The tests guard against commands with a wrong meaning, error messages that point at the wrong word or list the wrong
//! alternatives, and answers that contradict the document or the endpoints.

use std::sync::Arc;

use chestnutpick_config::change::Metadata;
use chestnutpick_language::complete::complete;
use chestnutpick_language::error::rejection_message;
use chestnutpick_language::parse::parse;
use chestnutpick_language::query;
use chestnutpick_language::table::Table;
use chestnutpick_language::view::{Endpoint, Kind, Snapshot, Temperature};
use chestnutpick_types::time::Millis;

fn render_parsed(input: &str) -> String {
    match parse(input) {
        Ok(command) => format!("{command}\n"),
        Err(error) => format!("{error}\n"),
    }
}

/// Applies the change of each line. Returns the error messages of rejected changes and the final revision.
fn apply_changes(snapshot: &mut Snapshot, input: &str) -> String {
    let mut output = String::new();
    for line in input.lines() {
        let change = parse(line).unwrap().to_change().unwrap();
        let number = snapshot.document.revision + 1;
        let metadata = Metadata {
            id: format!("change-{number}").parse().unwrap(),
            operator: "ana".into(),
            command: line.into(),
            at: Millis(1_798_761_599_000 + number * 1_000),
        };
        match change.apply(&snapshot.document, &metadata) {
            Ok(next) => snapshot.document = Arc::new(next),
            Err(reason) => output += &format!("{}\n", rejection_message(line, &reason)),
        }
    }
    output + &format!("revision {}\n", snapshot.document.revision)
}

/// Parses `host zone kind digests temperature in-flight slots [leaving]`. Each digest is given by one digit, which is
/// repeated to full length.
fn parse_endpoint(line: &str) -> Endpoint {
    let words: Vec<_> = line.split(' ').collect();
    let digests = words[3].split(',').filter(|digit| *digit != "-");
    Endpoint {
        host: words[0].parse().unwrap(),
        zone: words[1].parse().unwrap(),
        kind: match words[2] {
            "engine" => Kind::Engine,
            service => Kind::Service(service.parse().unwrap()),
        },
        digests: digests.map(|digit| digit.repeat(64).parse().unwrap()).collect(),
        temperature: if words[4] == "cold" { Temperature::Cold } else { Temperature::Warm },
        in_flight: words[5].parse().unwrap(),
        slots: words[6].parse().unwrap(),
        leaving: words.get(7).is_some(),
        report_age: Millis(400),
    }
}

fn run_query(snapshot: &Snapshot, input: &str, render: fn(Table) -> String) -> String {
    match query::run(&parse(input).unwrap(), snapshot) {
        Ok(table) => render(table),
        Err(error) => format!("error: {error}\n"),
    }
}

#[test]
fn output_matches_the_example_files() {
    datadriven::walk("tests/commands", |file| {
        let mut snapshot = Snapshot::default();
        file.run(|case| {
            let input = case.input.trim_end_matches('\n');
            match case.directive.as_str() {
                "parse" => render_parsed(input),
                "apply" => apply_changes(&mut snapshot, input),
                "endpoints" => {
                    snapshot.endpoints = input.lines().map(parse_endpoint).collect();
                    format!("{} endpoints\n", snapshot.endpoints.len())
                }
                "query" => run_query(&snapshot, input, |table| table.to_string()),
                "json" => run_query(&snapshot, input, |table| format!("{:#}\n", table.to_json())),
                "complete" => {
                    let words = complete(input.trim_end_matches('|'), &snapshot);
                    let words =
                        if words.is_empty() { "(none)".to_owned() } else { words.join(" ") };
                    format!("{words}\n")
                }
                other => panic!("unknown directive {other}"),
            }
        });
    });
}

//! Format of the reports, which documents quote and scripts parse.

use chestnutpick_load::report::{Samples, Series, write_chart};
use chestnutpick_load::run::Outcome;

/// Guards against a changed format of the lines that docs/CAPACITY.md quotes.
#[test]
fn summary_has_median_unit_runs_and_range() {
    let samples: Samples = [5.0, 1.0, 4.0, 2.0].into_iter().collect();
    assert_eq!(samples.summary("relay", "us"), "relay 3.00 us (median of 4, 1.00 to 5.00)");
    let large: Samples = [1_234.5].into_iter().collect();
    assert_eq!(large.summary("table", "B"), "table 1234 B (median of 1, 1234 to 1234)");
}

/// Guards against a count that is missing in the report.
#[test]
fn outcome_reports_every_count() {
    let mut outcome = Outcome {
        scheduled: 9,
        served: 3,
        interrupted: 1,
        wrong_tokens: 1,
        unfinished: 2,
        ..Outcome::default()
    };
    outcome.duplicate_records = Some(0);
    outcome.refused_by_kind.insert("overloaded/not_run".to_owned(), 2);
    let text = outcome.text("rate=20");
    let first = text.lines().next().unwrap();
    assert_eq!(first, "rate=20 due=9 served=3 refused=2 cut=1 mixed=1 open=2 recorded_twice=0");
    assert!(text.contains("rate=20 refused_by_kind overloaded/not_run=2"), "{text}");
    for name in ["first_token", "between_tokens", "whole", "calls"] {
        assert!(text.contains(&format!("rate=20 {name} n=0")), "{text}");
    }
}

/// Guards against charts that are not written or lack axes or a series.
#[test]
fn chart_has_axes_and_series() {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("charts");
    let series = Series { name: "resident".to_owned(), points: vec![(0.0, 1.0), (5.0, 3.0)] };
    let path = write_chart(&directory, "memory", ("s", "MiB"), &[series]).unwrap();
    let text = std::fs::read_to_string(path).unwrap();
    for word in ["<svg", "resident", "MiB", "memory"] {
        assert!(text.contains(word), "{word}");
    }
}

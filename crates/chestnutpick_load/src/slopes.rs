//! Cost per unit of load, from which the capacity page computes the capacity of a deployment.

mod buffers;
mod claims;
mod config;
mod idle;
mod table;
mod traffic;
mod wire;

use strum::IntoEnumIterator;

use crate::{cli, report};

/// Part of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Part {
    /// Endpoint table of the routing.
    Table,
    /// Heartbeats on the network.
    Wire,
    /// Configuration changes.
    Config,
    /// Processes without requests.
    Idle,
    /// Requests, tokens and open streams at an entry.
    Traffic,
    /// Claims at an entry.
    Claims,
    /// Buffer budget.
    Buffers,
}

/// Measures the selected parts and prints one line for each quantity.
///
/// # Errors
///
/// Returns a message for the operator.
pub async fn run(options: cli::Slopes) -> Result<(), String> {
    let parts = if options.part.is_empty() { Part::iter().collect() } else { options.part.clone() };
    let runs = options.runs;
    for part in parts {
        match part {
            Part::Table => table::measure(runs)?,
            Part::Wire => wire::measure(runs).await?,
            Part::Config => config::measure(runs)?,
            Part::Idle => idle::measure(runs).await?,
            Part::Traffic => traffic::measure(runs).await?,
            Part::Claims => claims::measure(runs).await?,
            Part::Buffers => buffers::measure(runs),
        }
    }
    Ok(())
}

fn print_samples(name: &str, samples: &report::Samples, unit: &str) {
    println!("{}", samples.summary(name, unit));
}

fn to_message<E>(reason: E) -> String
where
    E: std::fmt::Display,
{
    reason.to_string()
}

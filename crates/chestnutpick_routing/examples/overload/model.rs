//! Parameters and distributions of the simulated fleet.

use chestnutpick_types::size;
use chestnutpick_types::time;
use rand_core::Rng;

use crate::admission::limits;

pub const ZONES: usize = 3;
pub const ENTRIES: usize = 6;
pub const HOSTS: usize = 60;

/// One in this many endpoints becomes cold.
pub const COLD_EVERY: usize = 10;

pub const FULL: limits::Limits = limits::Limits { slots: 16, memory: size::Tokens(12_800) };
pub const COLD: limits::Limits = limits::Limits { slots: 2, memory: size::Tokens(1_600) };

/// Maximum output that a client requests, which admission expects for every request.
pub const MAX_OUTPUT: u64 = 100;

/// Time after arrival by which a request must have been sent to an endpoint that admits it.
pub const DEADLINE: time::Millis = time::Millis(10_000);

/// Interval between heartbeats from an entry to one endpoint.
pub const HEARTBEAT_INTERVAL: time::Millis = time::Millis(1_000);

/// Time that a crashed engine takes to restart.
pub const RESTART_TIME: time::Millis = time::Millis(5_000);

/// Delay of the baseline before a retry.
pub const BACKOFF: time::Millis = time::Millis(10);

/// Start and end of the measurement. Endpoints become cold at its start.
pub const MEASURE_START: time::Millis = time::Millis(20_000);
pub const MEASURE_END: time::Millis = time::Millis(50_000);

/// End of the arrivals and end of the run.
pub const LAST_ARRIVAL: time::Millis = time::Millis(55_000);
pub const END: time::Millis = time::Millis(120_000);

const MEAN_PROMPT: u64 = 400;
const MEAN_OUTPUT: u64 = 60;
const DECODE_MS: u64 = 25;
const PROMPT_PER_MS: u64 = 5;

/// Policy of entries and agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Policy implemented by the libraries of this workspace.
    Policy,
    /// Uniform random choice, no cold limit, unlimited retries.
    Baseline,
}

/// Load scenario.
#[derive(Debug)]
pub struct Scenario {
    /// Name in the output.
    pub name: &'static str,
    /// Offered load as a share of the capacity of all endpoints when warm.
    pub load: f64,
    /// Whether some endpoints become cold.
    pub cold: bool,
    /// Whether a cold engine crashes when all its slots are taken.
    pub fails: bool,
    /// Whether responses and refusals also carry reports.
    pub piggyback: bool,
}

pub const SCENARIOS: [Scenario; 5] = [
    Scenario { name: "overload", load: 1.5, cold: false, fails: false, piggyback: false },
    Scenario { name: "overload_beside", load: 1.5, cold: false, fails: false, piggyback: true },
    Scenario { name: "cold", load: 0.9, cold: true, fails: false, piggyback: false },
    Scenario { name: "cold_beside", load: 0.9, cold: true, fails: false, piggyback: true },
    Scenario { name: "cold_fails", load: 0.9, cold: true, fails: true, piggyback: false },
];

impl Scenario {
    /// Returns the capacity of all endpoints during the measurement, in slot-milliseconds.
    pub const fn capacity(&self) -> u64 {
        HOSTS as u64 * FULL.slots as u64 * (MEASURE_END.0 - MEASURE_START.0)
    }

    /// Returns the mean time between two arrivals at one entry, in milliseconds.
    pub fn mean_gap(&self) -> f64 {
        let service = (MEAN_PROMPT / PROMPT_PER_MS + MEAN_OUTPUT * DECODE_MS) as f64;
        let slots = (HOSTS as u32 * FULL.slots) as f64;
        ENTRIES as f64 * service / slots / self.load
    }
}

/// One request.
#[derive(Debug)]
pub struct Job {
    pub entry: usize,
    pub arrived: time::Millis,
    pub prefill: u64,
    pub decode: u64,
    pub cost: size::Tokens,
    pub prefix: Option<u64>,
    pub attempts: u32,
}

impl Job {
    /// Generates a random request. Half of the requests share one of 200 prefixes. A cached prefix saves no time in
    /// this model.
    pub fn random<R>(entry: usize, arrived: time::Millis, rng: &mut R) -> Self
    where
        R: Rng,
    {
        let prompt = 100 + rng.next_u64() % (2 * (MEAN_PROMPT - 100) + 1);
        let output = 20 + rng.next_u64() % (2 * (MEAN_OUTPUT - 20) + 1);
        let draw = rng.next_u64();
        Self {
            entry,
            arrived,
            prefill: prompt / PROMPT_PER_MS,
            decode: output * DECODE_MS,
            cost: size::Tokens(prompt + MAX_OUTPUT),
            prefix: draw.is_multiple_of(2).then_some(draw / 2 % 200),
            attempts: 0,
        }
    }

    pub const fn service(&self) -> u64 {
        self.prefill + self.decode
    }

    pub fn deadline(&self) -> time::Millis {
        self.arrived + DEADLINE
    }
}

/// Returns the one-way latency between an entry and a host.
pub const fn latency(entry: usize, host: usize) -> time::Millis {
    if entry % ZONES == host % ZONES { time::Millis(1) } else { time::Millis(2) }
}

/// Returns a random time to the next arrival, in milliseconds.
pub fn random_gap<R>(mean: f64, rng: &mut R) -> f64
where
    R: Rng,
{
    let uniform = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    -mean * (1.0 - uniform).ln()
}

//! Cost of a token in the buffer budget, for different numbers of open streams.

use std::time as clock;

use bytes::Bytes;
use chestnutpick_streams::buffer;
use chestnutpick_types::{size, time};

use super::print_samples;
use crate::report::Samples;

/// Numbers of open streams. The last is close to that of 2,000 slow readers and the fast readers beside them.
const OPEN_STREAMS: [u64; 3] = [50, 500, 2_400];

/// Tokens per measurement.
const TOKENS: u64 = 10_000;

/// Frame with one token, as sent by the stand-in engine.
const FRAME: &[u8] = b"data: {\"index\":1000,\"text\":\"0123abcd \"}\n\n";

pub(super) fn measure(runs: usize) {
    for streams in OPEN_STREAMS {
        let durations: Samples = (0..runs).map(|_| token_us(streams)).collect();
        print_samples(&format!("buffer_token_{streams}_streams"), &durations, "us");
    }
}

/// Returns the time that a token takes, in microseconds. As in the entry, a token causes one push, one read with data
/// and one read without.
fn token_us(streams: u64) -> f64 {
    let mut budget = buffer::Budget::new(buffer::Limits::default());
    for stream in 0..streams {
        budget.open(time::Millis(0), buffer::StreamId(stream));
    }
    let start = clock::Instant::now();
    for token in 0..TOKENS {
        let (now, stream) = (time::Millis(token), buffer::StreamId(token % streams));
        budget.push(now, stream, token / streams, Bytes::from_static(FRAME));
        for _ in 0..2 {
            std::hint::black_box(budget.read(now, stream, size::Bytes(4 << 10)));
        }
    }
    start.elapsed().as_nanos() as f64 / TOKENS as f64 / 1_000.0
}

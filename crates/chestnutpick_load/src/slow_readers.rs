//! Benchmark of slow readers beside fast ones: memory and buffers of the entry, and latency of the fast readers.

use std::cell;
use std::net;
use std::rc;
use std::time;

use chestnutpick_scenario::caller;
use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;
use tokio_util::sync;

use crate::{arrivals, cli, latency, process, report, setup, stream};

/// Maximum number of bytes that a slow reader reads at once.
const SLOW_READ_BYTES: usize = 1_024;

/// Interval between two reads of a slow reader.
const SLOW_READ_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Receive buffer of a slow reader, in bytes. It is small so that the kernel buffers little for the reader.
const SLOW_RECEIVE_BUFFER: u32 = 4_096;

/// Period over which the slow readers start.
const RAMP_UP: time::Duration = time::Duration::from_secs(5);

/// Interval between two samples of the entry's memory.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Number of memory samples per state dump. Dumps are rarer because their size grows with the number of open streams.
const SAMPLES_PER_DUMP: u32 = 10;

/// Maximum acceptable ratio of the fast readers' 99th percentiles with and without slow readers.
const MAX_P99_RATIO: f64 = 1.2;

/// Memory of the entry at one time.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    at: f64,
    resident: u64,
    send_queue: u64,
}

/// Buffer state of the entry, from its state dumps.
#[derive(Debug, Clone, Copy, Default)]
struct Buffers {
    used: u64,
    peak: u64,
    parked: u64,
    max_parked: u64,
    max_streams: usize,
}

#[derive(Default)]
struct Monitor {
    samples: cell::RefCell<Vec<Sample>>,
    buffers: cell::Cell<Buffers>,
}

/// Outcomes of the readers' requests.
#[derive(Default)]
struct ReaderStats {
    latencies: cell::RefCell<latency::Latency>,
    failed: cell::Cell<u64>,
    wrong_tokens: cell::Cell<u64>,
    slow_open: cell::Cell<u64>,
    slow_bytes: cell::Cell<u64>,
    slow_refused: cell::Cell<u64>,
    slow_ended: cell::Cell<u64>,
}

/// Measures fast readers first alone and then beside slow ones.
///
/// # Errors
///
/// Returns a message for the operator.
pub async fn run(options: cli::SlowReaders) -> Result<(), String> {
    let open_files = process::raise_file_limit();
    let slots = u32::try_from((options.fast + options.slow).div_ceil(options.engines) + 16);
    let slots = slots.unwrap_or(u32::MAX).clamp(64, 4_096);
    let size = setup::FleetSize { zones: 1, entries: 1, engines: options.engines };
    let mut plan = setup::engines_only(setup::plan(size, slots, options.token_ms));
    plan.entry_settings = format!("[requests]\nbuffer_bytes = {}\n", options.budget_mib << 20);
    let running = rc::Rc::new(setup::start(plan).await?);
    let harness = rc::Rc::new(Harness::new(&running, options.clone())?);
    println!(
        "slow_readers fast={} slow={} engines={} slots={slots} token_ms={} open_files={open_files}",
        options.fast, options.slow, options.engines, options.token_ms
    );
    let idle = process::resident_bytes(harness.pid).map_err(|reason| reason.to_string())?;
    let alone = harness.run_phase("alone", 0).await;
    let beside = harness.run_phase("beside", options.slow).await;
    let ratio = beside.quantile_ms(0.99) / alone.quantile_ms(0.99).max(0.001);
    let verdict = if ratio <= MAX_P99_RATIO { "met" } else { "missed" };
    println!("fast_p99_ratio {ratio:.3} limit={MAX_P99_RATIO} {verdict}");
    harness.print_memory(idle);
    let path = harness.write_chart(&options.reports).map_err(|reason| reason.to_string())?;
    println!("chart {}", path.display());
    let log = running.fleet.process("entry-z1-1").map(|process| process.log());
    let log = log.map_err(|reason| reason.to_string())?;
    let count = |event: &str| log.lines().filter(|line| line.contains(event)).count();
    println!(
        "entry_log stream_parked={} stream_resumed={} stream_continued={} request_refused={}",
        count("event=stream_parked"),
        count("event=stream_resumed"),
        count("event=stream_continued"),
        count("event=request_refused")
    );
    Ok(())
}

struct Harness {
    running: rc::Rc<setup::RunningFleet>,
    options: cli::SlowReaders,
    entry: net::SocketAddr,
    pid: u32,
    start: time::Instant,
    monitor: Monitor,
}

impl Harness {
    fn new(
        running: &rc::Rc<setup::RunningFleet>,
        options: cli::SlowReaders,
    ) -> Result<Self, String> {
        let process = running.fleet.process("entry-z1-1").map_err(|reason| reason.to_string())?;
        Ok(Self {
            entry: process.http,
            pid: process.id(),
            running: rc::Rc::clone(running),
            options,
            start: time::Instant::now(),
            monitor: Monitor::default(),
        })
    }

    /// Runs fast readers beside `slow` slow ones, prints the results, and returns the latencies of the fast readers.
    async fn run_phase(self: &rc::Rc<Self>, name: &str, slow: usize) -> latency::Latency {
        let stop = sync::CancellationToken::new();
        let stats = rc::Rc::new(ReaderStats::default());
        let spawn = |reader: futures::future::LocalBoxFuture<'static, ()>| {
            let stop = stop.clone();
            actix_rt::spawn(async move {
                tokio::select! { () = stop.cancelled() => {} () = reader => {} }
            });
        };
        let handles = || (rc::Rc::clone(self), rc::Rc::clone(&stats));
        for index in 0..slow {
            let (harness, stats) = handles();
            spawn(Box::pin(async move { harness.run_slow_reader(&stats, index, slow).await }));
        }
        if slow > 0 {
            // Fast readers start after the slow ones have had time to fill the buffers.
            let (harness, _) = handles();
            let sampling = actix_rt::time::timeout(RAMP_UP * 2, harness.sample());
            let _ = sampling.await;
        }
        for index in 0..self.options.fast {
            let (harness, stats) = handles();
            spawn(Box::pin(async move { harness.run_fast_reader(&stats, index).await }));
        }
        let length = time::Duration::from_secs(self.options.seconds);
        let _ = actix_rt::time::timeout(length, self.sample()).await;
        stop.cancel();
        let latencies = stats.latencies.borrow().clone();
        let buffers = self.monitor.buffers.get();
        println!("{}", latencies.summary(&format!("{name} fast_whole")));
        println!(
            "{name} fast_failed={} fast_mixed={} slow_open={} slow_refused={} slow_ended={} slow_read_bytes={}",
            stats.failed.get(),
            stats.wrong_tokens.get(),
            stats.slow_open.get(),
            stats.slow_refused.get(),
            stats.slow_ended.get(),
            stats.slow_bytes.get()
        );
        println!(
            "{name} buffers_used={} buffers_peak={} parked={} most_parked={} most_streams={}",
            buffers.used, buffers.peak, buffers.parked, buffers.max_parked, buffers.max_streams
        );
        latencies
    }

    /// Sends requests at times that do not depend on the responses, until the phase ends.
    async fn run_fast_reader(&self, stats: &ReaderStats, index: usize) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(index as u64 + 1);
        let pause = self.options.pause_ms as f64;
        let mut due = time::Instant::now() + from_millis(pause * arrivals::uniform(&mut rng));
        for request in 0_u64.. {
            actix_rt::time::sleep_until(due.into()).await;
            let completion = caller::Completion {
                workspace: "bench".to_owned(),
                prompt: format!("fast {index} {request}"),
                tokens: self.options.fast_tokens,
                contents: self.running.contents.clone(),
            };
            let mut times = stream::TokenTimes::default();
            let client = &self.running.fleet.client;
            match stream::complete(client, self.entry, &completion, &mut times).await {
                Ok(()) => stats.latencies.borrow_mut().record_duration(due.elapsed()),
                Err(caller::Error::WrongToken { .. }) => {
                    stats.wrong_tokens.set(stats.wrong_tokens.get() + 1)
                }
                Err(_) => stats.failed.set(stats.failed.get() + 1),
            }
            due += from_millis(-pause * (1.0 - arrivals::uniform(&mut rng)).ln());
        }
    }

    /// Reads a long response at 1 KB per second.
    async fn run_slow_reader(&self, stats: &ReaderStats, index: usize, count: usize) {
        actix_rt::time::sleep(RAMP_UP.mul_f64(index as f64 / count as f64)).await;
        let Ok(mut connection) = self.open_slow(index).await else {
            stats.slow_refused.set(stats.slow_refused.get() + 1);
            return;
        };
        stats.slow_open.set(stats.slow_open.get() + 1);
        let mut buffer = [0; SLOW_READ_BYTES];
        let mut first = true;
        loop {
            match connection.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(_) if first && !buffer.starts_with(b"HTTP/1.1 200") => {
                    stats.slow_refused.set(stats.slow_refused.get() + 1);
                    return;
                }
                Ok(read) => stats.slow_bytes.set(stats.slow_bytes.get() + read as u64),
            }
            first = false;
            actix_rt::time::sleep(SLOW_READ_INTERVAL).await;
        }
        stats.slow_ended.set(stats.slow_ended.get() + 1);
    }

    async fn open_slow(&self, index: usize) -> std::io::Result<tokio_net::TcpStream> {
        let socket = tokio_net::TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER)?;
        let mut connection = socket.connect(self.entry).await?;
        let body = serde_json::json!({
            "prompt": format!("slow {index}"), "max_tokens": self.options.slow_tokens
        });
        let body = body.to_string();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nx-workspace: bench\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        connection.write_all((head + &body).as_bytes()).await?;
        Ok(connection)
    }

    /// Samples the memory and the buffers of the entry until the future is dropped.
    async fn sample(&self) {
        for number in 0_u32.. {
            let sample = Sample {
                at: self.start.elapsed().as_secs_f64(),
                resident: process::resident_bytes(self.pid).unwrap_or_default(),
                send_queue: process::send_queue_bytes(self.entry.port()).unwrap_or_default(),
            };
            self.monitor.samples.borrow_mut().push(sample);
            if number % SAMPLES_PER_DUMP == 0
                && let Ok(state) = self.running.fleet.state("entry-z1-1").await
            {
                self.record_buffers(&state["buffers"]);
            }
            actix_rt::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    fn record_buffers(&self, dump: &serde_json::Value) {
        let number = |key: &str| dump[key].as_u64().unwrap_or_default();
        let before = self.monitor.buffers.get();
        self.monitor.buffers.set(Buffers {
            used: number("used"),
            peak: number("peak"),
            parked: number("parked"),
            max_parked: before.max_parked.max(number("parked")),
            max_streams: before.max_streams.max(dump["streams"].as_object().map_or(0, |s| s.len())),
        });
    }

    fn print_memory(&self, idle: u64) {
        let samples = self.monitor.samples.borrow();
        let max_resident = samples.iter().map(|sample| sample.resident).max().unwrap_or_default();
        let max_queue = samples.iter().map(|sample| sample.send_queue).max().unwrap_or_default();
        let streams = self.monitor.buffers.get().max_streams as u64;
        let budget = self.options.budget_mib << 20;
        let beyond = max_resident.saturating_sub(idle + budget) / streams.max(1);
        println!(
            "entry_memory idle={idle} most={max_resident} budget={budget} most_streams={streams} \
             beyond_budget_per_stream={beyond} kernel_send_queue_most={max_queue} bytes"
        );
    }

    fn write_chart(&self, directory: &std::path::Path) -> std::io::Result<std::path::PathBuf> {
        let samples = self.monitor.samples.borrow();
        let line = |name: &str, value: fn(&Sample) -> u64| report::Series {
            name: name.to_owned(),
            points: samples
                .iter()
                .map(|sample| (sample.at, value(sample) as f64 / f64::from(1 << 20)))
                .collect(),
        };
        let series = [
            line("resident", |sample| sample.resident),
            line("kernel send queues", |sample| sample.send_queue),
        ];
        report::write_chart(directory, "slow-readers-memory", ("s", "MiB"), &series)
    }
}

fn from_millis(millis: f64) -> time::Duration {
    time::Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

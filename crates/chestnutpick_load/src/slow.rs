//! Slow readers beside fast ones: the entry's memory, its buffers, and what the fast readers notice.

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

/// Bytes that a slow reader takes in each interval.
const SLOW_BYTES: usize = 1_024;

/// Interval between two reads of a slow reader.
const SLOW_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Receive buffer of a slow reader, in bytes, so that the kernel takes little on its behalf.
const SLOW_RECEIVE: u32 = 4_096;

/// Time over which readers start.
const RAMP: time::Duration = time::Duration::from_secs(5);

/// Interval between two looks at the entry's memory.
const SAMPLE: time::Duration = time::Duration::from_millis(500);

/// Looks at the memory between two state dumps, whose size grows with the open streams.
const DUMP_EVERY: u32 = 10;

/// Highest ratio of the fast readers' 99th percentiles that is acceptable.
const RATIO_LIMIT: f64 = 1.2;

/// Memory of the entry at one time.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    at: f64,
    resident: u64,
    queued: u64,
}

/// What the state dumps showed.
#[derive(Debug, Clone, Copy, Default)]
struct Buffers {
    used: u64,
    peak: u64,
    parked: u64,
    most_parked: u64,
    most_streams: usize,
}

#[derive(Default)]
struct Watch {
    samples: cell::RefCell<Vec<Sample>>,
    buffers: cell::Cell<Buffers>,
}

/// What became of the readers.
#[derive(Default)]
struct Tally {
    whole: cell::RefCell<latency::Latency>,
    failed: cell::Cell<u64>,
    mixed: cell::Cell<u64>,
    slow_open: cell::Cell<u64>,
    slow_bytes: cell::Cell<u64>,
    slow_refused: cell::Cell<u64>,
    slow_ended: cell::Cell<u64>,
}

/// Measures fast readers alone and beside slow ones.
///
/// # Errors
///
/// Returns a sentence for the operator.
pub async fn run(options: cli::SlowReaders) -> Result<(), String> {
    let files = process::raise_open_files();
    let slots = u32::try_from((options.fast + options.slow).div_ceil(options.engines) + 16);
    let slots = slots.unwrap_or(u32::MAX).clamp(64, 4_096);
    let size = setup::Size { zones: 1, entries: 1, engines: options.engines };
    let mut plan = setup::engines_only(setup::plan(size, slots, options.token_ms));
    plan.entry = format!("[requests]\nbuffer_bytes = {}\n", options.budget_mib << 20);
    let ready = rc::Rc::new(setup::start(plan).await?);
    let bench = rc::Rc::new(Bench::new(&ready, options.clone())?);
    println!(
        "slow_readers fast={} slow={} engines={} slots={slots} token_ms={} open_files={files}",
        options.fast, options.slow, options.engines, options.token_ms
    );
    let idle = process::resident(bench.pid).map_err(|reason| reason.to_string())?;
    let alone = bench.phase("alone", 0).await;
    let beside = bench.phase("beside", options.slow).await;
    let ratio = beside.quantile_ms(0.99) / alone.quantile_ms(0.99).max(0.001);
    let met = if ratio <= RATIO_LIMIT { "met" } else { "missed" };
    println!("fast_p99_ratio {ratio:.3} limit={RATIO_LIMIT} {met}");
    bench.memory(idle);
    let path = bench.chart(&options.reports).map_err(|reason| reason.to_string())?;
    println!("chart {}", path.display());
    let log = ready.fleet.process("entry-z1-1").map(|process| process.log());
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

struct Bench {
    ready: rc::Rc<setup::Ready>,
    options: cli::SlowReaders,
    entry: net::SocketAddr,
    pid: u32,
    start: time::Instant,
    watch: Watch,
}

impl Bench {
    fn new(ready: &rc::Rc<setup::Ready>, options: cli::SlowReaders) -> Result<Self, String> {
        let process = ready.fleet.process("entry-z1-1").map_err(|reason| reason.to_string())?;
        Ok(Self {
            entry: process.http,
            pid: process.id(),
            ready: rc::Rc::clone(ready),
            options,
            start: time::Instant::now(),
            watch: Watch::default(),
        })
    }

    /// Runs fast readers beside `slow` slow ones; prints and returns the fast ones' whole answers.
    async fn phase(self: &rc::Rc<Self>, name: &str, slow: usize) -> latency::Latency {
        let stop = sync::CancellationToken::new();
        let tally = rc::Rc::new(Tally::default());
        let spawn = |reader: futures::future::LocalBoxFuture<'static, ()>| {
            let stop = stop.clone();
            actix_rt::spawn(async move {
                tokio::select! { () = stop.cancelled() => {} () = reader => {} }
            });
        };
        let share = || (rc::Rc::clone(self), rc::Rc::clone(&tally));
        for number in 0..slow {
            let (bench, tally) = share();
            spawn(Box::pin(async move { bench.slow(&tally, number, slow).await }));
        }
        if slow > 0 {
            // Fast readers are measured once the slow ones have had time to fill what buffers there are.
            let (bench, _) = share();
            let sampling = actix_rt::time::timeout(RAMP * 2, bench.sample());
            let _ = sampling.await;
        }
        for number in 0..self.options.fast {
            let (bench, tally) = share();
            spawn(Box::pin(async move { bench.fast(&tally, number).await }));
        }
        let length = time::Duration::from_secs(self.options.seconds);
        let _ = actix_rt::time::timeout(length, self.sample()).await;
        stop.cancel();
        let whole = tally.whole.borrow().clone();
        let buffers = self.watch.buffers.get();
        println!("{}", whole.line(&format!("{name} fast_whole")));
        println!(
            "{name} fast_failed={} fast_mixed={} slow_open={} slow_refused={} slow_ended={} slow_read_bytes={}",
            tally.failed.get(),
            tally.mixed.get(),
            tally.slow_open.get(),
            tally.slow_refused.get(),
            tally.slow_ended.get(),
            tally.slow_bytes.get()
        );
        println!(
            "{name} buffers_used={} buffers_peak={} parked={} most_parked={} most_streams={}",
            buffers.used, buffers.peak, buffers.parked, buffers.most_parked, buffers.most_streams
        );
        whole
    }

    /// Asks again and again at times that do not depend on the answers.
    async fn fast(&self, tally: &Tally, number: usize) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(number as u64 + 1);
        let pause = self.options.pause_ms as f64;
        let mut due = time::Instant::now() + millis(pause * arrivals::uniform(&mut rng));
        for turn in 0_u64.. {
            actix_rt::time::sleep_until(due.into()).await;
            let ask = caller::Ask {
                workspace: "bench".to_owned(),
                prompt: format!("fast {number} {turn}"),
                tokens: self.options.fast_tokens,
                contents: self.ready.contents.clone(),
            };
            let mut times = stream::Times::default();
            let client = &self.ready.fleet.client;
            match stream::completion(client, self.entry, &ask, &mut times).await {
                Ok(()) => tally.whole.borrow_mut().span(due.elapsed()),
                Err(caller::CallerError::Mixed { .. }) => tally.mixed.set(tally.mixed.get() + 1),
                Err(_) => tally.failed.set(tally.failed.get() + 1),
            }
            due += millis(-pause * (1.0 - arrivals::uniform(&mut rng)).ln());
        }
    }

    /// Takes a long answer at 1 KB a second.
    async fn slow(&self, tally: &Tally, number: usize, of: usize) {
        actix_rt::time::sleep(RAMP.mul_f64(number as f64 / of as f64)).await;
        let Ok(mut connection) = self.open(number).await else {
            tally.slow_refused.set(tally.slow_refused.get() + 1);
            return;
        };
        tally.slow_open.set(tally.slow_open.get() + 1);
        let mut piece = [0; SLOW_BYTES];
        let mut first = true;
        loop {
            match connection.read(&mut piece).await {
                Ok(0) | Err(_) => break,
                Ok(_) if first && !piece.starts_with(b"HTTP/1.1 200") => {
                    tally.slow_refused.set(tally.slow_refused.get() + 1);
                    return;
                }
                Ok(read) => tally.slow_bytes.set(tally.slow_bytes.get() + read as u64),
            }
            first = false;
            actix_rt::time::sleep(SLOW_INTERVAL).await;
        }
        tally.slow_ended.set(tally.slow_ended.get() + 1);
    }

    async fn open(&self, number: usize) -> std::io::Result<tokio_net::TcpStream> {
        let socket = tokio_net::TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(SLOW_RECEIVE)?;
        let mut connection = socket.connect(self.entry).await?;
        let body = serde_json::json!({
            "prompt": format!("slow {number}"), "max_tokens": self.options.slow_tokens
        });
        let body = body.to_string();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nx-workspace: bench\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        connection.write_all((head + &body).as_bytes()).await?;
        Ok(connection)
    }

    /// Looks at the entry for as long as it is polled.
    async fn sample(&self) {
        for number in 0_u32.. {
            let sample = Sample {
                at: self.start.elapsed().as_secs_f64(),
                resident: process::resident(self.pid).unwrap_or_default(),
                queued: process::send_queue(self.entry.port()).unwrap_or_default(),
            };
            self.watch.samples.borrow_mut().push(sample);
            if number % DUMP_EVERY == 0
                && let Ok(state) = self.ready.fleet.state("entry-z1-1").await
            {
                self.note(&state["buffers"]);
            }
            actix_rt::time::sleep(SAMPLE).await;
        }
    }

    fn note(&self, dump: &serde_json::Value) {
        let number = |key: &str| dump[key].as_u64().unwrap_or_default();
        let before = self.watch.buffers.get();
        self.watch.buffers.set(Buffers {
            used: number("used"),
            peak: number("peak"),
            parked: number("parked"),
            most_parked: before.most_parked.max(number("parked")),
            most_streams: before
                .most_streams
                .max(dump["streams"].as_object().map_or(0, |s| s.len())),
        });
    }

    fn memory(&self, idle: u64) {
        let samples = self.watch.samples.borrow();
        let most = samples.iter().map(|sample| sample.resident).max().unwrap_or_default();
        let queued = samples.iter().map(|sample| sample.queued).max().unwrap_or_default();
        let streams = self.watch.buffers.get().most_streams as u64;
        let budget = self.options.budget_mib << 20;
        let beyond = most.saturating_sub(idle + budget) / streams.max(1);
        println!(
            "entry_memory idle={idle} most={most} budget={budget} most_streams={streams} \
             beyond_budget_per_stream={beyond} kernel_send_queue_most={queued} bytes"
        );
    }

    fn chart(&self, directory: &std::path::Path) -> std::io::Result<std::path::PathBuf> {
        let samples = self.watch.samples.borrow();
        let line = |name: &str, value: fn(&Sample) -> u64| report::Series {
            name: name.to_owned(),
            points: samples
                .iter()
                .map(|sample| (sample.at, value(sample) as f64 / f64::from(1 << 20)))
                .collect(),
        };
        let series = [
            line("resident", |sample| sample.resident),
            line("kernel send queues", |sample| sample.queued),
        ];
        report::chart(directory, "slow-readers-memory", ("s", "MiB"), &series)
    }
}

fn millis(millis: f64) -> time::Duration {
    time::Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

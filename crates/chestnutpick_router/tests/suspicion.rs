//! Suspicion of prompt parts by several routers, in virtual time.

mod common;

use std::sync::Arc;

use chestnutpick_fleet::load;
use chestnutpick_router::suspicion::{self, Suspicion, Trait};
use chestnutpick_router::view;
use chestnutpick_routing::suspects;
use chestnutpick_types::digest;
use chestnutpick_types::time::Millis;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rstest::rstest;

/// Unix time at the start of a simulation.
const EPOCH: Millis = Millis(1_700_000_000_000);

const STEP: Millis = Millis(10);

/// Window after the fifth crash within which the routers must agree.
const WINDOW: Millis = Millis(3_000);

const ENGINES: u8 = 20;

/// Time until a crashed engine runs again.
const DOWNTIME: Millis = Millis(3_000);

/// Time until an engine begins to answer.
const FIRST_EVENT: Millis = Millis(150);

/// Time until the loader on the host of a crashed engine tells the routers.
const REPORT_DELAY: Millis = Millis(150);

/// Time that a datagram takes from router to router.
const RELAY_DELAY: Millis = Millis(20);

/// Number of requests in a burst of a quiet caller.
const BURST: usize = 10;

/// Time after which a caller repeats a lost request.
const RETRY_DELAY: Millis = Millis(300);

fn chance<R: Rng>(rng: &mut R, probability: f64) -> bool {
    f64::from(rng.next_u32()) < probability * f64::from(u32::MAX)
}

fn pick<R: Rng>(rng: &mut R, count: usize) -> usize {
    rng.next_u32() as usize % count
}

fn part(text: &str) -> Trait {
    Trait::of_part(&Arc::from(text))
}

struct Router {
    suspicion: Suspicion,
    view: view::View,
}

#[derive(Clone)]
struct Request {
    traits: Vec<Trait>,
    deadly: bool,
    router: usize,
    runs: u32,
    begins_at: Millis,
}

struct Engine {
    started_at: u64,
    up_at: Millis,
    waiting: Vec<Request>,
}

enum Message {
    Router(load::FromRouter),
    Down { engine: usize, started_at: u64 },
    Up { engine: usize, started_at: u64 },
}

struct Simulation {
    rng: Xoshiro256PlusPlus,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    /// Time of delivery, receiver and message.
    messages: Vec<(Millis, usize, Message)>,
    /// Probability that a datagram is lost.
    loss: f64,
    now: Millis,
    crashes: Vec<Millis>,
    /// Arrivals of deadly requests at engines.
    arrivals: Vec<Millis>,
    sound: usize,
    refused: usize,
    serial: u64,
}

impl Simulation {
    fn new(routers: usize, loss: f64, seed: u64) -> Self {
        let router = || Router { suspicion: Suspicion::default(), view: common::view(ENGINES) };
        let engine = || Engine { started_at: 1, up_at: Millis::ZERO, waiting: Vec::new() };
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            routers: (0..routers).map(|_| router()).collect(),
            engines: (0..ENGINES).map(|_| engine()).collect(),
            messages: Vec::new(),
            loss,
            now: Millis(2_000),
            crashes: Vec::new(),
            arrivals: Vec::new(),
            sound: 0,
            refused: 0,
            serial: 0,
        }
    }

    fn unix(&self) -> Millis {
        EPOCH + self.now
    }

    fn send(&mut self, from: usize, message: &load::FromRouter) {
        for to in (0..self.routers.len()).filter(|to| *to != from) {
            // Three hosts relay each datagram; each relay loses two of its ways independently.
            for _ in 0..3 {
                if !chance(&mut self.rng, self.loss) {
                    let at = self.now + RELAY_DELAY;
                    self.messages.push((at, to, Message::Router(message.clone())));
                }
            }
        }
    }

    fn send_all(&mut self, from: usize, messages: &[load::FromRouter]) {
        messages.iter().for_each(|message| self.send(from, message));
    }

    fn request(&mut self, deadly: bool) -> Request {
        self.serial += 1;
        let first = pick(&mut self.rng, 3);
        // Some parts are used once in several seconds.
        let (few, many) = (pick(&mut self.rng, 8), pick(&mut self.rng, 400));
        let second = if chance(&mut self.rng, 0.7) { few } else { 8 + many };
        let second = if deadly { "dead".to_owned() } else { format!("second-{second}") };
        let whole = Trait::of_request("POST\n/a\n", &self.serial.to_be_bytes());
        let third = format!("third-{}", pick(&mut self.rng, 50));
        let traits = vec![whole, part(&format!("first-{first}")), part(&second), part(&third)];
        let router = pick(&mut self.rng, self.routers.len());
        Request { traits, deadly, router, runs: 0, begins_at: Millis::ZERO }
    }

    /// Sends a request to an engine that its router believes to run.
    fn place(&mut self, mut request: Request) {
        let (now, unix) = (self.now, self.unix());
        let count = u32::try_from(self.routers.len()).unwrap();
        let suspicion = &mut self.routers[request.router].suspicion;
        let is_refused = match request.runs {
            0 => suspicion.admit(now, unix, count, &request.traits).is_err(),
            _ => suspicion.quarantined(unix, &request.traits).is_some(),
        };
        if is_refused {
            self.refused += usize::from(!request.deadly);
            return;
        }
        for _ in 0..4 {
            let engine = pick(&mut self.rng, self.engines.len());
            let id = common::endpoint_id(u8::try_from(engine + 1).unwrap());
            let now = self.now;
            let view = &mut self.routers[request.router].view;
            let endpoint_view = &view.endpoints[&id];
            if endpoint_view.down_at.is_some() || endpoint_view.blocked_until > now {
                continue;
            }
            if self.engines[engine].up_at > now {
                view.on_connect_failed(now, &id);
                continue;
            }
            request.runs += 1;
            request.begins_at = now + FIRST_EVENT;
            if request.deadly {
                self.arrivals.push(now);
            }
            self.engines[engine].waiting.push(request);
            return;
        }
    }

    fn crash(&mut self, engine: usize) {
        self.crashes.push(self.now);
        let lost = std::mem::take(&mut self.engines[engine].waiting);
        let started_at = self.engines[engine].started_at;
        self.engines[engine].up_at = self.now + DOWNTIME;
        self.engines[engine].started_at += 1;
        let id = common::endpoint_id(u8::try_from(engine + 1).unwrap());
        for router in 0..self.routers.len() {
            if !chance(&mut self.rng, self.loss) {
                let message = Message::Down { engine, started_at };
                self.messages.push((self.now + REPORT_DELAY, router, message));
            }
            let message = Message::Up { engine, started_at: started_at + 1 };
            self.messages.push((self.now + DOWNTIME, router, message));
        }
        for request in lost {
            let (now, unix) = (self.now, self.unix());
            let Router { suspicion, view } = &mut self.routers[request.router];
            suspicion.on_lost(now, &request.traits, view, &id);
            if request.runs < 2 && suspicion.may_repeat(unix, &request.traits) {
                self.place(request);
            }
        }
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let (now, unix) = (self.now, self.unix());
        let Router { suspicion, view } = &mut self.routers[to];
        match message {
            Message::Router(load::FromRouter::Lost(record)) => {
                suspicion.on_record(now, unix, record);
            }
            Message::Router(load::FromRouter::Cleared(fingerprint)) => {
                suspicion.on_cleared(now, &fingerprint);
            }
            Message::Router(_) => {}
            Message::Down { engine, started_at } => {
                let ip = format!("10.0.0.{}", engine + 1).parse().unwrap();
                view.on_engine_down(now, ip, Some(started_at));
            }
            Message::Up { engine, started_at } => {
                let mut endpoint =
                    common::endpoint(u8::try_from(engine + 1).unwrap(), "llm", "lima");
                endpoint.started_at = Some(started_at);
                view.apply(now, common::announced(endpoint));
            }
        }
    }

    /// Advances by one step, with these rates of new requests per second.
    fn step(&mut self, sound_rate: f64, deadly_rate: f64) {
        self.now = self.now + STEP;
        let due;
        let now = self.now;
        (due, self.messages) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, ..)| *at <= now);
        for (_, to, message) in due {
            self.deliver(to, message);
        }
        for engine in 0..self.engines.len() {
            let waiting = std::mem::take(&mut self.engines[engine].waiting);
            let (begun, rest): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|request| request.begins_at <= now);
            self.engines[engine].waiting = rest;
            let is_crash = begun.iter().any(|request| request.deadly);
            if is_crash {
                self.engines[engine].waiting.extend(begun);
                self.crash(engine);
                continue;
            }
            for request in begun {
                let unix = self.unix();
                let suspicion = &mut self.routers[request.router].suspicion;
                let messages = suspicion.on_answered(now, unix, &request.traits);
                self.send_all(request.router, &messages);
            }
        }
        for (rate, deadly) in [(sound_rate, false), (deadly_rate, true)] {
            let expected = rate * STEP.0 as f64 / 1_000.0;
            for _ in 0..10 {
                if chance(&mut self.rng, expected / 10.0) {
                    self.sound += usize::from(!deadly);
                    let request = self.request(deadly);
                    self.place(request);
                }
            }
        }
        for router in 0..self.routers.len() {
            let unix = self.unix();
            let Router { suspicion, view } = &mut self.routers[router];
            let suspected = suspicion.confirm(now, unix, view);
            let mut messages: Vec<_> =
                suspected.into_iter().map(|found| load::FromRouter::Lost(found.record)).collect();
            // The rounds of the routers are spread over the second.
            if (now.0 + 70 * router as u64).is_multiple_of(1_000) {
                let count = u32::try_from(self.routers.len()).unwrap();
                messages.extend(self.routers[router].suspicion.next_round(
                    unix,
                    count,
                    &mut self.rng,
                ));
            }
            self.send_all(router, &messages);
        }
    }

    fn run(&mut self, seconds: u64, sound_rate: f64, deadly_rate: f64) {
        for _ in 0..seconds * 1_000 / STEP.0 {
            self.step(sound_rate, deadly_rate);
        }
    }

    /// Sends a request of a caller with few requests, all of which begin with the same part.
    fn send_quiet(&mut self, deadly: bool) {
        self.sound += usize::from(!deadly);
        self.serial += 1;
        let whole = Trait::of_request("POST\n/a\n", &self.serial.to_be_bytes());
        let mut traits = vec![whole, part("quiet"), part(&format!("last-{}", self.serial))];
        if deadly {
            traits.push(part("dead"));
        }
        let router = pick(&mut self.rng, self.routers.len());
        let request = Request { traits, deadly, router, runs: 0, begins_at: Millis::ZERO };
        self.place(request.clone());
        if deadly {
            // The caller repeats the lost request once.
            self.run_for(RETRY_DELAY);
            let router = pick(&mut self.rng, self.routers.len());
            self.place(Request { router, ..request });
        }
    }

    /// Sends sound requests of a quiet caller shortly after one another.
    fn send_burst(&mut self) {
        for _ in 0..BURST {
            self.send_quiet(false);
            self.run_for(Millis(20));
        }
    }

    fn run_for(&mut self, span: Millis) {
        for _ in 0..span.0 / STEP.0 {
            self.step(0.0, 0.0);
        }
    }

    fn arrivals_after(&self, time: Millis) -> usize {
        self.arrivals.iter().filter(|at| **at > time).count()
    }
}

/// Guards against requests that share one part of their prompt, no two of them alike, and crash one engine after another
/// at all routers, and against refusing sound requests that share their other parts.
#[rstest]
fn deadly_part_is_refused_by_all_routers_and_no_other(
    #[values(1, 8, 40)] routers: usize,
    #[values(0.0, 0.3)] loss: f64,
    #[values(3.0, 12.0)] deadly_rate: f64,
) {
    for seed in 1..=4 {
        let mut simulation = Simulation::new(routers, loss, seed);
        simulation.run(2, 200.0, 0.0);
        simulation.run(12, 200.0, deadly_rate);
        let crashes = &simulation.crashes;
        assert!(crashes.len() >= suspicion::QUARANTINE_CRASHES, "seed {seed}");
        let fifth = crashes.get(4).or(crashes.last()).copied().unwrap();
        let late = simulation.arrivals_after(fifth + WINDOW);
        assert!(late <= 3, "seed {seed}: {late} requests after the fifth crash and the window");
        assert!(
            simulation.refused * 500 <= simulation.sound,
            "seed {seed}: {} of {} sound requests were refused",
            simulation.refused,
            simulation.sound
        );
    }
}

/// Guards against a caller whose sound requests are all refused because one of its requests crashed engines while no other
/// ran: the part that all of them share was in the same crashes as the deadly one, and only an answer clears a part.
#[rstest]
fn quiet_caller_is_not_refused_for_its_shared_part(
    #[values(1, 8, 40)] routers: usize,
    #[values(0.0, 0.3)] loss: f64,
) {
    for seed in 1..=8 {
        let mut simulation = Simulation::new(routers, loss, seed);
        simulation.send_burst();
        for _ in 0..10 {
            simulation.run_for(Millis(3_800));
            simulation.send_quiet(true);
            simulation.run_for(Millis(900));
            simulation.send_burst();
        }
        let Simulation { sound, refused, crashes, .. } = &simulation;
        assert!(crashes.len() >= suspicion::QUARANTINE_CRASHES, "seed {seed}: {crashes:?}");
        assert!(refused * 2 <= *sound, "seed {seed}: {refused} of {sound} requests were refused");
        let fifth = crashes.get(4).or(crashes.last()).copied().unwrap();
        let late = simulation.arrivals_after(fifth + WINDOW);
        assert!(late <= 3, "seed {seed}: {late} requests after the fifth crash and the window");
    }
}

/// Guards against a router that lets the part crash engines again because it was restarted and knows nothing.
#[test]
fn restarted_router_learns_what_is_quarantined() {
    for seed in 1..=5 {
        let mut simulation = Simulation::new(8, 0.1, seed);
        simulation.run(1, 200.0, 0.0);
        simulation.run(8, 200.0, 6.0);
        simulation.routers[3].suspicion = Suspicion::default();
        simulation.run(3, 200.0, 0.0);
        let unix = simulation.unix();
        let suspicion = &simulation.routers[3].suspicion;
        assert!(suspicion.quarantined(unix, &[part("dead")]).is_some(), "seed {seed}");
    }
}

fn record(subject: &Trait, host: u64) -> suspects::Record {
    let host = format!("i-{host}").parse().unwrap();
    suspects::Record { at: EPOCH, fingerprint: subject.fingerprint, host, generation: 1 }
}

fn is_quarantined(suspicion: &Suspicion, subject: &Trait) -> bool {
    suspicion.quarantined(EPOCH, std::slice::from_ref(subject)).is_some()
}

/// Guards against records that arrive after the success of a part, late or repeated, and quarantine it.
#[test]
fn late_records_of_a_part_that_succeeds_are_answered_with_a_clearance() {
    let (mut suspicion, subject) = (Suspicion::default(), part("sound"));
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    suspicion.on_answered(Millis(1_000), EPOCH, std::slice::from_ref(&subject));
    (1..=5).for_each(|n| suspicion.on_record(Millis(1_500), EPOCH, record(&subject, n)));
    assert!(!is_quarantined(&suspicion, &subject));
    let cleared = load::FromRouter::Cleared(subject.fingerprint);
    assert_eq!(suspicion.next_round(EPOCH, 8, &mut rng), [cleared]);
    // A clearance of another router has the same effect, and makes an answer needless.
    let (mut other, fingerprint) = (Suspicion::default(), subject.fingerprint);
    other.on_record(Millis(1_000), EPOCH, record(&subject, 1));
    other.on_cleared(Millis(1_100), &fingerprint);
    (1..=5).for_each(|n| other.on_record(Millis(1_200), EPOCH, record(&subject, n)));
    other.on_cleared(Millis(1_300), &fingerprint);
    assert!(!is_quarantined(&other, &subject));
    assert_eq!(other.next_round(EPOCH, 8, &mut rng), []);
}

/// Guards against a part that has succeeded before it became deadly and is never suspected after that.
#[test]
fn success_protects_for_a_while_only() {
    let (mut suspicion, subject) = (Suspicion::default(), part("dead"));
    suspicion.on_answered(Millis(1_000), EPOCH, std::slice::from_ref(&subject));
    let later = Millis(1_000) + suspicion::SUCCESS_TTL;
    (1..=3).for_each(|n| suspicion.on_record(later, EPOCH, record(&subject, n)));
    assert!(is_quarantined(&suspicion, &subject));
}

/// Guards against counting one crash several times, and against a crash without evidence.
#[test]
fn losses_count_once_per_confirmed_crash() {
    let (mut suspicion, subject) = (Suspicion::default(), part("dead"));
    let (mut view, now) = (common::view(3), Millis(100));
    for _ in 0..5 {
        let traits = std::slice::from_ref(&subject);
        suspicion.on_lost(now, traits, &view, &common::endpoint_id(1));
    }
    assert_eq!(suspicion.confirm(now, EPOCH, &view), []);
    view.on_engine_down(now, "10.0.0.1".parse().unwrap(), Some(2));
    assert_eq!(suspicion.confirm(now, EPOCH, &view), [], "another start of the engine");
    view.on_engine_down(now, "10.0.0.1".parse().unwrap(), Some(1));
    assert_eq!(suspicion.confirm(now, EPOCH, &view).len(), 1);
    assert!(suspicion.may_repeat(EPOCH, std::slice::from_ref(&subject)));
    suspicion.on_record(now, EPOCH, record(&subject, 2));
    assert!(!suspicion.may_repeat(EPOCH, std::slice::from_ref(&subject)));
}

/// Guards against a lost datagram that leaves the other routers without a record, and against records that are repeated
/// after the part has succeeded.
#[test]
fn records_are_repeated_until_the_part_succeeds() {
    let (mut suspicion, subject) = (Suspicion::default(), part("rare"));
    let (mut view, now) = (common::view(3), Millis(100));
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    suspicion.on_lost(now, std::slice::from_ref(&subject), &view, &common::endpoint_id(1));
    view.on_connect_failed(now, &common::endpoint_id(1));
    let found = suspicion.confirm(now, EPOCH, &view);
    let lost = load::FromRouter::Lost(found[0].record.clone());
    assert_eq!(suspicion.next_round(EPOCH, 8, &mut rng), [lost]);
    let cleared = load::FromRouter::Cleared(subject.fingerprint);
    let messages = suspicion.on_answered(now, EPOCH, std::slice::from_ref(&subject));
    assert_eq!(messages, std::slice::from_ref(&cleared));
    assert_eq!(suspicion.next_round(EPOCH, 8, &mut rng), [cleared]);
}

/// Guards against unbounded memory, and against a flood of datagrams, when many requests are lost or answered.
#[test]
fn memory_is_bounded() {
    let (mut suspicion, view) = (Suspicion::default(), common::view(3));
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    for n in 0..30_000_u64 {
        let whole = Trait::of_request("", &n.to_be_bytes());
        suspicion.on_answered(Millis(1), EPOCH, std::slice::from_ref(&whole));
        suspicion.on_lost(Millis(1), &[part(&n.to_string())], &view, &common::endpoint_id(1));
    }
    // Each datagram must fit, with the longest ids that occur.
    let message = load::FromRouter::Lost(suspects::Record {
        at: EPOCH,
        fingerprint: digest::Digest::of(b"part"),
        host: "i-0123456789abcdef0123456789abcdef".parse().unwrap(),
        generation: u64::MAX,
    });
    assert!(load::encode(&message).len() <= load::MAX_LEN);
    let mut gone = common::view(3);
    gone.replace(Millis(2), Vec::new());
    let found = suspicion.confirm(Millis(2), EPOCH, &gone);
    assert_eq!(found.len(), 64);
    assert_eq!(suspicion.dump()["records"].as_array().unwrap().len(), 256);
    assert!(suspicion.next_round(EPOCH, 8, &mut rng).len() <= 64);
}

//! The workloads of both deployments.

use rand_core::Rng;

use crate::arrivals;

/// A workspace and its share of the requests.
#[derive(Debug, Clone, Copy)]
pub struct Workspace {
    /// Its name.
    pub name: &'static str,
    /// Its weight among all.
    pub share: u32,
}

/// Ten workspaces, of which three bring most of the requests.
pub const WORKSPACES: [Workspace; 10] = [
    Workspace { name: "lima-studio", share: 30 },
    Workspace { name: "cusco-studio", share: 18 },
    Workspace { name: "pernambuco-plant", share: 24 },
    Workspace { name: "arequipa-studio", share: 6 },
    Workspace { name: "ceara-plant", share: 6 },
    Workspace { name: "maranhao-plant", share: 5 },
    Workspace { name: "archive", share: 4 },
    Workspace { name: "inspectors", share: 4 },
    Workspace { name: "training", share: 2 },
    Workspace { name: "office", share: 1 },
];

/// Kinds of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A long completion.
    Draft,
    /// A short completion of a long prompt.
    Summary,
    /// A read of the ledger.
    LedgerRead,
    /// A purchase, at most once.
    Purchase,
    /// The issue of a certificate, at most once.
    Certificate,
}

/// Share of each kind in percent; calls that are recorded are rare, as they are in both deployments.
const KINDS: [(Kind, u32); 5] = [
    (Kind::Draft, 40),
    (Kind::Summary, 30),
    (Kind::LedgerRead, 20),
    (Kind::Purchase, 6),
    (Kind::Certificate, 4),
];

/// A request to send.
#[derive(Debug, Clone)]
pub struct Request {
    /// Kind.
    pub kind: Kind,
    /// Workspace.
    pub workspace: &'static str,
    /// Number within the run; idempotency keys and prompts contain it.
    pub number: u64,
    /// Tokens to generate, 0 for calls.
    pub tokens: u64,
    /// The prompt or the body.
    pub text: String,
}

/// Returns a random request.
///
/// ```
/// # use rand_xoshiro::rand_core::SeedableRng;
/// let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
/// let request = chestnutpick_load::workload::pick(&mut rng, 5);
/// assert!(request.text.contains('5'));
/// ```
pub fn pick<R>(rng: &mut R, number: u64) -> Request
where
    R: Rng,
{
    let kind = KINDS[weighted(rng, KINDS.iter().map(|(_, share)| *share))].0;
    let place = weighted(rng, WORKSPACES.iter().map(|workspace| workspace.share));
    let spread = arrivals::uniform(rng);
    let (tokens, text) = match kind {
        Kind::Draft => (60 + (spread * 120.0) as u64, format!("draft {number} of a frame report")),
        Kind::Summary => {
            (20 + (spread * 20.0) as u64, format!("summary {number} {}", "notes ".repeat(200)))
        }
        Kind::LedgerRead => (0, format!("read {number}")),
        Kind::Purchase => (0, format!("{number} leaves of gold")),
        Kind::Certificate => (0, format!("certificate {number}")),
    };
    Request { kind, workspace: WORKSPACES[place].name, number, tokens, text }
}

fn weighted<R, I>(rng: &mut R, shares: I) -> usize
where
    R: Rng,
    I: Iterator<Item = u32> + Clone,
{
    let all: u32 = shares.clone().sum();
    let mut left = arrivals::uniform(rng) * f64::from(all);
    shares
        .enumerate()
        .find_map(|(place, share)| {
            left -= f64::from(share);
            (left < 0.0).then_some(place)
        })
        .unwrap_or_default()
}

//! Mix of workspaces and requests in both deployments.

use rand_core::Rng;

use crate::arrivals;

/// Workspace and its weight.
#[derive(Debug, Clone, Copy)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: &'static str,
    /// Weight in the random choice of a workspace.
    pub weight: u32,
}

/// Workspaces of the load. Three of the ten send most of the requests.
pub const WORKSPACES: [Workspace; 10] = [
    Workspace { name: "lima-studio", weight: 30 },
    Workspace { name: "cusco-studio", weight: 18 },
    Workspace { name: "pernambuco-plant", weight: 24 },
    Workspace { name: "arequipa-studio", weight: 6 },
    Workspace { name: "ceara-plant", weight: 6 },
    Workspace { name: "maranhao-plant", weight: 5 },
    Workspace { name: "archive", weight: 4 },
    Workspace { name: "inspectors", weight: 4 },
    Workspace { name: "training", weight: 2 },
    Workspace { name: "office", weight: 1 },
];

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Long completion.
    Draft,
    /// Short completion with a long prompt.
    Summary,
    /// Idempotent read of the ledger.
    LedgerRead,
    /// Purchase, which runs at most once.
    Purchase,
    /// Issue of a certificate, which runs at most once.
    Certificate,
}

/// Percentage of each kind. Calls that create records are rare, as in both deployments.
const KIND_WEIGHTS: [(Kind, u32); 5] = [
    (Kind::Draft, 40),
    (Kind::Summary, 30),
    (Kind::LedgerRead, 20),
    (Kind::Purchase, 6),
    (Kind::Certificate, 4),
];

/// Generated request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Kind of request.
    pub kind: Kind,
    /// Name of the workspace.
    pub workspace: &'static str,
    /// Number within the run. Idempotency keys and prompts contain it, so that they are unique.
    pub number: u64,
    /// Tokens to generate; 0 for calls of services.
    pub tokens: u64,
    /// Prompt of a completion or body of a call.
    pub text: String,
}

/// Returns a random request with the given number.
///
/// ```
/// # use rand_xoshiro::rand_core::SeedableRng;
/// let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(1);
/// let request = chestnutpick_load::workload::random_request(&mut rng, 5);
/// assert!(request.text.contains('5'));
/// ```
pub fn random_request<R>(rng: &mut R, number: u64) -> Request
where
    R: Rng,
{
    let kind = KIND_WEIGHTS[weighted_index(rng, KIND_WEIGHTS.iter().map(|(_, weight)| *weight))].0;
    let index = weighted_index(rng, WORKSPACES.iter().map(|workspace| workspace.weight));
    let variation = arrivals::uniform(rng);
    let (tokens, text) = match kind {
        Kind::Draft => {
            (60 + (variation * 120.0) as u64, format!("draft {number} of a frame report"))
        }
        Kind::Summary => {
            (20 + (variation * 20.0) as u64, format!("summary {number} {}", "notes ".repeat(200)))
        }
        Kind::LedgerRead => (0, format!("read {number}")),
        Kind::Purchase => (0, format!("{number} leaves of gold")),
        Kind::Certificate => (0, format!("certificate {number}")),
    };
    Request { kind, workspace: WORKSPACES[index].name, number, tokens, text }
}

fn weighted_index<R, I>(rng: &mut R, weights: I) -> usize
where
    R: Rng,
    I: Iterator<Item = u32> + Clone,
{
    let total: u32 = weights.clone().sum();
    let mut left = arrivals::uniform(rng) * f64::from(total);
    weights
        .enumerate()
        .find_map(|(index, weight)| {
            left -= f64::from(weight);
            (left < 0.0).then_some(index)
        })
        .unwrap_or_default()
}

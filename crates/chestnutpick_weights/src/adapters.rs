//! Adapters of a model: an adapter is loaded only onto the model version that it was made for.

use chestnutpick_types::{digest, id};

/// An adapter for one version of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Adapter {
    /// Id of the adapter.
    pub id: id::AdapterId,
    /// Model version that the adapter was made for.
    pub base: digest::Digest,
    /// Digest of the adapter's own weights.
    pub weights: digest::Digest,
}

/// An order to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load the adapter.
    Load(Adapter),
    /// Unload the adapter.
    Unload(Adapter),
}

/// Returns the orders that make the engine's adapters match the declared ones for the loaded `model` version.
///
/// Adapters for another version are never loaded, and are unloaded if present, as are replaced and undeclared ones. An
/// adapter that a request uses, according to `busy`, is not unloaded; the caller calls this again when the request has
/// ended. Unloads come first, to make room.
///
/// ```
/// use chestnutpick_types::digest;
/// use chestnutpick_weights::adapters;
/// let base = digest::Digest::of(b"v1");
/// let adapter = adapters::Adapter { id: "gold-leaf".parse().unwrap(), base, weights: digest::Digest::of(b"a1") };
/// let declared = [adapter.clone()];
/// assert_eq!(adapters::orders(base, &declared, &[], |_| false), [adapters::Order::Load(adapter)]);
/// assert!(adapters::orders(digest::Digest::of(b"v2"), &declared, &[], |_| false).is_empty());
/// ```
pub fn orders<F>(
    model: digest::Digest,
    declared: &[Adapter],
    loaded: &[Adapter],
    busy: F,
) -> Vec<Order>
where
    F: Fn(&Adapter) -> bool,
{
    let fits = |adapter: &Adapter| adapter.base == model;
    let wanted = |adapter: &Adapter| fits(adapter) && declared.contains(adapter);
    let surplus = loaded.iter().filter(|adapter| !wanted(adapter) && !busy(adapter));
    let held = |adapter: &Adapter| {
        loaded.iter().any(|other| other.id == adapter.id && busy(other) && other != adapter)
    };
    let missing = declared
        .iter()
        .filter(|adapter| fits(adapter) && !loaded.contains(adapter) && !held(adapter));
    let unloads = surplus.cloned().map(Order::Unload);
    unloads.chain(missing.cloned().map(Order::Load)).collect()
}

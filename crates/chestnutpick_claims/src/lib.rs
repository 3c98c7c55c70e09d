//! At-most-once execution of non-idempotent calls through claims in the store.
//!
//! A call is sent only after its claim is known to be in the store, so two entries cannot both send it. The library is
//! a state machine: store responses, verdicts of agents and time go in, [`event::Action`]s come out.
//!
//! # Requirements on agents
//! The guarantee also depends on the agent that a claim names:
//! - It rejects an attempt that it has barred, and bars an attempt before it returns [`event::Verdict::NotRun`].
//! - It rejects an attempt whose `claimed_at` (see [`event::Decision::Run`]) is earlier than the agent's own start,
//!   because barred attempts are held in memory only and lost on a restart. It also rejects an attempt that is older
//!   than the retention period.
//! - It returns `NotRun` for an attempt without a record only if it started before the time given in
//!   [`event::Action::Settle`], which is the claim time minus the permitted clock skew. An agent that discards old
//!   attempts counts the time of the newest discarded attempt as its start.
//!
//! # Behaviour while the store is unreachable
//! A new claim is refused with `StoreUnavailable` (not run) if none of its writes can have taken effect. While the
//! effect of a claim write is unknown, the entry answers `ClaimPending` (unknown, retry soon), never sends the call,
//! and keeps trying to withdraw the claim. A repeat of the request through the same entry may replace the claim at
//! once.

pub mod breaker;
pub mod config;
pub mod coordinator;
pub mod event;
pub mod key;
mod key_state;
pub mod pacer;
pub mod shard;
mod shard_state;

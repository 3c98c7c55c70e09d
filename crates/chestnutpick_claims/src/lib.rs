//! At-most-once execution of non-idempotent calls through claims in the store.
//!
//! A call is sent only after its claim is known to be in the store, so two entries cannot both send it. The library is
//! a state machine: store answers, verdicts of agents and time go in, [`event::Action`]s come out.
//!
//! # What agents must do
//! The guarantee also rests on the agent named in a claim:
//! - It rejects an attempt that it has barred, and bars an attempt before it returns [`event::Verdict::NotRun`].
//! - It rejects an attempt whose `claimed_at` (see [`event::Decision::Run`]) is earlier than its own start, because bars
//!   are lost with its memory, and one that is older than the retention period.
//! - It returns `NotRun` for an attempt that it has not seen only if it started before the time given in
//!   [`event::Action::Settle`]. That time is already earlier than the claim by the permitted clock difference. An agent
//!   that forgets old attempts counts the time of the newest forgotten one as its start.
//!
//! # What is answered while the store cannot be reached
//! A new claim of which no write can have taken effect is refused with `StoreUnavailable` (not run). While the fate of a
//! claim write is unknown the entry answers `ClaimPending` (unknown, retry soon), never sends the call, and keeps trying
//! to withdraw the claim; a repeat through the same entry may replace the claim at once.

pub mod breaker;
pub mod config;
pub mod coordinator;
pub mod event;
mod flight;
pub mod key;
mod lane;
pub mod pacer;
pub mod shard;

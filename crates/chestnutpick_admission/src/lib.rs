//! Admission control of the agent: limits on slots and memory units, cold-start ramp, version gate, attempt table and
//! settlement.
//!
//! The agent is the last hop before its endpoint. Entries route independently on stale load data, so only the agent can
//! guarantee a limit. The library does no I/O and reads no clock: callers pass in the current time and the events.

pub mod attempt;
pub mod gate;
pub mod limits;
pub mod ramp;
pub mod report;
pub mod status;
pub mod table;

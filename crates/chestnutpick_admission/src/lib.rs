//! The agent's admission control: memory units, slots, cold-start ramp, version gate, attempt table and settlement.
//!
//! The agent is the last hop before its endpoint and therefore the only place that can guarantee a limit, because
//! entries route independently on stale load data. The library is a state machine: time and events in, answers out.

pub mod attempt;
pub mod gate;
pub mod limits;
pub mod ramp;
pub mod report;
pub mod status;
pub mod table;

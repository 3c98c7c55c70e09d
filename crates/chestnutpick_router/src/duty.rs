//! Duties that one router performs at a time: decisions without clock or socket. The design is in `docs/design/duties.md`.

pub mod counts;
pub mod item;
pub mod reports;
pub mod scaling;
pub mod tenure;
pub mod truetime;

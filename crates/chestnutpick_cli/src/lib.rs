//! Command-line client for operators. It sends commands of the operators' language to an entry and prints the
//! responses.

pub mod api;
pub mod options;
pub mod print;
pub mod progress;
pub mod session;

//! The operators' command line: sends commands of the operators' language to an entry and prints the answers.

pub mod api;
pub mod options;
pub mod print;
pub mod progress;
pub mod session;

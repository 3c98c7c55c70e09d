//! Settings files in TOML, validated completely before a process starts.
//!
//! Every error message is one line with the file, the key or line, the value and what is allowed.

pub mod check;
pub mod file;

//! Settings files in TOML, checked in full before a process starts.
//!
//! Every error is one line that names the file, the key or line, the value and what is allowed.

pub mod check;
pub mod file;

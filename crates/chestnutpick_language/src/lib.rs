//! The operators' query and command language: text to [`command::Command`] and back, completion, and answers to
//! queries. Everything here is a pure function.

pub mod command;
pub mod complete;
mod cursor;
pub mod error;
mod lexer;
pub mod name;
pub mod parse;
pub mod query;
pub mod table;
pub mod view;

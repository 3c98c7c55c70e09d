//! The operators' query and command language: parsing into [`command::Command`], canonical text, completion, and
//! answers to queries. All functions are pure.

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

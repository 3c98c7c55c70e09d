//! Stand-ins for the platform's services and for endpoints.

pub mod bucket;
pub mod content;
pub mod manifest;
pub mod tokens;

//! Entry point of `chestnutpick`.

fn main() {}
